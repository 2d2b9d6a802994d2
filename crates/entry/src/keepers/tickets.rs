//! Tickets that are open at this entry, and the promises it made about older ones.

use {
    crate::state::Entry,
    egret_core::{Fingerprint, ModelName, RunPolicy},
    egret_runtime::{AttemptKeyMsg, Body, ReleaseMsg, TicketMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::sync::Arc,
};

/// How long a keeper may take to find out whether an engine has crashed, in milliseconds.
const CRASH_CHECK_TIMEOUT_MS: u64 = 2500;

/// What is known of an open ticket.
#[derive(Clone, Debug)]
pub(crate) struct TicketRecord {
    /// Id of the request.
    pub(crate) request_id: FastStr,
    /// Attempt number.
    pub(crate) attempt: u32,
    /// Engine on which it may run.
    pub(crate) engine: FastStr,
    /// Fencing number under which it was granted.
    pub(crate) fence: u64,
    /// What it names.
    pub(crate) model: ModelName,
    /// Who sent the request.
    pub(crate) caller: FastStr,
    /// Its content.
    pub(crate) fingerprint: Fingerprint,
}

impl TicketRecord {
    fn key_message(&self) -> AttemptKeyMsg {
        AttemptKeyMsg { request: self.request_id.to_string(), attempt: self.attempt }
    }

    fn ticket_message(&self) -> TicketMsg {
        TicketMsg {
            key: self.key_message(),
            model: self.model.to_string(),
            caller: self.caller.to_string(),
            fingerprint: self.fingerprint.0,
        }
    }
}

#[derive(Debug, Default)]
struct TicketState {
    open: IndexMap<(FastStr, u32), TicketRecord>,
    min_fences: IndexMap<FastStr, u64>,
}

/// The open tickets and, for each engine, the fencing number below which nothing is started.
#[derive(Debug, Default)]
pub(crate) struct OpenTickets {
    state: Mutex<TicketState>,
}

impl OpenTickets {
    /// Opens a ticket. False when a promise forbids to start under its fencing number.
    fn open(&self, record: &TicketRecord) -> bool {
        let mut state = self.state.lock();
        let promised = state.min_fences.get(&record.engine).copied().unwrap_or(0);
        if record.fence < promised {
            return false;
        }
        let key = (record.request_id.clone(), record.attempt);
        state.open.insert(key, record.clone());
        true
    }

    fn close(&self, record: &TicketRecord) {
        let key = (record.request_id.clone(), record.attempt);
        self.state.lock().open.swap_remove(&key);
    }

    /// Promises to start nothing on `engine` under a number below `fence`, and lists the tickets
    /// that are open there.
    pub(crate) fn raise_min_fence(&self, engine: &FastStr, fence: u64) -> Vec<TicketMsg> {
        let mut state = self.state.lock();
        let promised = state.min_fences.entry(engine.clone()).or_insert(0);
        *promised = (*promised).max(fence);
        let open = state.open.values().filter(|t| t.engine == *engine);
        open.map(TicketRecord::ticket_message).collect()
    }

    /// Keys of all tickets that are open.
    pub(crate) fn open_keys(&self) -> Vec<AttemptKeyMsg> {
        self.state.lock().open.values().map(TicketRecord::key_message).collect()
    }

    /// Number of tickets that are open.
    pub(crate) fn len(&self) -> usize {
        self.state.lock().open.len()
    }
}

/// A ticket, given back when dropped.
#[derive(Debug)]
pub(crate) struct OpenTicket {
    entry: Arc<Entry>,
    record: TicketRecord,
    end: &'static str,
    is_closed: bool,
}

impl OpenTicket {
    /// Opens a granted ticket; none when the engine was taken over meanwhile.
    pub(crate) fn new(entry: &Arc<Entry>, record: TicketRecord) -> Option<Self> {
        let opened = entry.tickets.open(&record);
        let ticket = Self { entry: entry.clone(), record, end: "unused", is_closed: false };
        // dropping it gives it back unused
        opened.then_some(ticket)
    }

    /// The request has been sent: unless something else is said, it was given up.
    pub(crate) fn mark_sent(&mut self) {
        self.end = "abandoned";
    }

    /// The request was not sent after all, or the engine proved that it refused it.
    pub(crate) fn mark_unused(&mut self) {
        self.end = "unused";
    }

    /// The answer is whole.
    pub(crate) fn mark_done(&mut self) {
        self.end = "done";
    }

    /// The engine does not have the adapter.
    pub(crate) fn mark_not_resident(&mut self) {
        self.end = "not_resident";
    }

    /// The connection broke, as it does when an engine crashes: gives the ticket back and waits
    /// until its keeper knows whether the engine has crashed. If this content is a suspect by
    /// then, all keepers hear of it before the caller does, so that its next request with the
    /// same content finds them informed.
    pub(crate) async fn report_broken(mut self) {
        self.end = "broken";
        let Some((holder, release)) = self.close_once() else {
            return;
        };
        let entry = self.entry.clone();
        let by = now().after_ms(CRASH_CHECK_TIMEOUT_MS);
        let answer = entry.links.call(&holder, Body::Release(release), by).await;
        if let Ok(Body::Suspects(known)) = answer {
            entry.merge_suspects(&known.suspects);
        }
        let standing = entry.suspects.lock().run_policy(now(), self.record.fingerprint);
        if standing != RunPolicy::Unrestricted {
            entry.broadcast_suspects().await;
        }
    }

    /// Closes the ticket here; its keeper and what to tell it, unless that has been done.
    fn close_once(&mut self) -> Option<(FastStr, ReleaseMsg)> {
        if std::mem::replace(&mut self.is_closed, true) {
            return None;
        }
        self.entry.tickets.close(&self.record);
        let holder = {
            let views = self.entry.views.lock();
            views.get(&self.record.engine).map(|v| v.keeper.clone())
        };
        let release = ReleaseMsg {
            key: self.record.key_message(),
            engine: self.record.engine.to_string(),
            end: self.end.to_owned(),
            fingerprint: self.record.fingerprint.0,
        };
        // without a holder the next one learns from the list of open tickets
        Some((holder?, release))
    }
}

impl Drop for OpenTicket {
    fn drop(&mut self) {
        if let Some((holder, release)) = self.close_once() {
            self.entry.links.notify(&holder, Body::Release(release));
        }
    }
}
