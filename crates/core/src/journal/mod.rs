//! At-most-once execution: the journal of requests that must not be repeated.

mod decide;
mod fold;
mod record;

pub use {
    decide::{AppendOutcome, IntentDecision},
    fold::{Journal, JournalEntry, KeyRejection, Lookup},
    record::{Attempt, JournalRecord, KeyDigest, RecordedAnswer},
};
