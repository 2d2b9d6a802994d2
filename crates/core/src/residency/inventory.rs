//! The adapters and base models that are resident on an engine, loading, or to be loaded.

use {
    super::{
        next_order::{EVICTION_IDLE_MS, LOADING_PER_ENGINE_MAX},
        types::{AdapterOrder, ResidentAdapter},
    },
    crate::{Time, cold_load_limit::COLD_LOAD_INITIAL_MS},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Copies that an engine is assumed to keep of adapters that it has unloaded. The smallest
/// deployment's engines keep more, so every copy counted here exists.
const LOCAL_COPIES_MAX: usize = 140;

/// Longest delay of a report: changes within that time before it arrives may be missing from it.
pub(super) const REPORT_LAG_MS: u64 = 300;

/// Time without a request after which an adapter is no longer wanted.
const WANTED_TTL_MS: u64 = 3000;

/// Rank of a load that waits for the weight store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadRank((bool, u64));

#[derive(Clone, Copy, Debug)]
pub(super) struct LoadingAdapter {
    pub(super) version: Option<u64>,
    pub(super) started_at: Time,
    pub(super) check_at: Time,
    pub(super) from_store: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct WantedAdapter {
    pub(super) version: Option<u64>,
    pub(super) first_requested_at: Time,
    // loads that can finish by this time go first
    pub(super) due_at: Time,
    pub(super) expires_at: Time,
    pub(super) request_count: u32,
}

impl WantedAdapter {
    // When more adapters are wanted than can be loaded, loads that can finish in time go first,
    // oldest first; the rest follow by the number of waiting requests. In order of arrival all of
    // them would be late.
    pub(super) fn load_priority(&self, now: Time, cold_load_ms: u64) -> (bool, u64) {
        if now.after_ms(cold_load_ms) <= self.due_at {
            (false, self.first_requested_at.as_millis())
        } else {
            (true, u64::from(u32::MAX - self.request_count))
        }
    }
}

/// What one engine holds, loads and is to load, as known to the host that orders it.
#[derive(Clone, Debug)]
pub struct EngineInventory {
    pub(super) slots: usize,
    pub(super) models: Vec<FastStr>,
    pub(super) seq: u64,
    // when to request the next report; set while the inventory may differ from the engine
    pub(super) report_due_at: Option<Time>,
    pub(super) resident_models: Vec<FastStr>,
    pub(super) base_load_deadline: Time,
    pub(super) resident: IndexMap<FastStr, ResidentAdapter>,
    pub(super) loading: IndexMap<FastStr, LoadingAdapter>,
    // adapters that the engine unloads once their runs end, with the time of the next check
    pub(super) unloading: IndexMap<FastStr, Time>,
    // versions of the copies that the engine keeps, least recently resident first
    pub(super) local_copies: IndexMap<FastStr, u64>,
    pub(super) wanted: IndexMap<FastStr, WantedAdapter>,
    pub(super) consecutive_unanswered: u32,
    // loads without an answer that may still be carried out
    pub(super) unanswered_loads: Vec<UnansweredLoad>,
    // expected time of a load from the weight store
    pub(super) cold_load_ms: u64,
    // loads from the weight store so far; some of them are checked early
    pub(super) cold_loads: u64,
    pub(super) early_check_every: u64,
}

/// A load without an answer, which may still be carried out.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnansweredLoad {
    pub(super) expected_seq: u64,
    pub(super) expires_at: Time,
    // sent before the last report: when the engine's count reaches `expected_seq`, it may hold
    // other adapters than the inventory did when the load was sent
    pub(super) predates_report: bool,
}

impl EngineInventory {
    /// Creates the inventory of an engine with `slots` adapter slots that is to hold the base
    /// models `models`. Nothing else is known until the first report.
    #[must_use]
    pub fn new(slots: usize, models: Vec<FastStr>) -> Self {
        Self {
            slots,
            models,
            seq: 0,
            report_due_at: Some(Time::ZERO),
            resident_models: Vec::new(),
            base_load_deadline: Time::ZERO,
            resident: IndexMap::new(),
            loading: IndexMap::new(),
            unloading: IndexMap::new(),
            local_copies: IndexMap::new(),
            wanted: IndexMap::new(),
            consecutive_unanswered: 0,
            unanswered_loads: Vec::new(),
            cold_load_ms: COLD_LOAD_INITIAL_MS,
            cold_loads: 0,
            early_check_every: 4,
        }
    }

    /// Sets the expected time of a load from the weight store. One of `early_check_every` loads is
    /// checked before that.
    pub fn set_cold_load_ms(&mut self, ms: u64, early_check_every: u64) {
        self.cold_load_ms = ms;
        self.early_check_every = early_check_every.max(1);
    }

    /// The number of accepted orders that the next order carries.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Number of adapters being loaded.
    #[must_use]
    pub fn loading_count(&self) -> usize {
        self.loading.len()
    }

    /// Ranks of the loads from the weight store that the engine is to begin; lower ones go first.
    /// None if it could not begin one now, since others then come before them.
    pub fn waiting_load_ranks(&self, now: Time) -> impl Iterator<Item = LoadRank> {
        let can_begin =
            self.is_ready() && self.loading.len() < LOADING_PER_ENGINE_MAX && self.has_room(now);
        let waiting = self.wanted.iter().filter(move |(adapter, wanted)| {
            can_begin
                && !self.loading.contains_key(*adapter)
                && !self.has_local_copy(adapter, wanted.version)
                && !self.is_resident(adapter, wanted.version)
        });
        waiting.map(move |(_, wanted)| LoadRank(wanted.load_priority(now, self.cold_load_ms)))
    }

    // true if an adapter could be loaded now, after the unload of an idle one if needed
    fn has_room(&self, now: Time) -> bool {
        let is_idle = |(adapter, resident): (&FastStr, &ResidentAdapter)| {
            now.ms_since(resident.last_used_at) >= EVICTION_IDLE_MS
                && !self.wanted.contains_key(adapter)
        };
        self.resident.len() + self.loading.len() + self.unloading.len() < self.slots
            || self.resident.iter().any(is_idle)
    }

    /// Rank of the load of `adapter`; none unless it waits for the weight store.
    #[must_use]
    pub fn waiting_load_rank(&self, now: Time, adapter: &FastStr) -> Option<LoadRank> {
        let wanted = self.wanted.get(adapter)?;
        let is_waiting =
            !self.loading.contains_key(adapter) && !self.has_local_copy(adapter, wanted.version);
        is_waiting.then(|| LoadRank(wanted.load_priority(now, self.cold_load_ms)))
    }

    /// Number of adapters that the engine loads or is to load from the weight store.
    #[must_use]
    pub fn cold_loads_wanted(&self) -> usize {
        let cold = self.wanted.iter().filter(|(adapter, wanted)| {
            !self.loading.contains_key(*adapter) && !self.has_local_copy(adapter, wanted.version)
        });
        self.loading.len() + cold.count()
    }

    /// How long the load from the weight store that `order` checks has been running, in
    /// milliseconds.
    #[must_use]
    pub fn cold_loading_for_ms(&self, now: Time, order: &AdapterOrder) -> Option<u64> {
        match order {
            AdapterOrder::Load { adapter, .. } => {
                let loading = self.loading.get(adapter).filter(|loading| loading.from_store)?;
                Some(now.ms_since(loading.started_at))
            }
            AdapterOrder::LoadBase { .. } | AdapterOrder::Unload { .. } => None,
        }
    }

    /// Resident adapters by name.
    #[must_use]
    pub fn resident(&self) -> &IndexMap<FastStr, ResidentAdapter> {
        &self.resident
    }

    /// True when the inventory matches the engine and the engine holds its base models.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.report_due_at.is_none() && !self.resident_models.is_empty()
    }

    /// True when the adapter is resident in this version or a newer one.
    #[must_use]
    pub fn is_resident(&self, adapter: &str, version: Option<u64>) -> bool {
        let resident = self.resident.get(adapter);
        resident.is_some_and(|resident| version.is_none_or(|v| resident.version >= v))
    }

    /// Requests an adapter in `version` or newer, or in any version if none is given. The load is
    /// of most use if it ends by `due_at`.
    pub fn request_load(
        &mut self,
        now: Time,
        adapter: &FastStr,
        version: Option<u64>,
        due_at: Time,
    ) {
        let expires_at = now.after_ms(WANTED_TTL_MS);
        let new = WantedAdapter {
            version,
            first_requested_at: now,
            due_at,
            expires_at,
            request_count: 0,
        };
        let wanted = self.wanted.entry(adapter.clone()).or_insert(new);
        wanted.version = wanted.version.max(version);
        wanted.expires_at = expires_at;
        wanted.due_at = wanted.due_at.max(due_at);
        wanted.request_count += 1;
    }

    /// Removes an adapter after the engine refused a request because it lacks it, and requests a
    /// report.
    pub fn mark_missing(&mut self, now: Time, adapter: &str) {
        if self.resident.swap_remove(adapter).is_some() && self.report_due_at.is_none() {
            self.report_due_at = Some(now);
        }
    }

    /// Records a use of an adapter.
    pub fn mark_used(&mut self, now: Time, adapter: &str) {
        if let Some(resident) = self.resident.get_mut(adapter) {
            resident.last_used_at = now;
        }
    }

    /// True for an order that only checks whether an earlier one is carried out.
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
