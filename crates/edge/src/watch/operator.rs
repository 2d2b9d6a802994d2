//! Follows the operator's records: routes and adapter versions.

use {
    super::backoff::{CHECK_INTERVAL_MS, READER_POLL_MS, StreamBackoff, call_deadline},
    crate::{
        peers::{self, ReadStatus},
        state::Edge,
    },
    egret_core::{Routing, RoutingChange, Time},
    egret_platform::{Directive, Record, StoreError, Topic, parse_directive},
    egret_runtime::{events, now},
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Time that a host waits for an update with records that another host has read, before it reads
/// them from the store itself.
const UPDATE_WAIT_MS: u64 = 400;

/// Follows the operator's records.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut backoff = StreamBackoff::new("operator", edge.incarnation);
    let mut has_snapshot = false;
    // time since when this host is behind without an update, and its position then
    let mut behind_since: Option<(u64, Time)> = None;
    loop {
        let position = *edge.operator_position.lock();
        let mut wait_ms = READER_POLL_MS;
        if has_snapshot && !peers::is_reader(&edge) {
            match peers::read_status(&edge, position, |peer| peer.operator_position) {
                ReadStatus::Current => {
                    behind_since = None;
                    tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
                    continue;
                }
                ReadStatus::Behind
                    if edge.routes_exchange.is_fetching()
                        || awaits_update(&mut behind_since, position.next_offset) =>
                {
                    tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS / 4)).await;
                    continue;
                }
                ReadStatus::Behind => wait_ms = 0,
                ReadStatus::Unknown => {}
            }
        }
        let page = if has_snapshot {
            edge.store
                .read(Topic::Operator, position.next_offset, wait_ms, call_deadline(wait_ms))
                .await
        } else {
            edge.store.read_newest(Topic::Operator, call_deadline(0)).await
        };
        match page {
            Ok(page) => {
                backoff.record_success();
                has_snapshot = true;
                behind_since = None;
                for record in &page.records {
                    apply_record(&edge, record);
                }
                edge.operator_position
                    .lock()
                    .advance(page.next_offset, page.next_offset >= page.end_offset);
                if !page.records.is_empty() {
                    peers::send_updates(&edge);
                }
            }
            Err(StoreError::Gone | StoreError::Restored) => has_snapshot = false,
            Err(e) => backoff.back_off(&e).await,
        }
    }
}

// true until no update has moved this host's position for too long
fn awaits_update(behind_since: &mut Option<(u64, Time)>, next_offset: u64) -> bool {
    let (offset, since) = behind_since.get_or_insert((next_offset, now()));
    if *offset != next_offset {
        (*offset, *since) = (next_offset, now());
    }
    now() < since.after_ms(UPDATE_WAIT_MS)
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
    let mut versions = edge.versions.write();
    let newest = versions.entry(adapter.clone()).or_default();
    if version > *newest {
        *newest = version;
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
