//! Passes changes of the registry on from contact to contact.
//!
//! A contact whose digest differs gets what has changed since the position that it has reported. A
//! host that lacks changes before those asks the sender for the rest, and gets all entries if the
//! sender no longer knows it either. Hosts of the last release get whole lists (`gossip`).

use {
    super::{departures, gossip, links, peer_table::time_from_age, routes, stream_origins},
    crate::{state::Edge, watch},
    egret_core::{
        ChangedTarget, ChangesApplied, Divergence, RemovedTarget, Target, TargetChanges,
        TargetState,
    },
    egret_runtime::{
        AdapterVersionMsg, Body, FetchTargetsMsg, RemovedTargetMsg, TargetChangesMsg,
        TargetEntryMsg, events, now,
    },
    faststr::FastStr,
    parking_lot::Mutex,
    prost::Message,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Timeout of a fetch. All entries of thousands of targets take a slow link a tenth of a second.
const FETCH_TIMEOUT_MS: u64 = 1500;

/// Fetches of this host.
#[derive(Debug, Default)]
pub(crate) struct TargetFetch {
    is_fetching: AtomicBool,
    divergence: Mutex<Divergence>,
}

/// Sends `host`, which has this state, the changes since `from`. If not all are known here, it is told
/// so and asks for them.
pub(super) fn send(edge: &Edge, host: &FastStr, from: u64, knows_versions: bool) {
    let changes = edge.fleet.read().changes_to_push(from);
    let message = to_message(edge, changes, knows_versions);
    edge.counts.record_update_bytes("sent", false, message.encoded_len());
    links::notify(edge, host, Body::TargetChanges(message));
}

/// Answers a host that lacks changes after a position.
pub(super) fn answer_fetch(edge: &Edge, host: &str, message: FetchTargetsMsg) -> Body {
    let changes = edge.fleet.read().changes_since(message.position);
    edge.peers.lock().record_update(host, changes.to);
    let message = to_message(edge, changes, false);
    edge.counts.record_update_bytes("sent", false, message.encoded_len());
    Body::TargetChanges(message)
}

fn to_message(edge: &Edge, changes: TargetChanges, knows_versions: bool) -> TargetChangesMsg {
    // taken before the state that it describes, which can only be newer
    let operator_offset = edge.operator_position.lock().next_offset;
    let versions = if knows_versions {
        Vec::new()
    } else {
        let versions = edge.versions.read();
        let version = |(adapter, version): (&FastStr, &u64)| AdapterVersionMsg {
            adapter: adapter.to_string(),
            version: *version,
        };
        versions.all().iter().map(version).collect()
    };
    let removed = |removed: RemovedTarget| RemovedTargetMsg {
        id: removed.id.to_string(),
        changed_at: removed.changed_at,
    };
    TargetChangesMsg {
        from: changes.from,
        to: changes.to,
        is_complete: changes.is_complete,
        changed: changes.changed.iter().map(entry_message).collect(),
        removed: changes.removed.into_iter().map(removed).collect(),
        departures: changes.departures.iter().map(departures::message).collect(),
        versions,
        age_ms: now().ms_since(*edge.registry_read_at.lock()),
        operator_offset,
        revision: edge.routing().revision,
        digest: gossip::digest(edge),
        targets_digest: changes.digest,
    }
}

fn entry_message(changed: &ChangedTarget) -> TargetEntryMsg {
    let target = &changed.target;
    TargetEntryMsg {
        id: target.id.to_string(),
        service: target.service.to_string(),
        address: target.address.to_string(),
        data_centre: target.data_centre.to_string(),
        software_version: target.software_version.to_string(),
        slots: target.slots,
        is_leaving: target.state == TargetState::Leaving,
        started_unix_ms: target.started_unix_ms,
        registered_at: target.registered_at,
        changed_at: changed.changed_at,
        models: target.models.iter().map(|model| model.name.to_string()).collect(),
    }
}

// none if the address cannot be read
fn entry_from(message: TargetEntryMsg) -> Option<ChangedTarget> {
    let model = |name: String| egret_core::RegisteredModel {
        name: FastStr::from_string(name),
        // the owners of the engines report them
        adapters: Vec::new(),
    };
    let state = if message.is_leaving { TargetState::Leaving } else { TargetState::Ready };
    let target = Target {
        id: FastStr::from_string(message.id),
        service: FastStr::from_string(message.service),
        address: message.address.parse().ok()?,
        data_centre: FastStr::from_string(message.data_centre),
        software_version: FastStr::from_string(message.software_version),
        slots: message.slots,
        state,
        started_unix_ms: message.started_unix_ms,
        registered_at: message.registered_at,
        models: message.models.into_iter().map(model).collect(),
    };
    Some(ChangedTarget { target: Arc::new(target), changed_at: message.changed_at })
}

/// Applies the changes that `host` has sent, and asks it for those before them if they are missing.
/// Called in the order of the messages of a link.
pub(super) fn receive(edge: &Arc<Edge>, host: &str, message: TargetChangesMsg) {
    let (position, targets_digest) = (message.to, message.targets_digest);
    let applied = apply(edge, host, message);
    let (own_position, own_digest) = {
        let fleet = edge.fleet.read();
        (fleet.position(), fleet.digest())
    };
    if applied == ChangesApplied::Gap {
        fetch(edge, host, own_position);
    } else if own_position == position {
        let is_same = own_digest == targets_digest;
        if edge.target_fetch.divergence.lock().observe(now(), is_same) {
            fetch(edge, host, 0);
        }
    }
}

fn fetch(edge: &Arc<Edge>, host: &str, position: u64) {
    // from one host at a time, since several may have told of the same changes
    if edge.target_fetch.is_fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let (edge, host) = (edge.clone(), FastStr::new(host));
    tokio::spawn(async move {
        let question = Body::FetchTargets(FetchTargetsMsg { position });
        let answer = links::call(&edge, &host, question, now().after_ms(FETCH_TIMEOUT_MS)).await;
        if let Ok(Body::TargetChanges(message)) = answer {
            apply(&edge, &host, message);
        }
        edge.target_fetch.is_fetching.store(false, Ordering::Relaxed);
    });
}

// Positions order the changes, not their ages, since a message may be delayed.
fn apply(edge: &Edge, host: &str, message: TargetChangesMsg) -> ChangesApplied {
    edge.counts.record_update_bytes("received", false, message.encoded_len());
    for AdapterVersionMsg { adapter, version } in message.versions {
        watch::apply_version(edge, &FastStr::from_string(adapter), version);
    }
    routes::observe_revision(edge, host, message.revision);
    if edge.routing().revision >= message.revision {
        // without its routes, this host has not applied all records before that offset
        edge.operator_position.lock().advance(message.operator_offset, false);
    }
    departures::merge_messages(edge, host, message.departures);
    let removed = |removed: RemovedTargetMsg| RemovedTarget {
        id: FastStr::from_string(removed.id),
        changed_at: removed.changed_at,
    };
    let changes = TargetChanges {
        from: message.from,
        to: message.to,
        is_complete: message.is_complete,
        changed: message.changed.into_iter().filter_map(entry_from).collect(),
        removed: message.removed.into_iter().map(removed).collect(),
        departures: Vec::new(),
        digest: message.targets_digest,
    };
    let position = edge.fleet.read().position();
    if changes.to < position || changes.to == position && !changes.is_complete {
        return ChangesApplied::Known;
    }
    if changes.from > position && !changes.is_complete {
        return ChangesApplied::Gap;
    }
    watch::extend_grace_after_gap(edge);
    let mut own_read_at = edge.registry_read_at.lock();
    *own_read_at = time_from_age(message.age_ms).max(*own_read_at);
    drop(own_read_at);
    events::PEER_SNAPSHOT_APPLIED.info(format_args!(
        "peer={host} age_ms={} targets={} removed={} complete={}",
        message.age_ms,
        changes.changed.len(),
        changes.removed.len(),
        changes.is_complete
    ));
    watch::apply_changes(edge, host, changes);
    edge.peers.lock().observe_digest(host, message.digest, message.to);
    stream_origins::observe_versions(edge);
    edge.state_changed.notify_one();
    gossip::send_updates(edge);
    ChangesApplied::Applied
}
