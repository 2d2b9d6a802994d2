//! What an engine holds, as the host that orders it keeps book, and which order comes next.
//!
//! An engine that is ordered to hold more than it has room for crashes, and an order without an
//! answer may be carried out seconds later. Each order therefore names the number of orders that
//! the engine has accepted so far: it is carried out on the state this book has, or not at all.

mod answers;
mod inventory;
mod next_order;
mod types;

pub use {
    inventory::EngineInventory,
    types::{AdapterOrder, EngineReport, NextOrder, OrderAnswer, ResidentAdapter},
};
