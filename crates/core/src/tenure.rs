//! Which host gives orders to an engine.
//!
//! A host claims an engine by appending a record under the engine's name to a keyed stream of
//! the platform's log. The newest record names the holder, and its offset plus one is the fencing
//! number of all orders under it. A holder stays until its host is gone, and a restarted process
//! takes the claims of its host over with new fencing numbers at once: two processes of one host
//! never live at the same time.

use {
    crate::{Time, hash::rendezvous},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Time after the start of a read that showed no later claim for which a holder may order at
/// engines that don't check fencing numbers, in milliseconds. Several reads fit into it.
const RIGHT_MS: u64 = 2500;

/// Added to a wait for the difference between timers of two hosts, in milliseconds.
const MARGIN_MS: u64 = 200;

/// Whether engines refuse an order with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They do. A holder then goes on while it can't read the log: once another host has taken
    /// over, its orders are refused.
    Checked,
    /// They don't. A holder then stops once its last read is too old.
    Unchecked,
}

/// A claim as it stands on the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TenureRecord {
    /// The holder.
    pub host: FastStr,
    /// Distinguishes processes of that host.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct Holder {
    record: TenureRecord,
    fence: u64,
    // earliest time for orders under it, when this process is the holder
    from: Time,
    refused: bool,
}

/// Holders by engine, as one process knows them.
#[derive(Clone, Debug)]
pub struct Tenure {
    me: TenureRecord,
    fencing: Fencing,
    wait_ms: u64,
    read_at: Time,
    holders: IndexMap<FastStr, Holder>,
}

impl Tenure {
    /// For the process `me`. `lease_ms` is the time that must pass between the orders of two
    /// hosts at one engine.
    #[must_use]
    pub fn new(me: TenureRecord, fencing: Fencing, lease_ms: u64) -> Self {
        let wait_ms = lease_ms.max(RIGHT_MS) + MARGIN_MS;
        Self { me, fencing, wait_ms, read_at: Time::ZERO, holders: IndexMap::new() }
    }

    /// Notes a read that began at `started` and reached the end of the stream.
    pub fn read_to_end(&mut self, started: Time) {
        self.read_at = self.read_at.max(started);
    }

    /// Takes the record for `engine` at `offset`; an empty one ends the claim.
    pub fn saw(&mut self, now: Time, engine: &str, offset: u64, record: Option<TenureRecord>) {
        let fence = offset + 1;
        let before = self.holders.get(engine);
        if before.is_some_and(|holder| holder.fence >= fence) {
            return;
        }
        let Some(record) = record else {
            self.holders.swap_remove(engine);
            return;
        };
        let same_host = before.is_none_or(|holder| holder.record.host == record.host);
        let from = if same_host { now } else { now.after_ms(self.wait_ms) };
        let holder = Holder { record, fence, from, refused: false };
        self.holders.insert(FastStr::new(engine), holder);
    }

    /// Notes that `engine` refused an order under `fence`, since it knows a newer holder.
    pub fn refused(&mut self, engine: &str, fence: u64) {
        if let Some(holder) = self.holders.get_mut(engine).filter(|h| h.fence == fence) {
            holder.refused = true;
        }
    }

    /// The fencing number under which this process may order at `engine` now.
    #[must_use]
    pub fn fence(&self, now: Time, engine: &str) -> Option<u64> {
        let holder = self.holders.get(engine).filter(|h| h.record == self.me && !h.refused)?;
        let read = match self.fencing {
            Fencing::Checked => true,
            Fencing::Unchecked => now < self.read_at.after_ms(RIGHT_MS),
        };
        (read && now >= holder.from).then_some(holder.fence)
    }

    /// True when this process holds `engine`, whether or not it may order already.
    #[must_use]
    pub fn mine(&self, engine: &str) -> bool {
        self.holders.get(engine).is_some_and(|h| h.record == self.me && !h.refused)
    }

    /// The host that holds `engine`.
    #[must_use]
    pub fn holder(&self, engine: &str) -> Option<&FastStr> {
        self.holders.get(engine).map(|h| &h.record.host)
    }

    /// Engines that have a record.
    pub fn engines(&self) -> impl Iterator<Item = &FastStr> {
        self.holders.keys()
    }

    /// True when this process is to claim `engine`. `rivals` are the hosts that are alive and best
    /// placed for it, this one included if it is. A claim of a live host stands.
    #[must_use]
    pub fn should_claim(
        &self,
        engine: &str,
        alive: impl Fn(&str) -> bool,
        rivals: &[FastStr],
    ) -> bool {
        match self.holders.get(engine) {
            Some(h) if h.record.host == self.me.host => h.record != self.me,
            Some(h) if alive(&h.record.host) => false,
            _ => {
                let first = rivals.iter().max_by_key(|host| rendezvous(engine, host));
                first.is_some_and(|host| *host == self.me.host)
            }
        }
    }

    /// The record of a claim by this process.
    #[must_use]
    pub fn claim(&self) -> &TenureRecord {
        &self.me
    }
}
