//! Times of a host's planned stop, and which requests it still takes.

use crate::Time;

/// Times of a planned stop. The host is killed some time after `ends_at`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// Time at which the connections of callers are closed; the load balancer has noticed by then.
    pub closes_at: Time,
    /// Time at which requests that are still open get their final answers.
    pub ends_at: Time,
}

impl StopTimes {
    /// True if a request that was read completely at `now` is sent to a target. After connections
    /// were closed, one that may last longer than the stop is not: callers can send it to
    /// another host.
    #[must_use]
    pub fn admits(&self, now: Time, deadline: Time) -> bool {
        now < self.closes_at || deadline <= self.ends_at
    }
}
