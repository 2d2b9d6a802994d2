//! Small stand-ins for what egretshore meets: model engines, plain services, the platform's
//! log, weight store and host list, and a relay that cuts or silences connections.
//!
//! Each has fault switches, set by `POST /faults`, and counts, read by `GET /stats`.

pub mod cli;
mod engine;
mod frame;
mod hosts;
mod log;
mod relay;
mod service;
mod store;
