//! What every process follows: the configuration and the host list.

mod config;
mod hosts;

pub use {config::ConfigWatch, hosts::HostsWatch};
