//! Keeps this host's view of the keys of accounts young: asks another host how old its view is, and
//! reads the store if no answer helps.
//!
//! The host that reads the operator's records for all is asked. In a large fleet, the first host of
//! each data centre asks it, and is asked by the others there.

use {
    super::{
        gossip::{self, is_first_of_data_centre, is_reader, read_status},
        links, routes,
    },
    crate::{state::Edge, watch},
    egret_core::{ViewChange, ViewStep, rendezvous_weight},
    egret_runtime::{AskViewAgeMsg, Body, ViewAgeMsg, events, now},
    faststr::FastStr,
    std::{cmp::Reverse, sync::Arc, time::Duration},
};

/// Interval of checks of the age of the view.
const CHECK_INTERVAL_MS: u64 = 100;

/// Time after which a host that was asked counts as silent.
const ANSWER_TIMEOUT_MS: u64 = 300;

/// Largest fleet in which all hosts ask the reading host.
const SMALL_FLEET_HOSTS: usize = 32;

/// Hosts that are asked in turn while the first of them are silent.
const ASKED_HOSTS_MAX: usize = 4;

/// Keeps the view young, if the settings and the configuration ask for it.
pub(super) async fn maintain(edge: Arc<Edge>) {
    if edge.cfg.revocation_bound_ms().is_none() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if edge.routing().accounts.is_empty() {
            continue;
        }
        log_change(&edge);
        // spares most hosts the search for the reading host most of the time
        if edge.key_view.lock().is_young(now()) {
            continue;
        }
        let is_reader = is_reader(&edge);
        let step = edge.key_view.lock().next_step(now(), is_reader);
        match step {
            ViewStep::Wait => {}
            ViewStep::Ask => ask(&edge).await,
            ViewStep::Read => watch::read_operator_records(&edge).await,
        }
    }
}

fn log_change(edge: &Edge) {
    let mut view = edge.key_view.lock();
    let (change, age_ms) = (view.observe_change(now()), view.age_ms(now()));
    drop(view);
    match change {
        Some(ViewChange::BecameTooOld) => {
            events::KEYS_VIEW_TOO_OLD.warn(format_args!("age_ms={age_ms:?}"));
        }
        Some(ViewChange::Renewed) => {
            events::KEYS_VIEW_RENEWED.info(format_args!("age_ms={age_ms:?}"));
        }
        None => {}
    }
}

async fn ask(edge: &Edge) {
    let unanswered = edge.key_view.lock().unanswered();
    let Some(host) = host_to_ask(edge, unanswered) else {
        edge.key_view.lock().record_silence();
        return;
    };
    let asked_at = now();
    let question = Body::AskViewAge(AskViewAgeMsg { revision: edge.routing().revision });
    let deadline = asked_at.after_ms(ANSWER_TIMEOUT_MS);
    match links::call(edge, &host, question, deadline).await {
        Ok(Body::ViewAge(ViewAgeMsg { age_ms: Some(age_ms), .. })) => {
            edge.key_view.lock().record_answer(asked_at, age_ms);
        }
        Ok(Body::ViewAge(ViewAgeMsg { age_ms: None, newer_revision })) if newer_revision > 0 => {
            edge.key_view.lock().record_response();
            routes::observe_revision(edge, &host, newer_revision);
        }
        // a host that has no view itself is of as little help as one that is silent
        Ok(_) | Err(_) => edge.key_view.lock().record_silence(),
    }
}

// The host to be asked after as many questions without an answer.
fn host_to_ask(edge: &Edge, unanswered: u32) -> Option<FastStr> {
    if unanswered == 0 {
        let is_large = edge.peers.lock().all().len() + 1 > SMALL_FLEET_HOSTS;
        if is_large && !is_first_of_data_centre(edge) {
            let first = gossip::first_host_of(edge, &edge.cfg.data_centre, "reader");
            return Some(first).filter(|host| *host != edge.cfg.host);
        }
    }
    let peers = edge.peers.lock();
    let mut live: Vec<&FastStr> = peers.all().keys().filter(|host| peers.is_live(host)).collect();
    live.sort_by_key(|host| Reverse(rendezvous_weight("reader", host)));
    live.truncate(ASKED_HOSTS_MAX);
    let index = (unanswered as usize).checked_rem(live.len())?;
    Some(live[index].clone())
}

/// Answers the question of another host. The view of this host serves the other one only if that
/// has the configuration which belongs to it.
pub(super) fn answer(edge: &Edge, message: AskViewAgeMsg) -> Body {
    // taken before the revision, which then is at least as new; a part of a millisecond counts whole
    let age_ms = edge.key_view.lock().age_ms(now()).map(|age_ms| age_ms.saturating_add(1));
    let revision = edge.routing().revision;
    Body::ViewAge(if revision > message.revision {
        ViewAgeMsg { age_ms: None, newer_revision: revision }
    } else {
        ViewAgeMsg { age_ms, newer_revision: 0 }
    })
}

/// True if this host has the newest configuration as far as it and the other hosts have read recently,
/// so that a key which it does not know belongs to no account.
pub(crate) fn confirms_keys(edge: &Edge) -> bool {
    if edge.key_view.lock().is_confirmed(now()) {
        return true;
    }
    let position = *edge.operator_position.lock();
    let status = read_status(edge, position, |peer| peer.operator_position);
    status == gossip::ReadStatus::Current
}
