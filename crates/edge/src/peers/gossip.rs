//! Gossip of the store's contents between hosts.
//!
//! One host reads the store often. The others compare their state with its digest, which its rows
//! carry, and read the store themselves only if no host with a recent read has the same digest. A
//! host that the store rejects stays current in the same way. Updates go from contact to contact.
//! Routes are not part of them; a host fetches those when an update or a row names a newer revision.

use {
    super::{
        departures, links,
        peer_table::{Peer, time_from_age},
        routes, stream_origins, target_changes,
    },
    crate::{
        state::{Edge, ReadPosition},
        watch,
    },
    egret_core::{Departure, Target, mix_hashes, rendezvous_weight},
    egret_runtime::{Body, PlatformSnapshotMsg, events, now},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Highest age of a read at which a host counts as current. With one more read after that, a
/// draining target is known in well under two seconds.
const CURRENT_AGE_MAX_MS: u64 = 1200;

/// First release of the messages that has changes of the registry. Hosts before it get whole lists.
const TARGET_CHANGES_RELEASE: u32 = 2;

/// First release of the messages whose hosts write origins of streams to the store for others.
const ORIGINS_RELEASE: u32 = 2;

/// First release of the messages whose hosts hand out places at brittle targets.
const PLACES_RELEASE: u32 = 3;

#[derive(Serialize, Deserialize)]
struct StoreUpdate {
    versions: IndexMap<FastStr, u64>,
    targets: Vec<Target>,
    #[serde(default)]
    departures: Vec<Departure>,
}

/// Number of live hosts ranked before this one. The host of rank 0 does the work that one host
/// does for all.
pub(crate) fn host_rank(edge: &Edge) -> u64 {
    let peers = edge.peers.lock();
    let score = |host: &str| rendezvous_weight("reader", host);
    let own_score = score(&edge.cfg.host);
    peers.all().keys().filter(|host| peers.is_live(host) && score(host) > own_score).count() as u64
}

/// True if this host is the first of the live ones in the rendezvous order for `key`.
pub(crate) fn is_first_for(edge: &Edge, key: &str) -> bool {
    is_first_among(edge, key, |_| true)
}

/// The first live host of `data_centre` in the rendezvous order for `key`, or the first of all if none
/// is live there.
pub(super) fn first_host_of(edge: &Edge, data_centre: &str, key: &str) -> FastStr {
    let peers = edge.peers.lock();
    let is_local = |candidate: &FastStr| candidate == data_centre;
    let own = (is_local(&edge.cfg.data_centre), &edge.cfg.host);
    let live = peers.all().iter().filter(|(host, _)| peers.is_live(host));
    let others = live.map(|(host, peer)| (is_local(&peer.record.data_centre), host));
    let ranked =
        others.chain([own]).map(|(local, host)| (local, rendezvous_weight(key, host), host));
    ranked.max().map_or_else(|| edge.cfg.host.clone(), |(_, _, host)| host.clone())
}

/// The other hosts that are live.
pub(super) fn live_hosts(edge: &Edge) -> Vec<FastStr> {
    let peers = edge.peers.lock();
    peers.all().keys().filter(|host| peers.is_live(host)).cloned().collect()
}

/// The first of the live hosts in the rendezvous order for `key`, unless it is this host.
pub(super) fn first_other_host(edge: &Edge, key: &str) -> Option<FastStr> {
    first_other_among(edge, key, |_| true)
}

/// Like [`first_other_host`], among the hosts that write origins of streams to the store.
pub(super) fn first_other_recorder(edge: &Edge, key: &str) -> Option<FastStr> {
    let may_record = |peer: &Peer| peer.release.is_none_or(|release| release >= ORIGINS_RELEASE);
    first_other_among(edge, key, may_record)
}

/// Like [`first_other_host`], among the hosts that hand out places at brittle targets.
pub(super) fn first_other_issuer(edge: &Edge, key: &str) -> Option<FastStr> {
    let may_issue = |peer: &Peer| peer.release.is_none_or(|release| release >= PLACES_RELEASE);
    first_other_among(edge, key, may_issue)
}

fn first_other_among(edge: &Edge, key: &str, includes: impl Fn(&Peer) -> bool) -> Option<FastStr> {
    let peers = edge.peers.lock();
    let own_weight = rendezvous_weight(key, &edge.cfg.host);
    let others = peers.all().iter().filter(|(host, peer)| peers.is_live(host) && includes(peer));
    let weighted = others.map(|(host, _)| (rendezvous_weight(key, host), host));
    let first = weighted.filter(|(weight, _)| *weight >= own_weight).max();
    first.map(|(_, host)| host.clone())
}

/// True if this host is the first live one of its data centre, which exchanges state with the other
/// data centres.
pub(super) fn is_first_of_data_centre(edge: &Edge) -> bool {
    is_first_among(edge, "reader", |peer| peer.record.data_centre == edge.cfg.data_centre)
}

fn is_first_among(edge: &Edge, key: &str, includes: impl Fn(&Peer) -> bool) -> bool {
    let peers = edge.peers.lock();
    let own_weight = rendezvous_weight(key, &edge.cfg.host);
    let mut others =
        peers.all().iter().filter(|(host, peer)| peers.is_live(host) && includes(peer));
    others.all(|(host, _)| rendezvous_weight(key, host) < own_weight)
}

/// True if this host reads the store for the others.
pub(crate) fn is_reader(edge: &Edge) -> bool {
    host_rank(edge) == 0
}

/// True if this host passes on what it reads of the host log: the first of the live hosts, or the first
/// one after those that have not read it lately because the store turns them away.
pub(crate) fn passes_on_host_log(edge: &Edge) -> bool {
    let peers = edge.peers.lock();
    let own_weight = rendezvous_weight("reader", &edge.cfg.host);
    let mut others = peers.all().iter().filter(|(host, peer)| {
        peers.is_live(host)
            && now().ms_since(peer.host_log_position.caught_up_at) < CURRENT_AGE_MAX_MS
    });
    others.all(|(host, _)| rendezvous_weight("reader", host) < own_weight)
}

/// True if this host's state is that of a recent read, by itself or by a live host that has the same
/// state or has sent it.
pub(crate) fn confirm_current(edge: &Edge) -> bool {
    let own_digest = digest(edge);
    let read_at = {
        let peers = edge.peers.lock();
        let same =
            |(host, peer): &(&FastStr, &Peer)| peers.is_live(host) && peer.digest == own_digest;
        peers.all().iter().filter(same).map(|(_, peer)| peer.registry_read_at).max()
    };
    let mut own_read_at = edge.registry_read_at.lock();
    *own_read_at = read_at.map_or(*own_read_at, |read_at| read_at.max(*own_read_at));
    now().ms_since(*own_read_at) < CURRENT_AGE_MAX_MS
}

/// True if other hosts may know targets that this one does not: a live host has read further in the
/// registry and has another state, or no host is live, as after a stall of this process.
pub(crate) fn may_be_behind(edge: &Edge) -> bool {
    let own_digest = digest(edge);
    let position = edge.fleet.read().position();
    let peers = edge.peers.lock();
    let mut live = peers.all().iter().filter(|(host, _)| peers.is_live(host)).peekable();
    if live.peek().is_none() {
        return !peers.all().is_empty();
    }
    live.any(|(_, peer)| peer.registry_offset > position && peer.digest != own_digest)
}

/// True if this host may be cut off from most others: it hears at most half of all hosts, itself included,
/// or none has answered it.
pub(crate) fn is_apart(edge: &Edge, has_answer: bool) -> bool {
    let peers = edge.peers.lock();
    let others = peers.all().len();
    let live = peers.all().keys().filter(|host| peers.is_live(host)).count();
    others > 0 && (!has_answer || (live + 1) * 2 <= others + 1)
}

/// Position of this host in a stream of the store, compared with hosts that have read it recently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadStatus {
    /// No host has read further.
    Current,
    /// Another host has read further.
    Behind,
    /// No live host has read the stream recently.
    Unknown,
}

