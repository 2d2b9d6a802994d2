//! Finds out whether this host reaches any target of a service, by connections to some of them.

use {
    crate::state::Edge,
    egret_core::{Target, TargetReach, Time},
    egret_runtime::{Conn, events, now},
    faststr::FastStr,
    futures::future::join_all,
    std::{sync::Arc, time::Duration},
};

/// Interval of checks whether probes are due, while connections fail.
const CHECK_INTERVAL_MS: u64 = 100;

/// Targets of a service probed in a round.
const PROBED_TARGETS: usize = 4;

/// Time in which a probed target has to take the connection. Handshakes take milliseconds, also at busy
/// targets.
const PROBE_TIMEOUT_MS: u64 = 400;

/// Time for which a probed connection has to stay open: something on the way may take connections and
/// reset them, which shows after a round trip.
const PROBE_HOLD_MS: u64 = 100;

/// Probes the targets of a service while connections to them fail.
pub(super) async fn probe_targets(edge: Arc<Edge>) {
    let mut round = 0;
    loop {
        let has_failures = edge.target_reach.lock().values().any(|reach| reach.has_failures(now()));
        if has_failures {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        } else {
            edge.target_failed.notified().await;
        }
        round += 1;
        let services: Vec<FastStr> = edge.target_reach.lock().keys().cloned().collect();
        join_all(services.iter().map(|service| probe_if_due(&edge, service, round))).await;
    }
}

async fn probe_if_due(edge: &Edge, service: &FastStr, round: usize) {
    let count = edge.fleet.read().all_ready().filter(|t| t.service == *service).count();
    let is_due = {
        let mut reaches = edge.target_reach.lock();
        reaches.get_mut(service).is_some_and(|reach| reach.try_begin_probe(now(), count))
    };
    if !is_due {
        return;
    }
    let ready: Vec<Arc<Target>> =
        edge.fleet.read().all_ready().filter(|t| t.service == *service).cloned().collect();
    // other targets in each round, spread over the list
    let step = (ready.len() / PROBED_TARGETS).max(1);
    let chosen: Vec<&Target> = (0..PROBED_TARGETS.min(ready.len()))
        .map(|number| &*ready[(round + number * step) % ready.len()])
        .collect();
    let deadline = now().after_ms(PROBE_TIMEOUT_MS);
    let probes = chosen.iter().map(|target| takes_connection(target, deadline));
    if join_all(probes).await.contains(&true) {
        record_reached(edge, service);
    } else {
        let ids: Vec<&FastStr> = chosen.iter().map(|target| &target.id).collect();
        record_failed_probe(edge, service, &ids);
    }
}

// a host is mostly cut off from all services at once
fn record_failed_probe(edge: &Edge, service: &FastStr, probed: &[&FastStr]) {
    let routing = edge.routing();
    let is_new = {
        let mut reaches = edge.target_reach.lock();
        let is_new = reaches.entry(service.clone()).or_default().record_failed_probe(now());
        if is_new {
            for name in routing.services().keys() {
                let reach = reaches.entry(name.clone()).or_default();
                if !reach.is_cut_off() {
                    reach.suspect(now());
                }
            }
        }
        is_new
    };
    if is_new {
        events::TARGETS_UNREACHABLE.warn(format_args!("service={service} probed={probed:?}"));
        edge.counts.record_cut_off(service, true);
    }
}

/// Records that a connection to `target` could not be opened, broke or fell silent.
pub(crate) fn record_unreached(edge: &Edge, target: &Target) {
    let mut reaches = edge.target_reach.lock();
    reaches.entry(target.service.clone()).or_default().record_failure(now(), &target.id);
    drop(reaches);
    edge.target_failed.notify_one();
}

/// Records that a new connection to a target of `service` works.
pub(crate) fn record_reached(edge: &Edge, service: &FastStr) {
    let was_cut_off =
        edge.target_reach.lock().get_mut(service).is_some_and(TargetReach::record_opened);
    if was_cut_off {
        events::TARGETS_REACHABLE.info(format_args!("service={service}"));
        edge.counts.record_cut_off(service, false);
        edge.relays.close();
    }
}

async fn takes_connection(target: &Target, deadline: Time) -> bool {
    let Ok(conn) = Conn::open(target.address, deadline).await else {
        return false;
    };
    tokio::time::sleep(Duration::from_millis(PROBE_HOLD_MS)).await;
    conn.can_send()
}
