//! Which host gives orders to an engine.
//!
//! A host claims an engine by appending a record under the engine's name to a keyed stream of
//! the platform's log. The newest record names the holder, and its offset plus one is the fencing
//! number of all orders under it. A holder stays until its host is gone, and a restarted process
//! takes the claims of its host over with new fencing numbers at once: two processes of one host
//! never live at the same time.

use {
    crate::{Time, hash::rendezvous_weight},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Time after the start of a read that showed no later claim for which a holder may order at
/// engines that don't check fencing numbers, in milliseconds. Several reads fit into it.
const READ_VALID_MS: u64 = 2500;

/// Added to a wait for the difference between timers of two hosts, in milliseconds.
const TIMER_MARGIN_MS: u64 = 200;

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
pub struct EngineClaim {
    /// The holder.
    pub host: FastStr,
    /// Distinguishes processes of that host.
    pub incarnation: u64,
    /// True when the engine was another host's before. A process that finds its own host's claim
    /// can't tell how long ago that was, and waits.
    pub taken_over: bool,
}

impl EngineClaim {
    fn is_same_process(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation == other.incarnation
    }
}

#[derive(Clone, Debug)]
struct Owner {
    record: EngineClaim,
    fence: u64,
    // earliest time for orders under it, when this process is the holder
    orders_allowed_from: Time,
    refused: bool,
}

/// Holders by engine, as one process knows them.
#[derive(Clone, Debug)]
pub struct EngineOwners {
    process: EngineClaim,
    fencing: Fencing,
    takeover_wait_ms: u64,
    last_read_at: Time,
    owners: IndexMap<FastStr, Owner>,
}

impl EngineOwners {
    /// For the process `me`. `lease_ms` is the time that must pass between the orders of two
    /// hosts at one engine.
    #[must_use]
    pub fn new(me: EngineClaim, fencing: Fencing, lease_ms: u64) -> Self {
        // a holder that can read stops when it reads the claim; where engines check nothing, one
        // that can't must have stopped by itself
        let right_ms = match fencing {
            Fencing::Checked => 0,
            Fencing::Unchecked => READ_VALID_MS,
        };
        let wait_ms = lease_ms + right_ms + TIMER_MARGIN_MS;
        Self {
            process: me,
            fencing,
            takeover_wait_ms: wait_ms,
            last_read_at: Time::ZERO,
            owners: IndexMap::new(),
        }
    }

    /// Notes a read that began at `started` and reached the end of the stream.
    pub fn record_complete_read(&mut self, started: Time) {
        self.last_read_at = self.last_read_at.max(started);
    }

    /// Takes the record for `engine` at `offset`; an empty one ends the claim.
    pub fn apply_record(
        &mut self,
        now: Time,
        engine: &str,
        offset: u64,
        record: Option<EngineClaim>,
    ) {
        let fence = offset + 1;
        let before = self.owners.get(engine);
        if before.is_some_and(|holder| holder.fence >= fence) {
            return;
        }
        let Some(record) = record else {
            self.owners.swap_remove(engine);
            return;
        };
        let waited = before.filter(|holder| holder.record.host == record.host);
        let from = match waited {
            // the earlier process of this host has not waited for this one
            Some(holder) if record.taken_over => holder.orders_allowed_from.max(now),
            _ if record.taken_over => now.after_ms(self.takeover_wait_ms),
            _ => now,
        };
        let holder = Owner { record, fence, orders_allowed_from: from, refused: false };
        self.owners.insert(FastStr::new(engine), holder);
    }

    /// Notes that `engine` refused an order under `fence`, since it knows a newer holder.
    pub fn record_refusal(&mut self, engine: &str, fence: u64) {
        if let Some(holder) = self.owners.get_mut(engine).filter(|h| h.fence == fence) {
            holder.refused = true;
        }
    }

    /// The fencing number under which this process may order at `engine` now.
    #[must_use]
    pub fn order_fence(&self, now: Time, engine: &str) -> Option<u64> {
        let holder = self
            .owners
            .get(engine)
            .filter(|h| h.record.is_same_process(&self.process) && !h.refused)?;
        let read = match self.fencing {
            Fencing::Checked => true,
            Fencing::Unchecked => now < self.last_read_at.after_ms(READ_VALID_MS),
        };
        (read && now >= holder.orders_allowed_from).then_some(holder.fence)
    }

    /// True when this process holds `engine`, whether or not it may order already.
    #[must_use]
    pub fn is_owner(&self, engine: &str) -> bool {
        self.owners
            .get(engine)
            .is_some_and(|h| h.record.is_same_process(&self.process) && !h.refused)
    }

    /// The host that holds `engine`.
    #[must_use]
    pub fn owner_host(&self, engine: &str) -> Option<&FastStr> {
        self.owners.get(engine).map(|h| &h.record.host)
    }

    /// Engines that have a record.
    pub fn engines(&self) -> impl Iterator<Item = &FastStr> {
        self.owners.keys()
    }

    /// The host that is to get `engine`, if its holder is gone. `live` are the hosts that may
    /// live, with their processes; `rivals` are those of them that are best placed for it. A claim
    /// of a live process stands, and a process that started again takes over what its host held.
    #[must_use]
    pub fn successor<'a>(
        &self,
        engine: &str,
        live: &'a IndexMap<FastStr, u64>,
        rivals: &[&'a FastStr],
    ) -> Option<&'a FastStr> {
        let holder = self.owners.get(engine).map(|holder| &holder.record);
        let living = holder.and_then(|record| Some((live.get_key_value(&record.host)?, record)));
        match living {
            Some(((_, incarnation), record)) if *incarnation == record.incarnation => None,
            Some(((host, _), _)) => Some(host),
            None => rivals.iter().max_by_key(|host| rendezvous_weight(engine, host)).copied(),
        }
    }

    /// The record of a claim on `engine` for the process `incarnation` of `host`. Any host may
    /// append it, since `host` orders only once it has read it: hosts that all claimed for
    /// themselves at the same time would each have to wait for the others' appends.
    #[must_use]
    pub fn new_claim(&self, engine: &str, host: &FastStr, incarnation: u64) -> EngineClaim {
        let before = self.owners.get(engine).map(|holder| &holder.record);
        let taken_over = before.is_some_and(|record| record.host != *host || record.taken_over);
        EngineClaim { host: host.clone(), incarnation, taken_over }
    }
}
