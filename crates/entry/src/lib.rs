//! The entry: faces callers and owns each request from accept to its single final answer.

mod calls;
pub mod cli;
mod conf;
mod finish;
mod keepers;
mod services;
mod state;
mod status;
mod trace;
mod web;

pub use conf::Settings;
