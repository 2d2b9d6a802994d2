//! Command line.

mod args;

use {
    crate::{
        command::apply,
        conf::Settings,
        exit::Exit,
        query::{audit, check, explain, status},
    },
    args::{Args, Command},
    clap::Parser,
    egret_runtime::load_settings,
    std::process::ExitCode,
};

pub(crate) use args::{ApplyArgs, AuditArgs, CheckArgs, ExplainArgs};

/// Parses the arguments and runs the command.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    if let Command::Check(check_args) = &args.command {
        return check::run(check_args, args.json).into();
    }
    let cfg = match load_settings(&args.config, Settings::faults) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("egretctl: {e}");
            return Exit::InvalidInput.into();
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("egretctl: {e}");
            return ExitCode::FAILURE;
        }
    };
    let exit = runtime.block_on(async {
        match &args.command {
            Command::Check(check_args) => check::run(check_args, args.json),
            Command::Apply(apply_args) => apply::run(&cfg, apply_args, args.json).await,
            Command::Status => status::run(&cfg, args.json).await,
            Command::Explain(explain_args) => explain::run(&cfg, explain_args, args.json).await,
            Command::Audit(audit_args) => audit::run(&cfg, audit_args, args.json).await,
        }
    });
    exit.into()
}
