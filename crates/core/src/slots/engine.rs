//! State of one engine's slots and its transitions.

use {
    super::types::{
        Cancel, Effect, EngineLimits, Grant, Refusal, RequestKey, SlotCounters, SlotSettings,
        Ticket, TicketEnd, TicketRequest,
    },
    crate::{Demand, Fingerprint, ModelName, Reason, Time},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// A new sample has a weight of one in this many in a running mean.
const MEAN_WEIGHT_DIVISOR: u64 = 8;

/// Shortest retry delay given to a refused caller.
const RETRY_AFTER_MIN_MS: u64 = 200;

/// State of an adapter slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum SlotState {
    /// A load was ordered.
    Loading {
        /// Time at which the order expires.
        deadline: Time,
        /// The permit that the load occupies.
        permit: u16,
    },
    /// The adapter is resident.
    Ready,
    /// An unload was ordered, to free the slot.
    Unloading {
        /// The adapter to load next.
        next: ModelName,
        /// The permit for that load.
        permit: u16,
    },
    /// The answer to an order was lost; a probe after `settled_at` shows the state.
    Unknown {
        /// Time at which the lost order has certainly ended.
        settled_at: Time,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) state: SlotState,
    pub(super) changed_at: Time,
    pub(super) last_used_at: Time,
    pub(super) resident_copies: u32,
}

#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: TicketRequest,
    pub(super) queued_at: Time,
    pub(super) stalled: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LoadFailure {
    pub(super) attempts: u32,
    pub(super) retry_at: Time,
}

/// Slots, queue and tickets of one engine, in the keeper that owns it.
///
/// A request runs only with a ticket. An adapter with a ticket, or with a request waiting for it,
/// is never unloaded. After a takeover nothing is unloaded until every entry has registered its
/// open tickets.
#[derive(Clone, Debug)]
pub struct EngineSlots {
    pub(super) limits: EngineLimits,
    pub(super) settings: SlotSettings,
    pub(super) fencing_token: u64,
    pub(super) can_load: bool,
    pub(super) leaving: bool,
    pub(super) down: bool,
    pub(super) epoch: Option<u64>,
    pub(super) last_unload_at: Time,
    pub(super) broken_requests: Vec<(Fingerprint, Time)>,
    pub(super) slots: IndexMap<ModelName, Slot>,
    pub(super) queue: IndexMap<RequestKey, QueuedRequest>,
    pub(super) tickets: IndexMap<RequestKey, Ticket>,
    pub(super) registered_entries: IndexMap<FastStr, u64>,
    pub(super) required_entries: IndexSet<FastStr>,
    pub(super) demand: Demand,
    pub(super) load_failures: IndexMap<ModelName, LoadFailure>,
    pub(super) service_ms: u64,
    pub(super) load_ms: u64,
    pub(super) counters: SlotCounters,
}

impl EngineSlots {
    /// Creates the state of an engine just taken over under `fencing_token`.
    #[must_use]
    pub fn new(limits: EngineLimits, settings: SlotSettings, fencing_token: u64) -> Self {
        Self {
            limits,
            settings,
            fencing_token,
            can_load: false,
            leaving: false,
            down: false,
            epoch: None,
            last_unload_at: Time::ZERO,
            broken_requests: Vec::new(),
            slots: IndexMap::new(),
            queue: IndexMap::new(),
            tickets: IndexMap::new(),
            registered_entries: IndexMap::new(),
            required_entries: IndexSet::new(),
            demand: Demand::new(settings.weights.demand_half_life_ms),
            load_failures: IndexMap::new(),
            service_ms: settings.initial_service_ms,
            load_ms: settings.initial_load_ms,
            counters: SlotCounters::default(),
        }
    }

    /// Fencing token of the claim under which the engine is owned.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Capacity of the engine.
    #[must_use]
    pub fn limits(&self) -> EngineLimits {
        self.limits
    }

    /// Counts since the takeover.
    #[must_use]
    pub fn counters(&self) -> SlotCounters {
        self.counters
    }

    /// Number of requests that run with a ticket.
    #[must_use]
    pub fn running(&self) -> usize {
        self.tickets.len()
    }

