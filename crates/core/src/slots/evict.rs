//! Choice of the adapter to evict.

use {
    super::engine::{EngineSlots, Slot, SlotState},
    crate::{EvictionPolicy, ModelName, Time},
};

/// Number of usual intervals between uses after which an idle adapter counts as less popular.
const UNPOPULAR_AFTER_INTERVALS: f64 = 3.0;

impl EngineSlots {
    /// The adapter to unload next; none while every adapter is in use or requested.
    pub(super) fn select_victim(&self, now: Time) -> Option<ModelName> {
        let evictable = |(model, slot): &(&ModelName, &Slot)| {
            slot.state == SlotState::Ready
                && !self.is_pinned(model)
                && !self.has_waiting_request(model)
        };
        let candidates = self.slots.iter().filter(evictable);
        let chosen = match self.settings.eviction {
            EvictionPolicy::Lru => candidates.min_by_key(|(_, slot)| slot.last_used_at),
            EvictionPolicy::ExpectedUse => candidates.min_by(|a, b| {
                let (cost_a, cost_b) = (self.eviction_cost(now, a), self.eviction_cost(now, b));
                cost_a.total_cmp(&cost_b).then(a.1.last_used_at.cmp(&b.1.last_used_at))
            }),
        };
        chosen.map(|(model, _)| model.clone())
    }

    /// Uses per millisecond that would have to wait for a reload. Other engines that hold the
    /// adapter serve a part of them. An adapter that was not used for several times its usual
    /// interval has lost its popularity, so the time since its last use bounds its rate.
    fn eviction_cost(&self, now: Time, (model, slot): &(&ModelName, &Slot)) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "hours in milliseconds fit a f64")]
        let idle_ms = now.ms_since(slot.last_used_at).max(1) as f64;
        let rate = self.demand.uses_per_ms(now, model).min(UNPOPULAR_AFTER_INTERVALS / idle_ms);
        rate / f64::from(slot.resident_copies.max(1))
    }

    fn has_waiting_request(&self, model: &ModelName) -> bool {
        self.queue.values().any(|queued| queued.request.model == *model)
    }
}
