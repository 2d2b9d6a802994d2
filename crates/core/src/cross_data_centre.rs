//! Decides when an adapter gets a replica in this data centre.

use {crate::Time, faststr::FastStr, indexmap::IndexMap};

/// Requests to another data centre that cost as much as loading a replica from the weight store.
/// Loading it after that many never costs more than twice the best choice (the ski rental problem,
/// Karlin et al. 1988).
const REPLICATION_REQUESTS: u32 = 14;

/// Time after which the count of an adapter starts again.
const COUNTING_WINDOW_MS: u64 = 60_000;

/// Adapters counted; the adapters counted first are dropped beyond that.
const ADAPTERS_MAX: usize = 8192;

/// Requests of this host that went to another data centre because no engine in its own holds their
/// adapter.
#[derive(Clone, Debug, Default)]
pub struct CrossDataCentreRequests {
    by_adapter: IndexMap<FastStr, (u32, Time)>,
}

impl CrossDataCentreRequests {
    /// Counts a request for `adapter` that went to another data centre.
    pub fn record_request(&mut self, now: Time, adapter: &FastStr) {
        let (count, counted_since) = self.by_adapter.entry(adapter.clone()).or_insert((0, now));
        if now.ms_since(*counted_since) > COUNTING_WINDOW_MS {
            (*count, *counted_since) = (0, now);
        }
        *count = count.saturating_add(1);
        if self.by_adapter.len() > ADAPTERS_MAX {
            self.by_adapter.shift_remove_index(0);
        }
    }

    /// True when a replica in this data centre would have cost less than the requests counted.
    #[must_use]
    pub fn justifies_replica(&self, now: Time, adapter: &str) -> bool {
        let entry = self.by_adapter.get(adapter);
        entry.is_some_and(|(count, counted_since)| {
            *count >= REPLICATION_REQUESTS && now.ms_since(*counted_since) <= COUNTING_WINDOW_MS
        })
    }
}
