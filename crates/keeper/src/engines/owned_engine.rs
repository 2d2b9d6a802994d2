//! State of one owned engine: slots, waiting ticket requests, and the version of its resident list.

use {
    egret_core::{EngineLimits, EngineSlots, EngineSpec, Grant, ModelName, Refusal, RequestKey},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    std::sync::atomic::AtomicBool,
    tokio::sync::oneshot,
};

/// Number of versions of the resident list under one claim.
const VERSIONS_PER_CLAIM: u64 = 1 << 24;

/// Answer to a ticket request.
#[derive(Clone, Debug)]
pub(crate) enum TicketDecision {
    /// The request may run.
    Granted(Grant),
    /// The request gets no ticket.
    Refused(Refusal),
}

#[derive(Debug)]
struct ResidentList {
    version: u64,
    models: IndexSet<ModelName>,
}

/// An engine that this keeper owns.
#[derive(Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) name: FastStr,
    pub(crate) spec: EngineSpec,
    pub(crate) slots: Mutex<EngineSlots>,
    pub(crate) probe_running: AtomicBool,
    waiters: Mutex<IndexMap<RequestKey, oneshot::Sender<TicketDecision>>>,
    last_residents: Mutex<ResidentList>,
}

impl OwnedEngine {
    /// Creates the state of an engine that has just been taken over.
    pub(crate) fn new(name: FastStr, spec: EngineSpec, slots: EngineSlots) -> Self {
        // Versions under a claim are greater than those under all earlier claims.
        let first_version = slots.fencing_token() * VERSIONS_PER_CLAIM;
        Self {
            name,
            spec,
            slots: Mutex::new(slots),
            probe_running: AtomicBool::new(false),
            waiters: Mutex::default(),
            last_residents: Mutex::new(ResidentList {
                version: first_version,
                models: IndexSet::new(),
            }),
        }
    }

    /// Returns the slot and batch limits of an engine.
    pub(crate) fn engine_limits(spec: &EngineSpec) -> EngineLimits {
        EngineLimits {
            adapter_slots: usize::from(spec.adapter_slots),
            batch: usize::from(spec.batch),
        }
    }

    /// Registers a waiter for the decision on `key`.
    pub(crate) fn add_waiter(&self, key: RequestKey) -> oneshot::Receiver<TicketDecision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.lock().insert(key, sender);
        receiver
    }

    pub(crate) fn remove_waiter(&self, key: &RequestKey) {
        self.waiters.lock().swap_remove(key);
    }

    /// Sends a decision to the waiter for `key`. Returns false if there is none.
    pub(crate) fn notify_waiter(&self, key: &RequestKey, decision: TicketDecision) -> bool {
        let waiter = self.waiters.lock().swap_remove(key);
        waiter.is_some_and(|sender| sender.send(decision).is_ok())
    }

    /// Returns the resident models and their version, which grows with each change.
    pub(crate) fn versioned_residents(&self) -> (u64, Vec<String>) {
        let models: IndexSet<ModelName> = self.slots.lock().resident().cloned().collect();
        let mut last = self.last_residents.lock();
        let changed = last.models != models;
        if changed {
            last.version += 1;
            last.models = models;
        }
        (last.version, last.models.iter().map(ModelName::to_string).collect())
    }
}
