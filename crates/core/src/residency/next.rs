//! Which order comes next.

use {
    super::{
        book::Book,
        types::{AdapterOrder, Held, NextOrder},
    },
    crate::Time,
    faststr::FastStr,
    indexmap::IndexSet,
};

/// Adapters that may be on their way to one engine at the same time.
pub(super) const TRANSIT_MAX: usize = 4;

/// Time between further looks at a load that takes longer, in milliseconds.
pub(super) const LOOK_AGAIN_MS: u64 = 60;

/// Time without use after which an adapter may be dropped, in milliseconds. An adapter that turns
/// out to serve blocks all orders until its runs have ended; what other hosts use is known here
/// within two heartbeats.
pub(super) const QUIET_MS: u64 = 700;

/// Loads that are not there after this time are looked up in the engine's report, in
/// milliseconds.
pub(super) const LOAD_LOST_MS: u64 = 4000;

impl Book {
    /// The next order. `in_use` tells whether an adapter serves a request, `transit_room` how
    /// many more loads the weight store takes, `base_room` whether it takes a base model.
    pub fn next(
        &mut self,
        now: Time,
        in_use: impl Fn(&str) -> bool,
        transit_room: usize,
        base_room: bool,
    ) -> NextOrder {
        if let Some(at) = self.report_at {
            return if now >= at { NextOrder::Report } else { NextOrder::Wait(at) };
        }
        if let Some(order) = self.base_order(now, base_room) {
            return order;
        }
        if let Some(order) = self.look(now) {
            return order;
        }
        self.wanted.retain(|_, wanted| wanted.until > now);
        // also those that were passed by: a restarted engine counts anew
        self.ghosts.retain(|ghost| ghost.until > now);
        if self.taken() + self.reserve() > self.slots {
            return self.overbooked(now, &in_use);
        }
        if let Some(order) = self.adapter_order(now, &in_use, transit_room) {
            return NextOrder::Order(order);
        }
        let looks = self.coming.values().map(|coming| coming.look_at);
        let looks = looks.chain(self.closing.values().copied()).min();
        let idle = if self.wanted.is_empty() { Time::NEVER } else { now.after_ms(LOOK_AGAIN_MS) };
        NextOrder::Wait(looks.unwrap_or(Time::NEVER).min(idle))
    }

    fn base_order(&self, now: Time, base_room: bool) -> Option<NextOrder> {
        let missing = self.models.iter().find(|model| !self.held_models.contains(model))?;
        if now < self.base_loading_until {
            return Some(NextOrder::Wait(self.base_loading_until));
        }
        if !base_room {
            return Some(NextOrder::Wait(now.after_ms(LOOK_AGAIN_MS)));
        }
        Some(NextOrder::Order(AdapterOrder::LoadBase { model: missing.clone() }))
    }

    // a load that is already there answers so: that tells its end before the report does
    fn look(&mut self, now: Time) -> Option<NextOrder> {
        if let Some((adapter, _)) = self.closing.iter().find(|(_, at)| **at <= now) {
            return Some(NextOrder::Order(AdapterOrder::Unload { adapter: adapter.clone() }));
        }
        let (adapter, coming) = self.coming.iter().find(|(_, c)| c.look_at <= now)?;
        if now.ms_since(coming.since) > LOAD_LOST_MS {
            self.disagree(now);
            return Some(NextOrder::Report);
        }
        let order = AdapterOrder::Load { adapter: adapter.clone(), version: coming.version };
        Some(NextOrder::Order(order))
    }

    fn adapter_order(
        &self,
        now: Time,
        in_use: &impl Fn(&str) -> bool,
        transit_room: usize,
    ) -> Option<AdapterOrder> {
        if self.coming.len() >= TRANSIT_MAX {
            return None;
        }
        let due = self.wanted.iter().filter(|(adapter, wanted)| {
            let moving = self.coming.contains_key(*adapter) || self.closing.contains_key(*adapter);
            // a replacement waits for its runs, and requests for it are refused meanwhile
            let quiet = |held: &Held| now.ms_since(held.used) >= QUIET_MS && !in_use(adapter);
            let blocked = self.held.get(adapter.as_str()).is_some_and(|held| !quiet(held));
            // copies of the engine's own take nothing from the weight store
            let room = transit_room > 0 || self.has_copy(adapter, wanted.version);
            room && !moving && !blocked && !self.has(adapter, wanted.version)
        });
        let (adapter, wanted) = due.min_by_key(|(adapter, wanted)| {
            (!self.has_copy(adapter, wanted.version), wanted.turn(now))
        })?;
        let replaces = self.held.contains_key(adapter.as_str());
        if !replaces && self.taken() + self.reserve() >= self.slots {
            let victim = self.victim(now, in_use)?;
            return Some(AdapterOrder::Unload { adapter: victim });
        }
        Some(AdapterOrder::Load { adapter: adapter.clone(), version: wanted.version })
    }

    // slots that are taken
    fn taken(&self) -> usize {
        self.held.len() + self.coming.len() + self.closing.len()
    }

    // slots kept free for loads of before the last report that may still be carried out: each
    // takes one number of orders, so those for the same number count once
    fn reserve(&self) -> usize {
        let due = self.ghosts.iter().filter(|ghost| ghost.stale && ghost.expected >= self.seq);
        let numbers: IndexSet<u64> = due.map(|ghost| ghost.expected).collect();
        numbers.len().min(self.slots.saturating_sub(1))
    }

    // any order would bring the engine nearer to numbers for which such loads wait; only a load
    // that waits for this very number is worth passing by
    fn overbooked(&self, now: Time, in_use: &impl Fn(&str) -> bool) -> NextOrder {
        let due_now = self.ghosts.iter().any(|g| g.stale && g.expected == self.seq);
        let victim = self.victim(now, in_use).filter(|_| due_now && self.taken() >= self.slots);
        match victim {
            Some(adapter) => NextOrder::Order(AdapterOrder::Unload { adapter }),
            None => NextOrder::Wait(now.after_ms(LOOK_AGAIN_MS)),
        }
    }

    // the least recently used one that serves nothing and that nobody waits for
    fn victim(&self, now: Time, in_use: &impl Fn(&str) -> bool) -> Option<FastStr> {
        let free = self.held.iter().filter(|(adapter, held)| {
            let quiet = now.ms_since(held.used) >= QUIET_MS && !in_use(adapter);
            quiet && !self.wanted.contains_key(*adapter)
        });
        free.min_by_key(|(_, held)| held.used).map(|(adapter, _)| adapter.clone())
    }
}
