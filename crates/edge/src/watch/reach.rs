//! Finds out whether this host reaches any target, by connections to some of them.

use {
    crate::state::Edge,
    egret_core::{Target, Time},
    egret_runtime::{Conn, events, now},
    faststr::FastStr,
    futures::future::join_all,
    std::{sync::Arc, time::Duration},
};

/// Interval of checks whether probes are due, while connections fail.
const CHECK_INTERVAL_MS: u64 = 100;

/// Targets probed in a round.
const PROBED_TARGETS: usize = 4;

/// Time in which a probed target has to take the connection. Handshakes take milliseconds, also at busy
/// targets.
const PROBE_TIMEOUT_MS: u64 = 400;

/// Time for which a probed connection has to stay open: something on the way may take connections and
/// reset them, which shows after a round trip.
const PROBE_HOLD_MS: u64 = 100;

/// Probes targets while connections to them fail.
pub(super) async fn probe_targets(edge: Arc<Edge>) {
    let mut round = 0;
    loop {
        let has_failures = edge.target_reach.lock().has_failures(now());
        if has_failures {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        } else {
            edge.target_failed.notified().await;
        }
        let count = edge.fleet.read().all_ready().count();
        if !edge.target_reach.lock().try_begin_probe(now(), count) {
            continue;
        }
        round += 1;
        let chosen = choose_targets(&edge, round);
        let probes = chosen.iter().map(|target| takes_connection(target, probe_deadline()));
        let is_open = join_all(probes).await.contains(&true);
        if is_open {
            record_opened(&edge);
        } else if edge.target_reach.lock().record_failed_probe(now()) {
            let ids: Vec<&FastStr> = chosen.iter().map(|target| &target.id).collect();
            events::TARGETS_UNREACHABLE.warn(format_args!("probed={ids:?}"));
            edge.counts.is_cut_off.set(1);
        }
    }
}

/// Records that a connection to `target` could not be opened, broke or fell silent.
pub(crate) fn record_failure(edge: &Edge, target: &FastStr) {
    edge.target_reach.lock().record_failure(now(), target);
    edge.target_failed.notify_one();
}

/// Records that a new connection to a target works.
pub(crate) fn record_opened(edge: &Edge) {
    if edge.target_reach.lock().record_opened() {
        events::TARGETS_REACHABLE.info(format_args!("host={}", edge.cfg.host));
        edge.counts.is_cut_off.set(0);
    }
}

// other targets in each round, spread over the list
fn choose_targets(edge: &Edge, round: usize) -> Vec<Arc<Target>> {
    let ready: Vec<Arc<Target>> = edge.fleet.read().all_ready().cloned().collect();
    let step = (ready.len() / PROBED_TARGETS).max(1);
    (0..PROBED_TARGETS.min(ready.len()))
        .map(|number| ready[(round + number * step) % ready.len()].clone())
        .collect()
}

fn probe_deadline() -> Time {
    now().after_ms(PROBE_TIMEOUT_MS)
}

async fn takes_connection(target: &Target, deadline: Time) -> bool {
    let Ok(conn) = Conn::open(target.address, deadline).await else {
        return false;
    };
    tokio::time::sleep(Duration::from_millis(PROBE_HOLD_MS)).await;
    conn.can_send()
}
