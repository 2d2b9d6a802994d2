//! Keeps the software versions of targets in the host log: hosts that start when no other one runs
//! learn from it at which versions a stream may have begun.

use {
    super::host_log::{VERSIONS_KEY, append_if_unchanged},
    crate::{peers, state::Edge},
    bytes::Bytes,
    egret_core::{Time, VersionRecord, backoff_ms},
    egret_platform::generation,
    egret_runtime::{now, unix_ms},
    faststr::FastStr,
    indexmap::IndexSet,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Interval of checks whether the record is up to date. Changes in quick succession are written
/// together.
const CHECK_INTERVAL_MS: u64 = 1000;

/// Interval of checks, at the start, whether a version is missing in the record.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a host waits for each host ranked before it to add a version to the record. Those may be
/// cut off from the store.
const RANK_DELAY_MS: u64 = 600;

/// Rank beyond which the wait does not grow.
const RANKS_MAX: u64 = 5;

/// First pause after a failed append. It is short, since streams do not begin at a version that is
/// not recorded yet.
const BACKOFF_MS: u64 = 100;

/// Highest number of doublings of that pause.
const DOUBLINGS_MAX: u32 = 4;

/// Writes the record when it is missing or outdated. One host does it for all; if it does not add a
/// version that has appeared, the host ranked next does.
pub(super) async fn maintain(edge: Arc<Edge>) {
    // hosts that start together know each other by then, and the claims of engines come first
    while now() < edge.startup_ends_at && !lacks_present_version(&edge) {
        tokio::time::sleep(STARTUP_CHECK_INTERVAL).await;
    }
    let mut failures = 0;
    // since when the record lacks a version
    let mut lacking_since: Option<Time> = None;
    loop {
        let rank = peers::host_rank(&edge);
        let turn_at =
            lacking_since.map(|since| since.after_ms(rank.min(RANKS_MAX) * RANK_DELAY_MS));
        if failures == 0 {
            // a version that has appeared is written at once
            let wait_ms = turn_at.map_or(CHECK_INTERVAL_MS, |at| now().ms_until(at));
            let interval = Duration::from_millis(wait_ms.clamp(1, CHECK_INTERVAL_MS));
            let _ = tokio::time::timeout(interval, edge.versions_changed.notified()).await;
        }
        lacking_since = lacks_present_version(&edge).then(|| lacking_since.unwrap_or_else(now));
        let is_turn = rank == 0 || turn_at.is_some_and(|at| lacking_since.is_some() && now() >= at);
        if !is_turn {
            failures = 0;
            continue;
        }
        let Some(record) = outdated_record(&edge) else {
            failures = 0;
            continue;
        };
        *edge.offered_version_record.lock() = Some(Arc::new(record.clone()));
        let value = serde_json::to_vec(&record).expect("version record serializes to JSON");
        let records = [(FastStr::from_static_str(VERSIONS_KEY), Bytes::from(value))];
        if append_if_unchanged(&edge, &records).await {
            failures = 0;
        } else {
            failures += 1;
            let pause = backoff_ms(BACKOFF_MS, failures.min(DOUBLINGS_MAX), edge.incarnation);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

// true if targets of a version are registered at which streams cannot begin, by the record as read
fn lacks_present_version(edge: &Edge) -> bool {
    let Some(record) = edge.version_record.lock().clone() else {
        return false;
    };
    let fleet = edge.fleet.read();
    fleet.all().any(|target| !record.allows_begin(&target.service, &target.software_version))
}

// The record to be written, if the one in the host log is missing or outdated. A host that does not
// know all versions replaces a record that does not have all of them either, or one that was lost: it
// adds those at which streams could not begin otherwise.
fn outdated_record(edge: &Edge) -> Option<VersionRecord> {
    if *edge.registry_read_at.lock() == Time::ZERO {
        return None;
    }
    let present: IndexSet<(FastStr, FastStr)> = {
        let fleet = edge.fleet.read();
        fleet.all().map(|t| (t.service.clone(), t.software_version.clone())).collect()
    };
    let generation = generation(edge.host_log_position.lock().next_offset);
    let (record, is_complete) = {
        let sightings = edge.version_sightings.lock();
        (sightings.to_record(now(), unix_ms(), &present), sightings.is_complete(now()))
    };
    if !is_complete && !edge.has_read_versions.load(Ordering::Acquire) {
        return None;
    }
    let record = record.written_in(generation, !is_complete);
    let is_current = edge.version_record.lock().as_ref().is_some_and(|old| old.covers(&record));
    (!is_current).then_some(record)
}

/// Applies the record, or its removal. A host that has not observed the targets for long
/// enough takes it over. `offset` is the position at which it was read.
pub(super) fn apply(edge: &Edge, offset: u64, record: Option<VersionRecord>) {
    if let Some(record) = &record {
        edge.has_read_versions.store(true, Ordering::Release);
        let mut sightings = edge.version_sightings.lock();
        if sightings.is_observed(now()) {
            // what this process has seen is newer
        } else if record.is_complete_in(generation(offset)) {
            sightings.adopt(now(), unix_ms(), record);
        } else {
            sightings.adopt_versions(now(), unix_ms(), record);
        }
    }
    *edge.version_record.lock() = record.map(Arc::new);
    peers::request_declaration(edge);
    if peers::is_read_due(edge) && peers::have_several_versions(edge) {
        peers::request_read(edge);
    }
}
