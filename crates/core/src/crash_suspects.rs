//! Tracks requests whose content may crash the targets that run them.

use {
    crate::{Fingerprint, Time},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Crashes from which on a content is refused.
const CRASHES_MAX: u8 = 2;

/// Contents recorded; those that expire first are dropped beyond that.
const SUSPECTS_MAX: usize = 4096;

/// How a request with a given content may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPolicy {
    /// No restriction.
    Unrestricted,
    /// It was on a target that crashed: it runs alone, one copy at a time.
    Isolated,
    /// It crashed a target while it ran alone, or two targets: it is refused until this time.
    Refused(Time),
}

/// A suspect as processes exchange it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// Crashes of targets that were running the content.
    pub crashes: u8,
    /// Remaining lifetime at the time the record is sent.
    pub remaining_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u8,
    expires_at: Time,
}

/// Suspects by the fingerprint of their content: callers send the same content again under new
/// request ids.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    by_fingerprint: IndexMap<Fingerprint, Suspect>,
}

impl CrashSuspects {
    /// Counts a crash of a target that was running the contents with these fingerprints, and keeps
    /// them for `ttl_ms`.
    pub fn record_crash(&mut self, now: Time, fingerprints: &[Fingerprint], ttl_ms: u64) {
        self.remove_expired(now);
        for fingerprint in fingerprints {
            let crashes = self.by_fingerprint.get(fingerprint).map_or(0, |s| s.crashes);
            let suspect = Suspect {
                crashes: crashes.saturating_add(1).min(CRASHES_MAX),
                expires_at: now.after_ms(ttl_ms),
            };
            self.by_fingerprint.insert(*fingerprint, suspect);
        }
    }

    /// Records contents whose connection to a target broke off. They run alone until it is known
    /// whether the target crashed.
    pub fn record_possible_crash(&mut self, now: Time, fingerprints: &[Fingerprint], ttl_ms: u64) {
        let expires_at = now.after_ms(ttl_ms);
        for fingerprint in fingerprints {
            self.by_fingerprint.entry(*fingerprint).or_insert(Suspect { crashes: 0, expires_at });
        }
    }

    /// Removes a content that ran to its end, unless it was involved in two crashes.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let crashes = self.by_fingerprint.get(&fingerprint).map_or(0, |s| s.crashes);
        if crashes < CRASHES_MAX {
            self.by_fingerprint.swap_remove(&fingerprint);
        }
    }

    /// How the content with `fingerprint` may run now.
    #[must_use]
    pub fn run_policy(&self, now: Time, fingerprint: Fingerprint) -> RunPolicy {
        match self.by_fingerprint.get(&fingerprint) {
            Some(suspect) if now >= suspect.expires_at => RunPolicy::Unrestricted,
            Some(suspect) if suspect.crashes >= CRASHES_MAX => {
                RunPolicy::Refused(suspect.expires_at)
            }
            Some(_) => RunPolicy::Isolated,
            None => RunPolicy::Unrestricted,
        }
    }

    /// Merges a record of another process.
    pub fn merge(&mut self, now: Time, record: SuspectRecord) {
        self.remove_expired(now);
        let received = Suspect {
            crashes: record.crashes.min(CRASHES_MAX),
            expires_at: now.after_ms(record.remaining_ms),
        };
        let suspect = self.by_fingerprint.entry(record.fingerprint).or_insert(received);
        suspect.crashes = suspect.crashes.max(received.crashes);
        suspect.expires_at = suspect.expires_at.max(received.expires_at);
    }

    /// The suspects as records for other processes.
    #[must_use]
    pub fn records(&self, now: Time) -> Vec<SuspectRecord> {
        let active = self.by_fingerprint.iter().filter(|(_, s)| s.expires_at > now);
        let record = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectRecord {
            fingerprint: *fingerprint,
            crashes: suspect.crashes,
            remaining_ms: now.ms_until(suspect.expires_at),
        };
        active.map(record).collect()
    }

    fn remove_expired(&mut self, now: Time) {
        self.by_fingerprint.retain(|_, suspect| suspect.expires_at > now);
        while self.by_fingerprint.len() > SUSPECTS_MAX {
            self.by_fingerprint.shift_remove_index(0);
        }
    }
}
