//! The keeper: holds the adapter slots of some engines, hands out tickets, orders loads and
//! evictions, and keeps the weight store's limits together with the other keepers.

pub mod cli;
mod conf;
mod engines;
mod links;
mod loader;
mod ownership;
mod peers;
mod snapshots;
mod state;
mod status;
mod web;

pub use conf::Settings;
