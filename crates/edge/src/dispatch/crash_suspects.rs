//! Request contents that may have crashed targets. All hosts are notified of them.

use {
    super::request::OutgoingRequest,
    crate::state::Edge,
    egret_core::Target,
    egret_runtime::{Body, SuspectMsg, SuspectsMsg, events, now},
};

/// How long a suspect is kept. A crashed engine restarts within seconds, and callers repeat the
/// same content until their deadline.
const SUSPECT_RETENTION_MS: u64 = 30_000;

/// Records that the connection of a request broke off.
pub(crate) fn record_broken_connection(edge: &Edge, out: &OutgoingRequest, target: &Target) {
    edge.broken_connections.lock().record_broken(now(), &target.id, out.fingerprint);
}

/// Records that a target accepts no connection. The contents of requests that were running on it
/// become suspects.
pub(crate) fn record_target_down(edge: &Edge, target: &Target) {
    let fingerprints = edge.broken_connections.lock().confirm_crash(now(), &target.id);
    if fingerprints.is_empty() {
        return;
    }
    events::SUSPECTS_FOUND.warn(format_args!(
        "target={} contents={}",
        target.id,
        fingerprints.len()
    ));
    let records = {
        let mut suspects = edge.suspects.lock();
        suspects.record_crash(now(), &fingerprints, SUSPECT_RETENTION_MS);
        suspects.records(now())
    };
    let suspects: Vec<SuspectMsg> = records
        .into_iter()
        .filter(|record| fingerprints.contains(&record.fingerprint))
        .map(SuspectMsg::from)
        .collect();
    for link in edge.links.open_links() {
        link.notify(Body::Suspects(SuspectsMsg { suspects: suspects.clone() }));
    }
}
