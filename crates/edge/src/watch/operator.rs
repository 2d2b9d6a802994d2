//! Routes and versions, as the operator writes them.

use {
    super::reach::{Reach, answer_by, wait_ms},
    crate::{peers, state::Edge},
    egret_core::Routing,
    egret_platform::{Directive, Record, StoreError, Topic, read_directive},
    egret_runtime::events,
    faststr::FastStr,
    std::sync::Arc,
};

/// Follows the operator's records.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reach = Reach::new("operator", edge.incarnation);
    let mut next = None;
    loop {
        let page = match next {
            Some(from) => {
                let wait_ms = wait_ms(&edge);
                edge.store.read(Topic::Operator, from, wait_ms, answer_by(wait_ms)).await
            }
            None => edge.store.newest(Topic::Operator, answer_by(0)).await,
        };
        match page {
            Ok(page) => {
                reach.answered();
                next = Some(page.next);
                for record in &page.records {
                    take(&edge, record);
                }
                if !page.records.is_empty() {
                    peers::pass_on(&edge);
                }
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => reach.failed(&e).await,
        }
    }
}

fn take(edge: &Edge, record: &Record) {
    match read_directive(record) {
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
    events::CONFIG_IN_FORCE.info(format_args!("revision={revision} before={before}"));
}
