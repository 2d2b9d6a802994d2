//! Follows the platform's store: routes and versions, targets, hosts and claims.

mod crash_findings;
mod host_log;
mod operator;
mod reach;
mod stream_reads;
mod targets;
mod version_record;

pub(crate) use {
    host_log::{append_if_unchanged, apply_passed_on, engine_key},
    operator::{apply_routing, apply_version, read_operator_records},
    reach::{record_reached, record_unreached},
    targets::{apply_changes, apply_listing, extend_grace_after_gap},
};

use {crate::state::Edge, std::sync::Arc};

/// Starts following the streams of the store.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(operator::follow(edge.clone()));
    tokio::spawn(targets::follow(edge.clone()));
    tokio::spawn(host_log::follow(edge.clone()));
    tokio::spawn(version_record::maintain(edge.clone()));
    tokio::spawn(crash_findings::maintain(edge.clone()));
    tokio::spawn(reach::probe_targets(edge.clone()));
}
