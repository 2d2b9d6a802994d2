//! What an engine holds, as the host that orders it keeps book, and which order comes next.
//!
//! An engine that is ordered to hold more than it has room for crashes, and an order without an
//! answer may be carried out seconds later. Each order therefore names the number of orders that
//! the engine has accepted so far: it is carried out on the state this book has, or not at all.

use {
    crate::Time,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Adapters that may be on their way to one engine at the same time.
const TRANSIT_MAX: usize = 4;

/// Copies of adapters that an engine keeps beside those that it holds; fewer than the smallest
/// deployment's engines keep, so that what counts as a copy is one.
const COPIES_MAX: usize = 140;

/// Load of an adapter of which the engine still has a copy, in milliseconds.
const WARM_LOAD_MS: u64 = 26;

/// Load of an adapter from the weight store, in milliseconds.
const COLD_LOAD_MS: u64 = 252;

/// Time between further looks at a load that takes longer, in milliseconds.
const LOOK_AGAIN_MS: u64 = 60;

/// Time without use after which an adapter may be dropped, in milliseconds. An adapter that turns
/// out to serve blocks all orders until its runs have ended; what other hosts use is known here
/// within two heartbeats.
const QUIET_MS: u64 = 700;

/// Time between looks at an adapter that is dropped once its runs have ended, in milliseconds.
const CLOSING_LOOK_MS: u64 = 300;

/// Loads that are not there after this time are looked up in the engine's report, in
/// milliseconds.
const LOAD_LOST_MS: u64 = 4000;

/// Age that a report may have, in milliseconds: what happened later may be missing from it.
const REPORT_LAG_MS: u64 = 300;

/// Time after which an order without an answer is not carried out any more, in milliseconds; the
/// platform states 12 s.
const LATE_ORDER_MS: u64 = 13_000;

/// Time after which an adapter that nobody waits for any more is no longer wanted, in
/// milliseconds.
const WANT_MS: u64 = 3000;

/// An order to an engine. Adapters are named with their base model: `base/adapter`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdapterOrder {
    /// Load a base model.
    LoadBase {
        /// Its name.
        model: FastStr,
    },
    /// Load an adapter, or replace it by another version.
    Load {
        /// Its name.
        adapter: FastStr,
        /// Its version; the newest if none.
        version: Option<u64>,
    },
    /// Drop an adapter.
    Unload {
        /// Its name.
        adapter: FastStr,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds.
    Holds,
    /// It has accepted other orders than the book says, or another one is under way.
    Conflict,
    /// It knows a later holder.
    Fenced,
    /// It is another engine, or can't do this.
    Rejected,
    /// No answer: it may be carried out now or later.
    Silent,
}

/// An engine's report of itself.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Orders it has accepted since its start.
    pub seq: u64,
    /// Base models it holds.
    pub models: Vec<FastStr>,
    /// Adapters it holds, with their versions.
    pub adapters: Vec<(FastStr, u64)>,
    /// Adapters on their way to it.
    pub pending: Vec<FastStr>,
    /// True while it carries out an order for a base model.
    pub busy: bool,
}

/// An adapter that an engine holds.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Its version, 0 when it is not known.
    pub version: u64,
    /// Last use that this host knows of.
    pub used: Time,
}

#[derive(Clone, Copy, Debug)]
struct Coming {
    version: Option<u64>,
    since: Time,
    look_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    version: Option<u64>,
    // first asked for
    since: Time,
    // the loads that can still be there by this time go first
    aim: Time,
    until: Time,
    asked: u32,
}

impl Wanted {
    // when more is wanted than can be loaded, what can still be there in time goes first, oldest
    // first; of the rest, what most requests wait for. In order of arrival all would be late.
    fn turn(&self, now: Time) -> (bool, u64) {
        if now.after_ms(COLD_LOAD_MS) <= self.aim {
            (false, self.since.as_millis())
        } else {
            (true, u64::from(u32::MAX - self.asked))
        }
    }
}

/// What comes next for an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextOrder {
    /// Ask it for its report.
    Report,
    /// Give it this order.
    Order(AdapterOrder),
    /// Nothing before this time.
    Wait(Time),
}

