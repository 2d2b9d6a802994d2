//! Request contents that may have crashed targets. All hosts are notified of them.

use {
    super::{
        attempt::{self, HealthSignal},
        request::OutgoingRequest,
    },
    crate::state::Edge,
    egret_core::{RunPolicy, Target, Time},
    egret_runtime::{Body, SuspectMsg, SuspectsMsg, events, now, with_deadline},
    faststr::FastStr,
    futures::{FutureExt, future::Shared},
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpStream, sync::oneshot},
};

/// How long a suspect is kept. A crashed engine restarts within seconds, and callers repeat the
/// same content until their deadline.
const SUSPECT_RETENTION_MS: u64 = 30_000;

/// Timeout of a connection that shows whether a target has crashed.
const CHECK_TIMEOUT_MS: u64 = 150;

/// Pause before the second check of a target that still accepted a connection. A process that ends
/// may close its connections before its listener.
const SECOND_CHECK_PAUSE_MS: u64 = 100;

/// Time for which the result of a check holds.
const CHECK_VALID_MS: u64 = 300;

/// Checks whether targets have crashed, by target.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    by_target: Mutex<IndexMap<FastStr, Check>>,
}

#[derive(Debug)]
struct Check {
    started_at: Time,
    // the result of the first connection: true if it was refused
    is_down: Shared<oneshot::Receiver<bool>>,
}

/// Reason of a refusal.
pub(crate) const REFUSAL_REASON: &str = "its content crashed targets";

/// True if the content of a request is refused because it crashed targets.
pub(crate) fn is_refused(edge: &Edge, out: &OutgoingRequest) -> bool {
    let mut suspects = edge.suspects.lock();
    let is_refused = matches!(suspects.run_policy(now(), out.fingerprint), RunPolicy::Refused(_));
    if is_refused {
        suspects.renew(now(), out.fingerprint, SUSPECT_RETENTION_MS);
    }
    is_refused
}

/// The suspects known to this host, for a host that may not know them.
pub(crate) fn suspects_message(edge: &Edge) -> Option<Body> {
    let records = edge.suspects.lock().records(now());
    let suspects: Vec<SuspectMsg> = records.into_iter().map(SuspectMsg::from).collect();
    (!suspects.is_empty()).then_some(Body::Suspects(SuspectsMsg { suspects }))
}

/// Records that the connection of a request broke off, and checks whether its target accepts
/// connections: waiting for the next request would find a crash late or never. Returns once the
/// first check has ended.
pub(crate) async fn handle_broken_connection(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    target: &Arc<Target>,
) {
    events::CRASH_WITNESSED.info(format_args!(
        "request={} route={} target={} content={:016x} parts={}",
        out.head.id,
        out.selected.route.name,
        target.id,
        out.fingerprint.0,
        out.head.shared_prompt_parts.join(",")
    ));
    edge.broken_connections.lock().record_broken(now(), &target.id, out.fingerprint);
    if check(edge, target).await == Ok(true) {
        // the connection of this request may have broken after the check had ended
        record_target_down(edge, target);
    }
}

// starts a check, or returns the one that was started before
fn check(edge: &Arc<Edge>, target: &Arc<Target>) -> Shared<oneshot::Receiver<bool>> {
    let mut checks = edge.crash_checks.by_target.lock();
    checks.retain(|_, check| now() < check.started_at.after_ms(CHECK_VALID_MS));
    if let Some(check) = checks.get(&target.id) {
        return check.is_down.clone();
    }
    let (tx, rx) = oneshot::channel();
    let is_down = rx.shared();
    let check = Check { started_at: now(), is_down: is_down.clone() };
    checks.insert(target.id.clone(), check);
    drop(checks);
    // a task of its own, since the caller of the request may leave
    tokio::spawn(run_check(edge.clone(), target.clone(), tx));
    is_down
}

async fn run_check(edge: Arc<Edge>, target: Arc<Target>, first_result: oneshot::Sender<bool>) {
    let mut is_down = refuses_connections(&target).await;
    // nobody may be waiting for the result
    let _ = first_result.send(is_down);
    if !is_down {
        tokio::time::sleep(Duration::from_millis(SECOND_CHECK_PAUSE_MS)).await;
        is_down = refuses_connections(&target).await;
    }
    if is_down {
        attempt::record_health(&edge, &target, HealthSignal::Unreachable);
        record_target_down(&edge, &target);
    }
}

// a target that does not answer at all may be cut off
async fn refuses_connections(target: &Target) -> bool {
    let deadline = now().after_ms(CHECK_TIMEOUT_MS);
    matches!(with_deadline(deadline, TcpStream::connect(target.address)).await, Some(Err(_)))
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
