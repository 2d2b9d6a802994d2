//! One engine: its slots, the entries that wait for an answer, the version of its residents.

use {
    egret_core::{EngineLimits, EngineSlots, EngineSpec, Grant, ModelName, Refusal, RequestKey},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    std::sync::atomic::AtomicBool,
    tokio::sync::oneshot,
};

/// Versions of the list of residents under one claim.
const VERSIONS_PER_CLAIM: u64 = 1 << 24;

/// The answer to a request for a ticket.
#[derive(Clone, Debug)]
pub(crate) enum TicketDecision {
    /// It may run.
    Granted(Grant),
    /// It gets no ticket.
    Refused(Refusal),
}

#[derive(Debug)]
struct ResidentList {
    version: u64,
    models: IndexSet<ModelName>,
}

/// One engine that this keeper holds.
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
    /// A shard for an engine just taken over.
    pub(crate) fn new(name: FastStr, spec: EngineSpec, slots: EngineSlots) -> Self {
        // versions under one claim lie above those under all earlier ones
        let first_version = slots.fence() * VERSIONS_PER_CLAIM;
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

    /// Sizes of an engine.
    pub(crate) fn engine_limits(spec: &EngineSpec) -> EngineLimits {
        EngineLimits {
            adapter_slots: usize::from(spec.adapter_slots),
            batch: usize::from(spec.batch),
        }
    }

    /// Registers who waits for the answer to `key`.
    pub(crate) fn add_waiter(&self, key: RequestKey) -> oneshot::Receiver<TicketDecision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.lock().insert(key, tx);
        rx
    }

    /// Forgets who waits for `key`.
    pub(crate) fn remove_waiter(&self, key: &RequestKey) {
        self.waiters.lock().swap_remove(key);
    }

    /// Passes a verdict on. False when nobody waits for it any more.
    pub(crate) fn notify_waiter(&self, key: &RequestKey, verdict: TicketDecision) -> bool {
        let waiter = self.waiters.lock().swap_remove(key);
        waiter.is_some_and(|tx| tx.send(verdict).is_ok())
    }

    /// The residents and their version, which grows with each change.
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
