//! The keeper: owns the adapter slots of some engines, grants tickets, and orders loads and
//! evictions. All keepers together enforce the limits of the weight store.

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
