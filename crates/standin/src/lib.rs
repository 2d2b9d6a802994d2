//! Small stand-ins for what egretshore meets: model engines, plain services, the platform's
//! log, weight store and host list, and a relay that cuts or silences connections.
//!
//! [`platform`] is what the users' platform is, in small, for tests to run inside.
//!
//! Each has fault switches, set by `POST /faults`, and counts, read by `GET /stats`.

pub mod cli;
mod engine;
mod hosts;
mod log;
pub mod platform;
mod relay;
mod server;
mod service;
mod weight_store;
