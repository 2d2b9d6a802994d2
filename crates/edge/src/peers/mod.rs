//! The other hosts: their records and load, and the adapters loaded on the engines that they
//! own.

mod adapter_deltas;
mod departures;
mod gossip;
mod heartbeat;
mod messages;
mod peer_table;
mod rate_limits;
mod routes;
mod send_history;
mod stream_origins;

pub(crate) use {
    gossip::{
        ReadStatus, confirm_current, host_rank, is_first_for, is_reader, may_be_behind,
        read_status, send_updates,
    },
    messages::{notify_missing_adapter, request_load},
    peer_table::{HostRecord, Peers},
    rate_limits::{observe_issuers, observe_limit, take_token},
    routes::RoutesExchange,
    stream_origins::{ask_for_origin, observe_versions, origin_report, record_stream_origin},
};

use {crate::state::Edge, std::sync::Arc};

/// Starts serving and sending messages between hosts.
pub(crate) fn start(edge: &Arc<Edge>) {
    tokio::spawn(messages::serve(edge.clone()));
    tokio::spawn(heartbeat::send_heartbeats(edge.clone()));
    tokio::spawn(routes::fetch_newer(edge.clone()));
}
