//! Following one stream of the log.

use {
    super::log::{Batch, LogClient},
    crate::{event::events, now},
    egret_core::{Time, backoff_ms},
    std::time::Duration,
};

/// How long a read waits for news, in milliseconds.
const READ_WAIT_MS: u64 = 500;

/// How long a read may take beyond its wait, in milliseconds.
const READ_GRACE_MS: u64 = 1500;

/// First wait after a failed read, in milliseconds.
const BACKOFF_MS: u64 = 100;

/// Longest wait after a failed read, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1000;

/// Reads a stream from its start to its end and on.
#[derive(Debug)]
pub struct Tail {
    log: LogClient,
    stream: &'static str,
    next: u64,
    failures: u32,
}

impl Tail {
    /// Starts at the oldest record that the log keeps.
    #[must_use]
    pub fn new(log: LogClient, stream: &'static str) -> Self {
        Self { log, stream, next: 0, failures: 0 }
    }

    /// The next batch and the time at which its read began. Tries until it has one.
    pub async fn next(&mut self) -> (Time, Batch) {
        loop {
            let read_start = now();
            let deadline = read_start.after_ms(READ_WAIT_MS + READ_GRACE_MS);
            match self.log.read(self.stream, self.next, READ_WAIT_MS, deadline).await {
                Ok(batch) => {
                    if self.failures > 0 {
                        events::LOG_REACHABLE.info(format_args!("stream={}", self.stream));
                    }
                    self.failures = 0;
                    self.next = batch.next().max(self.next);
                    return (read_start, batch);
                }
                Err(e) => self.failed(&e.to_string()).await,
            }
        }
    }

    /// True while reads fail.
    #[must_use]
    pub fn failing(&self) -> bool {
        self.failures > 0
    }

    async fn failed(&mut self, problem: &str) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            events::LOG_UNREACHABLE.warn(format_args!("stream={} {problem}", self.stream));
        }
        let wait_ms = backoff_ms(BACKOFF_MS, self.failures, now().as_millis());
        tokio::time::sleep(Duration::from_millis(wait_ms.min(BACKOFF_MAX_MS))).await;
    }
}
