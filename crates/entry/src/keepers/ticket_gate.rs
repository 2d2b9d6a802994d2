//! What a new entry must know before it uses a ticket: which claims stand.
//!
//! An earlier incarnation of this entry may have promised a keeper to start nothing under an
//! older claim. The new one does not remember, so it takes no ticket until it has read the
//! claims from the log, or heard from the keeper of every host in the list.

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

/// Stream of the platform's log that carries the claims.
const CLAIM_STREAM: &str = "claims";

/// Whether this entry knows which claims stand.
#[derive(Debug, Default)]
pub(crate) struct TicketGate {
    open: AtomicBool,
    answered_hosts: Mutex<IndexSet<FastStr>>,
}

impl TicketGate {
    /// True once tickets may be used.
    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Notes that the keeper on `host` has told what it holds. `listed` are the hosts that the
    /// host list shows.
    pub(super) fn record_answer(&self, host: &FastStr, listed: &[FastStr]) {
        if self.is_open() {
            return;
        }
        let mut heard = self.answered_hosts.lock();
        heard.insert(host.clone());
        if listed.iter().all(|host| heard.contains(host)) {
            self.open.store(true, Ordering::Release);
        }
    }
}

/// Reads the claims until they are known, or until all keepers were heard.
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
            raise_min_fences(&entry, &claims);
            entry.ticket_gate.open.store(true, Ordering::Release);
        }
    }
}

fn raise_min_fences(entry: &Entry, claims: &Claims) {
    for (resource, holding) in claims.iter() {
        if let Resource::Engine(engine) = resource {
            entry.tickets.raise_min_fence(engine, holding.fence);
        }
    }
}
