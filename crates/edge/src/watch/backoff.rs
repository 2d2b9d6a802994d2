//! Whether the store answers, and how often it is asked while it does not.

use {
    egret_core::{Time, backoff_ms},
    egret_platform::StoreError,
    egret_runtime::{events, now},
    std::time::Duration,
};

/// First pause after a call that failed, in milliseconds.
const BACKOFF_MS: u64 = 100;

/// Doublings of that pause at most: the store must be read again soon after it is back.
const MAX_DOUBLINGS: u32 = 3;

/// Longest time to wait for an answer beside the time that the store is asked to wait, in
/// milliseconds: a slow store takes some hundred.
const ANSWER_TIMEOUT_MS: u64 = 1500;

/// How long the store is asked to wait for the next record by the host that reads for all, in
/// milliseconds. A connection that has gone silent is noticed within this time.
pub(crate) const READER_POLL_MS: u64 = 700;

/// Time between looks at what the other hosts have read, in milliseconds.
pub(crate) const CHECK_INTERVAL_MS: u64 = 200;

/// Deadline of a call on which the store waits up to `wait_ms`.
pub(crate) fn call_deadline(wait_ms: u64) -> Time {
    now().after_ms(wait_ms + ANSWER_TIMEOUT_MS)
}

/// How one stream of the store is reached.
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

    /// Notes an answer; true when it is the first after a failure.
    pub(crate) fn record_success(&mut self) -> bool {
        let regained = self.failures > 0;
        if regained {
            events::LOG_REACHABLE
                .info(format_args!("stream={} failures={}", self.stream, self.failures));
        }
        self.failures = 0;
        regained
    }

    /// Notes a failure and waits before the next call.
    pub(crate) async fn back_off(&mut self, e: &StoreError) {
        self.failures += 1;
        if self.failures == 1 {
            events::LOG_UNREACHABLE.warn(format_args!("stream={} problem={e}", self.stream));
        }
        let pause = backoff_ms(BACKOFF_MS, self.failures.min(MAX_DOUBLINGS), self.seed);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
