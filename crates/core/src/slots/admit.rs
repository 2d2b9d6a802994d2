//! Refusal of requests, on arrival or while they wait.

use {
    super::{
        engine::{EngineSlots, QueuedRequest, Slot, SlotState},
        types::{Effect, RequestKey, TicketRequest},
    },
    crate::{ModelName, PriorityClass, Reason, Time},
};

impl EngineSlots {
    /// Reason to refuse an arriving request, and milliseconds until a retry makes sense.
    pub(super) fn admission_refusal(
        &self,
        now: Time,
        request: &TicketRequest,
    ) -> Option<(Reason, u64)> {
        if self.leaving {
            return Some((Reason::Leaving, 0));
        }
        if self.down {
            return Some((Reason::NoTarget, self.settings.load_backoff_ms));
        }
        if let Some(refusal) = self.load_refusal(now, &request.model) {
            return Some(refusal);
        }
        let wait_ms = self.expected_wait_ms(now, &request.model);
        if now.after_ms(wait_ms) >= request.deadline {
            return Some((Reason::Deadline, wait_ms));
        }
        let queued_by_caller =
            self.queue.values().filter(|q| q.request.caller == request.caller).count();
        if queued_by_caller >= self.settings.caller_queue_max {
            return Some((Reason::CallerLimit, wait_ms));
        }
        let full =
            self.queue.len() >= self.settings.queue_max && request.class != PriorityClass::Live;
        full.then_some((Reason::Overloaded, wait_ms))
    }

    /// Reason for which an adapter that is not resident can't be loaded now, if any.
    fn load_refusal(&self, now: Time, model: &ModelName) -> Option<(Reason, u64)> {
        let resident_or_loading =
            |s: &Slot| matches!(s.state, SlotState::Ready | SlotState::Loading { .. });
        if self.slots.get(model).is_some_and(resident_or_loading) {
            return None;
        }
        if !self.can_load {
            return Some((Reason::LoadsPaused, self.settings.order_timeout_ms));
        }
        let failure = self.load_failures.get(model).filter(|f| f.retry_at > now)?;
        Some((Reason::LoadFailed, now.ms_until(failure.retry_at)))
    }

    /// Refuses waiting requests that can no longer be served.
    pub(super) fn refuse_unservable(&mut self, now: Time) -> Vec<Effect> {
        let refusal = |(key, queued): (&RequestKey, &QueuedRequest)| {
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
        let refusals: Vec<(RequestKey, Reason, u64)> =
            self.queue.iter().filter_map(refusal).collect();
        let mut effects = Vec::new();
        for (key, reason, after_ms) in refusals {
            self.queue.shift_remove(&key);
            effects.push(self.refuse(key, reason, after_ms));
        }
        effects
    }
}