/// Compares this host's position in a stream with those of the other hosts, which `peer_position`
/// selects.
pub(crate) fn read_status(
    edge: &Edge,
    own_position: ReadPosition,
    peer_position: impl Fn(&Peer) -> ReadPosition,
) -> ReadStatus {
    let peers = edge.peers.lock();
    let live = peers.all().iter().filter(|(host, _)| peers.is_live(host));
    let recent_ends = live
        .map(|(_, peer)| peer_position(peer))
        .filter(|reading| now().ms_since(reading.caught_up_at) < CURRENT_AGE_MAX_MS)
        .map(|reading| reading.next_offset);
    match recent_ends.max() {
        Some(end) if end > own_position.next_offset => ReadStatus::Behind,
        Some(_) => ReadStatus::Current,
        None => ReadStatus::Unknown,
    }
}

/// Digest of the routes, versions and targets known to this host.
pub(crate) fn digest(edge: &Edge) -> u64 {
    let revision = edge.routing().revision;
    let versions = edge.versions.read().digest();
    let targets = edge.fleet.read().digest();
    mix_hashes(mix_hashes(revision, versions), targets)
}

/// What a contact with another state gets.
enum Update {
    /// The changes since a position.
    Changes { from: u64, knows_versions: bool },
    /// The whole list, since it is of the last release.
    List,
}

