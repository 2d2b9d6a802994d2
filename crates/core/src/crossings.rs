//! When an adapter gets a copy near by.

use {crate::Time, faststr::FastStr, indexmap::IndexMap};

/// Crossings that cost as much as loading a copy from the weight store. A copy is made after
/// that many, which never costs more than twice what the best choice would have (the ski rental
/// problem, Karlin et al. 1988).
const COPY_AFTER: u32 = 14;

/// Crossings older than this no longer speak for a copy, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// Adapters that are counted at most; those counted first are dropped.
const COUNTED_MAX: usize = 8192;

/// Requests of this host that went to another data centre because no engine near by holds their
/// adapter.
#[derive(Clone, Debug, Default)]
pub struct Crossings {
    counted: IndexMap<FastStr, (u32, Time)>,
}

impl Crossings {
    /// Counts a crossing.
    pub fn crossed(&mut self, now: Time, adapter: &FastStr) {
        let (count, since) = self.counted.entry(adapter.clone()).or_insert((0, now));
        if now.ms_since(*since) > FORGET_MS {
            (*count, *since) = (0, now);
        }
        *count = count.saturating_add(1);
        if self.counted.len() > COUNTED_MAX {
            self.counted.shift_remove_index(0);
        }
    }

    /// True when a copy near by would have cost less.
    #[must_use]
    pub fn copy_near(&self, now: Time, adapter: &str) -> bool {
        let counted = self.counted.get(adapter);
        counted
            .is_some_and(|(count, since)| *count >= COPY_AFTER && now.ms_since(*since) <= FORGET_MS)
    }
}
