//! What answers and reports change in the book.

use {
    super::{
        book::{Book, Coming, Ghost, REPORT_LAG_MS},
        next::{LOAD_LOST_MS, LOOK_AGAIN_MS},
        types::{AdapterOrder, Held, OrderAnswer, Report},
    },
    crate::{Time, transit::COLD_LOAD_MS},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Load of an adapter of which the engine still has a copy, in milliseconds.
pub(super) const WARM_LOAD_MS: u64 = 26;

/// Time between looks at an adapter that is dropped once its runs have ended, in milliseconds.
pub(super) const CLOSING_LOOK_MS: u64 = 300;

/// Time after which an order without an answer is not carried out any more, in milliseconds; the
/// platform states 12 s.
pub(super) const LATE_ORDER_MS: u64 = 13_000;

impl Book {
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
                let takes_ms =
                    if self.has_copy(adapter, *version) { WARM_LOAD_MS } else { COLD_LOAD_MS };
                let look_at = now.after_ms(takes_ms);
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
                let version = version.unwrap_or(0);
                self.note_copy(adapter, version);
                let held = Held { version, used: now };
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
        for (adapter, held) in &held {
            self.note_copy(adapter, held.version);
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
