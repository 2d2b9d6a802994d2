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
pub enum Standing {
    /// Like any other.
    Clear,
    /// It was on a target that crashed: alone, one copy at a time.
    Alone,
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
    until: Time,
}

/// Suspects by the fingerprint of their content: callers send the same content again under
/// new request ids.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: IndexMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Counts a crash of a target that was running `contents`, remembered for `keep_ms`.
    pub fn crashed(&mut self, now: Time, contents: &[Fingerprint], keep_ms: u64) {
        self.forget(now);
        for fingerprint in contents {
            let crashes = self.known.get(fingerprint).map_or(0, |s| s.crashes);
            let suspect = Suspect {
                crashes: crashes.saturating_add(1).min(CRASHES_MAX),
                until: now.after_ms(keep_ms),
            };
            self.known.insert(*fingerprint, suspect);
        }
    }

    /// Notes contents whose connection to a target broke off: they run alone until it is known
    /// whether the target crashed.
    pub fn possible(&mut self, now: Time, contents: &[Fingerprint], keep_ms: u64) {
        let until = now.after_ms(keep_ms);
        for fingerprint in contents {
            self.known.entry(*fingerprint).or_insert(Suspect { crashes: 0, until });
        }
    }

    /// Clears a content that ran to its end while it was on one crash only.
    pub fn cleared(&mut self, fingerprint: Fingerprint) {
        let crashes = self.known.get(&fingerprint).map_or(0, |s| s.crashes);
        if crashes < CRASHES_MAX {
            self.known.swap_remove(&fingerprint);
        }
    }

    /// How `fingerprint` may be run now.
    #[must_use]
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        match self.known.get(&fingerprint) {
            Some(suspect) if now >= suspect.until => Standing::Clear,
            Some(suspect) if suspect.crashes >= CRASHES_MAX => Standing::Refused(suspect.until),
            Some(_) => Standing::Alone,
            None => Standing::Clear,
        }
    }

    /// Takes what another process knows.
    pub fn merge(&mut self, now: Time, record: SuspectRecord) {
        self.forget(now);
        let theirs = Suspect {
            crashes: record.crashes.min(CRASHES_MAX),
            until: now.after_ms(record.remaining_ms),
        };
        let ours = self.known.entry(record.fingerprint).or_insert(theirs);
        ours.crashes = ours.crashes.max(theirs.crashes);
        ours.until = ours.until.max(theirs.until);
    }

    /// What is known, to be told to others.
    #[must_use]
    pub fn records(&self, now: Time) -> Vec<SuspectRecord> {
        let fresh = self.known.iter().filter(|(_, s)| s.until > now);
        let record = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectRecord {
            fingerprint: *fingerprint,
            crashes: suspect.crashes,
            remaining_ms: now.ms_until(suspect.until),
        };
        fresh.map(record).collect()
    }

    fn forget(&mut self, now: Time) {
        self.known.retain(|_, suspect| suspect.until > now);
        while self.known.len() > SUSPECTS_MAX {
            self.known.shift_remove_index(0);
        }
    }
}
