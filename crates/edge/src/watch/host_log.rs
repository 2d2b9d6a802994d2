//! Follows the host log, the stream that the hosts write themselves, and appends host records and
//! claims to it.

use {
    super::{
        crash_findings::{self, FINDING_PREFIX},
        stream_reads::{CHECK_INTERVAL_MS, READER_POLL_MS, ReadLag, StreamReads, call_deadline},
        version_record,
    },
    crate::{
        peers::{self, HostRecord, ReadStatus},
        state::Edge,
    },
    bytes::Bytes,
    egret_core::{EngineClaim, Fencing, Time},
    egret_platform::{Page, Record, StoreError, Topic, generation},
    egret_runtime::{events, now},
    faststr::FastStr,
    serde::de::DeserializeOwned,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

const HOST_PREFIX: &str = "host/";
const ENGINE_PREFIX: &str = "engine/";

/// Key of the record of software versions.
pub(super) const VERSIONS_KEY: &str = "versions";

/// Pause after each read, so that records written in quick succession are read together.
const READ_PAUSE_MS: u64 = 100;

fn host_key(host: &str) -> FastStr {
    FastStr::from_string(format!("{HOST_PREFIX}{host}"))
}

/// Follows the host log.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reads = StreamReads::new("own", edge.incarnation);
    let mut lag = ReadLag::default();
    let mut has_snapshot = false;
    let mut is_first_read = true;
    loop {
        let position = *edge.host_log_position.lock();
        let mut wait_ms = READER_POLL_MS;
        let mut needs_own_read = true;
        // if engines do not check fencing tokens, this host may give orders only as long as its own
        // last read is recent
        let may_rely_on_peers = edge.cfg.orders.fencing == Fencing::Checked;
        let is_announced = edge.is_announced.load(Ordering::Acquire);
        if has_snapshot && may_rely_on_peers && is_announced && !peers::is_reader(&edge) {
            match peers::read_status(&edge, position, |peer| peer.host_log_position) {
                ReadStatus::Current => {
                    reads.record_served();
                    lag.end();
                    if !is_read_requested(&edge, CHECK_INTERVAL_MS).await {
                        continue;
                    }
                    wait_ms = 0;
                }
                ReadStatus::Behind if lag.awaits_update(position.next_offset) => {
                    if !is_read_requested(&edge, CHECK_INTERVAL_MS / 4).await {
                        continue;
                    }
                    wait_ms = 0;
                }
                ReadStatus::Behind => wait_ms = 0,
                ReadStatus::Unknown => needs_own_read = false,
            }
        }
        if !reads.is_due(&edge, needs_own_read).await {
            continue;
        }
        let started = now();
        let page = if has_snapshot {
            edge.store
                .read(Topic::Coordination, position.next_offset, wait_ms, call_deadline(wait_ms))
                .await
        } else {
            edge.store.read_newest(Topic::Coordination, call_deadline(0)).await
        };
        match page {
            Ok(page) => {
                reads.record_answer();
                lag.end();
                if std::mem::take(&mut is_first_read) {
                    record_first_start(&edge, &page);
                }
                if !std::mem::replace(&mut has_snapshot, true) {
                    forget_lost_records(&edge, &page);
                } else if peers::passes_on_host_log(&edge) && !page.records.is_empty() {
                    peers::pass_on_host_log(&edge, position.next_offset, &page);
                }
                apply_page(&edge, &page, started);
                if !edge.is_announced.load(Ordering::Acquire) {
                    announce(&edge).await;
                }
                // hosts often start together, and their records and claims come in quick succession
                tokio::time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
            }
            Err(StoreError::Gone | StoreError::Restored) => has_snapshot = false,
            Err(e) => reads.record_failure(&edge, &e),
        }
    }
}

// waits up to `wait_ms` until this host needs to read at once
async fn is_read_requested(edge: &Edge, wait_ms: u64) -> bool {
    let requested = edge.host_log_read_requested.notified();
    tokio::time::timeout(Duration::from_millis(wait_ms), requested).await.is_ok()
}

// the settings may still say so when a process starts again; its record in the host log tells that
fn record_first_start(edge: &Edge, page: &Page) {
    let own_key = host_key(&edge.cfg.host);
    let has_run_before = page.records.iter().any(|record| record.key == own_key);
    if !has_run_before {
        edge.record_first_start();
    }
}

