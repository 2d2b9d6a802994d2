//! Command-line tool for operators and pipelines: checks and applies manifests, and queries the
//! system's state and history.
//!
//! Commands that change the system are in `command`, read-only ones in `query`.

pub mod cli;
mod command;
mod conf;
mod exit;
mod fetch;
mod manifest;
mod query;
