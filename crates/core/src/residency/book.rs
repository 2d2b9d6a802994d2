//! The book: what an engine holds, what is on its way, and what is wanted.

use {
    super::types::{AdapterOrder, Held},
    crate::{Time, transit::COLD_LOAD_MS},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Copies of adapters that an engine keeps beside those that it holds; fewer than the smallest
/// deployment's engines keep, so that what counts as a copy is one.
const COPIES_MAX: usize = 140;

/// Age that a report may have, in milliseconds: what happened later may be missing from it.
pub(super) const REPORT_LAG_MS: u64 = 300;

/// Time after which an adapter that nobody waits for any more is no longer wanted, in
/// milliseconds.
const WANT_MS: u64 = 3000;

#[derive(Clone, Copy, Debug)]
pub(super) struct Coming {
    pub(super) version: Option<u64>,
    pub(super) since: Time,
    pub(super) look_at: Time,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    pub(super) version: Option<u64>,
    // first asked for
    pub(super) since: Time,
    // the loads that can still be there by this time go first
    pub(super) aim: Time,
    pub(super) until: Time,
    pub(super) asked: u32,
}

impl Wanted {
    // when more is wanted than can be loaded, what can still be there in time goes first, oldest
    // first; of the rest, what most requests wait for. In order of arrival all would be late.
    pub(super) fn turn(&self, now: Time) -> (bool, u64) {
        if now.after_ms(COLD_LOAD_MS) <= self.aim {
            (false, self.since.as_millis())
        } else {
            (true, u64::from(u32::MAX - self.asked))
        }
    }
}

/// The book of one engine.
#[derive(Clone, Debug)]
pub struct Book {
    pub(super) slots: usize,
    pub(super) models: Vec<FastStr>,
    pub(super) seq: u64,
    // when the next report may be asked for, while the book does not agree with the engine
    pub(super) report_at: Option<Time>,
    pub(super) held_models: Vec<FastStr>,
    pub(super) base_loading_until: Time,
    pub(super) held: IndexMap<FastStr, Held>,
    pub(super) coming: IndexMap<FastStr, Coming>,
    // adapters that are dropped once their runs have ended, and when to look at them
    pub(super) closing: IndexMap<FastStr, Time>,
    // versions of the adapters of which the engine has kept copies, least recently held first
    pub(super) copies: IndexMap<FastStr, u64>,
    pub(super) wanted: IndexMap<FastStr, Wanted>,
    pub(super) silent_in_row: u32,
    // loads that got no answer and may still be carried out
    pub(super) ghosts: Vec<Ghost>,
}

/// A load without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ghost {
    pub(super) expected: u64,
    pub(super) until: Time,
    // given before the last report: the engine may come to this number of orders with other
    // adapters than the book had then
    pub(super) stale: bool,
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
            copies: IndexMap::new(),
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

    /// Adapters that the engine is to load from the weight store, those under way included.
    #[must_use]
    pub fn wanting(&self) -> usize {
        let cold = self.wanted.iter().filter(|(adapter, wanted)| {
            !self.coming.contains_key(*adapter) && !self.has_copy(adapter, wanted.version)
        });
        self.coming.len() + cold.count()
    }

    /// How long the adapter that `order` loads has been on its way, in milliseconds.
    #[must_use]
    pub fn coming_for_ms(&self, now: Time, order: &AdapterOrder) -> Option<u64> {
        match order {
            AdapterOrder::Load { adapter, .. } => {
                self.coming.get(adapter).map(|coming| now.ms_since(coming.since))
            }
            AdapterOrder::LoadBase { .. } | AdapterOrder::Unload { .. } => None,
        }
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

    /// True for an order that only looks whether an earlier one is carried out.
    #[must_use]
    pub fn looks(&self, order: &AdapterOrder) -> bool {
        match order {
            AdapterOrder::LoadBase { .. } => false,
            AdapterOrder::Load { adapter, .. } => self.coming.contains_key(adapter),
            AdapterOrder::Unload { adapter } => self.closing.contains_key(adapter),
        }
    }

    pub(super) fn has_copy(&self, adapter: &FastStr, version: Option<u64>) -> bool {
        self.copies.get(adapter).is_some_and(|copy| version.is_none_or(|v| *copy >= v))
    }

    pub(super) fn note_copy(&mut self, adapter: &FastStr, version: u64) {
        self.copies.shift_remove(adapter);
        self.copies.insert(adapter.clone(), version);
        if self.copies.len() > COPIES_MAX {
            self.copies.shift_remove_index(0);
        }
    }

    pub(super) fn disagree(&mut self, now: Time) {
        self.report_at = Some(now.after_ms(REPORT_LAG_MS));
    }
}
