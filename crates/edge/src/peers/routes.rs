//! Fetches routes from other hosts.
//!
//! Routes can be large, and the link of a host slow. A host that learns from a message that a peer
//! has newer routes fetches them from one peer at a time, as the change from its own revision. If
//! that fails it reads them from the store, which also serves when no peer has them.

use {
    super::{gossip::is_first_of_data_centre, links},
    crate::{state::Edge, watch},
    bytes::Bytes,
    egret_core::{Routing, RoutingChange, Time, rendezvous_weight},
    egret_runtime::{Body, FetchRoutesMsg, RoutesMsg, events, now},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::sync::Notify,
};

/// Timeout of a fetch. A change of a thousand routes takes a slow link a tenth of a second.
const FETCH_TIMEOUT_MS: u64 = 800;

/// Time after a failed fetch for which the same peer is not asked.
const FAILED_PEER_PAUSE_MS: u64 = 2000;

/// Time for which a host leaves fetches between data centres to the first host of its own. It
/// covers such a fetch and a heartbeat.
const REMOTE_FETCH_DELAY_MS: u64 = 600;

/// Earlier revisions kept to work out changes from them.
const EARLIER_REVISIONS_MAX: usize = 4;

/// Answers kept encoded, since several hosts fetch the same change.
const ENCODED_CHANGES_MAX: usize = 2;

#[derive(Serialize, Deserialize)]
struct RoutesUpdate {
    change: RoutingChange,
    versions: IndexMap<FastStr, u64>,
}

/// What this host keeps to exchange routes with others.
#[derive(Debug, Default)]
pub(crate) struct RoutesExchange {
    // newest last
    earlier: Mutex<VecDeque<Arc<Routing>>>,
    encoded: Mutex<VecDeque<EncodedChange>>,
    newer_seen: Notify,
    is_fetching: AtomicBool,
}

#[derive(Clone, Debug)]
struct EncodedChange {
    base: u64,
    revision: u64,
    message: RoutesMsg,
}

impl RoutesExchange {
    /// Keeps a revision that was in force, for changes from it.
    pub(crate) fn keep_earlier(&self, routing: Arc<Routing>) {
        let mut earlier = self.earlier.lock();
        earlier.push_back(routing);
        if earlier.len() > EARLIER_REVISIONS_MAX {
            earlier.pop_front();
        }
    }

    /// True while routes are being fetched from a peer.
    pub(crate) fn is_fetching(&self) -> bool {
        self.is_fetching.load(Ordering::Relaxed)
    }

    fn earlier(&self, revision: u64) -> Option<Arc<Routing>> {
        self.earlier.lock().iter().find(|routing| routing.revision == revision).cloned()
    }
}

/// Records that `host` has this revision of the routes in force.
pub(super) fn observe_revision(edge: &Edge, host: &str, revision: u64) {
    edge.peers.lock().observe_revision(host, revision);
    if revision > edge.routing().revision {
        edge.routes_exchange.newer_seen.notify_one();
    }
}

/// Fetches routes if a live peer has newer ones, also after a fetch that has failed.
pub(super) fn fetch_if_behind(edge: &Edge) {
    let own_revision = edge.routing().revision;
    let peers = edge.peers.lock();
    let mut all = peers.all().iter();
    if all.any(|(host, peer)| peer.revision > own_revision && peers.is_live(host)) {
        edge.routes_exchange.newer_seen.notify_one();
    }
}

/// Fetches routes when a peer has newer ones.
pub(super) async fn fetch_newer(edge: Arc<Edge>) {
    let mut failed: IndexMap<FastStr, Time> = IndexMap::new();
    let mut behind_since = None;
    loop {
        edge.routes_exchange.newer_seen.notified().await;
        failed.retain(|_, retry_at| now() < *retry_at);
        let own_revision = edge.routing().revision;
        let since = match behind_since {
            Some((revision, since)) if revision == own_revision => since,
            _ => now(),
        };
        behind_since = Some((own_revision, since));
        let Some(peer) = choose_peer(&edge, since, &failed) else {
            continue;
        };
        edge.routes_exchange.is_fetching.store(true, Ordering::Relaxed);
        let fetched = fetch_from(&edge, &peer, own_revision).await;
        edge.routes_exchange.is_fetching.store(false, Ordering::Relaxed);
        if let Err(problem) = fetched {
            events::ROUTES_NOT_FETCHED
                .warn(format_args!("peer={peer} own_revision={own_revision} problem={problem}"));
            failed.insert(peer, now().after_ms(FAILED_PEER_PAUSE_MS));
        }
    }
}

