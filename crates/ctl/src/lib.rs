//! For operators and pipelines: check and apply manifests, and ask what the system does.
//!
//! Commands that change something stand in `command`, those that only ask in `query`.

pub mod cli;
mod command;
mod conf;
mod exit;
mod fetch;
mod manifest;
mod query;
