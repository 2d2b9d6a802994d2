//! Command line.

mod args;

use {
    crate::{
        command::apply,
        conf::Settings,
        exit::Exit,
        query::{audit, check, explain, status},
    },
    args::{Args, Verb},
    clap::Parser,
    egret_runtime::load_settings,
    std::process::ExitCode,
};

pub(crate) use args::{ApplyArgs, AuditArgs, CheckArgs, ExplainArgs};

/// Runs the command that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    if let Verb::Check(check_args) = &args.verb {
        return check::run(check_args, args.json).into();
    }
    let cfg = match load_settings(&args.config, Settings::faults) {
        Ok(cfg) => cfg,
        Err(e) => {
            eprintln!("egretctl: {e}");
            return Exit::Wrong.into();
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
        match &args.verb {
            Verb::Check(check_args) => check::run(check_args, args.json),
            Verb::Apply(apply_args) => apply::run(&cfg, apply_args, args.json).await,
            Verb::Status => status::run(&cfg, args.json).await,
            Verb::Explain(explain_args) => explain::run(&cfg, explain_args, args.json).await,
            Verb::Audit(audit_args) => audit::run(&cfg, audit_args, args.json).await,
        }
    });
    exit.into()
}
