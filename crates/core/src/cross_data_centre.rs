//! When an adapter gets a copy near by.

use {crate::Time, faststr::FastStr, indexmap::IndexMap};

/// Crossings that cost as much as loading a copy from the weight store. A copy is made after
/// that many, which never costs more than twice what the best choice would have (the ski rental
/// problem, Karlin et al. 1988).
const REPLICATION_REQUESTS: u32 = 14;

/// Crossings older than this no longer speak for a copy, in milliseconds.
const COUNTING_WINDOW_MS: u64 = 60_000;

/// Adapters that are counted at most; those counted first are dropped.
const ADAPTERS_MAX: usize = 8192;

/// Requests of this host that went to another data centre because no engine near by holds their
/// adapter.
#[derive(Clone, Debug, Default)]
pub struct CrossDataCentreRequests {
    by_adapter: IndexMap<FastStr, (u32, Time)>,
}

impl CrossDataCentreRequests {
    /// Counts a crossing.
    pub fn record_request(&mut self, now: Time, adapter: &FastStr) {
        let (count, since) = self.by_adapter.entry(adapter.clone()).or_insert((0, now));
        if now.ms_since(*since) > COUNTING_WINDOW_MS {
            (*count, *since) = (0, now);
        }
        *count = count.saturating_add(1);
        if self.by_adapter.len() > ADAPTERS_MAX {
            self.by_adapter.shift_remove_index(0);
        }
    }

    /// True when a copy near by would have cost less.
    #[must_use]
    pub fn justifies_replica(&self, now: Time, adapter: &str) -> bool {
        let counted = self.by_adapter.get(adapter);
        counted.is_some_and(|(count, since)| {
            *count >= REPLICATION_REQUESTS && now.ms_since(*since) <= COUNTING_WINDOW_MS
        })
    }
}
