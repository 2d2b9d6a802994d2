//! The keepers: links, heartbeats, tickets.

mod beat;
mod fences;
mod link;
mod suspects;
mod tickets;

pub(crate) use {
    beat::{beat_all, follow_config},
    fences::{Informed, read_claims},
    link::KeeperLinks,
    tickets::{OpenTicket, OpenTickets, TicketRecord},
};
