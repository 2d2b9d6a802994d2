//! Loads and unloads of adapters.

use {
    super::{
        engine::{EngineSlots, LoadFailure, QueuedRequest, Slot, SlotState},
        types::{Effect, LoadOrder, LoadResult, OrderKind, RequestGroup, RequestKey},
    },
    crate::{
        Fingerprint, ModelName, PriorityClass, Reason, Time, hash::mix_hashes, retry::retry_at,
    },
    indexmap::IndexMap,
};

/// Decayed uses from which on an adapter is worth a prefetch.
const PREFETCH_USES_MIN: f64 = 1.5;

impl EngineSlots {
    /// Adapters that waiting requests need and that are neither resident nor being loaded, the most
    /// urgent first. A load does not wait for a group to gather: requests that join it later find
    /// the adapter resident.
    #[must_use]
    pub fn missing_adapters(&self) -> Vec<RequestGroup> {
        let missing = |group: &RequestGroup| !self.slots.contains_key(&group.model);
        let mut groups: Vec<RequestGroup> = self.groups().into_values().filter(missing).collect();
        groups.sort_by_key(|g| (g.class, std::cmp::Reverse(g.waiting), g.deadline, g.since));
        groups
    }

    /// A recently used adapter that is worth loading into an empty slot, though no request waits
    /// for it. No adapter is evicted for it.
    #[must_use]
    pub fn prefetch_candidate(&self, now: Time) -> Option<ModelName> {
        if self.free_slots() == 0 || !self.can_load || self.down {
            return None;
        }
        let failed =
            |model: &ModelName| self.load_failures.get(model).is_some_and(|f| f.retry_at > now);
        let missing = |model: &ModelName| !self.slots.contains_key(model) && !failed(model);
        self.demand.most_used(now, PREFETCH_USES_MIN, missing)
    }

    /// Waiting requests, grouped by adapter.
    pub(super) fn groups(&self) -> IndexMap<&ModelName, RequestGroup> {
        let mut groups: IndexMap<&ModelName, RequestGroup> = IndexMap::new();
        for queued in self.queue.values() {
            let model = &queued.request.model;
            let group = groups.entry(model).or_insert_with(|| RequestGroup {
                model: model.clone(),
                class: PriorityClass::Background,
                waiting: 0,
                since: queued.queued_at,
                deadline: Time::NEVER,
            });
            group.class = group.class.min(queued.request.class);
            group.waiting += 1;
            group.since = group.since.min(queued.queued_at);
            group.deadline = group.deadline.min(queued.request.deadline);
        }
        groups
    }

    /// Starts the load of `model` on `permit`, after an unload if no slot is free. Returns no
    /// effects when the load can't start; the permit is then still free.
    pub fn begin_load(&mut self, now: Time, model: &ModelName, permit: u16) -> Vec<Effect> {
        if self.slots.contains_key(model) || !self.can_load {
            return Vec::new();
        }
        if self.free_slots() > 0 {
            return vec![self.order_load(now, model, permit)];
        }
        if !self.may_evict() {
            return Vec::new();
        }
        let Some(victim) = self.select_victim(now) else {
            return Vec::new();
        };
        let Some(slot) = self.slots.get_mut(&victim) else {
            return Vec::new();
        };
        slot.state = SlotState::Unloading { next: model.clone(), permit };
        slot.changed_at = now;
        self.counters.evictions += 1;
        vec![Effect::Order(self.build_order(now, OrderKind::Unload, victim, None))]
    }

