//! Spreads small tables to all hosts of a fleet, by reconciliation with a few contacts each
//! (Scuttlebutt; van Renesse, Dumitriu, Gough and Thomas 2008).
//!
//! Each host writes rows of its own, and holds a copy of those of all others in a [`Replica`]. It
//! sends what has changed to its [`contacts`], whose number does not grow with the fleet, and they
//! pass it on. The state and the time come in and messages go out as values: clocks and sockets are
//! the caller's.

mod contacts;
mod progress;
mod replica;

pub use {
    contacts::{Member, contacts, is_prober},
    progress::{Known, Progress},
    replica::{Applied, Replica, Row, RowChange, RowDelta, SourceDelta},
};
