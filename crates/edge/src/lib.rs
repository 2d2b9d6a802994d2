//! The one program of an entry host on a platform whose engines guard what they hold: it faces
//! callers, routes their requests, and orders which adapters engines hold.

pub mod cli;
mod conf;
mod dispatch;
mod orders;
mod peers;
mod pool;
mod server;
mod shutdown;
mod state;
mod watch;

pub use conf::Settings;
