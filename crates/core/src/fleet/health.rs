//! What the answers of a target say of its health.

use crate::Time;

/// Share of the newest answer in the failure rate, in thousandths: a target that fails each
/// request reaches a rate of one half after three.
const NEWEST_MILLI: u64 = 250;

/// After this time without an answer the failure rate has halved, in milliseconds, so that a
/// target that was avoided is tried again.
const HALF_LIFE_MS: u64 = 2000;

/// First time for which a target that took no connection is left out, in milliseconds.
const DOWN_MS: u64 = 250;

/// Longest time for which a target that takes no connection is left out, in milliseconds.
const DOWN_MAX_MS: u64 = 2000;

/// Failure rate of a target, and whether it takes connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failing_milli: u64,
    as_of: Time,
    refused_in_row: u32,
    down_until: Time,
}

impl Health {
    /// Counts an answer that was as it should be.
    pub fn good(&mut self, now: Time) {
        self.failing_milli = self.rate_milli(now) * (1000 - NEWEST_MILLI) / 1000;
        self.as_of = now;
        self.refused_in_row = 0;
        self.down_until = Time::ZERO;
    }

    /// Counts a failure: an answer that is an error, spoiled, too late or missing.
    pub fn bad(&mut self, now: Time) {
        self.failing_milli =
            (self.rate_milli(now) * (1000 - NEWEST_MILLI) + 1000 * NEWEST_MILLI) / 1000;
        self.as_of = now;
    }

    /// Counts a connection that the target did not take.
    pub fn down(&mut self, now: Time) {
        self.bad(now);
        let wait = DOWN_MS.saturating_mul(1 << self.refused_in_row.min(8)).min(DOWN_MAX_MS);
        self.refused_in_row = self.refused_in_row.saturating_add(1);
        self.down_until = now.after_ms(wait);
    }

    /// True while the target is left out because it takes no connections.
    #[must_use]
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Failures among the latest answers, in thousandths.
    #[must_use]
    pub fn rate_milli(&self, now: Time) -> u64 {
        let halvings = now.ms_since(self.as_of) / HALF_LIFE_MS;
        self.failing_milli >> halvings.min(32)
    }
}
