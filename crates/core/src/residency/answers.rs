//! What answers and reports change in the book.

use {
    super::{
        inventory::{EngineInventory, LoadingAdapter, REPORT_LAG_MS, UnansweredLoad},
        next_order::{CHECK_INTERVAL_MS, LOAD_TIMEOUT_MS},
        types::{AdapterOrder, EngineReport, OrderAnswer, ResidentAdapter},
    },
    crate::{Time, cold_load_limit::COLD_LOAD_MS},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Load of an adapter of which the engine still has a copy, in milliseconds.
pub(super) const WARM_LOAD_MS: u64 = 26;

/// Time between looks at an adapter that is dropped once its runs have ended, in milliseconds.
pub(super) const UNLOAD_CHECK_INTERVAL_MS: u64 = 300;

/// Time after which an order without an answer is not carried out any more, in milliseconds; the
/// platform states 12 s.
pub(super) const ORDER_EXPIRY_MS: u64 = 13_000;

impl EngineInventory {
    /// Takes the answer to an order.
    pub fn apply_answer(&mut self, now: Time, order: &AdapterOrder, answer: OrderAnswer) {
        if answer != OrderAnswer::NoAnswer {
            self.consecutive_unanswered = 0;
        }
        match answer {
            OrderAnswer::Accepted => self.apply_accepted(now, order),
            OrderAnswer::Done => self.apply_done(now, order),
            OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Rejected => {
                self.schedule_report(now);
            }
            OrderAnswer::NoAnswer => self.apply_no_answer(now, order),
        }
    }

    // given again at once, an order is carried out or refused, and its copy that is late finds
    // another number of orders; after that the report has to tell
    fn apply_no_answer(&mut self, now: Time, order: &AdapterOrder) {
        if matches!(order, AdapterOrder::Load { .. }) {
            let until = now.after_ms(ORDER_EXPIRY_MS);
            self.unanswered_loads.push(UnansweredLoad {
                expected_seq: self.seq,
                expires_at: until,
                predates_report: false,
            });
        }
        self.consecutive_unanswered += 1;
        if self.consecutive_unanswered > 2 {
            self.schedule_report(now);
        }
    }

    fn schedule_check(&mut self, now: Time, order: &AdapterOrder) {
        let adapter = match order {
            AdapterOrder::LoadBase { .. } => return,
            AdapterOrder::Load { adapter, .. } => adapter,
            AdapterOrder::Unload { adapter } => {
                self.unloading.insert(adapter.clone(), now.after_ms(UNLOAD_CHECK_INTERVAL_MS));
                return;
            }
        };
        if let Some(coming) = self.loading.get_mut(adapter) {
            let cold_at = coming.started_at.after_ms(COLD_LOAD_MS);
            coming.check_at = cold_at.max(now.after_ms(CHECK_INTERVAL_MS / 2));
        }
    }

    fn apply_accepted(&mut self, now: Time, order: &AdapterOrder) {
        if self.is_status_check(order) {
            // the load went on; the engine did not count this order
            self.schedule_check(now, order);
            return;
        }
        self.seq += 1;
        match order {
            AdapterOrder::LoadBase { .. } => {
                self.base_load_deadline = now.after_ms(LOAD_TIMEOUT_MS);
                self.report_due_at = Some(now.after_ms(REPORT_LAG_MS));
            }
            AdapterOrder::Load { adapter, version } => {
                self.held.swap_remove(adapter);
                let takes_ms = if self.has_local_copy(adapter, *version) {
                    WARM_LOAD_MS
                } else {
                    COLD_LOAD_MS
                };
                let look_at = now.after_ms(takes_ms);
                let coming =
                    LoadingAdapter { version: *version, started_at: now, check_at: look_at };
                self.loading.insert(adapter.clone(), coming);
            }
            AdapterOrder::Unload { adapter } => {
                // it waits for runs that were not known here: its slot is free later
                self.held.swap_remove(adapter);
                self.unloading.insert(adapter.clone(), now.after_ms(UNLOAD_CHECK_INTERVAL_MS));
            }
        }
    }

    fn apply_done(&mut self, now: Time, order: &AdapterOrder) {
        match order {
            AdapterOrder::LoadBase { model } => {
                if !self.held_models.contains(model) {
                    self.held_models.push(model.clone());
                }
            }
            AdapterOrder::Load { adapter, version } => {
                self.loading.swap_remove(adapter);
                self.wanted.swap_remove(adapter);
                let version = version.unwrap_or(0);
                self.record_local_copy(adapter, version);
                let held = ResidentAdapter { version, last_used_at: now };
                self.held.insert(adapter.clone(), held);
            }
            AdapterOrder::Unload { adapter } => {
                self.held.swap_remove(adapter);
                // the order that closed it was counted already
                if self.unloading.swap_remove(adapter).is_none() {
                    self.seq += 1;
                    // an engine that lacked it has not counted this one, and a late load could
                    // make up the difference
                    if self.unanswered_loads.iter().any(|ghost| ghost.expected_seq + 1 >= self.seq)
                    {
                        self.schedule_report(now);
                    }
                }
            }
        }
    }

    /// Notes that no report could be had.
    pub fn mark_report_failed(&mut self, now: Time) {
        self.schedule_report(now);
    }

    /// Takes the engine's report in place of what the book says.
    pub fn apply_report(&mut self, now: Time, report: EngineReport) {
        let used = |adapter: &FastStr| self.held.get(adapter).map_or(now, |h| h.last_used_at);
        let held: IndexMap<FastStr, ResidentAdapter> = report
            .adapters
            .into_iter()
            .map(|(adapter, version)| {
                let used = used(&adapter);
                (adapter, ResidentAdapter { version, last_used_at: used })
            })
            .collect();
        for (adapter, held) in &held {
            self.record_local_copy(adapter, held.version);
        }
        self.held = held;
        let look_at = now.after_ms(CHECK_INTERVAL_MS);
        let coming = |adapter: FastStr| {
            (adapter, LoadingAdapter { version: None, started_at: now, check_at: look_at })
        };
        self.loading = report.pending.into_iter().map(coming).collect();
        self.unloading.clear();
        for ghost in &mut self.unanswered_loads {
            ghost.predates_report = true;
        }
        self.seq = report.seq;
        self.held_models = report.models;
        self.consecutive_unanswered = 0;
        let base_missing = self.models.iter().any(|model| !self.held_models.contains(model));
        self.report_due_at =
            if report.base_loading || (base_missing && now < self.base_load_deadline) {
                Some(now.after_ms(REPORT_LAG_MS))
            } else {
                None
            };
    }
}
