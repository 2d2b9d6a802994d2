//! Orders to engines: which host gives them, and what they hold.

mod claims;
mod reconciler;

pub(crate) use reconciler::{
    AdapterRequest, EngineReconciler, EngineReconcilers, all_loads_in_transit, load_on_own_engine,
    own_loads_in_transit, own_loads_wanted, record_missing_adapter,
};

use {crate::state::Edge, std::sync::Arc};

/// Begins to claim engines and to order those that are held.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(claims::maintain_claims(edge.clone()));
}
