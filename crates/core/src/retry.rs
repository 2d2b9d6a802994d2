//! Bounds and spaces the retries of failed attempts.

use crate::{Time, mix_hashes};

/// Retries added to the budget by each first attempt, in thousandths.
const RETRY_RATIO_MILLI: u64 = 100;

/// Highest balance of the budget, in thousandths of a retry.
const BALANCE_MAX_MILLI: u64 = 20_000;

/// Longest wait between two attempts.
const BACKOFF_MAX_MS: u64 = 30_000;

/// Bounds retries to a share of first attempts, so that a failure of every request does not
/// multiply the load (the retry budget of Google's SRE book, chapter 21).
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: BALANCE_MAX_MILLI }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance_milli = (self.balance_milli + RETRY_RATIO_MILLI).min(BALANCE_MAX_MILLI);
    }

    /// Takes one retry out of the budget. Returns false when the budget is spent.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.balance_milli.checked_sub(1000) else {
            return false;
        };
        self.balance_milli = rest;
        true
    }
}

/// Wait before attempt number `attempt` (from 1). It doubles from `base_ms`, with jitter over its
/// upper half drawn from `seed`.
#[must_use]
pub fn backoff_ms(base_ms: u64, attempt: u32, seed: u64) -> u64 {
    let doubled = base_ms.saturating_mul(1 << attempt.saturating_sub(1).min(16));
    let ceiling = doubled.clamp(1, BACKOFF_MAX_MS);
    let half = ceiling / 2;
    half + mix_hashes(seed, u64::from(attempt)) % (ceiling - half + 1)
}

/// Time at which the backoff of `attempt` ends.
pub(crate) fn retry_at(now: Time, base_ms: u64, attempt: u32, seed: u64) -> Time {
    now.after_ms(backoff_ms(base_ms, attempt, seed))
}
