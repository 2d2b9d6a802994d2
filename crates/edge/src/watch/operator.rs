//! Routes and versions, as the operator writes them.

use {
    super::reach::{LOOK_MS, READER_WAIT_MS, Reach, answer_by},
    crate::{
        peers::{self, Told},
        state::Edge,
    },
    egret_core::Routing,
    egret_platform::{Directive, Record, StoreError, Topic, parse_directive},
    egret_runtime::{events, now},
    faststr::FastStr,
    std::{sync::Arc, time::Duration},
};

/// Time in which a host is told what another one has read, in milliseconds, before it reads by
/// itself.
const NEWS_MS: u64 = 400;

/// Follows the operator's records.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reach = Reach::new("operator", edge.incarnation);
    let mut known = false;
    let mut behind_since = None;
    loop {
        let mine = *edge.operator_read.lock();
        let mut wait_ms = READER_WAIT_MS;
        if known && !peers::reads_for_all(&edge) {
            match peers::told(&edge, mine, |peer| peer.operator) {
                Told::Current => {
                    behind_since = None;
                    tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
                    continue;
                }
                Told::Behind if now() < behind_since.get_or_insert(now()).after_ms(NEWS_MS) => {
                    tokio::time::sleep(Duration::from_millis(LOOK_MS / 4)).await;
                    continue;
                }
                Told::Behind => wait_ms = 0,
                Told::Nothing => {}
            }
        }
        let page = if known {
            edge.store.read(Topic::Operator, mine.end, wait_ms, answer_by(wait_ms)).await
        } else {
            edge.store.read_newest(Topic::Operator, answer_by(0)).await
        };
        match page {
            Ok(page) => {
                reach.answered();
                known = true;
                behind_since = None;
                for record in &page.records {
                    take(&edge, record);
                }
                edge.operator_read
                    .lock()
                    .read(page.next_offset, page.next_offset >= page.end_offset);
                if !page.records.is_empty() {
                    peers::pass_on(&edge);
                }
            }
            Err(StoreError::Gone) => known = false,
            Err(e) => reach.failed(&e).await,
        }
    }
}

fn take(edge: &Edge, record: &Record) {
    match parse_directive(record) {
        Ok(Some(Directive::Routing(routing))) => take_routing(edge, *routing),
        Ok(Some(Directive::Version { adapter, version })) => take_version(edge, &adapter, version),
        Ok(None) => {}
        Err(e) => events::LOG_RECORD_UNKNOWN
            .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset)),
    }
}

/// Takes a version of an adapter if it is newer than what is known.
pub(crate) fn take_version(edge: &Edge, adapter: &FastStr, version: u64) {
    let mut versions = edge.versions.write();
    let newest = versions.entry(adapter.clone()).or_default();
    if version > *newest {
        *newest = version;
        events::VERSION_ANNOUNCED.info(format_args!("adapter={adapter} version={version}"));
    }
}

/// Puts `routing` in force if it is newer than what is in force.
pub(crate) fn take_routing(edge: &Edge, routing: Routing) {
    let revision = routing.revision;
    let mut current = edge.routing.write();
    if revision <= current.revision {
        return;
    }
    let before = current.revision;
    *current = Arc::new(routing);
    drop(current);
    events::CONFIG_APPLIED.info(format_args!("revision={revision} before={before}"));
}
