//! Communication with the keepers: heartbeats, tickets and crash suspects.

mod heartbeat;
mod suspects;
mod ticket_gate;
mod tickets;

pub(crate) use {
    heartbeat::{follow_config, run_heartbeats},
    ticket_gate::{TicketGate, read_claims},
    tickets::{OpenTicket, OpenTickets, TicketRecord},
};
