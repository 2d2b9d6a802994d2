//! Keeps in the host log what is refused because it crashed targets: hosts that start after all others
//! were killed refuse it as well, and know how often it was tested.

use {
    super::host_log::append_if_unchanged,
    crate::{peers, state::Edge},
    bytes::Bytes,
    egret_core::{CrashFinding, HostProcess, Suspect, Time, backoff_ms},
    egret_platform::{Page, Record},
    egret_runtime::{events, now, unix_ms},
    faststr::FastStr,
    indexmap::IndexSet,
    std::{sync::Arc, time::Duration},
};

/// Prefix of the keys of findings.
pub(super) const FINDING_PREFIX: &str = "crash/";

/// Interval of checks for findings to write, apart from those that a change requests.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two checks.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// First pause after a failed append.
const BACKOFF_MS: u64 = 60;

/// Highest number of doublings of that pause.
const DOUBLINGS_MAX: u32 = 5;

fn key_of(suspect: Suspect) -> FastStr {
    FastStr::from_string(format!("{FINDING_PREFIX}{suspect}"))
}

/// Writes findings that the host log lacks, and removes those that no longer hold.
pub(super) async fn maintain(edge: Arc<Edge>) {
    let mut failures = 0;
    loop {
        if failures == 0 {
            let changed = edge.crash_findings_changed.notified();
            let _ = tokio::time::timeout(CHECK_INTERVAL, changed).await;
        }
        let records = due_records(&edge);
        if records.is_empty() || append_if_unchanged(&edge, &records).await {
            failures = 0;
            // changes in quick succession are written together, once the last append is read
            tokio::time::sleep(WRITE_PAUSE).await;
            continue;
        }
        failures += 1;
        let pause = backoff_ms(BACKOFF_MS, failures.min(DOUBLINGS_MAX), edge.incarnation);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn due_records(edge: &Edge) -> Vec<(FastStr, Bytes)> {
    if edge.host_log_position.lock().caught_up_at == Time::ZERO {
        return Vec::new();
    }
    let (mut involved, to_remove) = {
        let mut reports = edge.crash_reports.lock();
        let to_remove = reports.findings_to_remove(now());
        let refused: Vec<Suspect> = reports.refused().map(|(suspect, _)| suspect).collect();
        (refused, to_remove)
    };
    if involved.is_empty() && to_remove.is_empty() {
        return Vec::new();
    }
    involved.extend(&to_remove);
    // one host writes for all
    let own: IndexSet<Suspect> = involved
        .into_iter()
        .filter(|suspect| peers::is_first_for(edge, &suspect.to_string()))
        .collect();
    let times = (now(), unix_ms());
    let process = own_process(edge);
    let findings = edge
        .crash_reports
        .lock()
        .findings_to_write(times, &process, |suspect| own.contains(&suspect));
    let written = findings.into_iter().map(|(suspect, finding)| {
        let value = serde_json::to_vec(&finding).expect("finding serializes to JSON");
        (key_of(suspect), Bytes::from(value))
    });
    let removed = to_remove.into_iter().filter(|suspect| own.contains(suspect));
    written.chain(removed.map(|suspect| (key_of(suspect), Bytes::new()))).collect()
}

fn own_process(edge: &Edge) -> HostProcess {
    HostProcess { host: edge.cfg.host.clone(), incarnation: edge.incarnation }
}

/// Applies the finding about the suspect `name`, or its removal.
pub(super) fn apply(edge: &Edge, name: &str, record: &Record, finding: Option<CrashFinding>) {
    let suspect = match name.parse::<Suspect>() {
        Ok(suspect) => suspect,
        Err(e) => {
            events::LOG_RECORD_UNKNOWN
                .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset));
            return;
        }
    };
    if finding.is_none() && record.value.is_some() {
        // it could not be decoded, and removes nothing
        return;
    }
    let (is_removal, process) = (finding.is_none(), own_process(edge));
    let is_new = {
        let mut reports = edge.crash_reports.lock();
        let was_refused = reports.is_refused(&[suspect]);
        reports.apply_finding((now(), unix_ms()), &process, suspect, finding);
        !was_refused && reports.is_refused(&[suspect])
    };
    if is_new || is_removal {
        events::CRASH_FINDING
            .info(format_args!("suspect={suspect} is_removed={is_removal} is_new={is_new}"));
    }
}

/// Applies a listing of the host log, which may have lost findings with a store that came back from an
/// older copy.
pub(super) fn apply_listing(edge: &Edge, page: &Page) {
    let names = page.records.iter().filter_map(|record| record.key.strip_prefix(FINDING_PREFIX));
    let present: IndexSet<Suspect> = names.filter_map(|name| name.parse().ok()).collect();
    edge.crash_reports.lock().record_listing(&present);
}
