//! Open connections of a listener, whose number has a limit.

use {
    crate::{clock::now, event::events},
    egret_core::{ConnectionDecision, ConnectionLimit, Time},
    indexmap::IndexMap,
    nix::sys::resource::{Resource, getrlimit},
    parking_lot::Mutex,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::Notify,
};

/// Shortest time between two log lines about the limit, in milliseconds.
const LOG_PAUSE_MS: u64 = 1000;

/// Clients' connections for each megabyte of a host's memory. One takes up to 32 KB beside bodies and
/// answers, so all of them take a quarter of the memory.
const CONNECTIONS_PER_MB: u64 = 8;

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: u64 = 200;

/// Share of the other descriptors that clients' connections may take, in tenths. Requests are served on three
/// quarters of them, and each of these may take a connection to its target as well, and a second one while
/// that is silent.
const DESCRIPTOR_TENTHS: u64 = 4;

/// Largest number of clients' connections on a host with this memory, in megabytes. The settings and the
/// system each may limit the descriptors of the process.
#[must_use]
pub fn client_connections_max(host_mb: u64, stated_descriptors: Option<u64>) -> usize {
    let system = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    let descriptors = stated_descriptors.unwrap_or(u64::MAX).min(system);
    let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / 10 * DESCRIPTOR_TENTHS;
    let max = host_mb.saturating_mul(CONNECTIONS_PER_MB).min(by_descriptors);
    usize::try_from(max).unwrap_or(usize::MAX)
}

#[derive(Debug)]
struct State {
    limit: ConnectionLimit,
    // notified to close a connection
    cuts: IndexMap<u64, Arc<Notify>>,
    closed_total: u64,
    next_log_at: Time,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct Connections {
    listener: &'static str,
    max: usize,
    state: Mutex<State>,
}

/// The place of a connection, until it is dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    connections: Arc<Connections>,
    id: u64,
    cut: Arc<Notify>,
    closes_after_answer: AtomicBool,
}

impl Connections {
    /// Allows `max` connections to the listener with this name.
    #[must_use]
    pub fn new(listener: &'static str, max: usize) -> Arc<Self> {
        let limit = ConnectionLimit::new(max);
        let (cuts, next_log_at) = (IndexMap::new(), Time::ZERO);
        let state = Mutex::new(State { limit, cuts, closed_total: 0, next_log_at });
        Arc::new(Self { listener, max, state })
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.state.lock().limit.count()
    }

    /// Number of connections that were closed because of the limit.
    #[must_use]
    pub fn closed_total(&self) -> u64 {
        self.state.lock().closed_total
    }

    /// Takes a place for a new connection, also that of the one that has waited longest for its client.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> ConnectionPlace {
        let cut = Arc::new(Notify::new());
        let (id, log_total) = {
            let mut state = self.state.lock();
            let (id, is_full) = match state.limit.open(now()) {
                ConnectionDecision::Open(id) => (id, false),
                ConnectionDecision::Replace { opened, closed } => {
                    if let Some(cut) = state.cuts.swap_remove(&closed) {
                        cut.notify_one();
                    }
                    (opened, true)
                }
            };
            state.cuts.insert(id, cut.clone());
            state.closed_total += u64::from(is_full);
            let is_logged = is_full && now() >= state.next_log_at;
            if is_logged {
                state.next_log_at = now().after_ms(LOG_PAUSE_MS);
            }
            (id, is_logged.then_some(state.closed_total))
        };
        if let Some(total) = log_total {
            events::CONNECTIONS_FULL
                .warn(format_args!("listener={} limit={} closed={total}", self.listener, self.max));
        }
        let closes_after_answer = AtomicBool::new(false);
        ConnectionPlace { connections: self.clone(), id, cut, closes_after_answer }
    }
}

impl ConnectionPlace {
    /// Records that the client has sent a part of a request, or that its answer has ended.
    pub fn record_wait(&self) {
        self.connections.state.lock().limit.record_wait(now(), self.id);
    }

    /// Records that a request has arrived completely. The connection keeps its place until its answer ends.
    /// Returns false if the request has to be refused, since as many are served as may be; the connection then
    /// ends with that answer, so that the next place is not for its client.
    #[must_use]
    pub fn record_request(&self) -> bool {
        let is_served = self.connections.state.lock().limit.record_request(self.id);
        if !is_served {
            self.close_after_answer();
        }
        is_served
    }

    /// Lets the connection end with its next answer, so that no request behind it is read.
    pub fn close_after_answer(&self) {
        self.closes_after_answer.store(true, Ordering::Release);
    }

    /// True if the connection ends with its next answer.
    #[must_use]
    pub fn closes_after_answer(&self) -> bool {
        self.closes_after_answer.load(Ordering::Acquire)
    }

    /// Notified to close the connection.
    #[must_use]
    pub fn cut(&self) -> &Arc<Notify> {
        &self.cut
    }

    /// Waits until the connection is to be closed for another one.
    pub async fn wait_until_cut(&self) {
        self.cut.notified().await;
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut state = self.connections.state.lock();
        state.limit.close(self.id);
        state.cuts.swap_remove(&self.id);
    }
}
