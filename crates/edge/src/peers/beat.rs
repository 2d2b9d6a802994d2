//! Heartbeats between hosts.

use {
    super::{
        held::{EngineNow, HeldTold},
        news,
    },
    crate::{
        orders::{self, Driver},
        state::{Edge, Reading},
    },
    egret_runtime::{Body, HostHeartbeatMsg, ReadPositionMsg, TargetLoadMsg, now},
    faststr::FastStr,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between heartbeats to hosts of the same data centre, in milliseconds: requests there
/// are spread by each other's load.
const NEAR_MS: u64 = 150;

/// Heartbeats to hosts of other data centres are fewer by this factor, since bytes between data
/// centres are dear.
const FAR_EVERY: u64 = 2;

/// Heartbeats after which links are probed.
const PROBE_EVERY: u64 = 8;

/// Time after which a link that answers nothing is closed, in milliseconds. With a new link the
/// next heartbeat comes before this host counts as gone.
const SILENT_MS: u64 = 900;

/// Pause before a host that does not take links is tried again, in milliseconds.
const RETRY_MS: u64 = 400;

/// Sends heartbeats to all hosts.
pub(crate) async fn beat_all(edge: Arc<Edge>) {
    let mut round = 0_u64;
    let mut told = HeldTold::default();
    loop {
        tokio::time::sleep(Duration::from_millis(NEAR_MS)).await;
        round += 1;
        let far_too = round.is_multiple_of(FAR_EVERY);
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
        let engines: Vec<EngineNow> =
            edge.drivers.all().iter().map(|driver| engine(&edge, driver)).collect();
        let whole = beat(&edge);
        let probes = round.is_multiple_of(PROBE_EVERY);
        for (host, address, near) in peers {
            let Some(link) = edge.links.get(&host) else {
                connect(&edge, host, address);
                continue;
            };
            let mut beat = if near { whole.clone() } else { far_beat(&edge, &whole, &host) };
            beat.engines = told.changes(&host, &link, &engines);
            if !link.try_notify(Body::HostHeartbeat(beat)) {
                told.lost(&host);
            }
            if probes {
                let edge = edge.clone();
                tokio::spawn(async move {
                    edge.links.close_if_unresponsive(&host, now().after_ms(SILENT_MS)).await;
                });
            }
        }
    }
}

// a host of another data centre needs to know of requests at the engines that it orders only: it
// tells everybody how many run there in all
fn far_beat(edge: &Edge, whole: &HostHeartbeatMsg, host: &str) -> HostHeartbeatMsg {
    let mut beat = whole.clone();
    let tenure = edge.tenure.lock();
    beat.target_loads
        .retain(|load| tenure.owner_host(&load.target).is_some_and(|holder| holder == host));
    beat
}

// opens the link beside the heartbeats, so that a host that is gone holds up nobody
fn connect(edge: &Arc<Edge>, host: FastStr, address: SocketAddr) {
    if !edge.connecting.lock().insert(host.clone()) {
        return;
    }
    let edge = edge.clone();
    tokio::spawn(async move {
        if let Some(link) = edge.links.get_or_connect(&host, address).await {
            // the next heartbeat tells the rest
            link.notify(Body::HostHeartbeat(beat(&edge)));
        } else {
            edge.peers.lock().lost(&host);
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        edge.connecting.lock().swap_remove(&host);
    });
}

fn beat(edge: &Edge) -> HostHeartbeatMsg {
    let loads = edge
        .at_targets
        .lock()
        .iter()
        .filter(|(_, at)| at.running > 0)
        .map(|(target, at)| TargetLoadMsg {
            target: target.to_string(),
            running: at.running,
            adapters: at.adapters.keys().map(ToString::to_string).collect(),
        })
        .collect();
    let transit = orders::own_transit(edge);
    let wanted = orders::own_wanted(edge);
    HostHeartbeatMsg {
        host: edge.cfg.host.to_string(),
        revision: edge.routing().revision,
        registry_age_ms: now().ms_since(*edge.fleet_read.lock()),
        engines: Vec::new(),
        digest: news::digest(edge),
        registry_offset: edge.fleet.read().position(),
        adapters_in_transit: u32::try_from(transit).unwrap_or(u32::MAX),
        pending_loads: u32::try_from(wanted).unwrap_or(u32::MAX),
        operator_position: read(&edge.operator_read),
        coordination_position: read(&edge.own_read),
        target_loads: loads,
    }
}

fn read(reading: &Mutex<Reading>) -> ReadPositionMsg {
    let reading = *reading.lock();
    ReadPositionMsg { end_offset: reading.end, age_ms: now().ms_since(reading.at) }
}

fn engine(edge: &Edge, driver: &Driver) -> EngineNow {
    let own = edge.at_targets.lock().get(&driver.engine).map_or(0, |at| u64::from(at.running));
    let running = own + edge.peers.lock().running(&driver.engine);
    let right = edge.tenure.lock().order_fence(now(), &driver.engine).is_some();
    let book = driver.book.lock();
    let held = book.held().iter().map(|(name, held)| (name.clone(), held.version));
    EngineNow {
        engine: driver.engine.clone(),
        able: right && book.is_ready(),
        running: u32::try_from(running).unwrap_or(u32::MAX),
        held: Arc::new(held.collect()),
    }
}
