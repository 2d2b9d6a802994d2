//! Brittle targets, as their answers say: records them, and tells the other hosts in rows.

use {
    super::{peer_table::time_from_age, rows::RowName},
    crate::state::Edge,
    bytes::Bytes,
    egret_core::{BrittleNotice, Target, Time},
    egret_runtime::{BrittleTargetMsg, events, now},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    prost::Message,
};

/// Prefix of the names of these rows.
pub(super) const BRITTLE_PREFIX: &str = "b/";

/// The other hosts are told what targets have said within this time.
const REPEAT_MS: u64 = 1000;

/// Highest number of targets that are told.
const REPEATED_MAX: usize = 64;

/// Interval in which a notice that is given again and again is written again.
const REWRITE_INTERVAL_MS: u64 = 500;

/// Records what a target has said of itself in an answer to this host.
pub(crate) fn observe_brittle(edge: &Edge, target: &Target, refusals_max: Option<u32>) {
    let notice = BrittleNotice {
        target: target.id.clone(),
        service: target.service.clone(),
        started_unix_ms: target.started_unix_ms,
        refusals_max,
        named_at: now(),
    };
    observe(edge, "answer", notice);
}

fn observe(edge: &Edge, source: &str, notice: BrittleNotice) {
    let (target, started) = (notice.target.clone(), notice.started_unix_ms);
    let refusals_max = notice.refusals_max;
    let before = edge.brittle_targets.lock().observe(notice);
    if let Some(before) = before {
        events::TARGET_BRITTLE.info(format_args!(
            "target={target} started={started} refusals_max={refusals_max:?} before={before:?} \
             source={source}"
        ));
        edge.spread.flush();
    }
}

/// Requests that `target` can refuse in a second for want of room without falling over; `None` if it
/// is not brittle.
pub(crate) fn refusals_max(edge: &Edge, target: &Target) -> Option<u32> {
    let targets = edge.brittle_targets.lock();
    targets.refusals_max(now(), &target.id, &target.service, target.started_unix_ms)
}

/// Writes a row for each target that has said so lately.
pub(super) fn write_rows(edge: &Edge) {
    if edge.brittle_targets.lock().is_empty() {
        return;
    }
    let since = Time::from_millis(now().as_millis().saturating_sub(REPEAT_MS));
    let rows: IndexMap<FastStr, Bytes> = {
        let targets = edge.brittle_targets.lock();
        let recent = targets.named_after(since).take(REPEATED_MAX);
        recent.map(|notice| (RowName::Brittle(&notice.target).key(), encode(notice))).collect()
    };
    let mut replica = edge.spread.replica.lock();
    let is_due = |at: Time| now() >= at.after_ms(REWRITE_INTERVAL_MS);
    let due: IndexSet<FastStr> = replica
        .rows(&edge.cfg.host)
        .filter(|(key, row)| rows.contains_key(*key) && is_due(row.written_at))
        .map(|(key, _)| key.clone())
        .collect();
    for (key, value) in &rows {
        if due.contains(key) {
            replica.rewrite(now(), key, value.clone());
        } else {
            replica.set(now(), key, value.clone());
        }
    }
    replica.retain(now(), BRITTLE_PREFIX, |key, _| rows.contains_key(key));
}

// the row's own age says when the target said so
fn encode(notice: &BrittleNotice) -> Bytes {
    let message = BrittleTargetMsg {
        target: notice.target.to_string(),
        service: notice.service.to_string(),
        started_unix_ms: notice.started_unix_ms,
        refusals_max: notice.refusals_max,
    };
    Bytes::from(message.encode_to_vec())
}

/// Records the notice in a row of another host.
pub(super) fn apply_row(edge: &Edge, source: &FastStr, written_at: Time, row: BrittleTargetMsg) {
    let notice = BrittleNotice {
        target: FastStr::from_string(row.target),
        service: FastStr::from_string(row.service),
        started_unix_ms: row.started_unix_ms,
        refusals_max: row.refusals_max,
        named_at: time_from_age(now().ms_since(written_at)),
    };
    observe(edge, source, notice);
}
