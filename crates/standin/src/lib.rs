//! Stand-ins for the systems around egretshore: model engines, plain services, the platform's
//! log, weight store and host list, and a relay that cuts or silences connections.
//!
//! [`platform`] is a small simulation of the users' platform that tests run in-process.
//!
//! Each stand-in has fault switches, set by `POST /faults`, and counters, read by `GET /stats`.

pub mod cli;
mod engine;
mod hosts;
mod log;
pub mod platform;
pub mod relay;
mod server;
mod service;
mod weight_store;
