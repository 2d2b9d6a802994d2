//! Claims on engines: decides which engines need a new owner and appends claims for them.

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
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
};

/// Interval of checks for engines that need an owner, if nothing has changed.
const CHECK_INTERVAL_MS: u64 = 500;

/// Time after the start before engines without an owner are claimed, so that hosts that start
/// together know each other.
const STARTUP_GRACE_MS: u64 = 1500;

/// A check that is late by more than this means that the process was stalled.
const STALL_THRESHOLD_MS: u64 = 500;

/// Time that a host waits for each host ranked before it to append the claims.
const RANK_DELAY_MS: u64 = 600;

/// Rank beyond which the wait does not grow.
const RANKS_MAX: u64 = 5;

/// First pause after a failed append. Another host has appended at the same time, and its records
/// are read first.
const BACKOFF_MS: u64 = 60;

/// Highest number of doublings of that pause.
const DOUBLINGS_MAX: u32 = 4;

/// Claims engines that have lost their owner, and keeps a reconciler for each engine that this
/// host owns.
pub(crate) async fn maintain_claims(edge: Arc<Edge>) {
    edge.peers.lock().record_listening_start();
    let startup_end = now().after_ms(STARTUP_GRACE_MS);
    let mut failures = 0;
    // since when each engine has needed a claim
    let mut due_since: IndexMap<FastStr, Time> = IndexMap::new();
    loop {
        let began = now();
        let interval = Duration::from_millis(CHECK_INTERVAL_MS);
        let _ = tokio::time::timeout(interval, edge.state_changed.notified()).await;
        if now().ms_since(began) > CHECK_INTERVAL_MS + STALL_THRESHOLD_MS {
            // missed heartbeats were due to this host's own stall
            edge.peers.lock().record_listening_start();
        }
        let engines = ready_engines(&edge);
        let live = LiveHosts::new(&edge);
        let due = engines_to_claim(&edge, &engines, &live, now() >= startup_end);
        let due_ids: IndexSet<&FastStr> = due.iter().map(|engine| &engine.id).collect();
        due_since.retain(|engine, _| due_ids.contains(engine));
        for engine in &due {
            due_since.entry(engine.id.clone()).or_insert(now());
        }
        // one host appends the claims for all hosts; if it does not, the host ranked next does
        let wait_ms = peers::host_rank(&edge).min(RANKS_MAX) * RANK_DELAY_MS;
        let is_overdue = |engine: &&Arc<Target>| now() >= due_since[&engine.id].after_ms(wait_ms);
        let claims = new_claims(&edge, due.into_iter().filter(is_overdue), &live);
        if claims.is_empty() || append_claims(&edge, &claims).await {
            failures = 0;
        } else {
            failures += 1;
            let pause = backoff_ms(BACKOFF_MS, failures.min(DOUBLINGS_MAX), edge.incarnation);
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

// hosts that may be live
struct LiveHosts {
    incarnations: IndexMap<FastStr, u64>,
    by_data_centre: IndexMap<FastStr, Vec<FastStr>>,
}

impl LiveHosts {
    fn new(edge: &Edge) -> Self {
        let mut live = Self { incarnations: IndexMap::new(), by_data_centre: IndexMap::new() };
        live.add(&edge.cfg.host, &edge.cfg.data_centre, edge.incarnation);
        let peers = edge.peers.lock();
        for (host, peer) in peers.all().iter().filter(|(host, _)| peers.may_be_live(host)) {
            live.add(host, &peer.record.data_centre, peer.record.incarnation);
        }
        live
    }

    fn add(&mut self, host: &FastStr, data_centre: &FastStr, incarnation: u64) {
        self.incarnations.insert(host.clone(), incarnation);
        self.by_data_centre.entry(data_centre.clone()).or_default().push(host.clone());
    }

    // the hosts that may own an engine in `data_centre`
    fn candidates(&self, data_centre: &str) -> Vec<&FastStr> {
        let local = self.by_data_centre.get(data_centre);
        local.map_or_else(|| self.incarnations.keys().collect(), |hosts| hosts.iter().collect())
    }
}

// the engines that have no live owner
fn engines_to_claim<'a>(
    edge: &Edge,
    engines: &'a [Arc<Target>],
    live: &LiveHosts,
    is_startup_over: bool,
) -> Vec<&'a Arc<Target>> {
    let owners = edge.engine_owners.lock();
    let is_due = |engine: &&Arc<Target>| {
        // hosts that start together need to know each other first, except those that go on
        let goes_on = || {
            let owner = owners.owner_host(&engine.id);
            owner.is_some_and(|host| live.incarnations.contains_key(host))
        };
        owners.lacks_live_owner(&engine.id, &live.incarnations) && (is_startup_over || goes_on())
    };
    engines.iter().filter(is_due).collect()
}

// The candidates are ranked for these engines only: their number times that of the hosts would take a
// large part of a small host's processor time, and other hosts mostly append the claims.
fn new_claims<'a>(
    edge: &Edge,
    engines: impl Iterator<Item = &'a Arc<Target>>,
    live: &LiveHosts,
) -> Vec<(FastStr, EngineClaim)> {
    let owners = edge.engine_owners.lock();
    let mut candidates: IndexMap<FastStr, Vec<&FastStr>> = IndexMap::new();
    let claim = |engine: &Arc<Target>| {
        let data_centre = engine.data_centre.clone();
        let candidates =
            candidates.entry(data_centre).or_insert_with_key(|name| live.candidates(name));
        let host = owners.successor(&engine.id, &live.incarnations, candidates)?;
        let claim = owners.new_claim(&engine.id, host, live.incarnations[host]);
        Some((engine.id.clone(), claim))
    };
    engines.filter_map(claim).collect()
}

async fn append_claims(edge: &Edge, claims: &[(FastStr, EngineClaim)]) -> bool {
    let record = |(engine, claim): &(FastStr, EngineClaim)| {
        let value = serde_json::to_vec(claim).expect("claim serializes to JSON");
        (engine_key(engine), Bytes::from(value))
    };
    let records: Vec<(FastStr, Bytes)> = claims.iter().map(record).collect();
    append_if_unchanged(edge, &records).await
}
