//! Which adapter gives way to another.

use {
    super::engine::{EngineSlots, Slot, SlotState},
    crate::{Eviction, ModelName, Time},
};

impl EngineSlots {
    /// The adapter to unload next, none while every one is in use or wanted.
    pub(super) fn victim(&self, now: Time) -> Option<ModelName> {
        let evictable = |(model, slot): &(&ModelName, &Slot)| {
            slot.state == SlotState::Ready && !self.pinned(model) && !self.wanted(model)
        };
        let candidates = self.slots.iter().filter(evictable);
        let chosen = match self.cfg.eviction {
            Eviction::Lru => candidates.min_by_key(|(_, slot)| slot.last_use),
            Eviction::ExpectedUse => candidates.min_by(|a, b| {
                let (worth_a, worth_b) = (self.worth(now, a), self.worth(now, b));
                worth_a.total_cmp(&worth_b).then(a.1.last_use.cmp(&b.1.last_use))
            }),
        };
        chosen.map(|(model, _)| model.clone())
    }

    /// Uses that would have to wait for a reload, in the time of the demand's half-life. Another
    /// copy elsewhere takes part of them.
    fn worth(&self, now: Time, (model, slot): &(&ModelName, &Slot)) -> f64 {
        self.demand.uses(now, model) / f64::from(slot.copies.max(1))
    }

    fn wanted(&self, model: &ModelName) -> bool {
        self.queue.values().any(|queued| queued.req.model == *model)
    }
}
