//! Clients of the platform's services.

mod hosts;
mod log;
mod tail;

pub use {
    hosts::{HostEntry, HostsClient},
    log::{Appended, Batch, LogClient, LogError},
    tail::Tail,
};
