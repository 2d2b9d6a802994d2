//! Claims on engines.

use {
    crate::{
        orders::reconciler,
        peers,
        state::Edge,
        watch::{append_if_unchanged, engine_key},
    },
    bytes::Bytes,
    egret_core::{EngineClaim, Target, Time, backoff_ms},
    egret_runtime::now,
    faststr::FastStr,
    indexmap::IndexMap,
    std::{sync::Arc, time::Duration},
};

/// Time between two looks at which engines want a holder, in milliseconds, when nothing has
/// changed.
const CHECK_INTERVAL_MS: u64 = 500;

/// Time after the start before engines without a holder are claimed, in milliseconds, so that
/// hosts which start together know of each other.
const STARTUP_GRACE_MS: u64 = 1500;

/// A look that comes later than this, in milliseconds, means that the process stood still.
const STALL_THRESHOLD_MS: u64 = 500;

/// Time after which the next host claims what the one before it should have claimed, in
/// milliseconds.
const RANK_DELAY_MS: u64 = 600;

/// Hosts after which all further ones wait no longer.
const RANKS_MAX: u64 = 5;

/// First pause after a claim that failed, in milliseconds: another host has claimed at the same time,
/// and its records are read first.
const BACKOFF_MS: u64 = 60;

/// Doublings of that pause at most.
const MAX_DOUBLINGS: u32 = 4;

/// Has engines whose holder is gone claimed, and orders those that this host holds.
pub(crate) async fn maintain_claims(edge: Arc<Edge>) {
    edge.peers.lock().record_listening_start();
    let settled = now().after_ms(STARTUP_GRACE_MS);
    let mut refused = 0;
    // engines that are to get a holder, since when
    let mut due_since: IndexMap<FastStr, Time> = IndexMap::new();
    loop {
        let began = now();
        let look = Duration::from_millis(CHECK_INTERVAL_MS);
        let _ = tokio::time::timeout(look, edge.state_changed.notified()).await;
        if now().ms_since(began) > CHECK_INTERVAL_MS + STALL_THRESHOLD_MS {
            // the silence of the others was this host's own
            edge.peers.lock().record_listening_start();
        }
        let engines = ready_engines(&edge);
        let due = due_claims(&edge, &engines, now() >= settled);
        due_since.retain(|engine, _| due.contains_key(engine));
        for engine in due.keys() {
            due_since.entry(engine.clone()).or_insert(now());
        }
        // one host appends for all; the next does when it does not
        let wait_ms = peers::reader_rank(&edge).min(RANKS_MAX) * RANK_DELAY_MS;
        let late = |engine: &FastStr| now() >= due_since[engine].after_ms(wait_ms);
        let claims: Vec<(FastStr, EngineClaim)> =
            due.into_iter().filter(|(engine, _)| late(engine)).collect();
        if claims.is_empty() || append_claims(&edge, &claims).await {
            refused = 0;
        } else {
            refused += 1;
            let pause = backoff_ms(BACKOFF_MS, refused.min(MAX_DOUBLINGS), edge.incarnation);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        reconciler::update_reconcilers(&edge, &engines);
    }
}

fn ready_engines(edge: &Edge) -> Vec<Arc<Target>> {
    let routing = edge.routing();
    let is_engine = |target: &&Arc<Target>| {
        routing.services().get(&target.service).is_some_and(|s| s.engine.is_some())
    };
    edge.fleet.read().all_ready().filter(is_engine).cloned().collect()
}

// the claims that engines without a live holder are to get
fn due_claims(
    edge: &Edge,
    engines: &[Arc<Target>],
    settled: bool,
) -> IndexMap<FastStr, EngineClaim> {
    let mut live: IndexMap<FastStr, u64> = IndexMap::new();
    let mut by_data_centre: IndexMap<FastStr, Vec<FastStr>> = IndexMap::new();
    let mut add = |host: &FastStr, data_centre: &FastStr, incarnation: u64| {
        live.insert(host.clone(), incarnation);
        by_data_centre.entry(data_centre.clone()).or_default().push(host.clone());
    };
    add(&edge.cfg.host, &edge.cfg.data_centre, edge.incarnation);
    {
        let peers = edge.peers.lock();
        for (host, peer) in peers.all().iter().filter(|(host, _)| peers.may_be_alive(host)) {
            add(host, &peer.record.data_centre, peer.record.incarnation);
        }
    }
    let tenure = edge.engine_claims.lock();
    let mut due = IndexMap::new();
    for engine in engines {
        let near = by_data_centre.get(&engine.data_centre);
        let rivals: Vec<&FastStr> =
            near.map_or_else(|| live.keys().collect(), |n| n.iter().collect());
        let Some(host) = tenure.successor(&engine.id, &live, &rivals) else {
            continue;
        };
        // hosts that start together are to know of each other first
        if settled || tenure.owner_host(&engine.id) == Some(host) {
            due.insert(engine.id.clone(), tenure.new_claim(&engine.id, host, live[host]));
        }
    }
    due
}

async fn append_claims(edge: &Edge, claims: &[(FastStr, EngineClaim)]) -> bool {
    let record = |(engine, claim): &(FastStr, EngineClaim)| {
        let value = serde_json::to_vec(claim).expect("a claim has only text and numbers");
        (engine_key(engine), Bytes::from(value))
    };
    let records: Vec<(FastStr, Bytes)> = claims.iter().map(record).collect();
    append_if_unchanged(edge, &records).await
}