/// The book of one engine.
#[derive(Clone, Debug)]
pub struct Book {
    slots: usize,
    models: Vec<FastStr>,
    seq: u64,
    // when the next report may be asked for, while the book does not agree with the engine
    report_at: Option<Time>,
    held_models: Vec<FastStr>,
    base_loading_until: Time,
    held: IndexMap<FastStr, Held>,
    coming: IndexMap<FastStr, Coming>,
    // adapters that are dropped once their runs have ended, and when to look at them
    closing: IndexMap<FastStr, Time>,
    // adapters of which the engine has kept copies, least recently held first
    copies: IndexSet<FastStr>,
    wanted: IndexMap<FastStr, Wanted>,
    silent_in_row: u32,
    // loads that got no answer and may still be carried out
    ghosts: Vec<Ghost>,
}

/// A load without an answer.
#[derive(Clone, Copy, Debug)]
struct Ghost {
    expected: u64,
    until: Time,
    // given before the last report: the engine may come to this number of orders with other
    // adapters than the book had then
    stale: bool,
}

impl Book {
    /// The book of an engine of which nothing is known yet, with room for `slots` adapters, that
    /// is to hold the base models `models`.
    #[must_use]
    pub fn new(slots: usize, models: Vec<FastStr>) -> Self {
        Self {
            slots,
            models,
            seq: 0,
            report_at: Some(Time::ZERO),
            held_models: Vec::new(),
            base_loading_until: Time::ZERO,
            held: IndexMap::new(),
            coming: IndexMap::new(),
            closing: IndexMap::new(),
            copies: IndexSet::new(),
            wanted: IndexMap::new(),
            silent_in_row: 0,
            ghosts: Vec::new(),
        }
    }

    /// The number of orders that the next order is to find.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Adapters on their way.
    #[must_use]
    pub fn in_transit(&self) -> usize {
        self.coming.len()
    }

    /// Adapters that are held, by name.
    #[must_use]
    pub fn held(&self) -> &IndexMap<FastStr, Held> {
        &self.held
    }

    /// True when the book agrees with the engine and the engine holds its base models.
    #[must_use]
    pub fn able(&self) -> bool {
        self.report_at.is_none() && !self.held_models.is_empty()
    }

    /// True when the adapter is held in this version or a newer one.
    #[must_use]
    pub fn has(&self, adapter: &str, version: Option<u64>) -> bool {
        let held = self.held.get(adapter);
        held.is_some_and(|held| version.is_none_or(|v| held.version >= v))
    }

    /// Wants an adapter, in `version` or newer if one is given. It is of most use by `aim`.
    pub fn want(&mut self, now: Time, adapter: &FastStr, version: Option<u64>, aim: Time) {
        let until = now.after_ms(WANT_MS);
        let new = Wanted { version, since: now, aim, until, asked: 0 };
        let wanted = self.wanted.entry(adapter.clone()).or_insert(new);
        wanted.version = wanted.version.max(version);
        wanted.until = until;
        wanted.aim = wanted.aim.max(aim);
        wanted.asked += 1;
    }

    /// Notes that the engine has refused a request since it lacks an adapter that it should have.
    pub fn missing(&mut self, now: Time, adapter: &str) {
        if self.held.swap_remove(adapter).is_some() && self.report_at.is_none() {
            self.report_at = Some(now);
        }
    }

    /// Notes a use of an adapter.
    pub fn used(&mut self, now: Time, adapter: &str) {
        if let Some(held) = self.held.get_mut(adapter) {
            held.used = now;
        }
    }

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

    fn has_copy(&self, adapter: &FastStr, version: Option<u64>) -> bool {
        version.is_none() && self.copies.contains(adapter)
    }

