//! Changes of the registry, as hosts pass them on to each other.
//!
//! Addresses the start of thousands of targets at a fleet of hundreds of hosts: a whole list for each
//! change grows with the square of the targets, and changes by position grow with their number. What
//! has changed since a position follows from the entries themselves, so an entry that has changed
//! several times is sent once, and a contact that was away for long costs no more than what it lacks.

use {
    super::{departures::Departure, registry::Target},
    crate::Time,
    faststr::FastStr,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Time for which a host's targets have to differ from those of the senders of changes, at the same
/// position, before it asks for all entries. A departure that only one of them knows reaches the other
/// sooner.
const DIVERGED_MS: u64 = 1000;

/// Time between such questions, so that a difference that stays costs little.
const DIVERGED_ASK_MS: u64 = 3000;

/// Removals that are remembered. A contact that is further behind gets all entries.
const REMOVALS_MAX: usize = 4096;

/// Time in which changes for the same contact are collected.
const BATCH_MS: u64 = 100;

/// Time after which changes that a contact has not confirmed in its heartbeats are sent again.
const CONFIRM_MS: u64 = 400;

/// Time after which a host of the last release is sent the same list again.
const LIST_REPEAT_MS: u64 = 5000;

/// A registered target that has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangedTarget {
    /// Its latest entry.
    pub target: Arc<Target>,
    /// Position before which it changed last.
    pub changed_at: u64,
}

/// A target whose entry was removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RemovedTarget {
    /// Id of the target.
    pub id: FastStr,
    /// Position before which its entry was removed.
    pub changed_at: u64,
}

/// The changes of the registry from one position to another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetChanges {
    /// Position that the receiver has to know already.
    pub from: u64,
    /// Position that it knows then.
    pub to: u64,
    /// True if these are all entries, and the receiver needs to know none.
    pub is_complete: bool,
    /// Entries that were added or changed.
    pub changed: Vec<ChangedTarget>,
    /// Entries that were removed.
    pub removed: Vec<RemovedTarget>,
    /// What is known otherwise of these targets; of all, in a complete list.
    pub departures: Vec<Departure>,
    /// Digest of the sender's targets.
    pub digest: u64,
}

/// What changes have done at a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangesApplied {
    /// They were applied.
    Applied,
    /// The host knew them already.
    Known,
    /// Changes before them are missing. They have to be asked for.
    Gap,
}

/// Removals of entries, and how far back they are known.
#[derive(Clone, Debug, Default)]
pub(super) struct Removals {
    positions: IndexMap<FastStr, u64>,
    complete_from: u64,
}

impl Removals {
    pub(super) fn record(&mut self, id: &str, changed_at: u64) {
        let known = self.positions.entry(FastStr::new(id)).or_default();
        *known = changed_at.max(*known);
        if self.positions.len() > REMOVALS_MAX {
            let mut positions: Vec<u64> = self.positions.values().copied().collect();
            positions.sort_unstable();
            // half of them at once, so that this is rare
            let last = positions[positions.len() / 2];
            self.positions.retain(|_, position| *position > last);
            self.complete_from = self.complete_from.max(last);
        }
    }

    pub(super) fn forget(&mut self, id: &str) {
        self.positions.swap_remove(id);
    }

    /// Forgets all removals, as after a complete list.
    pub(super) fn restart(&mut self, position: u64) {
        self.positions.clear();
        self.complete_from = position;
    }

    /// Removals after `from`; none if not all of them are known.
    pub(super) fn since(&self, from: u64) -> Option<Vec<RemovedTarget>> {
        let removed = |(id, changed_at): (&FastStr, &u64)| RemovedTarget {
            id: id.clone(),
            changed_at: *changed_at,
        };
        let later = self.positions.iter().filter(|(_, changed_at)| **changed_at > from);
        (from >= self.complete_from).then(|| later.map(removed).collect())
    }
}

/// The changes that were sent to a contact.
#[derive(Clone, Copy, Debug)]
pub struct SentChanges {
    to: u64,
    at: Time,
    // digest of this host's state at the last whole list
    list_digest: Option<u64>,
}

impl Default for SentChanges {
    fn default() -> Self {
        Self { to: 0, at: Time::ZERO, list_digest: None }
    }
}

impl SentChanges {
    /// Position from which on a contact with another state gets changes now. It has reported to
    /// know `reported`, and this host knows `own`. None if it is not due yet.
    #[must_use]
    pub fn due_from(&self, now: Time, reported: u64, own: u64) -> Option<u64> {
        if now >= self.at.after_ms(CONFIRM_MS) {
            return Some(reported);
        }
        let sent = reported.max(self.to);
        (now >= self.at.after_ms(BATCH_MS) && sent < own).then_some(sent)
    }

    /// True if a contact that only takes whole lists gets one now, of a state with the digest `own`. The
    /// digests of such a contact are others, so they do not tell what it has.
    #[must_use]
    pub fn is_list_due(&self, now: Time, own: u64) -> bool {
        let is_news = self.list_digest != Some(own);
        now >= self.at.after_ms(if is_news { CONFIRM_MS } else { LIST_REPEAT_MS })
    }

    /// Records that the contact was sent the changes up to `to`.
    pub fn record(&mut self, now: Time, to: u64) {
        (self.to, self.at) = (to, now);
    }

    /// Records that the contact was sent a whole list of a state with the digest `own`.
    pub fn record_list(&mut self, now: Time, own: u64) {
        (self.list_digest, self.at) = (Some(own), now);
    }
}

/// Whether this host's targets differ from those of others that know the registry as far. Entries that
/// say the same as before are not passed on, but one of them may have admitted a target again at one
/// host only, since hosts that learn of its removal at different positions distrust different entries.
#[derive(Clone, Copy, Debug)]
pub struct Divergence {
    since: Option<Time>,
    asked_at: Time,
}

impl Default for Divergence {
    fn default() -> Self {
        Self { since: None, asked_at: Time::ZERO }
    }
}

impl Divergence {
    /// Records whether this host's targets are those of the sender of changes. Returns true if all
    /// entries are to be asked for.
    pub fn observe(&mut self, now: Time, is_same: bool) -> bool {
        if is_same {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = now >= since.after_ms(DIVERGED_MS)
            && (self.asked_at == Time::ZERO || now >= self.asked_at.after_ms(DIVERGED_ASK_MS));
        if is_due {
            self.since = None;
            self.asked_at = now;
        }
        is_due
    }
}
