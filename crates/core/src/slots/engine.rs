//! State of one engine's slots and what changes it.

use {
    super::types::{
        Cancel, Effect, EngineLimits, Grant, Refusal, RequestKey, SlotCounters, SlotSettings,
        Ticket, TicketEnd, TicketRequest,
    },
    crate::{Demand, Fingerprint, ModelName, Reason, Time},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Weight of a new measurement in a running mean, as one part in this many.
const MEAN_WEIGHT_DIVISOR: u64 = 8;

/// Shortest wait that a refused caller is told, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 200;

/// What an adapter slot holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum SlotState {
    /// A load was ordered.
    Loading {
        /// When the order is of no use any more.
        deadline: Time,
        /// The permit that it occupies.
        permit: u16,
    },
    /// Resident.
    Ready,
    /// An unload was ordered, to make room.
    Unloading {
        /// The adapter to load then.
        next: ModelName,
        /// The permit for that load.
        permit: u16,
    },
    /// The answer to an order was lost; a probe after this point tells.
    Unknown {
        /// When the lost order has ended for certain.
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

/// One engine as its keeper holds it.
///
/// A request runs only with a ticket, and an adapter with a ticket, or with a request
/// waiting for it, is never unloaded. After a takeover nothing is unloaded until every
/// entry has registered its open tickets.
#[derive(Clone, Debug)]
pub struct EngineSlots {
    pub(super) limits: EngineLimits,
    pub(super) settings: SlotSettings,
    pub(super) fence: u64,
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
    /// State of an engine just taken over under `fence`.
    #[must_use]
    pub fn new(limits: EngineLimits, cfg: SlotSettings, fence: u64) -> Self {
        Self {
            limits,
            settings: cfg,
            fence,
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
            demand: Demand::new(cfg.weights.demand_half_life_ms),
            load_failures: IndexMap::new(),
            service_ms: cfg.initial_service_ms,
            load_ms: cfg.initial_load_ms,
            counters: SlotCounters::default(),
        }
    }

    /// Fencing number of the claim under which the engine is held.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Sizes of the engine.
    #[must_use]
    pub fn limits(&self) -> EngineLimits {
        self.limits
    }

    /// Counts since the takeover.
    #[must_use]
    pub fn counters(&self) -> SlotCounters {
        self.counters
    }

    /// Requests that run with a ticket.
    #[must_use]
    pub fn running(&self) -> usize {
        self.tickets.len()
    }

    /// Requests that wait for room or for a load; those that only gather are not counted.
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

    /// Typical time from wanting an adapter to having it, in milliseconds.
    #[must_use]
    pub fn load_ms(&self) -> u64 {
        self.load_ms
    }

    /// Sets the typical time from wanting an adapter to having it, in milliseconds.
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

    /// Slots that hold nothing.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        self.limits.adapter_slots.saturating_sub(self.slots.len())
    }

    /// Adapters resident or being loaded.
    pub fn resident(&self) -> impl Iterator<Item = &ModelName> {
        let counts =
            |state: &SlotState| matches!(state, SlotState::Ready | SlotState::Loading { .. });
        self.slots.iter().filter(move |(_, s)| counts(&s.state)).map(|(model, _)| model)
    }

    /// True when requests for `model` can run.
    #[must_use]
    pub fn is_ready(&self, model: &ModelName) -> bool {
        self.slots.get(model).is_some_and(|s| s.state == SlotState::Ready)
    }

    /// True when a ticket for `model` is out.
    #[must_use]
    pub fn is_pinned(&self, model: &ModelName) -> bool {
        self.tickets.values().any(|t| t.model == *model)
    }

    /// True while the engine takes no connections.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Takes a request. It is granted, refused or queued; at once or by a later call.
    pub fn acquire(&mut self, now: Time, req: TicketRequest) -> Vec<Effect> {
        if self.tickets.contains_key(&req.key) {
            return vec![self.grant_effect(req.key, 0)];
        }
        if self.queue.contains_key(&req.key) {
            return Vec::new();
        }
        self.demand.record_use(now, &req.model);
        if let Some((reason, retry_after_ms)) = self.admission_refusal(now, &req) {
            return vec![self.refuse(req.key, reason, retry_after_ms)];
        }
        let stalled = !self.is_ready(&req.model);
        if let Some(slot) = self.slots.get_mut(&req.model) {
            slot.resident_copies = req.resident_copies;
        }
        let key = req.key.clone();
        self.queue.insert(key, QueuedRequest { request: req, queued_at: now, stalled });
        self.dispatch(now)
    }

    /// Drops a waiting request whose entry no longer wants it.
    pub fn withdraw(&mut self, key: &RequestKey) {
        self.queue.shift_remove(key);
    }

    /// Takes a ticket back. One under which the engine may still be running goes only after
    /// the engine has confirmed that it cancelled the request.
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
                let content = self.tickets.get(key).map(|t| t.fingerprint);
                self.broken_requests.extend(content.map(|fingerprint| (fingerprint, now)));
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

    /// Asks the engine to cancel, unless it has just been asked.
    pub(super) fn cancel(&mut self, now: Time, key: &RequestKey) -> Vec<Effect> {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return Vec::new();
        };
        if ticket.cancelling && now < ticket.expires_at {
            return Vec::new();
        }
        ticket.cancelling = true;
        // asked again then, until the engine confirms: the pin stays as long
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

    /// Tickets of an entry that are older than `after_ms` and that it does not list as open: it
    /// never heard of the grant.
    #[must_use]
    pub fn unacknowledged_tickets(
        &self,
        now: Time,
        entry: &str,
        incarnation: u64,
        open: &IndexSet<RequestKey>,
        after_ms: u64,
    ) -> Vec<RequestKey> {
        let lost = |(key, ticket): &(&RequestKey, &Ticket)| {
            key.entry == entry
                && key.incarnation == incarnation
                && now.ms_since(ticket.granted_at) >= after_ms
                && !open.contains(*key)
        };
        self.tickets.iter().filter(lost).map(|(key, _)| key.clone()).collect()
    }

    /// Ends what has run out of time: waiting requests past their deadline, those that need a
    /// load that can't be ordered, and lapsed tickets, which are cancelled at the engine first.
    pub fn tick(&mut self, now: Time, can_load: bool, leaving: bool) -> Vec<Effect> {
        self.can_load = can_load;
        self.leaving = leaving;
        let mut effects = self.refuse_unservable(now);
        effects.extend(self.cancel_expired(now));
        effects.extend(self.probe_unknown(now));
        effects.extend(self.dispatch(now));
        effects
    }

    /// Notes that the engine has cancelled a request, or never knew it.
    pub fn confirm_cancel(&mut self, now: Time, key: &RequestKey) -> Vec<Effect> {
        self.tickets.shift_remove(key);
        self.dispatch(now)
    }

    /// Refuses all that waits, for instance because another keeper holds the engine now.
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
        Effect::Grant(Grant { key, fence: self.fence, stall_ms })
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