    fn note_copy(&mut self, adapter: &FastStr) {
        self.copies.shift_remove(adapter);
        self.copies.insert(adapter.clone());
        if self.copies.len() > COPIES_MAX {
            self.copies.shift_remove_index(0);
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

    /// Takes the answer to an order.
    pub fn answered(&mut self, now: Time, order: &AdapterOrder, answer: OrderAnswer) {
        if answer != OrderAnswer::Silent {
            self.silent_in_row = 0;
        }
        match answer {
            OrderAnswer::Accepted => self.accepted(now, order),
            OrderAnswer::Holds => self.holds(now, order),
            OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Rejected => {
                self.disagree(now);
            }
            OrderAnswer::Silent => self.silent(now, order),
        }
    }

    // given again at once, an order is carried out or refused, and its copy that is late finds
    // another number of orders; after that the report has to tell
    fn silent(&mut self, now: Time, order: &AdapterOrder) {
        if matches!(order, AdapterOrder::Load { .. }) {
            let until = now.after_ms(LATE_ORDER_MS);
            self.ghosts.push(Ghost { expected: self.seq, until, stale: false });
        }
        self.silent_in_row += 1;
        if self.silent_in_row > 2 {
            self.disagree(now);
        }
    }

    /// True for an order that only looks whether an earlier one is carried out.
    #[must_use]
    pub fn looks(&self, order: &AdapterOrder) -> bool {
        match order {
            AdapterOrder::LoadBase { .. } => false,
            AdapterOrder::Load { adapter, .. } => self.coming.contains_key(adapter),
            AdapterOrder::Unload { adapter } => self.closing.contains_key(adapter),
        }
    }

    fn look_later(&mut self, now: Time, order: &AdapterOrder) {
        let adapter = match order {
            AdapterOrder::LoadBase { .. } => return,
            AdapterOrder::Load { adapter, .. } => adapter,
            AdapterOrder::Unload { adapter } => {
                self.closing.insert(adapter.clone(), now.after_ms(CLOSING_LOOK_MS));
                return;
            }
        };
        if let Some(coming) = self.coming.get_mut(adapter) {
            let cold_at = coming.since.after_ms(COLD_LOAD_MS);
            coming.look_at = cold_at.max(now.after_ms(LOOK_AGAIN_MS / 2));
        }
    }

    fn accepted(&mut self, now: Time, order: &AdapterOrder) {
        if self.looks(order) {
            // the load went on; the engine did not count this order
            self.look_later(now, order);
            return;
        }
        self.seq += 1;
        match order {
            AdapterOrder::LoadBase { .. } => {
                self.base_loading_until = now.after_ms(LOAD_LOST_MS);
                self.report_at = Some(now.after_ms(REPORT_LAG_MS));
            }
            AdapterOrder::Load { adapter, version } => {
                self.held.swap_remove(adapter);
                let look_at = now.after_ms(WARM_LOAD_MS);
                let coming = Coming { version: *version, since: now, look_at };
                self.coming.insert(adapter.clone(), coming);
            }
            AdapterOrder::Unload { adapter } => {
                // it waits for runs that were not known here: its slot is free later
                self.held.swap_remove(adapter);
                self.closing.insert(adapter.clone(), now.after_ms(CLOSING_LOOK_MS));
            }
        }
    }

    fn holds(&mut self, now: Time, order: &AdapterOrder) {
        match order {
            AdapterOrder::LoadBase { model } => {
                if !self.held_models.contains(model) {
                    self.held_models.push(model.clone());
                }
            }
            AdapterOrder::Load { adapter, version } => {
                self.coming.swap_remove(adapter);
                self.wanted.swap_remove(adapter);
                self.note_copy(adapter);
                let held = Held { version: version.unwrap_or(0), used: now };
                self.held.insert(adapter.clone(), held);
            }
            AdapterOrder::Unload { adapter } => {
                self.held.swap_remove(adapter);
                // the order that closed it was counted already
                if self.closing.swap_remove(adapter).is_none() {
                    self.seq += 1;
                    // an engine that lacked it has not counted this one, and a late load could
                    // make up the difference
                    if self.ghosts.iter().any(|ghost| ghost.expected + 1 >= self.seq) {
                        self.disagree(now);
                    }
                }
            }
        }
    }

    fn disagree(&mut self, now: Time) {
        self.report_at = Some(now.after_ms(REPORT_LAG_MS));
    }

    /// Notes that no report could be had.
    pub fn not_reported(&mut self, now: Time) {
        self.disagree(now);
    }

    /// Takes the engine's report in place of what the book says.
    pub fn reported(&mut self, now: Time, report: Report) {
        let used = |adapter: &FastStr| self.held.get(adapter).map_or(now, |h| h.used);
        let held: IndexMap<FastStr, Held> = report
            .adapters
            .into_iter()
            .map(|(adapter, version)| {
                let used = used(&adapter);
                (adapter, Held { version, used })
            })
            .collect();
        for adapter in held.keys() {
            self.note_copy(adapter);
        }
        self.held = held;
        let look_at = now.after_ms(LOOK_AGAIN_MS);
        let coming = |adapter: FastStr| (adapter, Coming { version: None, since: now, look_at });
        self.coming = report.pending.into_iter().map(coming).collect();
        self.closing.clear();
        for ghost in &mut self.ghosts {
            ghost.stale = true;
        }
        self.seq = report.seq;
        self.held_models = report.models;
        self.silent_in_row = 0;
        let base_missing = self.models.iter().any(|model| !self.held_models.contains(model));
        self.report_at = if report.busy || (base_missing && now < self.base_loading_until) {
            Some(now.after_ms(REPORT_LAG_MS))
        } else {
            None
        };
    }
}
