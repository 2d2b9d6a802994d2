//! Targets, as the registry lists them.

use {
    super::reach::{Reach, answer_by},
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
const PAUSE_MS: u64 = 600;

/// Time between looks at whether another host knows the same and has read lately, in
/// milliseconds.
const LOOK_MS: u64 = 200;

/// Own reads that are further apart than this begin anew with a whole listing, in milliseconds:
/// what was told by other hosts meanwhile is newer than the records in between.
const RELIST_MS: u64 = 2500;

/// Follows the registry.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut reach = Reach::new("targets", edge.incarnation);
    let mut next = None;
    let mut read_at = now();
    loop {
        if next.is_some() && !peers::reads_for_all(&edge) && peers::current(&edge) {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            tidy(&edge);
            continue;
        }
        if now().ms_since(read_at) > RELIST_MS {
            next = None;
        }
        let page = match next {
            Some(from) => edge.store.read(Topic::Targets, from, 0, answer_by(0)).await,
            None => edge.store.read_newest(Topic::Targets, answer_by(0)).await,
        };
        match page {
            Ok(page) => {
                reach.answered();
                note_gap(&edge);
                let whole = next.is_none();
                next = Some(page.next_offset);
                take(&edge, &page, whole);
                read_at = now();
                *edge.fleet_read.lock() = read_at;
                edge.changed.notify_one();
                peers::pass_on(&edge);
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
            Err(StoreError::Gone) => next = None,
            Err(e) => reach.failed(&e).await,
        }
        tidy(&edge);
    }
}

/// Notes, before something new is taken, whether this host has long known nothing new: entries may
/// have lapsed meanwhile. One that was kept up to date by others has missed nothing.
pub(crate) fn note_gap(edge: &Edge) {
    let known = *edge.fleet_read.lock();
    if known > Time::ZERO && now().ms_since(known) > RELIST_MS {
        edge.fleet.write().extend_grace_period(now().after_ms(edge.cfg.store.lapse_ms));
    }
}

// forgets what is only kept for targets that are gone
fn tidy(edge: &Edge) {
    edge.fleet.write().remove_expired(now());
    let known: IndexSet<FastStr> = edge.fleet.read().all().map(|t| t.id.clone()).collect();
    edge.pool.expire(|target| known.contains(target));
    edge.homes.lock().retain(|target| known.contains(target));
    edge.at_targets.lock().retain(|target, at| at.running > 0 || known.contains(target));
}

fn take(edge: &Edge, page: &Page, whole: bool) {
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
                note(fleet.get(&target.id).map(|t| &**t), &target);
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

fn note(before: Option<&Target>, target: &Target) {
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
