//! Follows the registry of targets.

use {
    super::stream_reads::{StreamReads, call_deadline},
    crate::{peers, state::Edge},
    egret_core::{ChangedTarget, Fleet, Target, TargetChanges, Time},
    egret_platform::{Page, Record, StoreError, Topic, generation, parse_target},
    egret_runtime::{events, now},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
};

/// Pause between two reads. Every target writes a heartbeat about once a second, so a read that
/// waits for the next record would return at once. A draining target must be known well before it
/// has finished draining.
const READ_INTERVAL_MS: u64 = 600;

/// Interval of checks whether another host has read the registry recently and has the same state.
const CHECK_INTERVAL_MS: u64 = 200;

/// If this host's last read is older than this, the next one gets the full listing: updates from
/// other hosts since then are newer than the records in between.
const READ_GAP_MAX_MS: u64 = 2500;

/// Follows the registry.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reads = StreamReads::new("targets", edge.incarnation);
    let mut next_offset = None;
    let mut read_at = now();
    loop {
        if next_offset.is_some() && !peers::is_reader(&edge) && peers::confirm_current(&edge) {
            reads.record_served();
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            remove_gone_targets(&edge);
            continue;
        }
        if !reads.is_due(&edge, next_offset.is_none()).await {
            continue;
        }
        if now().ms_since(read_at) > READ_GAP_MAX_MS {
            next_offset = None;
        }
        let page = match next_offset {
            Some(from) => edge.store.read(Topic::Targets, from, 0, call_deadline(0)).await,
            None => edge.store.read_newest(Topic::Targets, call_deadline(0)).await,
        };
        match page {
            Ok(page) => {
                reads.record_answer();
                extend_grace_after_gap(&edge);
                let is_listing = next_offset.is_none();
                next_offset = Some(page.next_offset);
                apply_page(&edge, &page, is_listing);
                read_at = now();
                *edge.registry_read_at.lock() = read_at;
                *edge.registry_own_read_at.lock() = read_at;
                peers::observe_versions(&edge);
                edge.state_changed.notify_one();
                peers::send_updates(&edge);
                tokio::time::sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
            }
            Err(StoreError::Gone) => next_offset = None,
            Err(StoreError::Restored) => {
                events::STORE_RESTORED.warn(format_args!("stream=targets"));
                extend_grace(&edge);
                next_offset = None;
            }
            Err(e) => reads.record_failure(&edge, &e),
        }
        remove_gone_targets(&edge);
    }
}

/// Starts a grace period if this host has had nothing new from the registry for long, since entries
/// may have lapsed meanwhile. Called before new data is applied. A host that others kept up to date
/// has no gap.
pub(crate) fn extend_grace_after_gap(edge: &Edge) {
    let read_at = *edge.registry_read_at.lock();
    if read_at > Time::ZERO && now().ms_since(read_at) > READ_GAP_MAX_MS {
        extend_grace(edge);
    }
}

/// Starts a grace period, since entries may be missing that are written again.
pub(crate) fn extend_grace(edge: &Edge) {
    edge.fleet.write().extend_grace_period(now().after_ms(edge.cfg.store.lapse_ms));
}

// removes targets that no longer exist, and state that is kept for them
fn remove_gone_targets(edge: &Edge) {
    peers::observe_versions(edge);
    peers::observe_issuers(edge);
    edge.fleet.write().remove_expired(now());
    let known: IndexSet<FastStr> = edge.fleet.read().all().map(|t| t.id.clone()).collect();
    let closed_by = edge.connections.remove_expired(|target| known.contains(target));
    {
        let mut starts = edge.target_starts.lock();
        for target in &closed_by {
            starts.record_failure(target);
        }
        starts.remove_unknown(|target| known.contains(target));
    }
    edge.rate_limits.lock().remove_expired(now(), |target| known.contains(target));
    edge.brittle_targets.lock().remove_expired(now(), |target| known.contains(target));
    edge.place_requester.lock().remove_unknown(|target| known.contains(target));
    edge.local_copies.lock().retain(|target| known.contains(target));
    // a target's entry may come back before its pause is over
    edge.target_activity.lock().retain(|target, entry| {
        entry.running + entry.pending > 0 || known.contains(target) || entry.health.is_down(now())
    });
}

