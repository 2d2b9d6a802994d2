//! What the store says, passed on between hosts.
//!
//! One host reads the store often; the others compare what they know with it by a digest in the
//! heartbeats, and read by themselves only when nobody who has read lately agrees with them. A
//! host that the store turns away stays current the same way. Between data centres only the first
//! host of each is told, which passes it on there.

use {
    super::peer_table::{Peer, Peers, time_from_age},
    crate::{
        state::{Edge, ReadPosition},
        watch,
    },
    egret_core::{Routing, Target, rendezvous_weight},
    egret_runtime::{Body, PlatformSnapshotMsg, events, now},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::Xxh3,
};

/// Age of what a host knows up to which it counts as current, in milliseconds: with one read
/// after that, a leaving target is known in well under two seconds.
const MAX_CURRENT_AGE_MS: u64 = 1200;

/// A host that was told something is not told again before its heartbeat can show that it knows,
/// in milliseconds.
const RESEND_INTERVAL_MS: u64 = 400;

#[derive(Serialize, Deserialize)]
struct StoreUpdate {
    // left out when the receiver has this revision
    routing: Option<Routing>,
    versions: IndexMap<FastStr, u64>,
    targets: Vec<Target>,
}

/// Hosts that come before this one, which does what one host does for all when there is none.
pub(crate) fn reader_rank(edge: &Edge) -> u64 {
    let peers = edge.peers.lock();
    let score = |host: &str| rendezvous_weight("reader", host);
    let mine = score(&edge.cfg.host);
    peers.all().keys().filter(|host| peers.is_alive(host) && score(host) > mine).count() as u64
}

/// True when this host is the one that reads the store for the others.
pub(crate) fn is_reader(edge: &Edge) -> bool {
    reader_rank(edge) == 0
}

/// True when a live host that has read the store lately knows the same as this one. What this host
/// knows is then as recent as that read.
pub(crate) fn confirm_current(edge: &Edge) -> bool {
    let mine = digest(edge);
    let read_at = {
        let peers = edge.peers.lock();
        let same = |(host, peer): &(&FastStr, &Peer)| peers.is_alive(host) && peer.digest == mine;
        peers.all().iter().filter(same).map(|(_, peer)| peer.registry_read_at).max()
    };
    let Some(read_at) = read_at.filter(|at| now().ms_since(*at) < MAX_CURRENT_AGE_MS) else {
        return false;
    };
    let mut own = edge.registry_read_at.lock();
    *own = read_at.max(*own);
    true
}

/// What other hosts that have read a stream of the store lately say of what this one has read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadStatus {
    /// There is nothing more.
    Current,
    /// There is more.
    Behind,
    /// Nobody has read it lately.
    Unknown,
}

/// How far this host has read a stream, as against the others' `theirs`.
pub(crate) fn read_status(
    edge: &Edge,
    mine: ReadPosition,
    theirs: impl Fn(&Peer) -> ReadPosition,
) -> ReadStatus {
    let peers = edge.peers.lock();
    let alive = peers.all().iter().filter(|(host, _)| peers.is_alive(host));
    let lately = alive
        .map(|(_, peer)| theirs(peer))
        .filter(|reading| now().ms_since(reading.caught_up_at) < MAX_CURRENT_AGE_MS)
        .map(|reading| reading.next_offset);
    match lately.max() {
        Some(end) if end > mine.next_offset => ReadStatus::Behind,
        Some(_) => ReadStatus::Current,
        None => ReadStatus::Unknown,
    }
}

/// Digest of routes, versions and targets as this host knows them.
pub(crate) fn digest(edge: &Edge) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&edge.routing().revision.to_le_bytes());
    let mut versions: Vec<(FastStr, u64)> =
        edge.versions.read().iter().map(|(adapter, version)| (adapter.clone(), *version)).collect();
    versions.sort();
    for (adapter, version) in versions {
        hash.update(adapter.as_bytes());
        hash.update(&version.to_le_bytes());
    }
    let mut targets: Vec<Arc<Target>> = edge.fleet.read().all_listed().cloned().collect();
    targets.sort_by(|a, b| a.id.cmp(&b.id));
    for target in targets {
        hash.update(target.id.as_bytes());
        hash.update(&[u8::from(target.state == egret_core::TargetState::Ready)]);
        hash.update(&target.started_unix_ms.to_le_bytes());
    }
    hash.digest()
}

