//! The one program of an entry host on a platform whose engines guard what they hold: it faces
//! callers, routes their requests, and orders which adapters engines hold.

pub mod cli;
mod conf;
mod dispatch;
mod front;
mod orders;
mod peers;
mod pool;
mod state;
mod stop;
mod watch;

pub use conf::Settings;
