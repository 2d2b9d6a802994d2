//! Command line.

mod args;

use {
    crate::{engine, hosts, log, relay, service, store},
    args::{Args, Role},
    clap::Parser,
    std::process::ExitCode,
};

/// Runs the stand-in that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    let served = match args.role {
        Role::Engine(args) => engine::run(&args),
        Role::Service(args) => service::run(&args),
        Role::Log(args) => log::run(&args),
        Role::Store(args) => store::run(&args),
        Role::Hosts(args) => hosts::run(&args),
        Role::Relay(args) => relay::run(&args),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("egret-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

pub(crate) use args::{EngineArgs, HostsArgs, LogArgs, RelayArgs, ServiceArgs, StoreArgs};
