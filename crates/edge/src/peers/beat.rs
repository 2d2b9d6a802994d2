//! Heartbeats between hosts.

use {
    crate::state::Edge,
    egret_runtime::{Body, EngineHeldMsg, HeldMsg, HostBeatMsg, TargetLoadMsg, now},
    faststr::FastStr,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between heartbeats to hosts of the same data centre, in milliseconds: requests there
/// are spread by each other's load.
const NEAR_MS: u64 = 150;

/// Heartbeats to hosts of other data centres are fewer by this factor, since bytes between data
/// centres are dear.
const FAR_EVERY: u64 = 6;

/// Pause before a host that does not take links is tried again, in milliseconds.
const RETRY_MS: u64 = 400;

/// Sends heartbeats to all hosts.
pub(crate) async fn beat_all(edge: Arc<Edge>) {
    let mut round = 0_u64;
    loop {
        tokio::time::sleep(Duration::from_millis(NEAR_MS)).await;
        round += 1;
        let far_too = round % FAR_EVERY == 0;
        let peers: Vec<(FastStr, SocketAddr)> = edge
            .peers
            .lock()
            .all()
            .iter()
            .filter(|(_, peer)| far_too || peer.record.data_centre == edge.cfg.data_centre)
            .map(|(host, peer)| (host.clone(), peer.record.address))
            .collect();
        if peers.is_empty() {
            continue;
        }
        let beat = beat(&edge);
        for (host, address) in peers {
            match edge.links.get(&host) {
                Some(link) => link.tell(Body::HostBeat(beat.clone())),
                None => connect(&edge, host, address),
            }
        }
    }
}

// opens the link beside the heartbeats, so that a host that is gone holds up nobody
fn connect(edge: &Arc<Edge>, host: FastStr, address: SocketAddr) {
    if !edge.connecting.lock().insert(host.clone()) {
        return;
    }
    let edge = edge.clone();
    tokio::spawn(async move {
        if edge.links.open(&host, address).await.is_none() {
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
    let engines = edge.drivers.all().into_iter().map(|driver| {
        let book = driver.book.lock();
        let held = book.held().iter();
        EngineHeldMsg {
            engine: driver.engine.to_string(),
            able: book.able(),
            transit: u32::try_from(book.in_transit()).unwrap_or(u32::MAX),
            held: held
                .map(|(name, held)| HeldMsg { name: name.to_string(), version: held.version })
                .collect(),
        }
    });
    HostBeatMsg {
        host: edge.cfg.host.to_string(),
        revision: edge.routing().revision,
        store_age_ms: now().ms_since(*edge.fleet_read.lock()),
        engines: engines.collect(),
        loads,
    }
}
