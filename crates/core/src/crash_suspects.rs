//! Requests whose content may crash the targets that run them.

use {
    crate::{Fingerprint, Time},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Crashes after which a content is refused.
const CRASHES_MAX: u8 = 2;

/// Contents remembered at most; the ones that run out first are dropped.
const SUSPECTS_MAX: usize = 4096;

/// How a content may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPolicy {
    /// Like any other.
    Unrestricted,
    /// It was on a target that crashed: alone, one copy at a time.
    Isolated,
    /// It crashed a target while it ran alone, or two targets: refused until the time given.
    Refused(Time),
}

/// What processes tell each other of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Target crashes it was part of.
    pub crashes: u8,
    /// Milliseconds until it is forgotten, from when the record is sent.
    pub remaining_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u8,
    expires_at: Time,
}

/// Suspects by the fingerprint of their content: callers send the same content again under
/// new request ids.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    by_fingerprint: IndexMap<Fingerprint, Suspect>,
}

impl CrashSuspects {
    /// Counts a crash of a target that was running `contents`, remembered for `keep_ms`.
    pub fn record_crash(&mut self, now: Time, contents: &[Fingerprint], keep_ms: u64) {
        self.remove_expired(now);
        for fingerprint in contents {
            let crashes = self.by_fingerprint.get(fingerprint).map_or(0, |s| s.crashes);
            let suspect = Suspect {
                crashes: crashes.saturating_add(1).min(CRASHES_MAX),
                expires_at: now.after_ms(keep_ms),
            };
            self.by_fingerprint.insert(*fingerprint, suspect);
        }
    }

    /// Notes contents whose connection to a target broke off: they run alone until it is known
    /// whether the target crashed.
    pub fn record_possible_crash(&mut self, now: Time, contents: &[Fingerprint], keep_ms: u64) {
        let until = now.after_ms(keep_ms);
        for fingerprint in contents {
            self.by_fingerprint
                .entry(*fingerprint)
                .or_insert(Suspect { crashes: 0, expires_at: until });
        }
    }

    /// Clears a content that ran to its end while it was on one crash only.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let crashes = self.by_fingerprint.get(&fingerprint).map_or(0, |s| s.crashes);
        if crashes < CRASHES_MAX {
            self.by_fingerprint.swap_remove(&fingerprint);
        }
    }

    /// How `fingerprint` may be run now.
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

    /// Takes what another process knows.
    pub fn merge(&mut self, now: Time, record: SuspectRecord) {
        self.remove_expired(now);
        let theirs = Suspect {
            crashes: record.crashes.min(CRASHES_MAX),
            expires_at: now.after_ms(record.remaining_ms),
        };
        let ours = self.by_fingerprint.entry(record.fingerprint).or_insert(theirs);
        ours.crashes = ours.crashes.max(theirs.crashes);
        ours.expires_at = ours.expires_at.max(theirs.expires_at);
    }

    /// What is known, to be told to others.
    #[must_use]
    pub fn records(&self, now: Time) -> Vec<SuspectRecord> {
        let fresh = self.by_fingerprint.iter().filter(|(_, s)| s.expires_at > now);
        let record = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectRecord {
            fingerprint: *fingerprint,
            crashes: suspect.crashes,
            remaining_ms: now.ms_until(suspect.expires_at),
        };
        fresh.map(record).collect()
    }

    fn remove_expired(&mut self, now: Time) {
        self.by_fingerprint.retain(|_, suspect| suspect.expires_at > now);
        while self.by_fingerprint.len() > SUSPECTS_MAX {
            self.by_fingerprint.shift_remove_index(0);
        }
    }
}
