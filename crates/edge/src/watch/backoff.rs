//! Backoff of calls to the store while it does not answer.

use {
    egret_core::{Time, backoff_ms},
    egret_platform::StoreError,
    egret_runtime::{events, now},
    std::time::Duration,
};

/// Pause after the first failed call.
const BACKOFF_MS: u64 = 100;

/// Highest number of doublings of that pause. It is low, since the store must be read soon after
/// it recovers.
const DOUBLINGS_MAX: u32 = 3;

/// Longest wait for an answer, in addition to the time that the store is asked to wait. A slow
/// store takes some hundred milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1500;

/// Time that the reading host asks the store to wait for the next record. A dead connection is
/// noticed within this time.
pub(crate) const READER_POLL_MS: u64 = 700;

/// Interval of checks of what the other hosts have read.
pub(crate) const CHECK_INTERVAL_MS: u64 = 200;

/// Deadline of a call in which the store waits up to `wait_ms` for records.
pub(crate) fn call_deadline(wait_ms: u64) -> Time {
    now().after_ms(wait_ms + ANSWER_TIMEOUT_MS)
}

/// Backoff of the reads of one stream of the store.
#[derive(Debug)]
pub(crate) struct StreamBackoff {
    stream: &'static str,
    failures: u32,
    seed: u64,
}

impl StreamBackoff {
    pub(crate) fn new(stream: &'static str, seed: u64) -> Self {
        Self { stream, failures: 0, seed }
    }

    /// Records an answer. Returns true if it is the first one after a failure.
    pub(crate) fn record_success(&mut self) -> bool {
        let has_recovered = self.failures > 0;
        if has_recovered {
            events::LOG_REACHABLE
                .info(format_args!("stream={} failures={}", self.stream, self.failures));
        }
        self.failures = 0;
        has_recovered
    }

    /// Records a failure and waits before the next call.
    pub(crate) async fn back_off(&mut self, e: &StoreError) {
        self.failures += 1;
        if self.failures == 1 {
            events::LOG_UNREACHABLE.warn(format_args!("stream={} problem={e}", self.stream));
        }
        let pause = backoff_ms(BACKOFF_MS, self.failures.min(DOUBLINGS_MAX), self.seed);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
