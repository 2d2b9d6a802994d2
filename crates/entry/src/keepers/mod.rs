//! The keepers: links, heartbeats, tickets.

mod beat;
mod fences;
mod suspects;
mod tickets;

pub(crate) use {
    beat::{beat_all, follow_config},
    fences::{Informed, read_claims},
    tickets::{OpenTicket, OpenTickets, TicketRecord},
};