/// Sends the contacts whose digest differs, and that know no later records of the registry, what they
/// lack.
pub(crate) fn send_updates(edge: &Edge) {
    let own_digest = digest(edge);
    let position = edge.fleet.read().position();
    let operator_end = edge.operator_position.lock().next_offset;
    let mut receivers = edge.spread.contact_hosts();
    receivers.retain(|host| !links::is_busy(edge, host));
    let behind: Vec<(FastStr, Update)> = {
        let mut peers = edge.peers.lock();
        let differing = peers.all_mut().filter(|(host, peer)| {
            let is_behind = peer.digest != own_digest && peer.registry_offset <= position;
            is_behind && receivers.contains(*host)
        });
        let behind = differing.filter_map(|(host, peer)| {
            let sent = &mut peer.sent_changes;
            let update = if peer.release? < TARGET_CHANGES_RELEASE {
                if !sent.is_list_due(now(), own_digest) {
                    return None;
                }
                sent.record_list(now(), own_digest);
                Update::List
            } else {
                let from = sent.due_from(now(), peer.registry_offset, position)?;
                sent.record(now(), position);
                let known_end = peer.operator_position.next_offset;
                let knows_versions = from < position && known_end >= operator_end;
                Update::Changes { from, knows_versions }
            };
            Some((host.clone(), update))
        });
        behind.collect()
    };
    let mut lists = Vec::new();
    for (host, update) in behind {
        match update {
            Update::Changes { from, knows_versions } => {
                target_changes::send(edge, &host, from, knows_versions);
            }
            Update::List => lists.push(host),
        }
    }
    if !lists.is_empty() {
        send_list(edge, &lists);
    }
}

fn send_list(edge: &Edge, hosts: &[FastStr]) {
    let read_at = *edge.registry_read_at.lock();
    // taken before the state that it describes, which can only be newer
    let operator_offset = edge.operator_position.lock().next_offset;
    let revision = edge.routing().revision;
    let versions = edge.versions.read().all().clone();
    let (update, registry_offset) = {
        let fleet = edge.fleet.read();
        let targets = fleet.all_listed().map(|target| without_adapters(target)).collect();
        let departures = fleet.departures().cloned().collect();
        (StoreUpdate { versions, targets, departures }, fleet.position())
    };
    let json = serde_json::to_vec(&update).expect("targets serialize to JSON");
    let age_ms = now().ms_since(read_at);
    for host in hosts {
        edge.counts.record_update_bytes("sent", false, json.len());
        let json = json.clone();
        let message =
            PlatformSnapshotMsg { json, age_ms, registry_offset, operator_offset, revision };
        links::notify(edge, host, Body::PlatformSnapshot(message));
    }
}

// loaded adapters change often, and the owners of the engines report them in heartbeats
fn without_adapters(target: &Target) -> Target {
    let mut target = target.clone();
    for model in &mut target.models {
        model.adapters.clear();
    }
    target
}

/// Applies an update from another host: versions that are newer, and targets if that host has
/// read further in the registry. The order is not decided by age, since a message may be
/// delayed.
pub(crate) fn apply_update(edge: &Edge, host: &str, message: &PlatformSnapshotMsg) {
    let update: StoreUpdate = match serde_json::from_slice(&message.json) {
        Ok(update) => update,
        Err(e) => {
            events::LINK_BROKEN.warn(format_args!("peer={host} invalid store update: {e}"));
            return;
        }
    };
    edge.counts.record_update_bytes("received", false, message.json.len());
    for (adapter, version) in &update.versions {
        watch::apply_version(edge, adapter, *version);
    }
    routes::observe_revision(edge, host, message.revision);
    if edge.routing().revision >= message.revision {
        // without its routes, this host has not applied all records before that offset
        edge.operator_position.lock().advance(message.operator_offset, false);
    }
    departures::merge(edge, host, update.departures);
    if message.registry_offset <= edge.fleet.read().position() {
        return;
    }
    watch::extend_grace_after_gap(edge);
    let mut own_read_at = edge.registry_read_at.lock();
    *own_read_at = time_from_age(message.age_ms).max(*own_read_at);
    drop(own_read_at);
    events::PEER_SNAPSHOT_APPLIED.info(format_args!(
        "peer={host} age_ms={} targets={}",
        message.age_ms,
        update.targets.len()
    ));
    watch::apply_listing(edge, host, message.registry_offset, update.targets);
    stream_origins::observe_versions(edge);
    edge.state_changed.notify_one();
    if edge.fleet.read().position() == message.registry_offset {
        edge.peers.lock().observe_digest(host, digest(edge), message.registry_offset);
    }
    send_updates(edge);
}
