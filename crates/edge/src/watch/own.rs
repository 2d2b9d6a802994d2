//! Hosts and claims of our own.

use {
    super::reach::{READER_WAIT_MS, Reach, answer_by, wait_ms},
    crate::{peers::HostRecord, state::Edge},
    bytes::Bytes,
    egret_core::{Fencing, TenureRecord, Time},
    egret_platform::{Page, Record, StoreError, Topic},
    egret_runtime::{events, now},
    faststr::FastStr,
    serde::de::DeserializeOwned,
    std::sync::{Arc, atomic::Ordering},
};

const HOST_PREFIX: &str = "host/";
const ENGINE_PREFIX: &str = "engine/";

fn host_key(host: &str) -> FastStr {
    FastStr::from_string(format!("{HOST_PREFIX}{host}"))
}

/// Follows the stream of our own.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reach = Reach::new("own", edge.incarnation);
    let mut next = None;
    let mut announced = false;
    loop {
        let started = now();
        let page = match next {
            Some(from) => {
                // where engines don't check fencing numbers, a right to order follows from reads
                let wait_ms = match edge.cfg.orders.fencing {
                    Fencing::Checked => wait_ms(&edge),
                    Fencing::Unchecked => READER_WAIT_MS,
                };
                edge.store.read(Topic::Own, from, wait_ms, answer_by(wait_ms)).await
            }
            None => edge.store.newest(Topic::Own, answer_by(0)).await,
        };
        match page {
            Ok(page) => {
                reach.answered();
                next = Some(page.next);
                take(&edge, &page, started);
                if !announced {
                    announced = announce(&edge).await;
                }
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => reach.failed(&e).await,
        }
    }
}

fn take(edge: &Edge, page: &Page, started: Time) {
    for record in &page.records {
        if let Some(host) = record.key.strip_prefix(HOST_PREFIX) {
            let value: Option<HostRecord> = parse(record);
            edge.peers.lock().saw(&edge.cfg.host, host, value);
        } else if let Some(engine) = record.key.strip_prefix(ENGINE_PREFIX) {
            let value: Option<TenureRecord> = parse(record);
            edge.tenure.lock().saw(now(), engine, record.offset, value);
        }
    }
    if page.next >= page.end {
        edge.tenure.lock().read_to_end(started);
    }
    edge.own_end.store(page.next, Ordering::Release);
    if !page.records.is_empty() {
        edge.changed.notify_one();
    }
}

fn parse<T: DeserializeOwned>(record: &Record) -> Option<T> {
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

async fn announce(edge: &Edge) -> bool {
    let record = HostRecord {
        address: edge.cfg.listen.links,
        data_centre: edge.cfg.data_centre.clone(),
        incarnation: edge.incarnation,
    };
    let value = serde_json::to_vec(&record).expect("a host record has only text and numbers");
    let records = [(host_key(&edge.cfg.host), Bytes::from(value))];
    append_own(edge, &records).await
}

/// Appends records if the stream still ends where it was last read; false when it was not done,
/// or is not known to be done.
pub(crate) async fn append_own(edge: &Edge, records: &[(FastStr, Bytes)]) -> bool {
    let at = edge.own_end.load(Ordering::Acquire);
    match edge.store.append(Topic::Own, records, at, answer_by(0)).await {
        Ok(appended) => {
            events::CLAIM_APPENDED.info(format_args!(
                "records={} offset={}",
                records.len(),
                appended.offset
            ));
            true
        }
        Err(StoreError::Moved) => false,
        Err(e) => {
            events::APPEND_FAILED.warn(format_args!("records={} problem={e}", records.len()));
            false
        }
    }
}

/// Key of the claim on an engine.
pub(crate) fn engine_key(engine: &str) -> FastStr {
    FastStr::from_string(format!("{ENGINE_PREFIX}{engine}"))
}
