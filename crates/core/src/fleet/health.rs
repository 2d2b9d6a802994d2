//! Derives a target's health from its answers.

use crate::Time;

/// Weight of the newest answer in the failure rate, in thousandths: a target that fails every
/// request reaches a rate of one half after three.
const NEWEST_WEIGHT_MILLI: u64 = 250;

/// Time without an answer after which the failure rate halves, so that an avoided target is tried
/// again.
const FAILURE_RATE_HALF_LIFE_MS: u64 = 2000;

/// Time for which a target is left out after its first refused connection; it doubles with each
/// further one.
const DOWN_INITIAL_MS: u64 = 250;

/// Longest time for which a target is left out after a refused connection.
const DOWN_MAX_MS: u64 = 2000;

/// Failure rate of a target, and whether it accepts connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate_milli: u64,
    updated_at: Time,
    consecutive_refusals: u32,
    down_until: Time,
    paused_until: Time,
}

impl Health {
    /// Counts a correct answer.
    pub fn record_success(&mut self, now: Time) {
        self.failure_rate_milli =
            self.failure_rate_milli(now) * (1000 - NEWEST_WEIGHT_MILLI) / 1000;
        self.updated_at = now;
        self.consecutive_refusals = 0;
        self.down_until = Time::ZERO;
    }

    /// Counts a failure: an answer that is an error, corrupt, too late or missing.
    pub fn record_failure(&mut self, now: Time) {
        self.failure_rate_milli = (self.failure_rate_milli(now) * (1000 - NEWEST_WEIGHT_MILLI)
            + 1000 * NEWEST_WEIGHT_MILLI)
            / 1000;
        self.updated_at = now;
    }

    /// Counts a refused connection.
    pub fn record_refused_connection(&mut self, now: Time) {
        self.record_failure(now);
        let down_ms =
            DOWN_INITIAL_MS.saturating_mul(1 << self.consecutive_refusals.min(8)).min(DOWN_MAX_MS);
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        self.down_until = now.after_ms(down_ms);
    }

    /// Records that the target wants no requests until `until`.
    pub fn record_pause(&mut self, until: Time) {
        self.paused_until = self.paused_until.max(until);
    }

    /// True while the target is left out because it refuses connections or wants no requests.
    #[must_use]
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until.max(self.paused_until)
    }

    /// Failures among the latest answers, in thousandths.
    #[must_use]
    pub fn failure_rate_milli(&self, now: Time) -> u64 {
        let halvings = now.ms_since(self.updated_at) / FAILURE_RATE_HALF_LIFE_MS;
        self.failure_rate_milli >> halvings.min(32)
    }
}
