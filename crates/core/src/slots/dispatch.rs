//! Choice of the waiting request that gets the next ticket.

use {
    super::{
        engine::{EngineSlots, QueuedRequest},
        types::{Effect, RequestKey, Ticket},
    },
    crate::{ModelName, PriorityClass, Time},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::cmp::Reverse,
};

/// Rank of a waiting request; the lowest is dispatched first. In order: the class, whether the
/// request would add an adapter to the running batch, running requests of its caller, size of its
/// group, deadline, position in the queue. Live requests ignore the batch and the group, background
/// requests ignore their caller's other requests.
type Rank = (PriorityClass, bool, usize, Reverse<u32>, Time, usize);

impl EngineSlots {
    /// Grants tickets to waiting requests while the engine has free sequences.
    pub(super) fn dispatch(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(key) = self.next_request(now) {
            effects.push(self.grant(now, &key));
        }
        effects
    }

    fn next_request(&self, now: Time) -> Option<RequestKey> {
        let full = self.tickets.len() >= self.limits.batch;
        if full || self.queue.is_empty() || self.tickets.values().any(|t| t.exclusive) {
            return None;
        }
        let (key, queued) = self.select_ready(now)?;
        // A suspect waits until it can run alone, and the requests behind it wait too.
        if queued.request.suspect && !self.tickets.is_empty() {
            return None;
        }
        Some(key.clone())
    }

    fn select_ready(&self, now: Time) -> Option<(&RequestKey, &QueuedRequest)> {
        let running: IndexSet<&ModelName> = self.tickets.values().map(|t| &t.model).collect();
        let callers = self.running_by_caller();
        let groups = self.groups();
        let is_dispatchable = |queued: &QueuedRequest| {
            let model = &queued.request.model;
            let is_running = running.contains(model);
            self.is_ready(model) && (is_running || !self.is_gathering(now, &groups[model]))
        };
        let rank = |index: usize, queued: &QueuedRequest| -> Rank {
            let request = &queued.request;
            let live = request.class == PriorityClass::Live;
            let outside_batch = !live && !running.contains(&request.model);
            let group_size = if live { 0 } else { groups[&request.model].waiting };
            let running_of_caller = callers.get(&request.caller).copied().unwrap_or(0);
            let caller_rank =
                if request.class == PriorityClass::Background { 0 } else { running_of_caller };
            (
                request.class,
                outside_batch,
                caller_rank,
                Reverse(group_size),
                request.deadline,
                index,
            )
        };
        self.queue
            .iter()
            .enumerate()
            .filter(|(_, (_, queued))| is_dispatchable(queued))
            .min_by_key(|(index, (_, queued))| rank(*index, queued))
            .map(|(_, pair)| pair)
    }

    fn running_by_caller(&self) -> IndexMap<&FastStr, usize> {
        let mut callers = IndexMap::new();
        for ticket in self.tickets.values() {
            *callers.entry(&ticket.caller).or_default() += 1;
        }
        callers
    }

    fn grant(&mut self, now: Time, key: &RequestKey) -> Effect {
        let queued = self.queue.shift_remove(key).expect("the key was taken from the queue");
        let slot = self
            .slots
            .get_mut(&queued.request.model)
            .expect("the model of a selected request is ready");
        slot.last_used_at = now;
        let ticket = Ticket {
            model: queued.request.model,
            caller: queued.request.caller,
            expires_at: now.after_ms(self.settings.ticket_ms),
            exclusive: queued.request.suspect,
            cancelling: false,
            granted_at: now,
            fingerprint: queued.request.fingerprint,
        };
        self.tickets.insert(key.clone(), ticket);
        let stall_ms = if queued.stalled { now.ms_since(queued.queued_at).max(1) } else { 0 };
        self.counters.granted += 1;
        self.counters.stalled += u64::from(queued.stalled);
        self.counters.stall_ms += stall_ms;
        self.grant_effect(key.clone(), stall_ms)
    }
}
