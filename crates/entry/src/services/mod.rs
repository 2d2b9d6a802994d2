//! Requests to plain services. Those that may not be repeated go through the journal.

mod call;
mod idempotency;
mod journal;
mod target;

pub(crate) use {
    call::serve,
    journal::{JournalState, append_journal, follow_journal},
};
