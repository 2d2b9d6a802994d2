//! Command line.

mod args;

use {
    crate::{
        engine, hosts, log,
        platform::{
            BatchConf, BrittleConf, CallersConf, PlatformConf, SimulatedPlatform,
            TargetProcessConf, call_hosts, serve_metastore, serve_target,
        },
        relay, service, weight_store,
    },
    args::{Args, CallersArgs, MetastoreArgs, PlatformArgs, Role, TargetArgs},
    clap::Parser,
    nix::{
        sys::signal::{Signal, killpg},
        unistd::{getpgrp, getppid},
    },
    std::{io, process::ExitCode, time::Duration},
    tokio::runtime::Runtime,
};

/// Interval at which a process looks whether the one that started it has ended.
const PARENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the stand-in that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    let result = match args.role {
        Role::Engine(args) => engine::run(&args),
        Role::Service(args) => service::run(&args),
        Role::Log(args) => log::run(&args),
        Role::WeightStore(args) => weight_store::run(&args),
        Role::Hosts(args) => hosts::run(&args),
        Role::Relay(args) => relay::run(&args),
        Role::Platform(args) => run_platform(&args),
        Role::Callers(args) => return run_callers(args),
        Role::Target(args) => run_target(args),
        Role::Metastore(args) => run_metastore(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("egret-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_platform(args: &PlatformArgs) -> io::Result<()> {
    Runtime::new()?.block_on(async {
        let platform = SimulatedPlatform::start(PlatformConf {
            store: args.metastore,
            control: Some(args.control),
            data_centres: args.data_centres,
            engines: args.engines,
            upgraded_engines: args.upgraded_engines,
            plain_targets: args.plain_targets,
            adapter_slots: args.adapter_slots,
            load_ms: args.load_ms,
            full_speed_loads: args.full_speed_loads,
            batch: BatchConf {
                slots: args.slots,
                memory_tokens: args.memory_tokens,
                ..BatchConf::default()
            },
        })
        .await?;
        println!(
            "metadata store listens on {}, fault switches on {}",
            platform.store.address(),
            args.control
        );
        tokio::signal::ctrl_c().await
    })
}

fn run_target(args: TargetArgs) -> io::Result<()> {
    Runtime::new()?.block_on(serve_target(TargetProcessConf {
        id: args.id,
        listen: args.listen,
        reached_at: args.reached_at.unwrap_or(args.listen),
        software_version: args.software_version,
        service: args.service,
        data_centre: args.data_centre,
        framing: args.framing,
        events: args.events,
        pause: Duration::from_millis(args.pause_ms),
        adapters: args.adapters,
        registry: args.registry,
        heartbeat: Duration::from_millis(args.heartbeat_ms),
        drain: Duration::from_millis(args.drain_ms),
        executed: args.executed,
        work: Duration::from_millis(args.work_ms),
        brittle: BrittleConf {
            refusals_max: args.refusals,
            queue_max: 0,
            notice: Duration::from_millis(args.notice_ms),
        },
        starts_brittle: args.brittle,
        falls: args.falls,
    }))
}

// a program that is killed cannot end the processes that it has started
fn end_group_after_parent() {
    let parent = getppid();
    while getppid() == parent {
        std::thread::sleep(PARENT_CHECK_INTERVAL);
    }
    // this process is one of them
    if let Err(e) = killpg(getpgrp(), Signal::SIGKILL) {
        eprintln!("egret-standin: the processes of the group could not be ended: {e}");
    }
}

fn run_metastore(args: &MetastoreArgs) -> io::Result<()> {
    let heartbeat = Duration::from_millis(args.heartbeat_ms);
    if args.ends_group {
        std::thread::spawn(end_group_after_parent);
    }
    Runtime::new()?.block_on(serve_metastore(args.listen, args.control, heartbeat))
}

fn run_callers(args: CallersArgs) -> ExitCode {
    let conf = CallersConf {
        key: args.key,
        hosts: args.hosts,
        rate: args.rate,
        seconds: args.seconds,
        adapters: args.adapters,
        exponent: args.exponent,
        plain_share: args.plain_share,
        seed: args.seed,
    };
    let report = match Runtime::new() {
        Ok(runtime) => runtime.block_on(call_hosts(conf)),
        Err(e) => {
            eprintln!("egret-standin: {e}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.text());
    // wrong answers are never acceptable: a single one fails the run
    if report.wrong_answers() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

pub(crate) use args::{EngineArgs, HostsArgs, LogArgs, RelayArgs, ServiceArgs, WeightStoreArgs};
