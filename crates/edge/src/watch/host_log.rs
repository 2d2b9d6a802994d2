//! Follows the host log, the stream that the hosts write themselves, and appends host records and
//! claims to it.

use {
    super::{
        backoff::{CHECK_INTERVAL_MS, READER_POLL_MS, StreamBackoff, call_deadline},
        version_record,
    },
    crate::{
        peers::{self, HostRecord, ReadStatus},
        state::Edge,
    },
    bytes::Bytes,
    egret_core::{EngineClaim, Fencing, Time},
    egret_platform::{Page, Record, StoreError, Topic},
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

/// Time after the start for which a host reads the stream itself, since hosts that could read it
/// on its behalf are not known yet.
const STARTUP_READ_MS: u64 = 3000;

/// Pause after each read, so that records written in quick succession are read together.
const READ_PAUSE_MS: u64 = 100;

fn host_key(host: &str) -> FastStr {
    FastStr::from_string(format!("{HOST_PREFIX}{host}"))
}

/// Follows the host log.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut backoff = StreamBackoff::new("own", edge.incarnation);
    let startup_end = now().after_ms(STARTUP_READ_MS);
    let mut has_snapshot = false;
    let mut is_first_read = true;
    loop {
        let position = *edge.host_log_position.lock();
        let mut wait_ms = READER_POLL_MS;
        // if engines do not check fencing tokens, this host may give orders only as long as its own
        // last read is recent
        let may_rely_on_peers = edge.cfg.orders.fencing == Fencing::Checked && now() >= startup_end;
        let is_announced = edge.is_announced.load(Ordering::Acquire);
        if has_snapshot && may_rely_on_peers && is_announced && !peers::is_reader(&edge) {
            match peers::read_status(&edge, position, |peer| peer.host_log_position) {
                ReadStatus::Current => {
                    let interval = Duration::from_millis(CHECK_INTERVAL_MS);
                    if tokio::time::timeout(interval, edge.host_log_read_requested.notified())
                        .await
                        .is_err()
                    {
                        continue;
                    }
                    wait_ms = 0;
                }
                ReadStatus::Behind => wait_ms = 0,
                ReadStatus::Unknown => {}
            }
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
                backoff.record_success();
                if std::mem::take(&mut is_first_read) {
                    record_first_start(&edge, &page);
                }
                if !std::mem::replace(&mut has_snapshot, true) {
                    forget_lost_records(&edge, &page);
                }
                apply_page(&edge, &page, started);
                if !edge.is_announced.load(Ordering::Acquire) {
                    announce(&edge).await;
                }
                // hosts often start together, and their records and claims come in quick succession
                tokio::time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
            }
            Err(StoreError::Gone | StoreError::Restored) => has_snapshot = false,
            Err(e) => backoff.back_off(&e).await,
        }
    }
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
        version_record::apply(edge, None);
    }
}

fn apply_page(edge: &Edge, page: &Page, started: Time) {
    for record in &page.records {
        if let Some(host) = record.key.strip_prefix(HOST_PREFIX) {
            let value: Option<HostRecord> = parse_value(record);
            if host == edge.cfg.host && value.as_ref() != Some(&own_record(edge)) {
                edge.is_announced.store(false, Ordering::Release);
            }
            peers::apply_record(edge, host, value);
        } else if let Some(engine) = record.key.strip_prefix(ENGINE_PREFIX) {
            let value: Option<EngineClaim> = parse_value(record);
            edge.engine_owners.lock().apply_record(now(), engine, record.offset, value);
        } else if record.key == VERSIONS_KEY {
            version_record::apply(edge, parse_value(record));
        }
    }
    if page.next_offset >= page.end_offset {
        edge.engine_owners.lock().record_complete_read(started);
    }
    edge.host_log_position.lock().advance(page.next_offset, page.next_offset >= page.end_offset);
    if !page.records.is_empty() {
        edge.state_changed.notify_one();
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
