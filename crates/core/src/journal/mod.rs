//! At most once: the journal of requests that may not be repeated.

mod decide;
mod fold;
mod record;

pub use {
    decide::{AfterIntent, Written},
    fold::{BeginError, Entry, Journal, Lookup},
    record::{Attempt, JournalRecord, KeyDigest, RecordedAnswer},
};
