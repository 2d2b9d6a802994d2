//! Claims on engines.

use {
    crate::{
        orders::driver,
        state::Edge,
        watch::{append_own, engine_key},
    },
    bytes::Bytes,
    egret_core::Target,
    egret_runtime::now,
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Time between two looks at which engines want a holder, in milliseconds, when nothing has
/// changed.
const LOOK_MS: u64 = 500;

/// Time after the start before engines without a holder are claimed, in milliseconds, so that
/// hosts which start together know of each other.
const SETTLE_MS: u64 = 1500;

/// A look that comes later than this, in milliseconds, means that the process stood still.
const STOOD_STILL_MS: u64 = 500;

/// Pause after a claim that failed, in milliseconds: another host has claimed at the same time,
/// and its records are read first.
const PAUSE_MS: u64 = 60;

/// Claims engines whose holder is gone, and orders those that this host holds.
pub(crate) async fn keep(edge: Arc<Edge>) {
    edge.peers.lock().awake();
    let settled = now().after_ms(SETTLE_MS);
    loop {
        let began = now();
        let look = Duration::from_millis(LOOK_MS);
        let _ = tokio::time::timeout(look, edge.changed.notified()).await;
        if now().ms_since(began) > LOOK_MS + STOOD_STILL_MS {
            // the silence of the others was this host's own
            edge.peers.lock().awake();
        }
        let engines = engines(&edge);
        let wanted: Vec<FastStr> = engines
            .iter()
            .filter(|engine| wants_claim(&edge, engine, now() >= settled))
            .map(|engine| engine.id.clone())
            .collect();
        if !wanted.is_empty() && !claim(&edge, &wanted).await {
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        }
        driver::keep_drivers(&edge, &engines);
    }
}

fn engines(edge: &Edge) -> Vec<Arc<Target>> {
    let routing = edge.routing();
    let is_engine = |target: &&Arc<Target>| {
        routing.services().get(&target.service).is_some_and(|s| s.engine.is_some())
    };
    edge.fleet.read().all_ready().filter(is_engine).cloned().collect()
}

fn wants_claim(edge: &Edge, engine: &Target, settled: bool) -> bool {
    let (live, rivals) = {
        let peers = edge.peers.lock();
        let live: Vec<(FastStr, FastStr)> = peers
            .all()
            .iter()
            .filter(|(host, _)| peers.may_live(host))
            .map(|(host, peer)| (host.clone(), peer.record.data_centre.clone()))
            .collect();
        let me = (edge.cfg.host.clone(), edge.cfg.data_centre.clone());
        let all: Vec<(FastStr, FastStr)> = live.into_iter().chain([me]).collect();
        let near: Vec<FastStr> = all
            .iter()
            .filter(|(_, data_centre)| *data_centre == engine.data_centre)
            .map(|(host, _)| host.clone())
            .collect();
        let everyone: Vec<FastStr> = all.into_iter().map(|(host, _)| host).collect();
        let rivals = if near.is_empty() { everyone.clone() } else { near };
        (everyone, rivals)
    };
    let tenure = edge.tenure.lock();
    let mine_before = tenure.holder(&engine.id) == Some(&edge.cfg.host);
    (settled || mine_before)
        && tenure.should_claim(&engine.id, |host| live.iter().any(|h| h == host), &rivals)
}

async fn claim(edge: &Edge, engines: &[FastStr]) -> bool {
    let record = |engine: &FastStr| {
        let claim = edge.tenure.lock().claim(engine);
        let value = serde_json::to_vec(&claim).expect("a claim has only text and numbers");
        (engine_key(engine), Bytes::from(value))
    };
    let records: Vec<(FastStr, Bytes)> = engines.iter().map(record).collect();
    append_own(edge, &records).await
}
