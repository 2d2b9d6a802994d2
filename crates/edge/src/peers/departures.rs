//! Tells other hosts which targets have left, since their view of the registry may be older.

use {
    crate::state::Edge,
    egret_core::Departure,
    egret_runtime::{DepartureMsg, events, now},
    faststr::FastStr,
};

/// Departures that this host has learned from answers in the last seconds.
pub(super) fn recent(edge: &Edge) -> Vec<DepartureMsg> {
    edge.fleet.read().recent_departures(now()).map(message).collect()
}

/// All departures that this host remembers.
pub(super) fn all(edge: &Edge) -> Vec<DepartureMsg> {
    edge.fleet.read().departures().map(message).collect()
}

pub(super) fn message(departure: &Departure) -> DepartureMsg {
    DepartureMsg {
        target: departure.target.to_string(),
        started_unix_ms: departure.started_unix_ms,
        is_announced: departure.is_announced,
        ended_before: departure.ended_before,
    }
}

/// Merges departures that `host` has told.
pub(super) fn merge_messages(edge: &Edge, host: &str, messages: Vec<DepartureMsg>) {
    let departures = messages.into_iter().map(|message| Departure {
        target: FastStr::from_string(message.target),
        started_unix_ms: message.started_unix_ms,
        is_announced: message.is_announced,
        ended_before: message.ended_before,
    });
    merge(edge, host, departures);
}

/// Merges departures that `host` knows.
pub(super) fn merge(edge: &Edge, host: &str, departures: impl IntoIterator<Item = Departure>) {
    let mut is_changed = false;
    for departure in departures {
        let mut fleet = edge.fleet.write();
        let was_ready = fleet.ready(&departure.target).is_some();
        let (target, started) = (departure.target.clone(), departure.started_unix_ms);
        fleet.merge_departure(departure);
        if was_ready && fleet.ready(&target).is_none() {
            is_changed = true;
            drop(fleet);
            events::TARGET_LEAVING
                .info(format_args!("target={target} started={started} source={host}"));
        }
    }
    if is_changed {
        edge.state_changed.notify_one();
    }
}
