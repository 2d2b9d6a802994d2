//! Age of a host's view of the keys of accounts, so that no request runs under a key that was
//! revoked some time ago.
//!
//! The load is a revocation while hosts are cut off from the store, from each other or from both,
//! while answers of peers are held up, or while a process is frozen. In each of these cases the host
//! does not learn of the revocation. It therefore trusts its view only for a time after the start of
//! the read that the view comes from, on its own clock. Neither the arrival of a message nor what
//! another host says about its own clock makes a view younger.

use crate::Time;

/// Time before the end of the bound at which a view no longer counts. It covers the way of a request
/// to its target.
const MARGIN_MS: u64 = 250;

/// Age of a view from which on another host is asked for a younger one.
const ASK_AGE_MS: u64 = 1000;

/// The same on the host that reads for all. Its view is up to two long polls old, and a slow answer
/// is no reason to ask.
const READER_ASK_AGE_MS: u64 = 1800;

/// Least time between two questions, so that their cost is bounded also where the answers are old.
const ASK_INTERVAL_MS: u64 = 1000;

/// Least time between two reads of the store that serve the view alone.
const READ_INTERVAL_MS: u64 = 500;

/// Age of a view, in hundredths of the bound, from which on a host reads the store itself although
/// others answer. It leaves time for a read before six tenths of the bound have passed, from which
/// on callers are owed an answer only by hosts with a path to the store.
const OWN_READ_PERCENT: u64 = 55;

/// Time for which a view that has reached the end of the records counts as confirmed.
const CONFIRMED_MS: u64 = 1000;

/// What a host does about its view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewStep {
    /// Nothing now.
    Wait,
    /// Ask another host for the age of its view.
    Ask,
    /// Read the store.
    Read,
}

/// A change of whether requests with a key are served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewChange {
    /// The view has become too old.
    BecameTooOld,
    /// A view that was too old is young enough again.
    Renewed,
}

/// The view of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewAge {
    // time after which a revoked key must not be used; none if old views are used as well
    revoke_ms: Option<u64>,
    dates_from: Option<Time>,
    confirmed_at: Option<Time>,
    asked_at: Option<Time>,
    read_at: Option<Time>,
    // the last question got no answer, and no read has been tried since
    is_unanswered: bool,
    // questions without an answer since the last answer
    unanswered: u32,
    was_too_old: bool,
}

impl ViewAge {
    /// A host that has no view yet. Its view is too old `revoke_ms` after the start of the read that
    /// it comes from, less a margin; never if this is `None`.
    #[must_use]
    pub fn new(revoke_ms: Option<u64>) -> Self {
        Self { revoke_ms, ..Self::default() }
    }

    /// Records that a read by this host, which began at `started_at`, has reached the end of the
    /// records, and that what it brought is in force.
    pub fn record_read(&mut self, now: Time, started_at: Time) {
        self.dates_from = self.dates_from.max(Some(started_at));
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Records the answer of another host to a question that was asked at `asked_at`. What the other
    /// host has in force was in force here then.
    pub fn record_answer(&mut self, asked_at: Time, age_ms: u64) {
        let dates_from = asked_at.as_millis().checked_sub(age_ms).map(Time::from_millis);
        self.dates_from = self.dates_from.max(dates_from);
        self.confirmed_at = self.confirmed_at.max(dates_from);
        self.record_response();
    }

    /// Records that another host has answered, but does not vouch for the view of this one.
    pub fn record_response(&mut self) {
        self.is_unanswered = false;
        self.unanswered = 0;
    }

    /// Records that a question got no answer.
    pub fn record_silence(&mut self) {
        self.is_unanswered = true;
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Questions without an answer since the last answer. Another host is asked after each.
    #[must_use]
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Milliseconds since the start of the read that the view comes from; none before the first.
    #[must_use]
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.dates_from.map(|dates_from| now.ms_since(dates_from))
    }

    /// True if requests with a key must be refused.
    #[must_use]
    pub fn is_too_old(&self, now: Time) -> bool {
        let Some(revoke_ms) = self.revoke_ms else {
            return false;
        };
        self.age_ms(now).is_none_or(|age_ms| age_ms >= revoke_ms.saturating_sub(MARGIN_MS))
    }

    /// True if this host has reached the end of the records so recently that it knows all keys.
    #[must_use]
    pub fn is_confirmed(&self, now: Time) -> bool {
        self.confirmed_at.is_some_and(|at| now.ms_since(at) <= CONFIRMED_MS)
    }

    /// True if the view is so young that no host does anything about it, whatever its part.
    #[must_use]
    pub fn is_young(&self, now: Time) -> bool {
        let own_read_ms = self.own_read_ms().unwrap_or(u64::MAX);
        self.age_ms(now).is_some_and(|age_ms| age_ms <= ASK_AGE_MS.min(own_read_ms))
    }

    // a bound that is shorter than usual leaves less time
    fn own_read_ms(&self) -> Option<u64> {
        self.revoke_ms.map(|revoke_ms| revoke_ms.saturating_mul(OWN_READ_PERCENT) / 100)
    }

    /// What the host does about its view now. `is_reader` is true on the host that reads the records
    /// for all. A step other than waiting counts as begun.
    pub fn next_step(&mut self, now: Time, is_reader: bool) -> ViewStep {
        let Some(own_read_ms) = self.own_read_ms() else {
            return ViewStep::Wait;
        };
        let age_ms = self.age_ms(now).unwrap_or(u64::MAX);
        let ask_ms = if is_reader { READER_ASK_AGE_MS } else { ASK_AGE_MS }.min(own_read_ms);
        if age_ms <= ask_ms {
            return ViewStep::Wait;
        }
        let is_due = |last: Option<Time>, interval_ms: u64| {
            last.is_none_or(|at| now >= at.after_ms(interval_ms))
        };
        let wants_read = self.is_unanswered || age_ms >= own_read_ms;
        if wants_read && is_due(self.read_at, READ_INTERVAL_MS) {
            self.read_at = Some(now);
            self.is_unanswered = false;
            return ViewStep::Read;
        }
        if is_due(self.asked_at, ASK_INTERVAL_MS) {
            self.asked_at = Some(now);
            return ViewStep::Ask;
        }
        ViewStep::Wait
    }

    /// Whether requests with a key are served has changed since the last call.
    pub fn observe_change(&mut self, now: Time) -> Option<ViewChange> {
        let is_too_old = self.is_too_old(now);
        let was_too_old = std::mem::replace(&mut self.was_too_old, is_too_old);
        match (was_too_old, is_too_old) {
            (false, true) => Some(ViewChange::BecameTooOld),
            (true, false) => Some(ViewChange::Renewed),
            (false, false) | (true, true) => None,
        }
    }
}