fn apply_page(edge: &Edge, page: &Page, is_listing: bool) {
    // only the last record of each target counts, since it supersedes earlier ones
    let latest: IndexMap<&FastStr, &Record> = page.records.iter().map(|r| (&r.key, r)).collect();
    if is_listing {
        let listed: Vec<Target> =
            latest.into_values().filter_map(|record| parse_entry(edge, record)).collect();
        events::REGISTRY_READ.info(format_args!("targets={}", listed.len()));
        apply_listing(edge, "listing", page.end_offset, listed);
        return;
    }
    // updates from other hosts may include some of these records already
    let applied_offset = edge.fleet.read().position();
    edge.fleet.write().begin_changes(page.next_offset);
    let removals = page.records.iter().filter(|record| record.value.is_none());
    let removed: IndexSet<&FastStr> = removals.map(|record| &record.key).collect();
    for record in latest.into_values().filter(|record| record.offset >= applied_offset) {
        if record.value.is_none() {
            log_removal(&record.key, "log", record.offset);
            edge.fleet.write().handle_removed_entry(now(), &record.key);
        } else if let Some(target) = parse_entry(edge, record) {
            let mut fleet = edge.fleet.write();
            log_state_change(&fleet, &target, "log", record.offset);
            let id = target.id.clone();
            fleet.apply_entry(target);
            if removed.contains(&id) {
                // other hosts may have read no more than the removal
                fleet.record_changed(&id);
            }
        }
    }
    edge.fleet.write().advance_position(page.next_offset);
}

// an unreadable entry names no target to use
fn parse_entry(edge: &Edge, record: &Record) -> Option<Target> {
    let value = record.value.as_ref()?;
    match parse_target(&record.key, value, record.offset) {
        Ok(target) => Some(target),
        Err(e) => {
            events::LOG_RECORD_UNKNOWN
                .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset));
            edge.fleet.write().remove_unreadable(&record.key);
            None
        }
    }
}

/// Applies changes of the registry that `source` has passed on.
pub(crate) fn apply_changes(edge: &Edge, source: &str, changes: TargetChanges) {
    if changes.is_complete {
        let target = |changed: ChangedTarget| Arc::unwrap_or_clone(changed.target);
        let listed = changes.changed.into_iter().map(target).collect();
        apply_listing(edge, source, changes.to, listed);
        return;
    }
    let mut fleet = edge.fleet.write();
    for removed in &changes.removed {
        if fleet.get(&removed.id).is_some() {
            log_removal(&removed.id, source, changes.to);
        }
    }
    for changed in &changes.changed {
        log_state_change(&fleet, &changed.target, source, changes.to);
    }
    fleet.apply_changes(now(), &changes);
}

/// Applies a complete listing from `source`, which reflects the registry's records before
/// `position`.
pub(crate) fn apply_listing(edge: &Edge, source: &str, position: u64, listed: Vec<Target>) {
    let mut fleet = edge.fleet.write();
    if fleet.position() > 0 && generation(position) != generation(fleet.position()) {
        fleet.extend_grace_period(now().after_ms(edge.cfg.store.lapse_ms));
        fleet.distrust_entries_before(position);
    }
    log_listing(&fleet, &listed, source, position);
    fleet.apply_listing(now(), position, listed);
}

// the first listing is not logged, since it makes all targets known
fn log_listing(fleet: &Fleet, listed: &[Target], source: &str, position: u64) {
    if fleet.all().next().is_none() {
        return;
    }
    let listed_ids: IndexSet<&FastStr> = listed.iter().map(|target| &target.id).collect();
    for target in fleet.all_listed().filter(|target| !listed_ids.contains(&target.id)) {
        log_removal(&target.id, source, position);
    }
    for target in listed {
        log_state_change(fleet, target, source, position);
    }
}

fn log_removal(target: &str, source: &str, position: u64) {
    events::TARGET_UNREGISTERED
        .info(format_args!("target={target} source={source} position={position}"));
}

fn log_state_change(fleet: &Fleet, target: &Target, source: &str, position: u64) {
    let is_same = |before: &Target| {
        before.state == target.state
            && before.software_version == target.software_version
            && before.started_unix_ms == target.started_unix_ms
    };
    if fleet.get(&target.id).is_some_and(|before| is_same(before)) {
        return;
    }
    if fleet.is_ready(target) {
        events::TARGET_READY.info(format_args!(
            "target={} address={} version={} started={} source={source} position={position}",
            target.id, target.address, target.software_version, target.started_unix_ms
        ));
    } else {
        // an entry that says otherwise is older than what is known
        events::TARGET_LEAVING.info(format_args!(
            "target={} started={} entry={:?} source={source} position={position}",
            target.id, target.started_unix_ms, target.state
        ));
    }
}
