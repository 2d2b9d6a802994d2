//! Paces of targets: takes samples from answers, and exchanges them between hosts as rows.
//!
//! The host that aggregates a target's requests writes its pace, if it differs from even.

use {
    super::{loads, rows::RowName},
    crate::state::Edge,
    bytes::Bytes,
    egret_core::{PaceSample, PaceSource, Target, TargetPace, Time, UnevenPaces},
    egret_runtime::{PaceSampleMsg, TargetPaceMsg, events, now},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    prost::Message,
};

/// Interval in which paces are computed from the samples.
const REFRESH_INTERVAL_MS: u64 = 300;

/// Interval in which an unchanged row is written again, so that it does not become old.
const REWRITE_INTERVAL_MS: u64 = 4000;

/// Highest number of rows that one host writes.
const ROWS_MAX: usize = 512;

/// Records that `target` took `ms` for one event or one answer. Targets are compared with those
/// that do the same `work`.
pub(crate) fn record_sample(
    edge: &Edge,
    work: &FastStr,
    target: &Target,
    source: PaceSource,
    ms: f64,
    span_ms: u64,
) {
    if !edge.cfg.placement.uses_pace {
        return;
    }
    let own = edge.target_activity.lock().get(&target.id).map_or(0, |entry| entry.running);
    let running = loads::running_at(edge, &target.id, u64::from(own));
    let sample = PaceSample { source, ms, span_ms, running };
    edge.target_paces.lock().record(now(), work, &target.id, &sample);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let micros = (ms.max(0.0) * 1000.0) as u64;
    let message = PaceSampleMsg {
        target: target.id.to_string(),
        work: work.to_string(),
        is_stream: source == PaceSource::Events,
        micros,
        span_ms,
        running,
    };
    loads::report_sample(edge, message);
}

/// Records samples that another host has taken of targets which this one aggregates.
pub(super) fn apply_samples(edge: &Edge, samples: Vec<PaceSampleMsg>) {
    let mut paces = edge.target_paces.lock();
    for message in samples {
        #[allow(clippy::cast_precision_loss)]
        let ms = message.micros as f64 / 1000.0;
        let source = if message.is_stream { PaceSource::Events } else { PaceSource::PlainAnswer };
        let sample = PaceSample { source, ms, span_ms: message.span_ms, running: message.running };
        let (work, target) =
            (FastStr::from_string(message.work), FastStr::from_string(message.target));
        paces.record(now(), &work, &target, &sample);
    }
}

/// Computes the paces and writes the rows of those targets that this host aggregates.
pub(super) fn update(edge: &Edge, updated_at: &mut Time) {
    if now() < updated_at.after_ms(REFRESH_INTERVAL_MS) {
        return;
    }
    *updated_at = now();
    record_load_limit(edge);
    if !edge.cfg.placement.uses_pace {
        return;
    }
    let aggregated: IndexSet<FastStr> = loads::aggregated_targets(edge).into_iter().collect();
    let is_aggregated =
        |target: &str| aggregated.contains(target) || edge.reconcilers.get(target).is_some();
    let (before, paces, uneven) = {
        let mut paces = edge.target_paces.lock();
        let before = paces.uneven();
        paces.refresh(now());
        (before, paces.rows_to_write(now()), paces.uneven())
    };
    for target in before.keys().chain(uneven.keys().filter(|t| !before.contains_key(*t))) {
        let pace_of = |paces: &UnevenPaces| paces.get(target).copied().unwrap_or(TargetPace::EVEN);
        let (old, new) = (pace_of(&before), pace_of(&uneven));
        // the hosts that only read the row log nothing
        if old.is_slowed != new.is_slowed && is_aggregated(target) {
            events::TARGET_SLOWED.info(format_args!(
                "target={target} milli={} before={} slowed={}",
                new.milli, old.milli, new.is_slowed
            ));
        }
    }
    if before != uneven {
        edge.counts.record_paces(&uneven);
    }
    let rows: IndexMap<FastStr, Bytes> = paces
        .into_iter()
        .filter(|(target, _)| is_aggregated(target))
        .take(ROWS_MAX)
        .map(|(target, pace)| {
            let message = TargetPaceMsg { milli: pace.milli, is_slowed: pace.is_slowed };
            (RowName::Pace(&target).key(), Bytes::from(message.encode_to_vec()))
        })
        .collect();
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
    replica.retain(now(), super::rows::PACE_PREFIX, |key, _| rows.contains_key(key));
}

fn record_load_limit(edge: &Edge) {
    let limit = edge.load_limit.lock();
    edge.counts.load_limit.set(i64::try_from(limit.limit()).unwrap_or(i64::MAX));
    edge.counts.cold_load_ms.set(limit.full_speed_ms().cast_signed());
}

/// Records the pace in a row of another host.
pub(super) fn apply_row(
    edge: &Edge,
    source: &FastStr,
    target: &str,
    written_at: Time,
    message: TargetPaceMsg,
) {
    let pace = TargetPace { milli: message.milli, is_slowed: message.is_slowed };
    edge.target_paces.lock().apply_row(source, &FastStr::new(target), pace, written_at);
}
