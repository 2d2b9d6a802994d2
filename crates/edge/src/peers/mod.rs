//! The other hosts: what they have read of the store, the engines that they own and the adapters
//! loaded there, and what is to be known everywhere at once.
//!
//! Each host writes rows, which spread over a few contacts (`egret_spread`). Messages that concern a
//! single host go to it alone, over a link that is opened when it is needed.

pub(crate) mod allowances;
mod begin_declarations;
mod brittle_targets;
mod departures;
mod fixed_repeats;
mod gossip;
mod links;
mod loads;
mod messages;
mod paces;
mod peer_table;
mod places;
mod rate_limits;
mod recorded_origins;
mod routes;
mod rows;
mod spread;
mod stream_origins;
mod target_changes;
mod view_age;

pub(crate) use {
    allowances::{AllowanceExchange, Charge, charge},
    begin_declarations::{
        AllowedBegins, DeclarationExchange, allowed_begins, prove_origin, request_declaration,
    },
    brittle_targets::{observe_brittle, refusals_max},
    fixed_repeats::FixedRepeats,
    gossip::{
        ReadStatus, confirm_current, host_rank, is_apart, is_first_for, is_reader, may_be_behind,
        passes_on_host_log, read_status, send_updates,
    },
    links::notify,
    loads::{LoadReports, is_in_use, running_at},
    messages::{notify_missing_adapter, request_load},
    paces::record_sample,
    peer_table::{HostRecord, Peers},
    places::{release_place, take_place},
    rate_limits::{observe_issuers, observe_limit, take_token},
    recorded_origins::{OriginRecording, find_stored, is_read_due, request_read},
    routes::RoutesExchange,
    spread::Spread,
    stream_origins::{
        OriginAnswers, ask_for_origin, have_several_versions, observe_versions, origin_report,
        record_stream_origin,
    },
    target_changes::TargetFetch,
    view_age::confirms_keys,
};

use {
    crate::state::Edge, egret_platform::Page, egret_runtime::SuspectsMsg, faststr::FastStr,
    std::sync::Arc,
};

/// Starts serving and sending messages between hosts.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(messages::serve(edge.clone()));
    tokio::spawn(spread::run(edge.clone()));
    tokio::spawn(routes::fetch_newer(edge.clone()));
    tokio::spawn(view_age::maintain(edge.clone()));
    tokio::spawn(recorded_origins::write(edge.clone()));
    tokio::spawn(recorded_origins::read(edge.clone()));
    tokio::spawn(begin_declarations::declare(edge.clone()));
    tokio::spawn(begin_declarations::read(edge.clone()));
    tokio::spawn(allowances::run(edge.clone()));
}

/// Applies the record of `host` in the host log, or its removal.
pub(crate) fn apply_record(edge: &Edge, host: &str, record: Option<HostRecord>) {
    let is_new = edge.peers.lock().apply_record(&edge.cfg.host, host, record);
    if is_new {
        // the rows of a process may arrive before its record is read
        rows::apply_known(edge, &FastStr::new(host));
    }
}

/// Sends a report of crashes to all hosts.
pub(crate) fn report_crashes(edge: &Edge, message: &SuspectsMsg) {
    rows::write_crashes(edge, message);
    edge.spread.flush();
}

/// Passes on what this host has read of the host log, from the offset `from` on.
pub(crate) fn pass_on_host_log(edge: &Edge, from: u64, page: &Page) {
    rows::write_host_log(edge, from, page);
    edge.spread.flush();
}
