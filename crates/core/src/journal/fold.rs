//! The fold of the journal stream, and what it says of a key.

use {
    super::record::{Attempt, JournalRecord, KeyDigest, RecordedAnswer},
    faststr::FastStr,
    indexmap::IndexMap,
    std::collections::BTreeSet,
    thiserror::Error,
};

/// What the journal holds of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalEntry {
    /// Digest of the body of the first request with this key.
    pub body: FastStr,
    /// The attempt that may send.
    pub attempt: Attempt,
    /// When the key expires, in milliseconds of Unix time.
    pub expires_unix_ms: u64,
    /// The answer, once there is one.
    pub answer: Option<RecordedAnswer>,
}

/// What may be done for a request with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// The key is not in use.
    Free,
    /// Its request was answered.
    Answered(RecordedAnswer),
    /// Its request is being sent or its outcome was lost: never send it again.
    Open,
    /// It was used with another body.
    BodyMismatch,
}

/// Why a request with a key can't even be begun.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyRejection {
    /// The key has expired.
    #[error("the idempotency key has expired")]
    Expired,
    /// The expiry lies further ahead than the journal keeps keys.
    #[error("the expiry lies more than {max_ms} ms ahead")]
    ExpiryTooFar {
        /// Furthest expiry, in milliseconds from now.
        max_ms: u64,
    },
    /// The journal's older records were not seen: a key may have been used before.
    #[error("the journal is not complete yet")]
    Incomplete {
        /// Milliseconds until every key that was missed has expired.
        retry_after_ms: u64,
    },
}

/// Keys in use, as far as the journal stream was read.
///
/// The order of intents on the log decides which attempt may send. An attempt sends only after
/// it has read the stream beyond its own intent, so two attempts never both find themselves
/// first.
#[derive(Clone, Debug)]
pub struct Journal {
    key_max_ms: u64,
    entries: IndexMap<KeyDigest, JournalEntry>,
    expiries: BTreeSet<(u64, KeyDigest)>,
    next_offset: u64,
    complete_from_unix_ms: u64,
}

impl Journal {
    /// A journal whose keys expire at most `key_max_ms` ahead. The log must keep records for
    /// longer than that.
    #[must_use]
    pub fn new(key_max_ms: u64) -> Self {
        Self {
            key_max_ms,
            entries: IndexMap::new(),
            expiries: BTreeSet::new(),
            next_offset: 0,
            complete_from_unix_ms: 0,
        }
    }

    /// All records below this offset are folded.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that the stream can only be read from `start` on, and whether that is a gap in
    /// what this process was reading. Records dropped before it began to read are older than
    /// any key that is still valid; records missed in between may not be.
    pub fn set_stream_start(&mut self, unix_ms: u64, start: u64) {
        if start <= self.next_offset {
            return;
        }
        if self.next_offset > 0 {
            self.complete_from_unix_ms = unix_ms + self.key_max_ms;
        }
        self.next_offset = start;
    }

    /// Takes the record at `offset`.
    pub fn apply_record(&mut self, offset: u64, record: JournalRecord) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset + 1;
        match record {
            JournalRecord::Intent { key, body, attempt, expires_unix_ms } => {
                if self.entries.contains_key(&key) {
                    return;
                }
                self.expiries.insert((expires_unix_ms, key.clone()));
                let entry = JournalEntry { body, attempt, expires_unix_ms, answer: None };
                self.entries.insert(key, entry);
            }
            JournalRecord::Done { key, attempt, answer } => {
                if let Some(entry) = self.entries.get_mut(&key)
                    && entry.attempt == attempt
                {
                    entry.answer.get_or_insert(answer);
                }
            }
            JournalRecord::NotSent { key, attempt } => self.release_key(&key, &attempt),
        }
    }

    /// Checks a key's expiry at `unix_ms`, before anything is written for it.
    ///
    /// # Errors
    ///
    /// Says why a request with this key can't be begun.
    pub fn check_expiry(&self, unix_ms: u64, expires_unix_ms: u64) -> Result<(), KeyRejection> {
        if expires_unix_ms <= unix_ms {
            return Err(KeyRejection::Expired);
        }
        if expires_unix_ms > unix_ms + self.key_max_ms {
            return Err(KeyRejection::ExpiryTooFar { max_ms: self.key_max_ms });
        }
        if unix_ms < self.complete_from_unix_ms {
            let retry_after_ms = self.complete_from_unix_ms - unix_ms;
            return Err(KeyRejection::Incomplete { retry_after_ms });
        }
        Ok(())
    }

    /// True when `key` is in use.
    #[must_use]
    pub fn is_in_use(&self, key: &KeyDigest) -> bool {
        self.entries.contains_key(key)
    }

    /// What may be done for a request with `key` and a body of digest `body`.
    #[must_use]
    pub fn lookup(&self, key: &KeyDigest, body: &str) -> Lookup {
        let Some(entry) = self.entries.get(key) else {
            return Lookup::Free;
        };
        if entry.body != body {
            return Lookup::BodyMismatch;
        }
        match &entry.answer {
            Some(answer) => Lookup::Answered(answer.clone()),
            None => Lookup::Open,
        }
    }

    /// True when `attempt` may send the request of `key`: its intent was read back and is the
    /// first.
    #[must_use]
    pub fn can_send(&self, key: &KeyDigest, attempt: &Attempt) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|e| e.attempt == *attempt && e.answer.is_none())
    }

    /// Drops keys that expired before `unix_ms`, less a margin for differing wall clocks.
    pub fn remove_expired(&mut self, unix_ms: u64, margin_ms: u64) {
        let limit = unix_ms.saturating_sub(margin_ms);
        while let Some((expires, key)) = self.expiries.pop_first() {
            if expires > limit {
                self.expiries.insert((expires, key));
                return;
            }
            self.entries.swap_remove(&key);
        }
    }

    fn release_key(&mut self, key: &KeyDigest, attempt: &Attempt) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        if entry.attempt == *attempt && entry.answer.is_none() {
            self.expiries.remove(&(entry.expires_unix_ms, key.clone()));
            self.entries.swap_remove(key);
        }
    }
}