// Records that a listing lacks were lost with a store that came back from an older copy. Those that
// this host keeps up are written again.
fn forget_lost_records(edge: &Edge, page: &Page) {
    let has_record = |key: &str| page.records.iter().any(|record| record.key == key);
    if !has_record(&host_key(&edge.cfg.host)) {
        edge.is_announced.store(false, Ordering::Release);
    }
    if !has_record(VERSIONS_KEY) {
        version_record::apply(edge, page.next_offset, None);
    }
    crash_findings::apply_listing(edge, page);
}

fn apply_page(edge: &Edge, page: &Page, started: Time) {
    apply_records(edge, &page.records);
    if page.next_offset >= page.end_offset {
        edge.engine_owners.lock().record_complete_read(started);
    }
    edge.host_log_position.lock().advance(page.next_offset, page.next_offset >= page.end_offset);
    peers::request_declaration(edge);
    if !page.records.is_empty() {
        edge.state_changed.notify_one();
    }
}

/// Applies records from `from` to `next_offset` that another host has read, unless others before them
/// are missing here.
pub(crate) fn apply_passed_on(edge: &Edge, from: u64, next_offset: u64, records: &[Record]) {
    let own = edge.host_log_position.lock().next_offset;
    // a position says of which generation of the store it is, and 0 that nothing is known
    if own == 0 || generation(own) != generation(next_offset) || own < from || own >= next_offset {
        return;
    }
    let first_new = records.iter().position(|record| record.offset >= own);
    // the rows of a host that becomes known may hold the same records
    edge.host_log_position.lock().advance(next_offset, false);
    apply_records(edge, &records[first_new.unwrap_or(records.len())..]);
    edge.state_changed.notify_one();
}

fn apply_records(edge: &Edge, records: &[Record]) {
    for record in records {
        if let Some(host) = record.key.strip_prefix(HOST_PREFIX) {
            let value: Option<HostRecord> = parse_value(record);
            if host == edge.cfg.host && value.as_ref() != Some(&own_record(edge)) {
                edge.is_announced.store(false, Ordering::Release);
            }
            peers::apply_record(edge, host, value);
        } else if let Some(engine) = record.key.strip_prefix(ENGINE_PREFIX) {
            let value: Option<EngineClaim> = parse_value(record);
            edge.engine_owners.lock().apply_record(now(), engine, record.offset, value);
        } else if let Some(name) = record.key.strip_prefix(FINDING_PREFIX) {
            crash_findings::apply(edge, name, record, parse_value(record));
        } else if record.key == VERSIONS_KEY {
            version_record::apply(edge, record.offset, parse_value(record));
        }
    }
}

fn parse_value<T: DeserializeOwned>(record: &Record) -> Option<T> {
    let value = record.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(value) => Some(value),
        Err(e) => {
            events::LOG_RECORD_UNKNOWN
                .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset));
            None
        }
    }
}

fn own_record(edge: &Edge) -> HostRecord {
    HostRecord {
        address: edge.cfg.listen.links,
        callers: Some(edge.cfg.listen.callers),
        data_centre: edge.cfg.data_centre.clone(),
        incarnation: edge.incarnation,
    }
}

// appends without a condition: only this host writes this key, and a late write by an earlier
// process of this host is overwritten
async fn announce(edge: &Edge) {
    let value = serde_json::to_vec(&own_record(edge)).expect("host record serializes to JSON");
    let records = [(host_key(&edge.cfg.host), Bytes::from(value))];
    let appended = append(edge, &records, None).await;
    edge.is_announced.store(appended, Ordering::Release);
}

/// Appends records if the host log still ends where it was last read. Returns false if the append
/// failed or its result is unknown.
pub(crate) async fn append_if_unchanged(edge: &Edge, records: &[(FastStr, Bytes)]) -> bool {
    let expected_end = edge.host_log_position.lock().next_offset;
    append(edge, records, Some(expected_end)).await
}

async fn append(edge: &Edge, records: &[(FastStr, Bytes)], expected_end: Option<u64>) -> bool {
    let appended =
        edge.store.append(Topic::Coordination, records, expected_end, call_deadline(0)).await;
    // appended records, of this host or another, take effect once they are read
    edge.host_log_read_requested.notify_one();
    match appended {
        Ok(appended) => {
            events::CLAIM_APPENDED.info(format_args!(
                "records={} offset={}",
                records.len(),
                appended.offset
            ));
            true
        }
        Err(StoreError::EndMismatch) => false,
        Err(e) => {
            events::APPEND_FAILED.warn(format_args!("records={} problem={e}", records.len()));
            false
        }
    }
}

/// Key of the claim on `engine`.
pub(crate) fn engine_key(engine: &str) -> FastStr {
    FastStr::from_string(format!("{ENGINE_PREFIX}{engine}"))
}
