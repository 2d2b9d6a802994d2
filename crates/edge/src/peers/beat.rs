//! Heartbeats between hosts.

use {
    super::news,
    crate::{
        orders::{self, Driver},
        state::{Edge, Reading},
    },
    egret_runtime::{Body, EngineHeldMsg, HeldMsg, HostBeatMsg, ReadMsg, TargetLoadMsg, now},
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

/// Of these, one in so many lists what engines hold.
const FAR_LIST_EVERY: u64 = 3;

/// Pause before a host that does not take links is tried again, in milliseconds.
const RETRY_MS: u64 = 400;

/// Sends heartbeats to all hosts.
pub(crate) async fn beat_all(edge: Arc<Edge>) {
    let mut round = 0_u64;
    loop {
        tokio::time::sleep(Duration::from_millis(NEAR_MS)).await;
        round += 1;
        let far_too = round.is_multiple_of(FAR_EVERY);
        let far_lists = round.is_multiple_of(FAR_EVERY * FAR_LIST_EVERY);
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
        let whole = beat(&edge);
        for (host, address, near) in peers {
            let Some(link) = edge.links.get(&host) else {
                connect(&edge, host, address);
                continue;
            };
            let beat = if near { whole.clone() } else { far_beat(&edge, &whole, &host, far_lists) };
            link.tell(Body::HostBeat(beat));
        }
    }
}

// a host of another data centre needs to know of requests at the engines that it orders only: it
// tells everybody how many run there in all
fn far_beat(edge: &Edge, whole: &HostBeatMsg, host: &str, lists_held: bool) -> HostBeatMsg {
    let mut beat = whole.clone();
    if !lists_held {
        beat.lists_held = false;
        for engine in &mut beat.engines {
            engine.held.clear();
        }
    }
    let tenure = edge.tenure.lock();
    beat.loads.retain(|load| tenure.holder(&load.target).is_some_and(|holder| holder == host));
    beat
}

// opens the link beside the heartbeats, so that a host that is gone holds up nobody
fn connect(edge: &Arc<Edge>, host: FastStr, address: SocketAddr) {
    if !edge.connecting.lock().insert(host.clone()) {
        return;
    }
    let edge = edge.clone();
    tokio::spawn(async move {
        if let Some(link) = edge.links.open(&host, address).await {
            link.tell(Body::HostBeat(beat(&edge)));
        } else {
            edge.peers.lock().lost(&host);
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
        edge.connecting.lock().swap_remove(&host);
    });
}

fn beat(edge: &Edge) -> HostBeatMsg {
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
    let drivers = edge.drivers.all();
    let transit = orders::own_transit(edge);
    let wanted = orders::own_wanted(edge);
    HostBeatMsg {
        host: edge.cfg.host.to_string(),
        revision: edge.routing().revision,
        store_age_ms: now().ms_since(*edge.fleet_read.lock()),
        engines: drivers.iter().map(|driver| engine(edge, driver)).collect(),
        lists_held: true,
        digest: news::digest(edge),
        position: edge.fleet.read().position(),
        transit: u32::try_from(transit).unwrap_or(u32::MAX),
        wanted: u32::try_from(wanted).unwrap_or(u32::MAX),
        operator: read(&edge.operator_read),
        own: read(&edge.own_read),
        loads,
    }
}

fn read(reading: &Mutex<Reading>) -> ReadMsg {
    let reading = *reading.lock();
    ReadMsg { end: reading.end, age_ms: now().ms_since(reading.at) }
}

fn engine(edge: &Edge, driver: &Driver) -> EngineHeldMsg {
    let own = edge.at_targets.lock().get(&driver.engine).map_or(0, |at| u64::from(at.running));
    let running = own + edge.peers.lock().running(&driver.engine);
    let right = edge.tenure.lock().fence(now(), &driver.engine).is_some();
    let book = driver.book.lock();
    let held = book.held().iter();
    EngineHeldMsg {
        engine: driver.engine.to_string(),
        able: right && book.able(),
        running: u32::try_from(running).unwrap_or(u32::MAX),
        held: held
            .map(|(name, held)| HeldMsg { name: name.to_string(), version: held.version })
            .collect(),
    }
}
