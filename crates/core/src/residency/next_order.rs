//! Plans the next order to an engine.

use {
    super::{
        inventory::EngineInventory,
        types::{AdapterOrder, NextOrder, ResidentAdapter},
    },
    crate::Time,
    faststr::FastStr,
    indexmap::IndexSet,
};

/// Adapters that one engine loads at the same time.
pub(super) const LOADING_PER_ENGINE_MAX: usize = 4;

/// Time between checks of a load that takes longer than expected.
pub(super) const CHECK_INTERVAL_MS: u64 = 60;

/// Time without use after which an adapter may be unloaded. The unload of an adapter that still
/// serves a request blocks all orders until its runs end; uses by other hosts are known here within
/// two heartbeats.
pub(super) const EVICTION_IDLE_MS: u64 = 700;

/// Time after which the engine's report decides about an unfinished load.
pub(super) const LOAD_TIMEOUT_MS: u64 = 4000;

impl EngineInventory {
    /// Returns the next step. `in_use` is true for an adapter that serves a request,
    /// `cold_loads_left` is the number of further loads that the weight store takes, and
    /// `base_load_allowed` is true when it takes the load of a base model.
    pub fn next_order(
        &mut self,
        now: Time,
        in_use: impl Fn(&str) -> bool,
        cold_loads_left: usize,
        base_load_allowed: bool,
    ) -> NextOrder {
        if let Some(at) = self.report_due_at {
            return if now >= at { NextOrder::Report } else { NextOrder::WaitUntil(at) };
        }
        if let Some(order) = self.next_base_order(now, base_load_allowed) {
            return order;
        }
        if let Some(order) = self.next_check(now) {
            return order;
        }
        self.wanted.retain(|_, wanted| wanted.expires_at > now);
        // loads with an `expected_seq` below `seq` are kept until they expire too: a restarted
        // engine counts from zero again
        self.unanswered_loads.retain(|load| load.expires_at > now);
        if self.slots_taken() + self.slots_reserved() > self.slots {
            return self.next_order_overcommitted(now, &in_use);
        }
        if let Some(order) = self.next_adapter_order(now, &in_use, cold_loads_left) {
            return NextOrder::Order(order);
        }
        let next_check_at = self.loading.values().map(|loading| loading.check_at);
        let next_check_at = next_check_at.chain(self.unloading.values().copied()).min();
        let wanted_check_at =
            if self.wanted.is_empty() { Time::NEVER } else { now.after_ms(CHECK_INTERVAL_MS) };
        NextOrder::WaitUntil(next_check_at.unwrap_or(Time::NEVER).min(wanted_check_at))
    }

    fn next_base_order(&self, now: Time, base_load_allowed: bool) -> Option<NextOrder> {
        let missing = self.models.iter().find(|model| !self.resident_models.contains(model))?;
        if now < self.base_load_deadline {
            return Some(NextOrder::WaitUntil(self.base_load_deadline));
        }
        if !base_load_allowed {
            return Some(NextOrder::WaitUntil(now.after_ms(CHECK_INTERVAL_MS)));
        }
        Some(NextOrder::Order(AdapterOrder::LoadBase { model: missing.clone() }))
    }

    // The answer to a repeated order shows the end of a load or unload before the report does.
    fn next_check(&mut self, now: Time) -> Option<NextOrder> {
        if let Some((adapter, _)) = self.unloading.iter().find(|(_, at)| **at <= now) {
            return Some(NextOrder::Order(AdapterOrder::Unload { adapter: adapter.clone() }));
        }
        let (adapter, loading) =
            self.loading.iter().find(|(_, loading)| loading.check_at <= now)?;
        if now.ms_since(loading.started_at) > LOAD_TIMEOUT_MS {
            self.schedule_report(now);
            return Some(NextOrder::Report);
        }
        let order = AdapterOrder::Load { adapter: adapter.clone(), version: loading.version };
        Some(NextOrder::Order(order))
    }

    fn next_adapter_order(
        &self,
        now: Time,
        in_use: &impl Fn(&str) -> bool,
        cold_loads_left: usize,
    ) -> Option<AdapterOrder> {
        if self.loading.len() >= LOADING_PER_ENGINE_MAX {
            return None;
        }
        let candidates = self.wanted.iter().filter(|(adapter, wanted)| {
            let in_progress =
                self.loading.contains_key(*adapter) || self.unloading.contains_key(*adapter);
            // a replacement waits for the adapter's runs to end, and the engine refuses requests
            // for it meanwhile
            let is_idle = |resident: &ResidentAdapter| {
                now.ms_since(resident.last_used_at) >= EVICTION_IDLE_MS && !in_use(adapter)
            };
            let is_busy =
                self.resident.get(adapter.as_str()).is_some_and(|resident| !is_idle(resident));
            // loads from the engine's own copies do not use the weight store
            let can_load = cold_loads_left > 0 || self.has_local_copy(adapter, wanted.version);
            can_load && !in_progress && !is_busy && !self.is_resident(adapter, wanted.version)
        });
        let (adapter, wanted) = candidates.min_by_key(|(adapter, wanted)| {
            (
                !self.has_local_copy(adapter, wanted.version),
                wanted.load_priority(now, self.cold_load_ms),
            )
        })?;
        let replaces = self.resident.contains_key(adapter.as_str());
        if !replaces && self.slots_taken() + self.slots_reserved() >= self.slots {
            let victim = self.eviction_victim(now, in_use)?;
            return Some(AdapterOrder::Unload { adapter: victim });
        }
        Some(AdapterOrder::Load { adapter: adapter.clone(), version: wanted.version })
    }

    fn slots_taken(&self) -> usize {
        self.resident.len() + self.loading.len() + self.unloading.len()
    }

    // Slots kept free for unanswered loads from before the last report. Each needs its own order
    // number, so loads for the same number count once.
    fn slots_reserved(&self) -> usize {
        let pending = self
            .unanswered_loads
            .iter()
            .filter(|load| load.predates_report && load.expected_seq >= self.seq);
        let seqs: IndexSet<u64> = pending.map(|load| load.expected_seq).collect();
        seqs.len().min(self.slots.saturating_sub(1))
    }

    // Any order brings the engine's count closer to the numbers of unanswered loads. An unload is
    // sent only when one of them carries the current number, which the unload uses up.
    fn next_order_overcommitted(&self, now: Time, in_use: &impl Fn(&str) -> bool) -> NextOrder {
        let current_seq_awaited = self
            .unanswered_loads
            .iter()
            .any(|load| load.predates_report && load.expected_seq == self.seq);
        let victim = self
            .eviction_victim(now, in_use)
            .filter(|_| current_seq_awaited && self.slots_taken() >= self.slots);
        match victim {
            Some(adapter) => NextOrder::Order(AdapterOrder::Unload { adapter }),
            None => NextOrder::WaitUntil(now.after_ms(CHECK_INTERVAL_MS)),
        }
    }

    // The least recently used adapter that serves no request and is not wanted.
    fn eviction_victim(&self, now: Time, in_use: &impl Fn(&str) -> bool) -> Option<FastStr> {
        let evictable = self.resident.iter().filter(|(adapter, resident)| {
            let is_idle =
                now.ms_since(resident.last_used_at) >= EVICTION_IDLE_MS && !in_use(adapter);
            is_idle && !self.wanted.contains_key(*adapter)
        });
        evictable
            .min_by_key(|(_, resident)| resident.last_used_at)
            .map(|(adapter, _)| adapter.clone())
    }
}
