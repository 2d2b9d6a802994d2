//! Finds the requests that were on a target when it crashed.

use {
    crate::{Suspect, Time},
    faststr::FastStr,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Time after a broken connection within which a refused connection shows that the target crashed.
const CRASH_CONFIRMATION_MS: u64 = 2000;

/// Broken connections recorded per target.
const CONNECTIONS_PER_TARGET_MAX: usize = 256;

/// Suspects of requests whose connections broke off, by target, until it is known whether the target
/// crashed. A target that goes on accepting connections did not.
#[derive(Clone, Debug, Default)]
pub struct BrokenConnections {
    by_target: IndexMap<FastStr, Vec<BrokenConnection>>,
}

// when it broke, and the suspects of its request
type BrokenConnection = (Time, Arc<[Suspect]>);

impl BrokenConnections {
    /// Records that the connection of a request to `target` broke off.
    pub fn record_broken(&mut self, now: Time, target: &FastStr, suspects: Arc<[Suspect]>) {
        let connections = self.by_target.entry(target.clone()).or_default();
        connections.retain(|(at, _)| now.ms_since(*at) < CRASH_CONFIRMATION_MS);
        if connections.len() < CONNECTIONS_PER_TARGET_MAX {
            connections.push((now, suspects));
        }
    }

    /// Records that `target` refuses connections. Returns the suspects of the requests that were on
    /// it when it crashed, once for each crash.
    pub fn confirm_crash(&mut self, now: Time, target: &str) -> Vec<Suspect> {
        let connections = self.by_target.swap_remove(target).unwrap_or_default();
        let recent =
            connections.into_iter().filter(|(at, _)| now.ms_since(*at) < CRASH_CONFIRMATION_MS);
        recent.flat_map(|(_, suspects)| suspects.to_vec()).collect()
    }

    /// True if a connection to `target` broke off lately.
    #[must_use]
    pub fn has_broken(&self, now: Time, target: &str) -> bool {
        let connections = self.by_target.get(target);
        connections.is_some_and(|connections| {
            connections.iter().any(|(at, _)| now.ms_since(*at) < CRASH_CONFIRMATION_MS)
        })
    }

    /// Discards the broken connections to `target` after an answer, which shows that it did not
    /// crash.
    pub fn rule_out_crash(&mut self, target: &str) {
        self.by_target.swap_remove(target);
    }
}
