//! Requests to plain services. Requests that are not safe to repeat go through the journal.

mod call;
mod idempotency;
mod journal;
mod target;

pub(crate) use {
    call::serve,
    journal::{JournalState, append_journal, follow_journal},
};
