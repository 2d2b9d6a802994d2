//! Updates an inventory from the engine's answers and reports.

use {
    super::{
        inventory::{EngineInventory, LoadingAdapter, REPORT_LAG_MS, UnansweredLoad},
        next_order::{CHECK_INTERVAL_MS, LOAD_TIMEOUT_MS},
        types::{AdapterOrder, EngineReport, OrderAnswer, ResidentAdapter},
    },
    crate::Time,
    faststr::FastStr,
    indexmap::IndexMap,
};

/// A load from the engine's own copy takes this fraction of the time of one from the weight store.
const WARM_LOAD_DIVISOR: u64 = 10;

/// Time between checks of an adapter that the engine unloads once its runs end.
pub(super) const UNLOAD_CHECK_INTERVAL_MS: u64 = 300;

/// Time after which the engine no longer carries out an unanswered order; the platform states 12 s.
pub(super) const ORDER_EXPIRY_MS: u64 = 13_000;

impl EngineInventory {
    /// Updates the inventory from the answer to `order`.
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

    // The order is sent again at once. It is carried out or refused, and the late first copy then
    // carries an outdated order number. After three unanswered orders in a row, a report is
    // requested.
    fn apply_no_answer(&mut self, now: Time, order: &AdapterOrder) {
        if matches!(order, AdapterOrder::Load { .. }) {
            let expires_at = now.after_ms(ORDER_EXPIRY_MS);
            self.unanswered_loads.push(UnansweredLoad {
                expected_seq: self.seq,
                expires_at,
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
        if let Some(loading) = self.loading.get_mut(adapter) {
            let cold_load_ends_at = loading.started_at.after_ms(self.cold_load_ms);
            // an early check does not delay the regular one
            loading.check_at = if now < cold_load_ends_at {
                cold_load_ends_at
            } else {
                now.after_ms((self.cold_load_ms / 8).clamp(10, CHECK_INTERVAL_MS / 2))
            };
        }
    }

    fn apply_accepted(&mut self, now: Time, order: &AdapterOrder) {
        if self.is_status_check(order) {
            // a status check: the load is in progress, and the engine did not count this order
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
                self.resident.swap_remove(adapter);
                let from_store = !self.has_local_copy(adapter, *version);
                let first_check_ms = if from_store {
                    self.cold_loads += 1;
                    self.first_check_ms()
                } else {
                    self.cold_load_ms / WARM_LOAD_DIVISOR + 1
                };
                let check_at = now.after_ms(first_check_ms);
                let loading =
                    LoadingAdapter { version: *version, started_at: now, check_at, from_store };
                self.loading.insert(adapter.clone(), loading);
            }
            AdapterOrder::Unload { adapter } => {
                // runs that this host does not know of delay the unload, so the slot is freed later
                self.resident.swap_remove(adapter);
                self.unloading.insert(adapter.clone(), now.after_ms(UNLOAD_CHECK_INTERVAL_MS));
            }
        }
    }

    // Early checks alternate between a large step, which follows a much faster store, and a small
    // one, which removes the error of the interval between checks.
    fn first_check_ms(&self) -> u64 {
        if !self.cold_loads.is_multiple_of(self.early_check_every) {
            self.cold_load_ms
        } else if (self.cold_loads / self.early_check_every).is_multiple_of(2) {
            self.cold_load_ms * 3 / 4
        } else {
            self.cold_load_ms * 15 / 16
        }
    }

    fn apply_done(&mut self, now: Time, order: &AdapterOrder) {
        match order {
            AdapterOrder::LoadBase { model } => {
                if !self.resident_models.contains(model) {
                    self.resident_models.push(model.clone());
                }
            }
            AdapterOrder::Load { adapter, version } => {
                self.loading.swap_remove(adapter);
                self.wanted.swap_remove(adapter);
                let version = version.unwrap_or(0);
                self.record_local_copy(adapter, version);
                let resident = ResidentAdapter { version, last_used_at: now };
                self.resident.insert(adapter.clone(), resident);
            }
            AdapterOrder::Unload { adapter } => {
                self.resident.swap_remove(adapter);
                // the order that began the unload was counted already
                if self.unloading.swap_remove(adapter).is_none() {
                    self.seq += 1;
                    // an engine that lacked the adapter did not count this order; a late load could
                    // then bring its count level with `seq` again
                    if self.unanswered_loads.iter().any(|load| load.expected_seq + 1 >= self.seq) {
                        self.schedule_report(now);
                    }
                }
            }
        }
    }

    /// Schedules another report after a failed request for one.
    pub fn mark_report_failed(&mut self, now: Time) {
        self.schedule_report(now);
    }

    /// Replaces the inventory by the engine's report.
    pub fn apply_report(&mut self, now: Time, report: EngineReport) {
        let last_used_at = |adapter: &FastStr| {
            self.resident.get(adapter).map_or(now, |resident| resident.last_used_at)
        };
        let resident: IndexMap<FastStr, ResidentAdapter> = report
            .adapters
            .into_iter()
            .map(|(adapter, version)| {
                let last_used_at = last_used_at(&adapter);
                (adapter, ResidentAdapter { version, last_used_at })
            })
            .collect();
        for (adapter, resident) in &resident {
            self.record_local_copy(adapter, resident.version);
        }
        self.resident = resident;
        let check_at = now.after_ms(CHECK_INTERVAL_MS);
        let loading = |adapter: FastStr| {
            // when such a load began is unknown, so it is no sample of the store's speed
            let from_store = false;
            (adapter, LoadingAdapter { version: None, started_at: now, check_at, from_store })
        };
        self.loading = report.pending.into_iter().map(loading).collect();
        self.unloading.clear();
        for load in &mut self.unanswered_loads {
            load.predates_report = true;
        }
        self.seq = report.seq;
        self.resident_models = report.models;
        self.consecutive_unanswered = 0;
        let base_missing = self.models.iter().any(|model| !self.resident_models.contains(model));
        self.report_due_at =
            if report.base_loading || (base_missing && now < self.base_load_deadline) {
                Some(now.after_ms(REPORT_LAG_MS))
            } else {
                None
            };
    }
}
