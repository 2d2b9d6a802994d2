//! Inputs and outputs of an engine's slots.

use {
    crate::{EvictionPolicy, Fingerprint, ModelName, PriorityClass, Reason, Time, Weights},
    faststr::FastStr,
};

/// Identifies one attempt of one request across all processes.
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
    /// The attempt.
    pub key: RequestKey,
    /// The requested model.
    pub model: ModelName,
    /// The caller that sent it.
    pub caller: FastStr,
    /// Its priority class.
    pub class: PriorityClass,
    /// Time after which the request is refused.
    pub deadline: Time,
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// True when the same content ran on a target that crashed.
    pub suspect: bool,
    /// Number of engines on which the entry believes the model to be resident, including this one.
    pub resident_copies: u32,
}

/// Permission to run one request on the engine. Its adapter stays resident while the ticket is
/// open.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The requested model.
    pub model: ModelName,
    /// The caller that sent the request.
    pub caller: FastStr,
    /// Time at which the ticket expires unless its entry renews it.
    pub expires_at: Time,
    /// True when no other request may run beside it.
    pub exclusive: bool,
    /// True while the engine is asked to cancel the request.
    pub cancelling: bool,
    /// Time of the grant.
    pub granted_at: Time,
    /// Fingerprint of its content.
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
    /// The request was sent and given up: it is cancelled before the ticket ends.
    Abandoned,
    /// The connection broke as in a crash of the engine; otherwise like [`Self::Abandoned`].
    Broken,
}

/// A ticket for a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The attempt that gets the ticket.
    pub key: RequestKey,
    /// Fencing token of the keeper's claim.
    pub fencing_token: u64,
    /// Milliseconds that the request waited for a load; 0 if its adapter was resident.
    pub stall_ms: u64,
}

/// Final refusal of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The attempt that gets no ticket.
    pub key: RequestKey,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Milliseconds after which a retry may succeed.
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
    /// Kind of the order.
    pub kind: OrderKind,
    /// The adapter to load or unload.
    pub model: ModelName,
    /// Fencing token.
    pub fencing_token: u64,
    /// Time at which the order expires.
    pub deadline: Time,
    /// Permit of the weight store that a load occupies.
    pub permit: Option<u16>,
}

/// Result of an order, as far as known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadResult {
    /// The engine carried out the order.
    Done,
    /// The engine did not carry out the order.
    Failed,
    /// The engine refused the fencing token.
    Fenced,
    /// The answer was lost.
    Lost,
}

/// An order to cancel a request at the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cancel {
    /// The attempt to cancel.
    pub key: RequestKey,
}

/// An action that a keeper has to carry out after a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Notify an entry that its request may run.
    Grant(Grant),
    /// Notify an entry that its request gets no ticket.
    Refuse(Refusal),
    /// Send an order to the engine, if the lease is still valid when the order is written.
    Order(LoadOrder),
    /// Ask the engine to cancel a request.
    Cancel(Cancel),
    /// Ask the engine which adapters are resident.
    Probe,
    /// The load on this permit has certainly ended.
    FreePermit(u16),
}

/// Waiting requests for one adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestGroup {
    /// The adapter.
    pub model: ModelName,
    /// The most urgent class among them.
    pub class: PriorityClass,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Time at which the first of them was queued.
    pub since: Time,
    /// The nearest deadline among them.
    pub deadline: Time,
}

/// Capacity of an engine.
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
    /// Number of requests that may wait for one engine.
    pub queue_max: usize,
    /// Number of requests of one caller that may wait for one engine.
    pub caller_queue_max: usize,
    /// Lifetime of a ticket unless renewed, in milliseconds.
    pub ticket_ms: u64,
    /// How long an order may take, in milliseconds.
    pub order_timeout_ms: u64,
    /// Backoff after a first failed load, in milliseconds.
    pub load_backoff_ms: u64,
    /// Assumed duration of a request before the first one has ended, in milliseconds.
    pub initial_service_ms: u64,
    /// Assumed duration of a load before the first one has ended, in milliseconds.
    pub initial_load_ms: u64,
    /// Which adapter is evicted for another.
    pub eviction: EvictionPolicy,
    /// Trade-offs of placement and dispatch.
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
    /// Milliseconds spent waiting for loads, over all stalled requests.
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
