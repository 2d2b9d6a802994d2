//! The entry: faces callers and owns each request from accept to its single final answer.

pub mod cli;
mod completions;
mod conf;
mod keepers;
mod responses;
mod services;
mod state;
mod status;
mod trace;
mod web;

pub use conf::Settings;