    /// Applies the result of the order to unload `model`.
    pub fn finish_unload(
        &mut self,
        now: Time,
        model: &ModelName,
        result: LoadResult,
    ) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(model) else {
            return Vec::new();
        };
        let SlotState::Unloading { next, permit } = slot.state.clone() else {
            return Vec::new();
        };
        match result {
            LoadResult::Done => {
                self.slots.shift_remove(model);
                self.last_unload_at = now;
                if self.slots.contains_key(&next) || !self.can_load {
                    return vec![Effect::FreePermit(permit)];
                }
                vec![self.order_load(now, &next, permit)]
            }
            LoadResult::Failed | LoadResult::Fenced => {
                slot.state = SlotState::Ready;
                slot.changed_at = now;
                let mut effects = vec![Effect::FreePermit(permit), Effect::Probe];
                effects.extend(self.dispatch(now));
                effects
            }
            LoadResult::Lost => {
                let settled_at = now.after_ms(self.settings.order_timeout_ms);
                slot.state = SlotState::Unknown { settled_at };
                slot.changed_at = now;
                vec![Effect::FreePermit(permit)]
            }
        }
    }

    /// Applies the result of the order to load `model`. A failure refuses all requests that wait
    /// for it.
    pub fn finish_load(&mut self, now: Time, model: &ModelName, result: LoadResult) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(model) else {
            return Vec::new();
        };
        let SlotState::Loading { deadline, permit } = slot.state else {
            return Vec::new();
        };
        slot.changed_at = now;
        match result {
            LoadResult::Done => {
                slot.state = SlotState::Ready;
                slot.last_used_at = now;
                self.load_failures.swap_remove(model);
                let mut effects = vec![Effect::FreePermit(permit)];
                effects.extend(self.dispatch(now));
                effects
            }
            LoadResult::Failed | LoadResult::Fenced => {
                self.slots.shift_remove(model);
                let mut effects = vec![Effect::FreePermit(permit)];
                effects.extend(self.record_load_failure(now, model));
                effects
            }
            // The load may still be in transit, so its permit stays occupied until its time is up.
            LoadResult::Lost => {
                slot.state = SlotState::Unknown { settled_at: deadline };
                self.record_load_failure(now, model)
            }
        }
    }

    /// True while the waiting requests of a group can wait for others to join them.
    pub(super) fn is_gathering(&self, now: Time, group: &RequestGroup) -> bool {
        let weights = &self.settings.weights;
        group.class == PriorityClass::Background
            && group.waiting < weights.gather_most
            && now.ms_since(group.since) < weights.gather_ms
            && now.ms_until(group.deadline) > weights.gather_slack_ms + self.load_ms
    }

    fn order_load(&mut self, now: Time, model: &ModelName, permit: u16) -> Effect {
        let order = self.build_order(now, OrderKind::Load, model.clone(), Some(permit));
        let state = SlotState::Loading { deadline: order.deadline, permit };
        let slot = Slot { state, changed_at: now, last_used_at: now, resident_copies: 1 };
        self.slots.insert(model.clone(), slot);
        self.counters.loads += 1;
        Effect::Order(order)
    }

    fn build_order(
        &self,
        now: Time,
        kind: OrderKind,
        model: ModelName,
        permit: Option<u16>,
    ) -> LoadOrder {
        LoadOrder {
            kind,
            model,
            fencing_token: self.fencing_token,
            deadline: now.after_ms(self.settings.order_timeout_ms),
            permit,
        }
    }

    fn record_load_failure(&mut self, now: Time, model: &ModelName) -> Vec<Effect> {
        self.counters.loads_failed += 1;
        let tries = self.load_failures.get(model).map_or(0, |f| f.attempts) + 1;
        let Fingerprint(seed) = crate::fingerprint(&model.to_string(), &[]);
        let seed = mix_hashes(seed, self.fencing_token);
        let retry_at = retry_at(now, self.settings.load_backoff_ms, tries, seed);
        self.load_failures.insert(model.clone(), LoadFailure { attempts: tries, retry_at });
        let waits = |(_, queued): &(&RequestKey, &QueuedRequest)| queued.request.model == *model;
        let keys: Vec<RequestKey> =
            self.queue.iter().filter(waits).map(|(key, _)| key.clone()).collect();
        let mut effects = Vec::new();
        for key in keys {
            self.queue.shift_remove(&key);
            effects.push(self.refuse(key, Reason::LoadFailed, now.ms_until(retry_at)));
        }
        effects
    }
}
