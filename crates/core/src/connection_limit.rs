//! Limit of the connections of one listener.
//!
//! Load pattern: clients open connections and send nothing, or a part of a request, or requests that take
//! long, while ordinary callers come. At the limit a new connection takes the place of the one that has
//! waited longest for its client. A connection whose request is being served keeps its place, so only a part
//! of them may be served at a time: a new caller always finds a place, if only to be refused.

use {crate::Time, indexmap::IndexMap};

/// Part of the connections that wait for their clients at any time.
const WAITING_PARTS: usize = 4;

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
}

/// The open connections.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    served_max: usize,
    served: usize,
    next_id: u64,
    // when its client has last sent something; none while its request is served
    waiting_since: IndexMap<u64, Option<Time>>,
}

impl ConnectionLimit {
    /// Allows `max` connections, two at least.
    #[must_use]
    pub fn new(max: usize) -> Self {
        let max = max.max(2);
        let served_max = max - max.div_ceil(WAITING_PARTS);
        Self { max, served_max, served: 0, next_id: 0, waiting_since: IndexMap::new() }
    }

    /// Largest number of connections whose requests are served at the same time.
    #[must_use]
    pub fn served_max(&self) -> usize {
        self.served_max
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.waiting_since.len()
    }

    /// Decides about a new connection.
    ///
    /// # Panics
    ///
    /// If more connections are served than may be.
    pub fn open(&mut self, now: Time) -> ConnectionDecision {
        let mut closed = None;
        if self.waiting_since.len() >= self.max {
            let waiting =
                self.waiting_since.iter().filter_map(|(id, since)| Some(((*since)?, *id)));
            let (_, longest) = waiting.min().expect("fewer connections are served than are open");
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
            self.served -= usize::from(since.is_none());
            *since = Some(now);
        }
    }

    /// Records that a request has arrived completely. Returns false if it may not be served, since as many
    /// are as may be; its connection then goes on waiting.
    #[must_use]
    pub fn record_request(&mut self, id: u64) -> bool {
        let Some(since) = self.waiting_since.get_mut(&id).filter(|since| since.is_some()) else {
            // it is served already, or makes way for another one
            return true;
        };
        let is_served = self.served < self.served_max;
        if is_served {
            self.served += 1;
            *since = None;
        }
        is_served
    }

    /// Records that a connection has ended.
    pub fn close(&mut self, id: u64) {
        let since = self.waiting_since.swap_remove(&id);
        self.served -= usize::from(since == Some(None));
    }
}
