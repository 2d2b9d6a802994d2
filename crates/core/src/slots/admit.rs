//! Which requests are refused, when they come or while they wait.

use {
    super::{
        engine::{EngineSlots, QueuedRequest, Slot, SlotState},
        types::{Effect, RequestKey, TicketRequest},
    },
    crate::{ModelName, PriorityClass, Reason, Time},
};

impl EngineSlots {
    /// Why a request is refused when it comes, and when to come back, in milliseconds.
    pub(super) fn admission_refusal(
        &self,
        now: Time,
        req: &TicketRequest,
    ) -> Option<(Reason, u64)> {
        if self.leaving {
            return Some((Reason::Leaving, 0));
        }
        if self.down {
            return Some((Reason::NoTarget, self.settings.load_backoff_ms));
        }
        if let Some(refusal) = self.load_refusal(now, &req.model) {
            return Some(refusal);
        }
        let wait_ms = self.expected_wait_ms(now, &req.model);
        if now.after_ms(wait_ms) >= req.deadline {
            return Some((Reason::Deadline, wait_ms));
        }
        let of_caller = self.queue.values().filter(|q| q.request.caller == req.caller).count();
        if of_caller >= self.settings.caller_queue_max {
            return Some((Reason::CallerLimit, wait_ms));
        }
        let full = self.queue.len() >= self.settings.queue_max && req.class != PriorityClass::Live;
        full.then_some((Reason::Overloaded, wait_ms))
    }

    /// Why an adapter that is not resident can't be loaded now, if so.
    fn load_refusal(&self, now: Time, model: &ModelName) -> Option<(Reason, u64)> {
        let coming = |s: &Slot| matches!(s.state, SlotState::Ready | SlotState::Loading { .. });
        if self.slots.get(model).is_some_and(coming) {
            return None;
        }
        if !self.can_load {
            return Some((Reason::LoadsPaused, self.settings.order_timeout_ms));
        }
        let failure = self.load_failures.get(model).filter(|f| f.retry_at > now)?;
        Some((Reason::LoadFailed, now.ms_until(failure.retry_at)))
    }

    /// Refuses what waits and can't be served any more.
    pub(super) fn refuse_unservable(&mut self, now: Time) -> Vec<Effect> {
        let hopeless = |(key, queued): (&RequestKey, &QueuedRequest)| {
            if now >= queued.request.deadline {
                return Some((
                    key.clone(),
                    Reason::Deadline,
                    self.expected_wait_ms(now, &queued.request.model),
                ));
            }
            if self.leaving {
                return Some((key.clone(), Reason::Leaving, 0));
            }
            let (reason, after_ms) = self.load_refusal(now, &queued.request.model)?;
            Some((key.clone(), reason, after_ms))
        };
        let given_up: Vec<(RequestKey, Reason, u64)> =
            self.queue.iter().filter_map(hopeless).collect();
        let mut effects = Vec::new();
        for (key, reason, after_ms) in given_up {
            self.queue.shift_remove(&key);
            effects.push(self.refuse(key, reason, after_ms));
        }
        effects
    }
}
