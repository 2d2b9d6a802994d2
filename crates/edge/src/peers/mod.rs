//! The other hosts: who they are, what they have under way, and the adapters that engines hold
//! under their orders.

mod ask;
mod beat;
mod held;
mod known;
mod news;

pub(crate) use {
    ask::{ask_load, tell_missing},
    known::{HostRecord, Peers},
    news::{Told, current, pass_on, rank, reads_for_all, told},
};

use {crate::state::Edge, std::sync::Arc};

/// Begins to talk with the other hosts.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(ask::serve(edge.clone()));
    tokio::spawn(beat::beat_all(edge.clone()));
}
