//! Open tickets of this entry, and the lowest fencing token that each engine's tickets must have.

use {
    crate::state::Entry,
    egret_core::{Fingerprint, ModelName, RunPolicy},
    egret_runtime::{AttemptKeyMsg, Body, ReleaseMsg, TicketMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::sync::Arc,
};

/// Time that a keeper has to find out whether an engine has crashed, in milliseconds.
const CRASH_CHECK_TIMEOUT_MS: u64 = 2500;

/// Details of an open ticket.
#[derive(Clone, Debug)]
pub(crate) struct TicketRecord {
    pub(crate) request_id: FastStr,
    pub(crate) attempt: u32,
    /// Engine that may run the request.
    pub(crate) engine: FastStr,
    /// Fencing token of the claim under which the ticket was granted.
    pub(crate) fencing_token: u64,
    /// Model that the request names.
    pub(crate) model: ModelName,
    pub(crate) caller: FastStr,
    /// Fingerprint of the request's content.
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
    min_fencing_tokens: IndexMap<FastStr, u64>,
}

/// Open tickets and, for each engine, the fencing token below which no request is started.
#[derive(Debug, Default)]
pub(crate) struct OpenTickets {
    state: Mutex<TicketState>,
}

impl OpenTickets {
    /// Opens a ticket. Returns false if its fencing token is below the engine's minimum.
    fn open(&self, record: &TicketRecord) -> bool {
        let mut state = self.state.lock();
        let min_fencing_token = state.min_fencing_tokens.get(&record.engine).copied().unwrap_or(0);
        if record.fencing_token < min_fencing_token {
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

    /// Rejects new tickets of `engine` whose fencing token is below `fencing_token`. Returns the
    /// engine's open tickets.
    pub(crate) fn raise_min_fencing_token(
        &self,
        engine: &FastStr,
        fencing_token: u64,
    ) -> Vec<TicketMsg> {
        let mut state = self.state.lock();
        let min_fencing_token = state.min_fencing_tokens.entry(engine.clone()).or_insert(0);
        *min_fencing_token = (*min_fencing_token).max(fencing_token);
        let open = state.open.values().filter(|t| t.engine == *engine);
        open.map(TicketRecord::ticket_message).collect()
    }

    /// Returns the keys of all open tickets.
    pub(crate) fn open_keys(&self) -> Vec<AttemptKeyMsg> {
        self.state.lock().open.values().map(TicketRecord::key_message).collect()
    }

    /// Returns the number of open tickets.
    pub(crate) fn len(&self) -> usize {
        self.state.lock().open.len()
    }
}

/// An open ticket, which is released on drop.
#[derive(Debug)]
pub(crate) struct OpenTicket {
    entry: Arc<Entry>,
    record: TicketRecord,
    end: &'static str,
    is_closed: bool,
}

impl OpenTicket {
    /// Opens a granted ticket. Returns `None` if another keeper has taken over the engine.
    pub(crate) fn new(entry: &Arc<Entry>, record: TicketRecord) -> Option<Self> {
        let opened = entry.tickets.open(&record);
        let ticket = Self { entry: entry.clone(), record, end: "unused", is_closed: false };
        // A ticket that could not be opened is dropped here, which releases it as unused.
        opened.then_some(ticket)
    }

    /// Marks the request as sent. Unless another mark follows, it counts as abandoned.
    pub(crate) fn mark_sent(&mut self) {
        self.end = "abandoned";
    }

    /// Marks the ticket as unused: the request was not sent, or the engine refused it.
    pub(crate) fn mark_unused(&mut self) {
        self.end = "unused";
    }

    /// Marks the answer as complete.
    pub(crate) fn mark_done(&mut self) {
        self.end = "done";
    }

    /// Marks the adapter as missing on the engine.
    pub(crate) fn mark_not_resident(&mut self) {
        self.end = "not_resident";
    }

    /// Releases the ticket after its connection broke, as happens when an engine crashes, and waits
    /// until the keeper knows whether the engine has crashed. If the content is then a suspect, all
    /// linked keepers receive it before the caller gets its answer, so that they recognise a repeat
    /// of the same content.
    pub(crate) async fn report_broken(mut self) {
        self.end = "broken";
        let Some((keeper, release)) = self.close_once() else {
            return;
        };
        let entry = self.entry.clone();
        let deadline = now().after_ms(CRASH_CHECK_TIMEOUT_MS);
        let answer = entry.links.call(&keeper, Body::Release(release), deadline).await;
        if let Ok(Body::Suspects(known)) = answer {
            entry.merge_suspects(&known.suspects);
        }
        let run_policy = entry.suspects.lock().run_policy(now(), self.record.fingerprint);
        if run_policy != RunPolicy::Unrestricted {
            entry.broadcast_suspects().await;
        }
    }

    /// Closes the ticket on the first call and returns the engine's keeper and the release message.
    /// Returns `None` on later calls, or if the keeper is not known.
    fn close_once(&mut self) -> Option<(FastStr, ReleaseMsg)> {
        if std::mem::replace(&mut self.is_closed, true) {
            return None;
        }
        self.entry.tickets.close(&self.record);
        let keeper = {
            let views = self.entry.views.lock();
            views.get(&self.record.engine).map(|v| v.keeper.clone())
        };
        let release = ReleaseMsg {
            key: self.record.key_message(),
            engine: self.record.engine.to_string(),
            end: self.end.to_owned(),
            fingerprint: self.record.fingerprint.0,
        };
        // If no keeper is known, the next owner sees from the list of open tickets that this one is
        // closed.
        Some((keeper?, release))
    }
}

impl Drop for OpenTicket {
    fn drop(&mut self) {
        if let Some((keeper, release)) = self.close_once() {
            self.entry.links.notify(&keeper, Body::Release(release));
        }
    }
}
