//! Reader that follows one stream of the log.

use {
    super::log::{Batch, LogClient},
    crate::{event::events, now},
    egret_core::{Time, backoff_ms},
    std::time::Duration,
};

/// Time for which a read waits for new records, in milliseconds.
const LONG_POLL_MS: u64 = 500;

/// Time that a read may take in addition to that wait, in milliseconds.
const READ_TIMEOUT_MARGIN_MS: u64 = 1500;

/// Wait after the first failed read, in milliseconds.
const BACKOFF_BASE_MS: u64 = 100;

/// Longest wait after a failed read, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1000;

/// Reads a stream from its oldest record to its end and then follows it.
#[derive(Debug)]
pub struct Tail {
    log: LogClient,
    stream: &'static str,
    next_offset: u64,
    failures: u32,
}

impl Tail {
    /// Creates a reader that starts at the oldest record in the log.
    #[must_use]
    pub fn new(log: LogClient, stream: &'static str) -> Self {
        Self { log, stream, next_offset: 0, failures: 0 }
    }

    /// Returns the next batch and the time at which its read began. Retries until a read succeeds.
    pub async fn next_batch(&mut self) -> (Time, Batch) {
        loop {
            let read_start = now();
            let deadline = read_start.after_ms(LONG_POLL_MS + READ_TIMEOUT_MARGIN_MS);
            match self.log.read(self.stream, self.next_offset, LONG_POLL_MS, deadline).await {
                Ok(batch) => {
                    if self.failures > 0 {
                        events::LOG_REACHABLE.info(format_args!("stream={}", self.stream));
                    }
                    self.failures = 0;
                    self.next_offset = batch.next_offset().max(self.next_offset);
                    return (read_start, batch);
                }
                Err(e) => self.back_off(&e.to_string()).await,
            }
        }
    }

    /// Returns true while reads fail.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    async fn back_off(&mut self, problem: &str) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            events::LOG_UNREACHABLE.warn(format_args!("stream={} {problem}", self.stream));
        }
        let wait_ms = backoff_ms(BACKOFF_BASE_MS, self.failures, now().as_millis());
        tokio::time::sleep(Duration::from_millis(wait_ms.min(BACKOFF_MAX_MS))).await;
    }
}
