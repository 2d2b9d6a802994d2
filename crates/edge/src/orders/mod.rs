//! Orders to engines: which host gives them, and what they hold.

mod claims;
mod driver;

pub(crate) use driver::{
    Driver, Drivers, Wish, in_transit, load_here, missing_here, own_transit, own_wanted,
};

use {crate::state::Edge, std::sync::Arc};

/// Begins to claim engines and to order those that are held.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(claims::keep(edge.clone()));
}
