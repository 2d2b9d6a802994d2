//! Remembers targets that have left after their entries in the registry have ended.

use {
    super::registry::Target,
    crate::Time,
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Time for which a departure is remembered after the target's entry has ended, in milliseconds. It
/// exceeds the age of a copy from which the registry may come back, outage included.
const RETENTION_MS: u64 = 180_000;

/// Highest number of departures whose targets have no entry any more.
const ENDED_MAX: usize = 8192;

/// Time for which a departure that a target has told this host is repeated to other hosts, in
/// milliseconds. Several heartbeats may be lost.
const REPEAT_MS: u64 = 3000;

/// A start of a target that has left, or is about to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the target.
    pub target: FastStr,
    /// Unix time of the start that has left, in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// True if the target has said so, in the registry or in an answer. Otherwise only its entry has
    /// ended, as that of a target that was cut off does too.
    pub is_announced: bool,
    /// Position in the registry before which the target's entry ended; `None` while it is listed.
    pub ended_before: Option<u64>,
}

impl Departure {
    /// True if the entry of `target` is of a later registration than the one that has ended.
    pub(super) fn admits(&self, target: &Target) -> bool {
        let is_same_start =
            target.started_unix_ms == self.started_unix_ms && self.started_unix_ms != 0;
        let is_registered_again =
            self.ended_before.is_some_and(|position| target.registered_at >= position);
        target.started_unix_ms > self.started_unix_ms
            || is_registered_again && !(is_same_start && self.is_announced)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    departure: Departure,
    // set while the target has no entry in the registry: when the departure is forgotten
    forget_at: Option<Time>,
    repeat_until: Time,
}

/// Departures by target.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    by_target: IndexMap<FastStr, Entry>,
}

impl Departures {
    /// False if `target` has left with this start.
    pub(super) fn admits(&self, target: &Target) -> bool {
        self.by_target.get(&target.id).is_none_or(|entry| entry.departure.admits(target))
    }

    /// Merges a departure with what is known of the same target. Returns true if it is news.
    pub(super) fn merge(&mut self, departure: Departure) -> bool {
        let Some(entry) = self.by_target.get_mut(&departure.target) else {
            let id = departure.target.clone();
            let entry = Entry { departure, forget_at: None, repeat_until: Time::ZERO };
            self.by_target.insert(id, entry);
            return true;
        };
        let known = &mut entry.departure;
        if departure.started_unix_ms != known.started_unix_ms {
            let is_later = departure.started_unix_ms > known.started_unix_ms;
            if is_later {
                *known = departure;
            }
            return is_later;
        }
        let before = known.clone();
        known.is_announced |= departure.is_announced;
        known.ended_before = known.ended_before.max(departure.ended_before);
        *known != before
    }

    /// Has the departure of `target` repeated to other hosts for a while.
    pub(super) fn repeat(&mut self, now: Time, target: &str) {
        if let Some(entry) = self.by_target.get_mut(target) {
            entry.repeat_until = now.after_ms(REPEAT_MS);
        }
    }

    /// Forgets the departure of a target that is registered again.
    pub(super) fn forget(&mut self, target: &str) {
        self.by_target.swap_remove(target);
    }

    /// Distrusts entries written before `position`, which may be older than what is known.
    pub(super) fn distrust_entries_before(&mut self, position: u64) {
        for entry in self.by_target.values_mut() {
            let ended_before = &mut entry.departure.ended_before;
            *ended_before = ended_before.map(|known| known.max(position));
        }
    }

    /// Forgets departures whose targets have had no entry for long.
    pub(super) fn remove_expired(&mut self, now: Time, is_listed: impl Fn(&str) -> bool) {
        self.by_target.retain(|target, entry| {
            if is_listed(target) {
                entry.forget_at = None;
                return true;
            }
            now < *entry.forget_at.get_or_insert(now.after_ms(RETENTION_MS))
        });
        let ended = self.by_target.values().filter(|entry| entry.forget_at.is_some()).count();
        let mut excess = ended.saturating_sub(ENDED_MAX);
        if excess > 0 {
            // those that were learned first
            self.by_target.retain(|_, entry| {
                let is_dropped = excess > 0 && entry.forget_at.is_some();
                excess -= usize::from(is_dropped);
                !is_dropped
            });
        }
    }

    /// The departure of `target`.
    pub(super) fn get(&self, target: &str) -> Option<&Departure> {
        self.by_target.get(target).map(|entry| &entry.departure)
    }

    /// All departures.
    pub(super) fn all(&self) -> impl Iterator<Item = &Departure> {
        self.by_target.values().map(|entry| &entry.departure)
    }

    /// Departures that are repeated to other hosts.
    pub(super) fn repeated(&self, now: Time) -> impl Iterator<Item = &Departure> {
        let repeated = self.by_target.values().filter(move |entry| now < entry.repeat_until);
        repeated.map(|entry| &entry.departure)
    }
}
