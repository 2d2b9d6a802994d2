//! At most once: the journal of requests that may not be repeated.

mod decide;
mod fold;
mod record;

pub use {
    decide::{AppendOutcome, IntentDecision},
    fold::{Journal, JournalEntry, KeyRejection, Lookup},
    record::{Attempt, JournalRecord, KeyDigest, RecordedAnswer},
};
