//! Limit of the connections of one listener.
//!
//! Load pattern: clients open connections and send nothing, or a part of a request, while ordinary callers
//! come. At the limit a new connection takes the place of the one that has waited longest for its client. A
//! connection whose request is being served keeps its place.

use {crate::Time, indexmap::IndexMap};

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionDecision {
    /// It is open under this id.
    Open(u64),
    /// It is open under the id `opened`, and `closed` is to be closed for it.
    Replace {
        /// Id of the new connection.
        opened: u64,
        /// Id of the connection that makes way.
        closed: u64,
    },
    /// It is to be closed: a request is being served on each connection.
    Refuse,
}

/// The open connections.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    next_id: u64,
    // when its client has last sent something; none while its request is served
    waiting_since: IndexMap<u64, Option<Time>>,
}

impl ConnectionLimit {
    /// Allows `max` connections, one at least.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { max: max.max(1), next_id: 0, waiting_since: IndexMap::new() }
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.waiting_since.len()
    }

    /// Decides about a new connection.
    pub fn open(&mut self, now: Time) -> ConnectionDecision {
        let mut closed = None;
        if self.waiting_since.len() >= self.max {
            let waiting =
                self.waiting_since.iter().filter_map(|(id, since)| Some(((*since)?, *id)));
            let Some((_, longest)) = waiting.min() else {
                return ConnectionDecision::Refuse;
            };
            self.waiting_since.swap_remove(&longest);
            closed = Some(longest);
        }
        let opened = self.next_id;
        self.next_id += 1;
        self.waiting_since.insert(opened, Some(now));
        match closed {
            Some(closed) => ConnectionDecision::Replace { opened, closed },
            None => ConnectionDecision::Open(opened),
        }
    }

    /// Records that a client has sent a part of a request, or that its answer has ended.
    pub fn record_wait(&mut self, now: Time, id: u64) {
        if let Some(since) = self.waiting_since.get_mut(&id) {
            *since = Some(now);
        }
    }

    /// Records that a request has arrived completely.
    pub fn record_request(&mut self, id: u64) {
        if let Some(since) = self.waiting_since.get_mut(&id) {
            *since = None;
        }
    }

    /// Records that a connection has ended.
    pub fn close(&mut self, id: u64) {
        self.waiting_since.swap_remove(&id);
    }
}