    /// Number of requests that wait for a free sequence or for a load. Background requests that
    /// only wait for others of their adapter are not counted.
    #[must_use]
    pub fn queued(&self, now: Time) -> usize {
        let groups = self.groups();
        let due = groups.values().filter(|group| !self.is_gathering(now, group));
        due.map(|group| group.waiting as usize).sum()
    }

    /// Typical time a request runs, in milliseconds.
    #[must_use]
    pub fn service_ms(&self) -> u64 {
        self.service_ms
    }

    /// Typical time from the request for an adapter until it is resident, in milliseconds.
    #[must_use]
    pub fn load_ms(&self) -> u64 {
        self.load_ms
    }

    /// Sets the typical time from the request for an adapter until it is resident, in milliseconds.
    pub fn set_load_ms(&mut self, load_ms: u64) {
        self.load_ms = load_ms;
    }

    /// True when the engine gets no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// True when loads may be ordered.
    #[must_use]
    pub fn can_load(&self) -> bool {
        self.can_load
    }

    /// Number of empty slots.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        self.limits.adapter_slots.saturating_sub(self.slots.len())
    }

    /// Adapters that are resident or being loaded.
    pub fn resident(&self) -> impl Iterator<Item = &ModelName> {
        let is_resident =
            |state: &SlotState| matches!(state, SlotState::Ready | SlotState::Loading { .. });
        self.slots.iter().filter(move |(_, s)| is_resident(&s.state)).map(|(model, _)| model)
    }

    /// True when requests for `model` can run.
    #[must_use]
    pub fn is_ready(&self, model: &ModelName) -> bool {
        self.slots.get(model).is_some_and(|s| s.state == SlotState::Ready)
    }

    /// True while a ticket for `model` is open.
    #[must_use]
    pub fn is_pinned(&self, model: &ModelName) -> bool {
        self.tickets.values().any(|t| t.model == *model)
    }

    /// True while the engine accepts no connections.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Requests a ticket. The request is granted, refused or queued, at once or by a later call.
    pub fn acquire(&mut self, now: Time, request: TicketRequest) -> Vec<Effect> {
        if self.tickets.contains_key(&request.key) {
            return vec![self.grant_effect(request.key, 0)];
        }
        if self.queue.contains_key(&request.key) {
            return Vec::new();
        }
        self.demand.record_use(now, &request.model);
        if let Some((reason, retry_after_ms)) = self.admission_refusal(now, &request) {
            return vec![self.refuse(request.key, reason, retry_after_ms)];
        }
        let stalled = !self.is_ready(&request.model);
        if let Some(slot) = self.slots.get_mut(&request.model) {
            slot.resident_copies = request.resident_copies;
        }
        let key = request.key.clone();
        self.queue.insert(key, QueuedRequest { request, queued_at: now, stalled });
        self.dispatch(now)
    }

    /// Removes a waiting request that its entry has given up.
    pub fn withdraw(&mut self, key: &RequestKey) {
        self.queue.shift_remove(key);
    }

    /// Ends a ticket. A ticket under which the engine may still be running ends only after the
    /// engine has confirmed that it cancelled the request.
    pub fn release(&mut self, now: Time, key: &RequestKey, end: TicketEnd) -> Vec<Effect> {
        self.withdraw(key);
        let mut effects = match end {
            TicketEnd::Done => {
                self.record_completion(now, key);
                Vec::new()
            }
            TicketEnd::Unused => {
                self.tickets.shift_remove(key);
                Vec::new()
            }
            TicketEnd::NotResident => {
                self.tickets.shift_remove(key);
                vec![Effect::Probe]
            }
            TicketEnd::Abandoned => self.cancel(now, key),
            TicketEnd::Broken => {
                let fingerprint = self.tickets.get(key).map(|t| t.fingerprint);
                self.broken_requests.extend(fingerprint.map(|fingerprint| (fingerprint, now)));
                let mut effects = self.cancel(now, key);
                effects.push(Effect::Probe);
                effects
            }
        };
        effects.extend(self.dispatch(now));
        effects
    }

    fn record_completion(&mut self, now: Time, key: &RequestKey) {
        if let Some(ticket) = self.tickets.shift_remove(key) {
            let took_ms = now.ms_since(ticket.granted_at);
            self.service_ms = running_mean(self.service_ms, took_ms);
        }
    }

    /// Asks the engine to cancel a request, unless the last such order is still under way.
    pub(super) fn cancel(&mut self, now: Time, key: &RequestKey) -> Vec<Effect> {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return Vec::new();
        };
        if ticket.cancelling && now < ticket.expires_at {
            return Vec::new();
        }
        ticket.cancelling = true;
        // At this time the order is repeated. The adapter stays pinned until the engine confirms.
        ticket.expires_at = now.after_ms(self.settings.order_timeout_ms);
        vec![Effect::Cancel(Cancel { key: key.clone() })]
    }

    /// Extends the tickets of one entry.
    pub fn renew(&mut self, now: Time, entry: &str, incarnation: u64) {
        let expires = now.after_ms(self.settings.ticket_ms);
        for (key, ticket) in &mut self.tickets {
            if key.entry == entry && key.incarnation == incarnation && !ticket.cancelling {
                ticket.expires_at = expires;
            }
        }
    }

    /// Tickets of an entry that are older than `after_ms` and not listed as open by it: the grant
    /// never reached the entry.
    #[must_use]
    pub fn unacknowledged_tickets(
        &self,
        now: Time,
        entry: &str,
        incarnation: u64,
        open: &IndexSet<RequestKey>,
        after_ms: u64,
    ) -> Vec<RequestKey> {
        let is_unacknowledged = |(key, ticket): &(&RequestKey, &Ticket)| {
            key.entry == entry
                && key.incarnation == incarnation
                && now.ms_since(ticket.granted_at) >= after_ms
                && !open.contains(*key)
        };
        self.tickets.iter().filter(is_unacknowledged).map(|(key, _)| key.clone()).collect()
    }

    /// Ends what has run out of time: waiting requests past their deadline, those that need a load
    /// that can't be ordered, and expired tickets, which are cancelled at the engine first.
    pub fn tick(&mut self, now: Time, can_load: bool, leaving: bool) -> Vec<Effect> {
        self.can_load = can_load;
        self.leaving = leaving;
        let mut effects = self.refuse_unservable(now);
        effects.extend(self.cancel_expired(now));
        effects.extend(self.probe_unknown(now));
        effects.extend(self.dispatch(now));
        effects
    }

    /// Records that the engine has cancelled a request, or never knew it.
    pub fn confirm_cancel(&mut self, now: Time, key: &RequestKey) -> Vec<Effect> {
        self.tickets.shift_remove(key);
        self.dispatch(now)
    }

    /// Refuses all waiting requests, for instance because another keeper owns the engine now.
    pub fn refuse_all(&mut self, reason: Reason, retry_after_ms: u64) -> Vec<Effect> {
        let keys: Vec<RequestKey> = self.queue.drain(..).map(|(key, _)| key).collect();
        keys.into_iter().map(|key| self.refuse(key, reason, retry_after_ms)).collect()
    }

    /// Time until a new request for `model` would start to run, in milliseconds.
    #[must_use]
    pub fn expected_wait_ms(&self, now: Time, model: &ModelName) -> u64 {
        let ahead = (self.tickets.len() + self.queued(now)) as u64;
        let batch = self.limits.batch.max(1) as u64;
        let queue_ms = (ahead + 1).saturating_sub(batch) * self.service_ms / batch;
        if self.is_ready(model) { queue_ms } else { queue_ms.max(self.load_ms) }
    }

    pub(super) fn grant_effect(&self, key: RequestKey, stall_ms: u64) -> Effect {
        Effect::Grant(Grant { key, fencing_token: self.fencing_token, stall_ms })
    }

    pub(super) fn refuse(&mut self, key: RequestKey, reason: Reason, after_ms: u64) -> Effect {
        self.counters.refused += 1;
        let retry_after_ms = after_ms.max(RETRY_AFTER_MIN_MS);
        Effect::Refuse(Refusal { key, reason, retry_after_ms })
    }
}

pub(super) fn running_mean(mean: u64, sample: u64) -> u64 {
    (mean * (MEAN_WEIGHT_DIVISOR - 1) + sample).div_ceil(MEAN_WEIGHT_DIVISOR)
}
