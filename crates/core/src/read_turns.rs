//! When a host reads the platform's store itself.
//!
//! One host reads for all. The rules answer two load patterns. When that host is lost, all others
//! notice at the same moment; they take turns, and the first one's read serves the rest. While the
//! store is away, a few hosts try it again and again, and the others seldom, so that neither the
//! outage nor its end brings calls from the whole fleet at once.

use crate::{Time, hash::mix_hashes, retry::backoff_ms};

/// Time that a host leaves to each host ranked before it. A read and its way to the others fit into
/// the turns of two hosts.
const TURN_MS: u64 = 150;

/// Rank from which on hosts share a turn, so that none waits for long.
const TURNS_MAX: u64 = 6;

/// Hosts that try the store again soon after a failure. They are not all on one side of a fault.
const TRYING_HOSTS: u64 = 4;

/// First pause of these hosts after a failed call.
const BACKOFF_MS: u64 = 100;

/// Highest number of doublings of that pause. It is low, since the store must be read soon after it
/// recovers.
const DOUBLINGS_MAX: u32 = 3;

/// Pause of all other hosts after a failed call. The store may turn away just those that try.
const STANDBY_PAUSE_MS: u64 = 2500;

/// Highest addition to that pause, so that their calls are spread.
const STANDBY_JITTER_MS: u64 = 3000;

/// The turns of one host at one stream of the store.
#[derive(Clone, Debug)]
pub struct ReadTurns {
    seed: u64,
    failures: u32,
    // since when no other host's read has served this one
    unserved_since: Option<Time>,
    retry_at: Time,
}

impl ReadTurns {
    /// Creates the turns of a host. `seed` differs between hosts.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { seed, failures: 0, unserved_since: None, retry_at: Time::ZERO }
    }

    /// Records that the read of another host serves this one.
    pub fn record_served(&mut self) {
        self.unserved_since = None;
        self.retry_at = Time::ZERO;
    }

    /// Records an answer of the store. Returns the number of failures before it.
    pub fn record_answer(&mut self) -> u32 {
        self.unserved_since = None;
        self.retry_at = Time::ZERO;
        std::mem::take(&mut self.failures)
    }

    /// Records a failed call of the host of this rank. Returns how many there were in a row.
    pub fn record_failure(&mut self, now: Time, rank: u64) -> u32 {
        self.failures += 1;
        let pause_ms = if rank < TRYING_HOSTS {
            backoff_ms(BACKOFF_MS, self.failures.min(DOUBLINGS_MAX), self.seed)
        } else {
            let jitter = mix_hashes(self.seed, u64::from(self.failures)) % STANDBY_JITTER_MS;
            STANDBY_PAUSE_MS + jitter
        };
        self.retry_at = now.after_ms(pause_ms);
        self.failures
    }

    /// True if the host of this rank, which no other host's read serves, reads the store now.
    pub fn is_due(&mut self, now: Time, rank: u64) -> bool {
        let unserved_since = *self.unserved_since.get_or_insert(now);
        let turn_at = unserved_since.after_ms(rank.min(TURNS_MAX) * TURN_MS);
        now >= turn_at && now >= self.retry_at
    }
}
