//! Which requests were on a target when it crashed.

use {
    crate::{Fingerprint, Time},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// A target that takes no connections this long after others broke off has crashed, in
/// milliseconds.
const CRASH_CONFIRMATION_MS: u64 = 2000;

/// Broken connections remembered for one target.
const CONNECTIONS_PER_TARGET_MAX: usize = 256;

/// Requests whose connections broke off, by target, until it is known whether the target has
/// crashed. One that goes on taking connections has not.
#[derive(Clone, Debug, Default)]
pub struct BrokenConnections {
    by_target: IndexMap<FastStr, Vec<(Time, Fingerprint)>>,
}

impl BrokenConnections {
    /// Notes that the connection of `content` to `target` broke off.
    pub fn record_broken(&mut self, now: Time, target: &FastStr, content: Fingerprint) {
        let broken = self.by_target.entry(target.clone()).or_default();
        broken.retain(|(at, _)| now.ms_since(*at) < CRASH_CONFIRMATION_MS);
        if broken.len() < CONNECTIONS_PER_TARGET_MAX {
            broken.push((now, content));
        }
    }

    /// Notes that `target` takes no connection. Returns the contents that were on it when it
    /// crashed, once for each crash.
    pub fn confirm_crash(&mut self, now: Time, target: &str) -> Vec<Fingerprint> {
        let broken = self.by_target.swap_remove(target).unwrap_or_default();
        let fresh = broken.into_iter().filter(|(at, _)| now.ms_since(*at) < CRASH_CONFIRMATION_MS);
        fresh.map(|(_, content)| content).collect()
    }

    /// Notes that `target` has answered: it lives.
    pub fn mark_alive(&mut self, target: &str) {
        self.by_target.swap_remove(target);
    }
}
