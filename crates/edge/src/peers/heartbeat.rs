//! Heartbeats between hosts.

use {
    super::{
        adapter_deltas::{AdapterDeltas, EngineState},
        departures, gossip, rate_limits, send_history,
    },
    crate::{
        dispatch,
        orders::{self, EngineReconciler},
        state::{Edge, ReadPosition},
    },
    egret_runtime::{Body, HostHeartbeatMsg, ReadPositionMsg, TargetLoadMsg, now},
    faststr::FastStr,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval of heartbeats to hosts of the same data centre, which spread requests by the load
/// that the heartbeats report.
const HEARTBEAT_INTERVAL_MS: u64 = 150;

/// Hosts of other data centres get one heartbeat in this many intervals, since traffic between
/// data centres is expensive.
const REMOTE_INTERVAL_FACTOR: u64 = 2;

/// Number of heartbeat intervals between link probes.
const PROBE_EVERY_HEARTBEATS: u64 = 8;

/// A link that does not answer a probe within this time is closed. It is short enough that a
/// heartbeat over a new link arrives while this host still counts as live.
const PROBE_TIMEOUT_MS: u64 = 900;

/// Pause after a failed attempt to open a link to a host.
const RECONNECT_PAUSE_MS: u64 = 400;

/// Sends heartbeats to all hosts.
pub(crate) async fn send_heartbeats(edge: Arc<Edge>) {
    let mut round = 0_u64;
    let mut deltas = AdapterDeltas::default();
    loop {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        round += 1;
        let includes_remote = round.is_multiple_of(REMOTE_INTERVAL_FACTOR);
        let peers: Vec<(FastStr, SocketAddr, bool)> = edge
            .peers
            .lock()
            .all()
            .iter()
            .map(|(host, peer)| {
                let is_local = peer.record.data_centre == edge.cfg.data_centre;
                (host.clone(), peer.record.address, is_local)
            })
            .filter(|(_, _, is_local)| includes_remote || *is_local)
            .collect();
        if peers.is_empty() {
            continue;
        }
        let engines: Vec<EngineState> = edge
            .reconcilers
            .all()
            .iter()
            .map(|reconciler| engine_state(&edge, reconciler))
            .collect();
        let full_message = heartbeat(&edge);
        let is_probe_round = round.is_multiple_of(PROBE_EVERY_HEARTBEATS);
        for (host, address, is_local) in peers {
            let Some(link) = edge.links.get(&host) else {
                open_link(&edge, host, address);
                continue;
            };
            let mut message = if is_local {
                full_message.clone()
            } else {
                remote_heartbeat(&edge, &full_message, &host)
            };
            message.engines = deltas.changes_for(&host, &link, &engines);
            if !link.try_notify(Body::HostHeartbeat(message)) {
                deltas.forget(&host);
            }
            if is_probe_round {
                let edge = edge.clone();
                tokio::spawn(async move {
                    edge.links.close_if_unresponsive(&host, now().after_ms(PROBE_TIMEOUT_MS)).await;
                });
            }
        }
    }
}

// hosts of other data centres only need the load on the engines that they own: they report the
// total of each of those engines to all hosts
fn remote_heartbeat(edge: &Edge, full_message: &HostHeartbeatMsg, host: &str) -> HostHeartbeatMsg {
    let mut message = full_message.clone();
    let owners = edge.engine_owners.lock();
    message
        .target_loads
        .retain(|load| owners.owner_host(&load.target).is_some_and(|owner| owner == host));
    message
}

// opens the link in a task of its own, so that an unreachable host does not delay heartbeats to
// the others
fn open_link(edge: &Arc<Edge>, host: FastStr, address: SocketAddr) {
    if !edge.connecting.lock().insert(host.clone()) {
        return;
    }
    let edge = edge.clone();
    tokio::spawn(async move {
        if let Some(link) = edge.links.get_or_connect(&host, address).await {
            // the adapter lists follow with the next heartbeat
            let mut message = heartbeat(&edge);
            // the host may have restarted
            let sends = edge.peers.lock().all().get(&host).map(|peer| peer.sends.messages());
            message.earlier_sends = sends.unwrap_or_default();
            message.departures = departures::all(&edge);
            link.notify(Body::HostHeartbeat(message));
            // the host may also have missed crashes while it was cut off
            if let Some(crashes) = dispatch::crashes_message(&edge) {
                link.notify(crashes);
            }
        } else {
            edge.peers.lock().record_unreachable(&host);
            tokio::time::sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
        edge.connecting.lock().swap_remove(&host);
    });
}

fn heartbeat(edge: &Edge) -> HostHeartbeatMsg {
    let loads = edge
        .target_activity
        .lock()
        .iter()
        .filter(|(_, entry)| entry.running > 0)
        .map(|(target, entry)| TargetLoadMsg {
            target: target.to_string(),
            running: entry.running,
            adapters: entry.adapters.keys().map(ToString::to_string).collect(),
        })
        .collect();
    let in_progress = orders::own_loads_in_progress(edge);
    let wanted = orders::own_loads_wanted(edge);
    HostHeartbeatMsg {
        host: edge.cfg.host.to_string(),
        revision: edge.routing().revision,
        registry_age_ms: now().ms_since(*edge.registry_read_at.lock()),
        engines: Vec::new(),
        digest: gossip::digest(edge),
        registry_offset: edge.fleet.read().position(),
        loads_in_progress: u32::try_from(in_progress).unwrap_or(u32::MAX),
        loads_wanted: u32::try_from(wanted).unwrap_or(u32::MAX),
        operator_position: position_message(&edge.operator_position),
        host_log_position: position_message(&edge.host_log_position),
        target_loads: loads,
        send_totals: send_history::own_totals(edge),
        earlier_sends: Vec::new(),
        departures: departures::recent(edge),
        rate_limits: rate_limits::recent(edge),
    }
}

fn position_message(position: &Mutex<ReadPosition>) -> ReadPositionMsg {
    let position = *position.lock();
    ReadPositionMsg {
        next_offset: position.next_offset,
        age_ms: now().ms_since(position.caught_up_at),
    }
}

fn engine_state(edge: &Edge, reconciler: &EngineReconciler) -> EngineState {
    let own_running = edge
        .target_activity
        .lock()
        .get(&reconciler.engine)
        .map_or(0, |entry| u64::from(entry.running));
    let running = own_running + edge.peers.lock().running_at(&reconciler.engine);
    let may_order =
        edge.engine_owners.lock().order_fencing_token(now(), &reconciler.engine).is_some();
    let inventory = reconciler.inventory.lock();
    let resident =
        inventory.resident().iter().map(|(name, resident)| (name.clone(), resident.version));
    EngineState {
        engine: reconciler.engine.clone(),
        can_load: may_order && inventory.is_ready(),
        running: u32::try_from(running).unwrap_or(u32::MAX),
        adapters: Arc::new(resident.collect()),
    }
}