// A peer with newer routes. Hosts choose different ones, so that each sends few copies.
fn choose_peer(edge: &Edge, since: Time, failed: &IndexMap<FastStr, Time>) -> Option<FastStr> {
    let own_revision = edge.routing().revision;
    let may_fetch_remotely =
        now() >= since.after_ms(REMOTE_FETCH_DELAY_MS) || is_first_of_data_centre(edge);
    let peers = edge.peers.lock();
    let candidates = peers.all().iter().filter_map(|(host, peer)| {
        let is_local = peer.record.data_centre == edge.cfg.data_centre;
        let is_candidate = peer.revision > own_revision
            && peers.is_live(host)
            && !failed.contains_key(host)
            && (is_local || may_fetch_remotely);
        is_candidate.then_some((is_local, host))
    });
    let chosen = candidates
        .max_by_key(|(is_local, host)| (*is_local, rendezvous_weight(&edge.cfg.host, host)));
    chosen.map(|(_, host)| host.clone())
}

async fn fetch_from(edge: &Edge, host: &str, base_revision: u64) -> Result<(), String> {
    let question = Body::FetchRoutes(FetchRoutesMsg { base_revision });
    let deadline = now().after_ms(FETCH_TIMEOUT_MS);
    let answer = links::call(edge, host, question, deadline).await.map_err(|e| e.to_string())?;
    let Body::Routes(message) = answer else {
        return Err("no routes in the answer".to_owned());
    };
    edge.counts.record_update_bytes("received", true, message.json.len());
    let update: RoutesUpdate =
        serde_json::from_slice(&message.json).map_err(|e| format!("invalid routes: {e}"))?;
    let base = edge.routing();
    if base.revision >= update.change.revision {
        return Ok(());
    }
    let routing = update.change.apply_to(&base).ok_or("change of another revision")?;
    watch::apply_routing(edge, routing, host);
    for (adapter, version) in &update.versions {
        watch::apply_version(edge, adapter, *version);
    }
    edge.operator_position.lock().advance(message.operator_offset, false);
    Ok(())
}

/// Answers a peer that fetches routes: the change from its revision, or all routes if that revision
/// is no longer known here.
pub(super) fn answer_fetch(edge: &Edge, host: &str, message: &FetchRoutesMsg) -> Body {
    let revision = edge.routing().revision;
    let base = message.base_revision;
    let is_wanted = |kept: &EncodedChange| (kept.base, kept.revision) == (base, revision);
    let known = edge.routes_exchange.encoded.lock().iter().find(|kept| is_wanted(kept)).cloned();
    let message = known.map_or_else(|| encode_change(edge, base), |kept| kept.message);
    edge.counts.record_update_bytes("sent", true, message.json.len());
    events::ROUTES_SENT.info(format_args!(
        "peer={host} revision={revision} peer_revision={base} bytes={}",
        message.json.len()
    ));
    Body::Routes(message)
}

fn encode_change(edge: &Edge, base: u64) -> RoutesMsg {
    // taken before the state that it describes, which can only be newer
    let operator_offset = edge.operator_position.lock().next_offset;
    let routing = edge.routing();
    let earlier = edge.routes_exchange.earlier(base).unwrap_or_default();
    let change = RoutingChange::between(&earlier, &routing);
    let update = RoutesUpdate { change, versions: edge.versions.read().all().clone() };
    let json = serde_json::to_vec(&update).expect("routes serialize to JSON");
    let message = RoutesMsg { json: Bytes::from(json), operator_offset };
    let mut encoded = edge.routes_exchange.encoded.lock();
    encoded.push_back(EncodedChange { base, revision: routing.revision, message: message.clone() });
    if encoded.len() > ENCODED_CHANGES_MAX {
        encoded.pop_front();
    }
    message
}
