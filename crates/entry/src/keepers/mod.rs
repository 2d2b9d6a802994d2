//! The keepers: links, heartbeats, tickets.

mod beat;
mod link;
mod tickets;

pub(crate) use {
    beat::{beat_all, follow_config},
    link::KeeperLinks,
    tickets::{OpenTicket, OpenTickets, TicketRecord},
};
