//! The book: what an engine holds, what is on its way, and what is wanted.

use {
    super::types::{AdapterOrder, ResidentAdapter},
    crate::{Time, cold_load_limit::COLD_LOAD_MS},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Copies of adapters that an engine keeps beside those that it holds; fewer than the smallest
/// deployment's engines keep, so that what counts as a copy is one.
const LOCAL_COPIES_MAX: usize = 140;

/// Age that a report may have, in milliseconds: what happened later may be missing from it.
pub(super) const REPORT_LAG_MS: u64 = 300;

/// Time after which an adapter that nobody waits for any more is no longer wanted, in
/// milliseconds.
const WANTED_TTL_MS: u64 = 3000;

#[derive(Clone, Copy, Debug)]
pub(super) struct LoadingAdapter {
    pub(super) version: Option<u64>,
    pub(super) started_at: Time,
    pub(super) check_at: Time,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct WantedAdapter {
    pub(super) version: Option<u64>,
    // first asked for
    pub(super) first_requested_at: Time,
    // the loads that can still be there by this time go first
    pub(super) due_at: Time,
    pub(super) expires_at: Time,
    pub(super) request_count: u32,
}

impl WantedAdapter {
    // when more is wanted than can be loaded, what can still be there in time goes first, oldest
    // first; of the rest, what most requests wait for. In order of arrival all would be late.
    pub(super) fn load_priority(&self, now: Time) -> (bool, u64) {
        if now.after_ms(COLD_LOAD_MS) <= self.due_at {
            (false, self.first_requested_at.as_millis())
        } else {
            (true, u64::from(u32::MAX - self.request_count))
        }
    }
}

/// The book of one engine.
#[derive(Clone, Debug)]
pub struct EngineInventory {
    pub(super) slots: usize,
    pub(super) models: Vec<FastStr>,
    pub(super) seq: u64,
    // when the next report may be asked for, while the book does not agree with the engine
    pub(super) report_due_at: Option<Time>,
    pub(super) held_models: Vec<FastStr>,
    pub(super) base_load_deadline: Time,
    pub(super) held: IndexMap<FastStr, ResidentAdapter>,
    pub(super) loading: IndexMap<FastStr, LoadingAdapter>,
    // adapters that are dropped once their runs have ended, and when to look at them
    pub(super) unloading: IndexMap<FastStr, Time>,
    // versions of the adapters of which the engine has kept copies, least recently held first
    pub(super) local_copies: IndexMap<FastStr, u64>,
    pub(super) wanted: IndexMap<FastStr, WantedAdapter>,
    pub(super) consecutive_unanswered: u32,
    // loads that got no answer and may still be carried out
    pub(super) unanswered_loads: Vec<UnansweredLoad>,
}

/// A load without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnansweredLoad {
    pub(super) expected_seq: u64,
    pub(super) expires_at: Time,
    // given before the last report: the engine may come to this number of orders with other
    // adapters than the book had then
    pub(super) predates_report: bool,
}

impl EngineInventory {
    /// The book of an engine of which nothing is known yet, with room for `slots` adapters, that
    /// is to hold the base models `models`.
    #[must_use]
    pub fn new(slots: usize, models: Vec<FastStr>) -> Self {
        Self {
            slots,
            models,
            seq: 0,
            report_due_at: Some(Time::ZERO),
            held_models: Vec::new(),
            base_load_deadline: Time::ZERO,
            held: IndexMap::new(),
            loading: IndexMap::new(),
            unloading: IndexMap::new(),
            local_copies: IndexMap::new(),
            wanted: IndexMap::new(),
            consecutive_unanswered: 0,
            unanswered_loads: Vec::new(),
        }
    }

    /// The number of orders that the next order is to find.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Adapters on their way.
    #[must_use]
    pub fn loading_count(&self) -> usize {
        self.loading.len()
    }

    /// Adapters that the engine is to load from the weight store, those under way included.
    #[must_use]
    pub fn cold_load_demand(&self) -> usize {
        let cold = self.wanted.iter().filter(|(adapter, wanted)| {
            !self.loading.contains_key(*adapter) && !self.has_local_copy(adapter, wanted.version)
        });
        self.loading.len() + cold.count()
    }

    /// How long the adapter that `order` loads has been on its way, in milliseconds.
    #[must_use]
    pub fn loading_for_ms(&self, now: Time, order: &AdapterOrder) -> Option<u64> {
        match order {
            AdapterOrder::Load { adapter, .. } => {
                self.loading.get(adapter).map(|coming| now.ms_since(coming.started_at))
            }
            AdapterOrder::LoadBase { .. } | AdapterOrder::Unload { .. } => None,
        }
    }

    /// Adapters that are held, by name.
    #[must_use]
    pub fn held(&self) -> &IndexMap<FastStr, ResidentAdapter> {
        &self.held
    }

    /// True when the book agrees with the engine and the engine holds its base models.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.report_due_at.is_none() && !self.held_models.is_empty()
    }

    /// True when the adapter is held in this version or a newer one.
    #[must_use]
    pub fn is_resident(&self, adapter: &str, version: Option<u64>) -> bool {
        let held = self.held.get(adapter);
        held.is_some_and(|held| version.is_none_or(|v| held.version >= v))
    }

    /// Wants an adapter, in `version` or newer if one is given. It is of most use by `aim`.
    pub fn request_load(&mut self, now: Time, adapter: &FastStr, version: Option<u64>, aim: Time) {
        let until = now.after_ms(WANTED_TTL_MS);
        let new = WantedAdapter {
            version,
            first_requested_at: now,
            due_at: aim,
            expires_at: until,
            request_count: 0,
        };
        let wanted = self.wanted.entry(adapter.clone()).or_insert(new);
        wanted.version = wanted.version.max(version);
        wanted.expires_at = until;
        wanted.due_at = wanted.due_at.max(aim);
        wanted.request_count += 1;
    }

    /// Notes that the engine has refused a request since it lacks an adapter that it should have.
    pub fn mark_missing(&mut self, now: Time, adapter: &str) {
        if self.held.swap_remove(adapter).is_some() && self.report_due_at.is_none() {
            self.report_due_at = Some(now);
        }
    }

    /// Notes a use of an adapter.
    pub fn mark_used(&mut self, now: Time, adapter: &str) {
        if let Some(held) = self.held.get_mut(adapter) {
            held.last_used_at = now;
        }
    }

    /// True for an order that only looks whether an earlier one is carried out.
    #[must_use]
    pub fn is_status_check(&self, order: &AdapterOrder) -> bool {
        match order {
            AdapterOrder::LoadBase { .. } => false,
            AdapterOrder::Load { adapter, .. } => self.loading.contains_key(adapter),
            AdapterOrder::Unload { adapter } => self.unloading.contains_key(adapter),
        }
    }

    pub(super) fn has_local_copy(&self, adapter: &FastStr, version: Option<u64>) -> bool {
        self.local_copies.get(adapter).is_some_and(|copy| version.is_none_or(|v| *copy >= v))
    }

    pub(super) fn record_local_copy(&mut self, adapter: &FastStr, version: u64) {
        self.local_copies.shift_remove(adapter);
        self.local_copies.insert(adapter.clone(), version);
        if self.local_copies.len() > LOCAL_COPIES_MAX {
            self.local_copies.shift_remove_index(0);
        }
    }

    pub(super) fn schedule_report(&mut self, now: Time) {
        self.report_due_at = Some(now.after_ms(REPORT_LAG_MS));
    }
}
