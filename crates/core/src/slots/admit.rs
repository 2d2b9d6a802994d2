//! Which requests are refused, when they come or while they wait.

use {
    super::{
        engine::{EngineSlots, Queued, Slot, SlotState},
        types::{Effect, RequestKey, Waiting},
    },
    crate::{ModelName, PriorityClass, Reason, Time},
};

impl EngineSlots {
    /// Why a request is refused when it comes, and when to come back, in milliseconds.
    pub(super) fn unacceptable(&self, now: Time, req: &Waiting) -> Option<(Reason, u64)> {
        if self.leaving {
            return Some((Reason::Leaving, 0));
        }
        if self.down {
            return Some((Reason::NoTarget, self.cfg.load_backoff_ms));
        }
        if let Some(refusal) = self.load_impossible(now, &req.model) {
            return Some(refusal);
        }
        let wait_ms = self.wait_ms(now, &req.model);
        if now.after_ms(wait_ms) >= req.deadline {
            return Some((Reason::Deadline, wait_ms));
        }
        let of_caller = self.queue.values().filter(|q| q.req.caller == req.caller).count();
        if of_caller >= self.cfg.caller_queue_max {
            return Some((Reason::CallerLimit, wait_ms));
        }
        let full = self.queue.len() >= self.cfg.queue_max && req.class != PriorityClass::Live;
        full.then_some((Reason::Overloaded, wait_ms))
    }

    /// Why an adapter that is not resident can't be loaded now, if so.
    fn load_impossible(&self, now: Time, model: &ModelName) -> Option<(Reason, u64)> {
        let coming = |s: &Slot| matches!(s.state, SlotState::Ready | SlotState::Loading { .. });
        if self.slots.get(model).is_some_and(coming) {
            return None;
        }
        if !self.can_load {
            return Some((Reason::LoadsPaused, self.cfg.order_ms));
        }
        let failure = self.failures.get(model).filter(|f| f.retry_at > now)?;
        Some((Reason::LoadFailed, now.ms_until(failure.retry_at)))
    }

    /// Refuses what waits and can't be served any more.
    pub(super) fn refuse_hopeless(&mut self, now: Time) -> Vec<Effect> {
        let hopeless = |(key, queued): (&RequestKey, &Queued)| {
            if now >= queued.req.deadline {
                return Some((key.clone(), Reason::Deadline, self.wait_ms(now, &queued.req.model)));
            }
            if self.leaving {
                return Some((key.clone(), Reason::Leaving, 0));
            }
            let (reason, after_ms) = self.load_impossible(now, &queued.req.model)?;
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
