//! Watchers of the configuration and of the host list.

mod config;
mod hosts;

pub use {config::ConfigWatch, hosts::HostsWatch};
