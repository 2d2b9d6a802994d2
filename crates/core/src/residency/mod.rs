//! Tracks what an engine holds and plans the next order to it.
//!
//! An engine that is ordered to hold more adapters than it has slots for crashes, and an order
//! without an answer may be carried out seconds later. Each order therefore carries the number of
//! orders that the engine has accepted so far: the engine carries it out on the state recorded
//! here, or not at all.

mod answers;
mod inventory;
mod next_order;
mod types;

pub use {
    inventory::{EngineInventory, LoadRank},
    types::{AdapterOrder, EngineReport, NextOrder, OrderAnswer, ResidentAdapter},
};
