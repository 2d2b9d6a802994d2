//! Targets, as the registry lists them.

use {
    super::backoff::{StreamBackoff, call_deadline},
    crate::{peers, state::Edge},
    egret_core::{Target, TargetState, Time},
    egret_platform::{Page, Record, StoreError, Topic, parse_target},
    egret_runtime::{events, now},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::{sync::Arc, time::Duration},
};

/// Pause between two reads, in milliseconds. Every target writes a heartbeat about once a
/// second, so waiting for the next record would return at once; a leaving target must be known
/// well before it has finished leaving.
const READ_INTERVAL_MS: u64 = 600;

/// Time between looks at whether another host knows the same and has read lately, in
/// milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;

/// Own reads that are further apart than this begin anew with a whole listing, in milliseconds:
/// what was told by other hosts meanwhile is newer than the records in between.
const MAX_READ_GAP_MS: u64 = 2500;

/// Follows the registry.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reach = StreamBackoff::new("targets", edge.incarnation);
    let mut next = None;
    let mut read_at = now();
    loop {
        if next.is_some() && !peers::is_reader(&edge) && peers::confirm_current(&edge) {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            remove_gone_targets(&edge);
            continue;
        }
        if now().ms_since(read_at) > MAX_READ_GAP_MS {
            next = None;
        }
        let page = match next {
            Some(from) => edge.store.read(Topic::Targets, from, 0, call_deadline(0)).await,
            None => edge.store.read_newest(Topic::Targets, call_deadline(0)).await,
        };
        match page {
            Ok(page) => {
                reach.record_success();
                record_read_gap(&edge);
                let whole = next.is_none();
                next = Some(page.next_offset);
                apply_page(&edge, &page, whole);
                read_at = now();
                *edge.registry_read_at.lock() = read_at;
                edge.state_changed.notify_one();
                peers::send_updates(&edge);
                tokio::time::sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => reach.back_off(&e).await,
        }
        remove_gone_targets(&edge);
    }
}

/// Notes, before something new is taken, whether this host has long known nothing new: entries may
/// have lapsed meanwhile. One that was kept up to date by others has missed nothing.
pub(crate) fn record_read_gap(edge: &Edge) {
    let known = *edge.registry_read_at.lock();
    if known > Time::ZERO && now().ms_since(known) > MAX_READ_GAP_MS {
        edge.fleet.write().extend_grace_period(now().after_ms(edge.cfg.store.lapse_ms));
    }
}

// forgets what is only kept for targets that are gone
fn remove_gone_targets(edge: &Edge) {
    edge.fleet.write().remove_expired(now());
    let known: IndexSet<FastStr> = edge.fleet.read().all().map(|t| t.id.clone()).collect();
    edge.connections.remove_expired(|target| known.contains(target));
    edge.adapter_history.lock().retain(|target| known.contains(target));
    edge.target_activity.lock().retain(|target, at| at.running > 0 || known.contains(target));
}

fn apply_page(edge: &Edge, page: &Page, whole: bool) {
    let now = now();
    let mut listed = Vec::new();
    let mut fleet = edge.fleet.write();
    // what others told may reflect some of these records already
    let reflected = fleet.position();
    // only the last record of each target counts: what it was in between is over
    let last: IndexMap<&FastStr, &Record> = page.records.iter().map(|r| (&r.key, r)).collect();
    for record in last.into_values() {
        if !whole && record.offset < reflected {
            continue;
        }
        let Some(value) = &record.value else {
            events::TARGET_UNREGISTERED.info(format_args!("target={}", record.key));
            fleet.handle_removed_entry(now, &record.key);
            continue;
        };
        match parse_target(&record.key, value) {
            Ok(target) if whole => listed.push(target),
            Ok(target) => {
                log_state_change(fleet.get(&target.id).map(|t| &**t), &target);
                fleet.apply_entry(target);
            }
            Err(e) => {
                events::LOG_RECORD_UNKNOWN
                    .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset));
                fleet.remove_unreadable(&record.key);
            }
        }
    }
    if whole {
        events::REGISTRY_READ.info(format_args!("targets={}", listed.len()));
        fleet.apply_listing(now, page.end_offset, listed);
    } else {
        fleet.advance_position(page.next_offset);
    }
}

fn log_state_change(before: Option<&Target>, target: &Target) {
    let state = before.map(|t| t.state);
    if state == Some(target.state) {
        return;
    }
    match target.state {
        TargetState::Ready => events::TARGET_READY
            .info(format_args!("target={} address={}", target.id, target.address)),
        TargetState::Leaving => events::TARGET_LEAVING.info(format_args!("target={}", target.id)),
    }
}
