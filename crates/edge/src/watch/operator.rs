//! Follows the operator's records: routes and adapter versions.

use {
    super::stream_reads::{CHECK_INTERVAL_MS, READER_POLL_MS, ReadLag, StreamReads, call_deadline},
    crate::{
        peers::{self, ReadStatus},
        state::Edge,
    },
    egret_core::{Routing, RoutingChange, Time},
    egret_platform::{Directive, Page, Record, StoreError, Topic, parse_directive},
    egret_runtime::{events, now, with_deadline},
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Timeout of a read that serves only to make the view of the keys younger.
const OWN_READ_TIMEOUT_MS: u64 = 800;

/// Follows the operator's records.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reads = StreamReads::new("operator", edge.incarnation);
    let mut has_snapshot = false;
    let mut lag = ReadLag::default();
    loop {
        let position = *edge.operator_position.lock();
        let mut wait_ms = READER_POLL_MS;
        let mut needs_own_read = !has_snapshot;
        if has_snapshot && !peers::is_reader(&edge) {
            match peers::read_status(&edge, position, |peer| peer.operator_position) {
                ReadStatus::Current => {
                    reads.record_served();
                    lag.end();
                    tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                    continue;
                }
                ReadStatus::Behind
                    if edge.routes_exchange.is_fetching()
                        || lag.awaits_update(position.next_offset) =>
                {
                    tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS / 4)).await;
                    continue;
                }
                ReadStatus::Behind => {
                    wait_ms = 0;
                    needs_own_read = true;
                }
                ReadStatus::Unknown => {}
            }
        }
        if !reads.is_due(&edge, needs_own_read).await {
            continue;
        }
        let started_at = now();
        let page = if has_snapshot {
            edge.store
                .read(Topic::Operator, position.next_offset, wait_ms, call_deadline(wait_ms))
                .await
        } else {
            edge.store.read_newest(Topic::Operator, call_deadline(0)).await
        };
        match page {
            Ok(page) => {
                reads.record_answer();
                has_snapshot = true;
                lag.end();
                apply_page(&edge, &page, started_at);
            }
            Err(StoreError::Gone | StoreError::Restored) => has_snapshot = false,
            Err(e) => reads.record_failure(&edge, &e),
        }
    }
}

/// Reads the operator's records to their end at once, whatever other hosts have read. A read that
/// takes too long is given up, and shows in the age of the view; the follower of the stream reads
/// large records over a slow link.
pub(crate) async fn read_operator_records(edge: &Edge) {
    let started_at = now();
    let deadline = started_at.after_ms(OWN_READ_TIMEOUT_MS);
    let read = with_deadline(deadline, read_to_end(edge, deadline)).await;
    if let Some(Ok(page)) = read {
        apply_page(edge, &page, started_at);
    }
}

async fn read_to_end(edge: &Edge, deadline: Time) -> Result<Page, StoreError> {
    let from = edge.operator_position.lock().next_offset;
    match edge.store.read(Topic::Operator, from, 0, deadline).await {
        Err(StoreError::Gone | StoreError::Restored) => {
            edge.store.read_newest(Topic::Operator, deadline).await
        }
        page => page,
    }
}

// applies the records of a read that began at `started_at`
fn apply_page(edge: &Edge, page: &Page, started_at: Time) {
    for record in &page.records {
        apply_record(edge, record);
    }
    let is_at_end = page.next_offset >= page.end_offset;
    edge.operator_position.lock().advance(page.next_offset, is_at_end);
    if is_at_end {
        edge.key_view.lock().record_read(now(), started_at);
    }
    if !page.records.is_empty() {
        peers::send_updates(edge);
    }
}

fn apply_record(edge: &Edge, record: &Record) {
    match parse_directive(record) {
        Ok(Some(Directive::Routing(routing))) => {
            // shares the unchanged routes with the revision in force, since some are kept
            let current = edge.routing();
            let change = RoutingChange::between(&current, &routing);
            apply_routing(edge, change.apply_to(&current).unwrap_or(*routing), "store");
        }
        Ok(Some(Directive::Version { adapter, version })) => apply_version(edge, &adapter, version),
        Ok(None) => {}
        Err(e) => events::LOG_RECORD_UNKNOWN
            .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset)),
    }
}

/// Applies a version of an adapter if it is newer than the known one.
pub(crate) fn apply_version(edge: &Edge, adapter: &FastStr, version: u64) {
    if edge.versions.write().apply(adapter, version) {
        events::VERSION_ANNOUNCED.info(format_args!("adapter={adapter} version={version}"));
    }
}

/// Puts `routing`, received from `source`, in force if its revision is newer than the one in force.
pub(crate) fn apply_routing(edge: &Edge, routing: Routing, source: &str) {
    let revision = routing.revision;
    let mut current = edge.routing.write();
    if revision <= current.revision {
        return;
    }
    let previous = std::mem::replace(&mut *current, Arc::new(routing));
    drop(current);
    let before = previous.revision;
    edge.routes_exchange.keep_earlier(previous);
    events::CONFIG_APPLIED
        .info(format_args!("revision={revision} before={before} source={source}"));
}
