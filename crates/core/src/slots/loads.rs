//! Loads and unloads: what is wanted, what was ordered, what became of it.

use {
    super::{
        engine::{EngineSlots, Failure, Queued, Slot, SlotState},
        types::{Effect, LoadOrder, LoadResult, OrderKind, RequestKey, Want},
    },
    crate::{
        Fingerprint, ModelName, PriorityClass, Reason, Time, hash::mix_hashes, retry::retry_at,
    },
    indexmap::IndexMap,
};

/// Uses that still count, from which on an adapter is worth a prefetch.
const PREFETCH_USES_MIN: f64 = 1.5;

impl EngineSlots {
    /// Adapters that waiting requests need and that are neither resident nor on their way,
    /// the most urgent first. A load does not wait for a group to gather: what joins it later
    /// then finds the adapter resident.
    #[must_use]
    pub fn wants(&self) -> Vec<Want> {
        let missing = |want: &Want| !self.slots.contains_key(&want.model);
        let mut due: Vec<Want> = self.groups().into_values().filter(missing).collect();
        due.sort_by_key(|w| (w.class, std::cmp::Reverse(w.waiting), w.deadline, w.since));
        due
    }

    /// An adapter worth loading into a slot that holds nothing, though nobody waits for it: one
    /// that was used here lately. Nothing gives way to it.
    #[must_use]
    pub fn prefetch(&self, now: Time) -> Option<ModelName> {
        if self.free_slots() == 0 || !self.can_load || self.down {
            return None;
        }
        let failed = |model: &ModelName| self.failures.get(model).is_some_and(|f| f.retry_at > now);
        let missing = |model: &ModelName| !self.slots.contains_key(model) && !failed(model);
        self.demand.most_used(now, PREFETCH_USES_MIN, missing)
    }

    /// What waits, by adapter.
    pub(super) fn groups(&self) -> IndexMap<&ModelName, Want> {
        let mut groups: IndexMap<&ModelName, Want> = IndexMap::new();
        for queued in self.queue.values() {
            let model = &queued.req.model;
            let group = groups.entry(model).or_insert_with(|| Want {
                model: model.clone(),
                class: PriorityClass::Background,
                waiting: 0,
                since: queued.since,
                deadline: Time::NEVER,
            });
            group.class = group.class.min(queued.req.class);
            group.waiting += 1;
            group.since = group.since.min(queued.since);
            group.deadline = group.deadline.min(queued.req.deadline);
        }
        groups
    }

    /// Starts the load of `model` on `permit`, after an unload if no slot is free. Returns no
    /// effects when it can't start; the permit is then still free.
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
        let Some(victim) = self.victim(now) else {
            return Vec::new();
        };
        let Some(slot) = self.slots.get_mut(&victim) else {
            return Vec::new();
        };
        slot.state = SlotState::Unloading { next: model.clone(), permit };
        slot.since = now;
        self.counters.evictions += 1;
        vec![Effect::Order(self.order(now, OrderKind::Unload, victim, None))]
    }

    /// Takes what became of the order to unload `model`.
    pub fn unloaded(&mut self, now: Time, model: &ModelName, result: LoadResult) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(model) else {
            return Vec::new();
        };
        let SlotState::Unloading { next, permit } = slot.state.clone() else {
            return Vec::new();
        };
        match result {
            LoadResult::Done => {
                self.slots.shift_remove(model);
                self.last_unload = now;
                if self.slots.contains_key(&next) || !self.can_load {
                    return vec![Effect::FreePermit(permit)];
                }
                vec![self.order_load(now, &next, permit)]
            }
            LoadResult::Failed | LoadResult::Fenced => {
                slot.state = SlotState::Ready;
                slot.since = now;
                let mut effects = vec![Effect::FreePermit(permit), Effect::Probe];
                effects.extend(self.pump(now));
                effects
            }
            LoadResult::Lost => {
                let settled = now.after_ms(self.cfg.order_ms);
                slot.state = SlotState::Unsure { settled };
                slot.since = now;
                vec![Effect::FreePermit(permit)]
            }
        }
    }

    /// Takes what became of the order to load `model`. A failure answers all that wait for it.
    pub fn loaded(&mut self, now: Time, model: &ModelName, result: LoadResult) -> Vec<Effect> {
        let Some(slot) = self.slots.get_mut(model) else {
            return Vec::new();
        };
        let SlotState::Loading { deadline, permit } = slot.state else {
            return Vec::new();
        };
        slot.since = now;
        match result {
            LoadResult::Done => {
                slot.state = SlotState::Ready;
                slot.last_use = now;
                self.failures.swap_remove(model);
                let mut effects = vec![Effect::FreePermit(permit)];
                effects.extend(self.pump(now));
                effects
            }
            LoadResult::Failed | LoadResult::Fenced => {
                self.slots.shift_remove(model);
                let mut effects = vec![Effect::FreePermit(permit)];
                effects.extend(self.load_failed(now, model));
                effects
            }
            // the load may still be in transit: its permit stays occupied until its time is up
            LoadResult::Lost => {
                slot.state = SlotState::Unsure { settled: deadline };
                self.load_failed(now, model)
            }
        }
    }

    /// True while all that wait for an adapter can go on waiting for others to join them.
    pub(super) fn gathers(&self, now: Time, want: &Want) -> bool {
        let weights = &self.cfg.weights;
        want.class == PriorityClass::Background
            && want.waiting < weights.gather_most
            && now.ms_since(want.since) < weights.gather_ms
            && now.ms_until(want.deadline) > weights.gather_slack_ms + self.load_ms
    }

    fn order_load(&mut self, now: Time, model: &ModelName, permit: u16) -> Effect {
        let order = self.order(now, OrderKind::Load, model.clone(), Some(permit));
        let state = SlotState::Loading { deadline: order.deadline, permit };
        let slot = Slot { state, since: now, last_use: now, copies: 1 };
        self.slots.insert(model.clone(), slot);
        self.counters.loads += 1;
        Effect::Order(order)
    }

    fn order(
        &self,
        now: Time,
        kind: OrderKind,
        model: ModelName,
        permit: Option<u16>,
    ) -> LoadOrder {
        LoadOrder {
            kind,
            model,
            fence: self.fence,
            deadline: now.after_ms(self.cfg.order_ms),
            permit,
        }
    }

    fn load_failed(&mut self, now: Time, model: &ModelName) -> Vec<Effect> {
        self.counters.loads_failed += 1;
        let tries = self.failures.get(model).map_or(0, |f| f.tries) + 1;
        let Fingerprint(seed) = crate::fingerprint(&model.to_string(), &[]);
        let seed = mix_hashes(seed, self.fence);
        let retry_at = retry_at(now, self.cfg.load_backoff_ms, tries, seed);
        self.failures.insert(model.clone(), Failure { tries, retry_at });
        let waits = |(_, queued): &(&RequestKey, &Queued)| queued.req.model == *model;
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
