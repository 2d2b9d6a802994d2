//! Heartbeats between hosts.

use {
    super::{
        adapter_deltas::{AdapterDeltas, EngineState},
        gossip,
    },
    crate::{
        orders::{self, EngineReconciler},
        state::{Edge, ReadPosition},
    },
    egret_runtime::{Body, HostHeartbeatMsg, ReadPositionMsg, TargetLoadMsg, now},
    faststr::FastStr,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between heartbeats to hosts of the same data centre, in milliseconds: requests there
/// are spread by each other's load.
const HEARTBEAT_INTERVAL_MS: u64 = 150;

/// Heartbeats to hosts of other data centres are fewer by this factor, since bytes between data
/// centres are dear.
const REMOTE_INTERVAL_FACTOR: u64 = 2;

/// Heartbeats after which links are probed.
const PROBE_EVERY_HEARTBEATS: u64 = 8;

/// Time after which a link that answers nothing is closed, in milliseconds. With a new link the
/// next heartbeat comes before this host counts as gone.
const PROBE_TIMEOUT_MS: u64 = 900;

/// Pause before a host that does not take links is tried again, in milliseconds.
const RECONNECT_PAUSE_MS: u64 = 400;

/// Sends heartbeats to all hosts.
pub(crate) async fn send_heartbeats(edge: Arc<Edge>) {
    let mut round = 0_u64;
    let mut told = AdapterDeltas::default();
    loop {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        round += 1;
        let far_too = round.is_multiple_of(REMOTE_INTERVAL_FACTOR);
        let peers: Vec<(FastStr, SocketAddr, bool)> = edge
            .peers
            .lock()
            .all()
            .iter()
            .map(|(host, peer)| {
                let near = peer.record.data_centre == edge.cfg.data_centre;
                (host.clone(), peer.record.address, near)
            })
            .filter(|(_, _, near)| far_too || *near)
            .collect();
        if peers.is_empty() {
            continue;
        }
        let engines: Vec<EngineState> =
            edge.reconcilers.all().iter().map(|driver| engine_state(&edge, driver)).collect();
        let whole = heartbeat(&edge);
        let probes = round.is_multiple_of(PROBE_EVERY_HEARTBEATS);
        for (host, address, near) in peers {
            let Some(link) = edge.links.get(&host) else {
                open_link(&edge, host, address);
                continue;
            };
            let mut beat =
                if near { whole.clone() } else { remote_heartbeat(&edge, &whole, &host) };
            beat.engines = told.changes_for(&host, &link, &engines);
            if !link.try_notify(Body::HostHeartbeat(beat)) {
                told.forget(&host);
            }
            if probes {
                let edge = edge.clone();
                tokio::spawn(async move {
                    edge.links.close_if_unresponsive(&host, now().after_ms(PROBE_TIMEOUT_MS)).await;
                });
            }
        }
    }
}

// a host of another data centre needs to know of requests at the engines that it orders only: it
// tells everybody how many run there in all
fn remote_heartbeat(edge: &Edge, whole: &HostHeartbeatMsg, host: &str) -> HostHeartbeatMsg {
    let mut beat = whole.clone();
    let tenure = edge.engine_claims.lock();
    beat.target_loads
        .retain(|load| tenure.owner_host(&load.target).is_some_and(|holder| holder == host));
    beat
}

// opens the link beside the heartbeats, so that a host that is gone holds up nobody
fn open_link(edge: &Arc<Edge>, host: FastStr, address: SocketAddr) {
    if !edge.connecting.lock().insert(host.clone()) {
        return;
    }
    let edge = edge.clone();
    tokio::spawn(async move {
        if let Some(link) = edge.links.get_or_connect(&host, address).await {
            // the next heartbeat tells the rest
            link.notify(Body::HostHeartbeat(heartbeat(&edge)));
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
        .filter(|(_, at)| at.running > 0)
        .map(|(target, at)| TargetLoadMsg {
            target: target.to_string(),
            running: at.running,
            adapters: at.adapters.keys().map(ToString::to_string).collect(),
        })
        .collect();
    let transit = orders::own_loads_in_transit(edge);
    let wanted = orders::own_loads_wanted(edge);
    HostHeartbeatMsg {
        host: edge.cfg.host.to_string(),
        revision: edge.routing().revision,
        registry_age_ms: now().ms_since(*edge.registry_read_at.lock()),
        engines: Vec::new(),
        digest: gossip::digest(edge),
        registry_offset: edge.fleet.read().position(),
        adapters_in_transit: u32::try_from(transit).unwrap_or(u32::MAX),
        pending_loads: u32::try_from(wanted).unwrap_or(u32::MAX),
        operator_position: read_message(&edge.operator_position),
        coordination_position: read_message(&edge.own_position),
        target_loads: loads,
    }
}

fn read_message(reading: &Mutex<ReadPosition>) -> ReadPositionMsg {
    let reading = *reading.lock();
    ReadPositionMsg {
        end_offset: reading.next_offset,
        age_ms: now().ms_since(reading.caught_up_at),
    }
}

fn engine_state(edge: &Edge, driver: &EngineReconciler) -> EngineState {
    let own = edge.target_activity.lock().get(&driver.engine).map_or(0, |at| u64::from(at.running));
    let running = own + edge.peers.lock().running_at(&driver.engine);
    let right = edge.engine_claims.lock().order_fence(now(), &driver.engine).is_some();
    let book = driver.residency.lock();
    let held = book.held().iter().map(|(name, held)| (name.clone(), held.version));
    EngineState {
        engine: driver.engine.clone(),
        can_load: right && book.is_ready(),
        running: u32::try_from(running).unwrap_or(u32::MAX),
        adapters: Arc::new(held.collect()),
    }
}
