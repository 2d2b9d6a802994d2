//! Blocks the use of tickets after a start until the current claims are known.
//!
//! By registering with a keeper, an earlier incarnation of this entry may have promised to start no
//! more requests under older claims, and a restart loses that state. So no ticket is used until the
//! claims have been read from the log, or the keeper of every listed host has answered a heartbeat.

use {
    crate::state::Entry,
    egret_core::{ClaimRecord, Claims, Resource},
    egret_runtime::Tail,
    faststr::FastStr,
    indexmap::IndexSet,
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Log stream of the claims.
const CLAIM_STREAM: &str = "claims";

/// Gate that opens once the current claims are known.
#[derive(Debug, Default)]
pub(crate) struct TicketGate {
    open: AtomicBool,
    answered_hosts: Mutex<IndexSet<FastStr>>,
}

impl TicketGate {
    /// Returns true once tickets may be used.
    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Records that the keeper on `host` has reported the engines it owns. `listed_hosts` holds
    /// all hosts in the host list.
    pub(super) fn record_answer(&self, host: &FastStr, listed_hosts: &[FastStr]) {
        if self.is_open() {
            return;
        }
        let mut answered = self.answered_hosts.lock();
        answered.insert(host.clone());
        if listed_hosts.iter().all(|host| answered.contains(host)) {
            self.open.store(true, Ordering::Release);
        }
    }
}

/// Reads the claims from the log until the gate is open.
pub(crate) async fn read_claims(entry: Arc<Entry>) {
    let mut tail = Tail::new(entry.log.clone(), CLAIM_STREAM);
    let mut claims = Claims::default();
    while !entry.ticket_gate.is_open() {
        let (_, batch) = tail.next_batch().await;
        let at_end = batch.reaches_end();
        claims.set_stream_start(batch.start);
        for (offset, record) in batch.decode::<ClaimRecord>() {
            if let Some(record) = record {
                claims.apply_record(offset, record);
            }
        }
        if at_end && claims.is_contiguous() {
            raise_min_fencing_tokens(&entry, &claims);
            entry.ticket_gate.open.store(true, Ordering::Release);
        }
    }
}

fn raise_min_fencing_tokens(entry: &Entry, claims: &Claims) {
    for (resource, owner) in claims.iter() {
        if let Resource::Engine(engine) = resource {
            entry.tickets.raise_min_fencing_token(engine, owner.fencing_token);
        }
    }
}
