//! What is read from the platform's store: routes and versions, targets, hosts and claims.

mod operator;
mod own;
mod reach;
mod targets;

pub(crate) use {
    operator::{take_routing, take_version},
    own::{append_own, engine_key},
    targets::note_gap,
};

use {crate::state::Edge, std::sync::Arc};

/// Begins to follow the store.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(operator::follow(edge.clone()));
    tokio::spawn(targets::follow(edge.clone()));
    tokio::spawn(own::follow(edge.clone()));
}
