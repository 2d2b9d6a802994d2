//! Which order comes next.

use {
    super::{
        inventory::EngineInventory,
        types::{AdapterOrder, NextOrder, ResidentAdapter},
    },
    crate::Time,
    faststr::FastStr,
    indexmap::IndexSet,
};

/// Adapters that may be on their way to one engine at the same time.
pub(super) const LOADING_PER_ENGINE_MAX: usize = 4;

/// Time between further looks at a load that takes longer, in milliseconds.
pub(super) const CHECK_INTERVAL_MS: u64 = 60;

/// Time without use after which an adapter may be dropped, in milliseconds. An adapter that turns
/// out to serve blocks all orders until its runs have ended; what other hosts use is known here
/// within two heartbeats.
pub(super) const EVICTION_IDLE_MS: u64 = 700;

/// Loads that are not there after this time are looked up in the engine's report, in
/// milliseconds.
pub(super) const LOAD_TIMEOUT_MS: u64 = 4000;

impl EngineInventory {
    /// The next order. `in_use` tells whether an adapter serves a request, `transit_room` how
    /// many more loads the weight store takes, `base_room` whether it takes a base model.
    pub fn next_order(
        &mut self,
        now: Time,
        in_use: impl Fn(&str) -> bool,
        transit_room: usize,
        base_room: bool,
    ) -> NextOrder {
        if let Some(at) = self.report_due_at {
            return if now >= at { NextOrder::Report } else { NextOrder::WaitUntil(at) };
        }
        if let Some(order) = self.next_base_order(now, base_room) {
            return order;
        }
        if let Some(order) = self.next_check(now) {
            return order;
        }
        self.wanted.retain(|_, wanted| wanted.expires_at > now);
        // also those that were passed by: a restarted engine counts anew
        self.unanswered_loads.retain(|ghost| ghost.expires_at > now);
        if self.slots_taken() + self.slots_reserved() > self.slots {
            return self.next_order_overcommitted(now, &in_use);
        }
        if let Some(order) = self.next_adapter_order(now, &in_use, transit_room) {
            return NextOrder::Order(order);
        }
        let looks = self.loading.values().map(|coming| coming.check_at);
        let looks = looks.chain(self.unloading.values().copied()).min();
        let idle =
            if self.wanted.is_empty() { Time::NEVER } else { now.after_ms(CHECK_INTERVAL_MS) };
        NextOrder::WaitUntil(looks.unwrap_or(Time::NEVER).min(idle))
    }

    fn next_base_order(&self, now: Time, base_room: bool) -> Option<NextOrder> {
        let missing = self.models.iter().find(|model| !self.held_models.contains(model))?;
        if now < self.base_load_deadline {
            return Some(NextOrder::WaitUntil(self.base_load_deadline));
        }
        if !base_room {
            return Some(NextOrder::WaitUntil(now.after_ms(CHECK_INTERVAL_MS)));
        }
        Some(NextOrder::Order(AdapterOrder::LoadBase { model: missing.clone() }))
    }

    // a load that is already there answers so: that tells its end before the report does
    fn next_check(&mut self, now: Time) -> Option<NextOrder> {
        if let Some((adapter, _)) = self.unloading.iter().find(|(_, at)| **at <= now) {
            return Some(NextOrder::Order(AdapterOrder::Unload { adapter: adapter.clone() }));
        }
        let (adapter, coming) = self.loading.iter().find(|(_, c)| c.check_at <= now)?;
        if now.ms_since(coming.started_at) > LOAD_TIMEOUT_MS {
            self.schedule_report(now);
            return Some(NextOrder::Report);
        }
        let order = AdapterOrder::Load { adapter: adapter.clone(), version: coming.version };
        Some(NextOrder::Order(order))
    }

    fn next_adapter_order(
        &self,
        now: Time,
        in_use: &impl Fn(&str) -> bool,
        transit_room: usize,
    ) -> Option<AdapterOrder> {
        if self.loading.len() >= LOADING_PER_ENGINE_MAX {
            return None;
        }
        let due = self.wanted.iter().filter(|(adapter, wanted)| {
            let moving =
                self.loading.contains_key(*adapter) || self.unloading.contains_key(*adapter);
            // a replacement waits for its runs, and requests for it are refused meanwhile
            let quiet = |held: &ResidentAdapter| {
                now.ms_since(held.last_used_at) >= EVICTION_IDLE_MS && !in_use(adapter)
            };
            let blocked = self.held.get(adapter.as_str()).is_some_and(|held| !quiet(held));
            // copies of the engine's own take nothing from the weight store
            let room = transit_room > 0 || self.has_local_copy(adapter, wanted.version);
            room && !moving && !blocked && !self.is_resident(adapter, wanted.version)
        });
        let (adapter, wanted) = due.min_by_key(|(adapter, wanted)| {
            (!self.has_local_copy(adapter, wanted.version), wanted.load_priority(now))
        })?;
        let replaces = self.held.contains_key(adapter.as_str());
        if !replaces && self.slots_taken() + self.slots_reserved() >= self.slots {
            let victim = self.eviction_victim(now, in_use)?;
            return Some(AdapterOrder::Unload { adapter: victim });
        }
        Some(AdapterOrder::Load { adapter: adapter.clone(), version: wanted.version })
    }

    // slots that are taken
    fn slots_taken(&self) -> usize {
        self.held.len() + self.loading.len() + self.unloading.len()
    }

    // slots kept free for loads of before the last report that may still be carried out: each
    // takes one number of orders, so those for the same number count once
    fn slots_reserved(&self) -> usize {
        let due = self
            .unanswered_loads
            .iter()
            .filter(|ghost| ghost.predates_report && ghost.expected_seq >= self.seq);
        let numbers: IndexSet<u64> = due.map(|ghost| ghost.expected_seq).collect();
        numbers.len().min(self.slots.saturating_sub(1))
    }

    // any order would bring the engine nearer to numbers for which such loads wait; only a load
    // that waits for this very number is worth passing by
    fn next_order_overcommitted(&self, now: Time, in_use: &impl Fn(&str) -> bool) -> NextOrder {
        let due_now =
            self.unanswered_loads.iter().any(|g| g.predates_report && g.expected_seq == self.seq);
        let victim = self
            .eviction_victim(now, in_use)
            .filter(|_| due_now && self.slots_taken() >= self.slots);
        match victim {
            Some(adapter) => NextOrder::Order(AdapterOrder::Unload { adapter }),
            None => NextOrder::WaitUntil(now.after_ms(CHECK_INTERVAL_MS)),
        }
    }

    // the least recently used one that serves nothing and that nobody waits for
    fn eviction_victim(&self, now: Time, in_use: &impl Fn(&str) -> bool) -> Option<FastStr> {
        let free = self.held.iter().filter(|(adapter, held)| {
            let quiet = now.ms_since(held.last_used_at) >= EVICTION_IDLE_MS && !in_use(adapter);
            quiet && !self.wanted.contains_key(*adapter)
        });
        free.min_by_key(|(_, held)| held.last_used_at).map(|(adapter, _)| adapter.clone())
    }
}
