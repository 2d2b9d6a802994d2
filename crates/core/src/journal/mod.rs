//! At most once: the journal of requests that may not be repeated.

mod fold;
mod record;

pub use {
    fold::{BeginError, Entry, Journal, Lookup},
    record::{Attempt, JournalRecord, KeyDigest, RecordedAnswer},
};