/// Passes what this host knows on to the hosts that know something else and no later records of
/// the registry: to those of its data centre, and to the first host of each other one.
pub(crate) fn send_updates(edge: &Edge) {
    let mine = digest(edge);
    let read_at = *edge.registry_read_at.lock();
    let position = edge.fleet.read().position();
    // taken before what it describes, which can only be newer
    let operator_end = edge.operator_position.lock().next_offset;
    let behind: Vec<(FastStr, u64)> = {
        let mut peers = edge.peers.lock();
        let told = update_receivers(edge, &peers);
        let behind = peers.all_mut().filter(|(host, peer)| {
            let waits = now() < peer.last_update_at.after_ms(RESEND_INTERVAL_MS);
            let older = peer.digest != mine && peer.registry_offset <= position;
            older && !waits && told.contains(*host)
        });
        behind
            .map(|(host, peer)| {
                peer.last_update_at = now();
                (host.clone(), peer.revision)
            })
            .collect()
    };
    for (host, revision) in behind {
        let routing = edge.routing();
        let news = StoreUpdate {
            routing: (routing.revision > revision).then(|| (*routing).clone()),
            versions: edge.versions.read().clone(),
            targets: edge
                .fleet
                .read()
                .all_listed()
                .map(|target| without_adapters(target))
                .collect(),
        };
        let Ok(json) = serde_json::to_vec(&news) else {
            continue;
        };
        let age_ms = now().ms_since(read_at);
        let revision = routing.revision;
        let message = PlatformSnapshotMsg {
            json,
            age_ms,
            registry_offset: position,
            operator_offset: operator_end,
            revision,
        };
        edge.links.notify(&host, Body::PlatformSnapshot(message));
    }
}

// the hosts of this data centre, and the first live one of each other data centre
fn update_receivers(edge: &Edge, peers: &Peers) -> IndexSet<FastStr> {
    let mut told = IndexSet::new();
    let mut first: IndexMap<FastStr, (u64, FastStr)> = IndexMap::new();
    for (host, peer) in peers.all() {
        let data_centre = &peer.record.data_centre;
        if *data_centre == edge.cfg.data_centre {
            told.insert(host.clone());
        } else if peers.is_alive(host) {
            let ranked = (rendezvous_weight("reader", host), host.clone());
            let best = first.entry(data_centre.clone()).or_insert_with(|| ranked.clone());
            *best = ranked.max(best.clone());
        }
    }
    told.extend(first.into_values().map(|(_, host)| host));
    told
}

// what engines hold changes all the time, and the hosts that order them tell it
fn without_adapters(target: &Target) -> Target {
    let mut target = target.clone();
    for model in &mut target.models {
        model.adapters.clear();
    }
    target
}

/// Takes what another host knows: routes and versions that are newer, and targets if it has come
/// further in the registry. Ages tell nothing of the order, since a message may be held up.
pub(crate) fn apply_update(edge: &Edge, host: &str, message: &PlatformSnapshotMsg) {
    let news: StoreUpdate = match serde_json::from_slice(&message.json) {
        Ok(news) => news,
        Err(e) => {
            events::LINK_BROKEN.warn(format_args!("peer={host} news not understood: {e}"));
            return;
        }
    };
    if let Some(routing) = news.routing {
        watch::apply_routing(edge, routing);
    }
    for (adapter, version) in &news.versions {
        watch::apply_version(edge, adapter, *version);
    }
    if edge.routing().revision >= message.revision {
        // routes are left out for a host that was known to have them
        edge.operator_position.lock().advance(message.operator_offset, false);
    }
    if message.registry_offset <= edge.fleet.read().position() {
        return;
    }
    watch::record_read_gap(edge);
    let mut known = edge.registry_read_at.lock();
    *known = time_from_age(message.age_ms).max(*known);
    drop(known);
    events::PEER_SNAPSHOT_APPLIED.info(format_args!(
        "peer={host} age_ms={} targets={}",
        message.age_ms,
        news.targets.len()
    ));
    edge.fleet.write().apply_listing(now(), message.registry_offset, news.targets);
    edge.state_changed.notify_one();
    send_updates(edge);
}
