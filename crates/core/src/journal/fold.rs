//! The keys in use, computed from the journal stream.

use {
    super::record::{Attempt, JournalRecord, KeyDigest, RecordedAnswer},
    faststr::FastStr,
    indexmap::IndexMap,
    std::collections::BTreeSet,
    thiserror::Error,
};

/// State of a key in the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JournalEntry {
    /// Digest of the body of the first request with this key.
    pub body: FastStr,
    /// The attempt that may send the request.
    pub attempt: Attempt,
    /// When the key expires, in milliseconds of Unix time.
    pub expires_unix_ms: u64,
    /// The answer, once known.
    pub answer: Option<RecordedAnswer>,
}

/// What the journal allows for a request with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// The key is not in use.
    Free,
    /// The request was answered.
    Answered(RecordedAnswer),
    /// The request is being sent or its outcome was lost; it must never be sent again.
    Open,
    /// The key was used with another body.
    BodyMismatch,
}

/// Reason for which a request with a key can't be started.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum KeyRejection {
    /// The key has expired.
    #[error("the idempotency key has expired")]
    Expired,
    /// The expiry is further ahead than the journal keeps keys.
    #[error("the expiry lies more than {max_ms} ms ahead")]
    ExpiryTooFar {
        /// Latest expiry allowed, in milliseconds from now.
        max_ms: u64,
    },
    /// Older records of the journal were missed, so the key may have been used before.
    #[error("the journal is not complete yet")]
    Incomplete {
        /// Milliseconds until all missed keys have expired.
        retry_after_ms: u64,
    },
}

/// Keys in use, up to the last record read from the journal stream.
///
/// The order of intents on the log decides which attempt may send. An attempt sends only after it
/// has read the stream past its own intent, so two attempts never both find their own intent first.
#[derive(Clone, Debug)]
pub struct Journal {
    key_max_ms: u64,
    entries: IndexMap<KeyDigest, JournalEntry>,
    expiries: BTreeSet<(u64, KeyDigest)>,
    next_offset: u64,
    complete_from_unix_ms: u64,
}

impl Journal {
    /// Creates a journal whose keys expire at most `key_max_ms` ahead. The log must keep records
    /// for longer than that.
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

    /// Offset of the next record to read; all records below it are applied.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Number of keys in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no key is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets the first offset that the stream still holds, and notes a gap if this process missed
    /// records. Records dropped before its first read are older than any valid key; records missed
    /// later may not be.
    pub fn set_stream_start(&mut self, unix_ms: u64, start: u64) {
        if start <= self.next_offset {
            return;
        }
        if self.next_offset > 0 {
            self.complete_from_unix_ms = unix_ms + self.key_max_ms;
        }
        self.next_offset = start;
    }

    /// Applies the record at `offset`.
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

    /// Checks the expiry of a key at `unix_ms`, before a record is written for it.
    ///
    /// # Errors
    ///
    /// Returns the reason for which a request with this key can't be started.
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

    /// Returns what the journal allows for a request with `key` and a body of digest `body`.
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

    /// Removes keys that expired before `unix_ms`, less `margin_ms` for differing wall clocks.
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
