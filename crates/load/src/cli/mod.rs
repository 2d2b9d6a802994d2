//! Command line.

mod args;

use {
    crate::{
        bench, costs,
        live::{LoadPlan, run_load},
    },
    args::{Args, Command, RunArgs},
    clap::Parser,
    std::process::ExitCode,
};

pub(crate) use args::{BenchArgs, Fault};

/// Runs the command that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    match Args::parse().command {
        Command::Run(args) => run_live(&args),
        Command::Bench(args) => bench::run(&args),
        Command::Costs => costs::run(),
    }
}

fn run_live(args: &RunArgs) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("egret-load: {e}");
            return ExitCode::FAILURE;
        }
    };
    let report = runtime.block_on(run_load(LoadPlan::from(args)));
    if args.json {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
    // wrong answers are never acceptable: a single one fails the run
    if report.wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
