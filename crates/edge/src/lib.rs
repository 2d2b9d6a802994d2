//! The edge host's only program, for a platform whose engines check orders themselves: it serves
//! callers, routes their requests to targets, and orders which adapters the engines load.

pub mod cli;
mod conf;
mod counts;
mod dispatch;
mod orders;
mod peers;
mod pool;
mod server;
mod shutdown;
mod state;
mod watch;

pub use conf::Settings;
