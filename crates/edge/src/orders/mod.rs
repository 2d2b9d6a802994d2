//! Claims on engines, and the orders of their owners that load and unload adapters.

mod claims;
mod reconciler;

pub(crate) use reconciler::{
    AdapterRequest, EngineReconciler, EngineReconcilers, LoadOutcome, all_loads_in_progress,
    load_on_own_engine, own_loads_in_progress, own_loads_wanted, record_missing_adapter,
};

use {crate::state::Edge, std::sync::Arc};

/// Starts claiming engines and reconciling those that this host owns.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(claims::maintain_claims(edge.clone()));
}
