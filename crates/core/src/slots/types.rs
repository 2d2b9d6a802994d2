//! What goes into an engine's slots and what comes out.

use {
    crate::{EvictionPolicy, Fingerprint, ModelName, PriorityClass, Reason, Time, Weights},
    faststr::FastStr,
};

/// Names one attempt of one request over all processes.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// Host of the entry that owns the request.
    pub entry: FastStr,
    /// Distinguishes restarts of that entry.
    pub incarnation: u64,
    /// Id of the request.
    pub request: FastStr,
    /// Attempt number, from 1.
    pub attempt: u32,
}

/// A request that waits for a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TicketRequest {
    /// Which attempt it is.
    pub key: RequestKey,
    /// What it names.
    pub model: ModelName,
    /// Who sent it.
    pub caller: FastStr,
    /// Its urgency.
    pub class: PriorityClass,
    /// When it is of no use any more.
    pub deadline: Time,
    /// Its content.
    pub fingerprint: Fingerprint,
    /// True when its content was on a target that crashed.
    pub suspect: bool,
    /// Engines on which the entry believes the model to be resident, this one included.
    pub resident_copies: u32,
}

/// The right to run one request on the engine. Its adapter stays resident meanwhile.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// What it names.
    pub model: ModelName,
    /// Who sent the request.
    pub caller: FastStr,
    /// When it lapses unless its entry renews it.
    pub expires_at: Time,
    /// True when nothing else may run beside it.
    pub exclusive: bool,
    /// True while the engine is asked to cancel the request because the ticket lapsed.
    pub cancelling: bool,
    /// When it was granted.
    pub granted_at: Time,
    /// Its content.
    pub fingerprint: Fingerprint,
}

/// How a ticket ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketEnd {
    /// The request ran to its end.
    Done,
    /// The request was not sent, was refused, or was given up.
    Unused,
    /// The engine said that the adapter is not resident.
    NotResident,
    /// The request was sent and given up: it is cancelled before the ticket goes.
    Abandoned,
    /// The connection broke as it does when an engine crashes: as [`Self::Abandoned`].
    Broken,
}

/// A ticket for a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The attempt it is for.
    pub key: RequestKey,
    /// Fencing number of the keeper's claim.
    pub fence: u64,
    /// Milliseconds that the request waited for a load; 0 if its adapter was resident.
    pub stall_ms: u64,
}

/// The final answer to a waiting request that gets no ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The attempt it is for.
    pub key: RequestKey,
    /// Why.
    pub reason: Reason,
    /// When it may help to come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Kinds of orders that change an engine's slots.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderKind {
    /// Load an adapter.
    Load,
    /// Unload an adapter.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// What to do.
    pub kind: OrderKind,
    /// With which adapter.
    pub model: ModelName,
    /// Fencing number.
    pub fence: u64,
    /// When the order is of no use any more.
    pub deadline: Time,
    /// Permit of the weight store that a load occupies.
    pub permit: Option<u16>,
}

/// What is known of an order that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadResult {
    /// The engine did it.
    Done,
    /// The engine did not do it.
    Failed,
    /// The engine refused the fencing number.
    Fenced,
    /// The answer was lost.
    Lost,
}

/// A request to cancel at the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cancel {
    /// The attempt to cancel.
    pub key: RequestKey,
}

/// What a keeper has to do after a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Tell an entry that its request may run.
    Grant(Grant),
    /// Tell an entry that its request gets no ticket.
    Refuse(Refusal),
    /// Send an order to the engine, if the right still holds when it is written.
    Order(LoadOrder),
    /// Ask the engine to cancel a request.
    Cancel(Cancel),
    /// Ask the engine which adapters are resident.
    Probe,
    /// The load on this permit has ended for certain.
    FreePermit(u16),
}

/// An adapter that waiting requests need and that is not resident.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestGroup {
    /// The adapter.
    pub model: ModelName,
    /// The most urgent class that waits for it.
    pub class: PriorityClass,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Since when the first of them waits.
    pub since: Time,
    /// The nearest deadline among them.
    pub deadline: Time,
}

/// Sizes of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineLimits {
    /// Adapters it holds at once.
    pub adapter_slots: usize,
    /// Sequences it runs at once.
    pub batch: usize,
}

/// Settings of a keeper that hold for all its engines.
#[derive(Clone, Copy, Debug)]
pub struct SlotSettings {
    /// Requests that may wait for one engine.
    pub queue_max: usize,
    /// Requests of one caller that may wait for one engine.
    pub caller_queue_max: usize,
    /// How long a ticket lasts unless renewed, in milliseconds.
    pub ticket_ms: u64,
    /// How long an order may take, in milliseconds.
    pub order_timeout_ms: u64,
    /// Wait after a first failed load, in milliseconds.
    pub load_backoff_ms: u64,
    /// Time a request is assumed to run before any was measured, in milliseconds.
    pub initial_service_ms: u64,
    /// Time a load is assumed to take before any was measured, in milliseconds.
    pub initial_load_ms: u64,
    /// How adapters give way.
    pub eviction: EvictionPolicy,
    /// What the users weigh.
    pub weights: Weights,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            queue_max: 256,
            caller_queue_max: 64,
            ticket_ms: 30_000,
            order_timeout_ms: 5000,
            load_backoff_ms: 500,
            initial_service_ms: 500,
            initial_load_ms: 300,
            eviction: EvictionPolicy::default(),
            weights: Weights::default(),
        }
    }
}

/// Counts since the keeper took the engine over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotCounters {
    /// Tickets granted.
    pub granted: u64,
    /// Tickets granted after a wait for a load.
    pub stalled: u64,
    /// Milliseconds waited for loads, over all stalled requests.
    pub stall_ms: u64,
    /// Requests refused.
    pub refused: u64,
    /// Loads ordered.
    pub loads: u64,
    /// Loads that failed.
    pub loads_failed: u64,
    /// Adapters evicted.
    pub evictions: u64,
}
