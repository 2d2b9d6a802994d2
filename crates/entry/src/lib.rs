//! The entry: accepts callers' requests, routes them to engines or services, and gives each request
//! exactly one final answer.

pub mod cli;
mod completions;
mod conf;
mod keepers;
mod request_body;
mod responses;
mod services;
mod state;
mod status;
mod trace;
mod web;

pub use conf::Settings;
