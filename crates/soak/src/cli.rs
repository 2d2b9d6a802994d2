//! Command line.

use {
    crate::{
        schedule::FaultKind,
        soak::{SoakConf, play},
    },
    clap::Parser,
    std::{io, path::PathBuf, process::ExitCode},
    tokio::{
        runtime::Runtime,
        signal::unix::{SignalKind, signal},
    },
};

/// Plays faults on real hosts, targets and a store under load, and checks what callers and targets
/// saw. Fails if a rule was broken.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Seed of the schedule and of the load
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// Seconds in which faults begin
    #[arg(long, default_value_t = 60)]
    seconds: u64,

    /// Number of hosts
    #[arg(long, default_value_t = 3)]
    hosts: usize,

    /// Number of engines
    #[arg(long, default_value_t = 5)]
    engines: usize,

    /// Program of the hosts; without it, the one beside this program
    #[arg(long)]
    edge: Option<PathBuf>,

    /// Older build, from which hosts are replaced one after the other, and back
    #[arg(long)]
    old_edge: Option<PathBuf>,

    /// Kinds of faults to leave out
    #[arg(long, value_enum, value_delimiter = ',')]
    without: Vec<FaultKind>,

    /// Empty or new folder to keep settings, logs and the report in
    #[arg(long)]
    keep: Option<PathBuf>,
}

/// Plays the run that the arguments name.
#[must_use]
pub fn run() -> ExitCode {
    match run_soak(Args::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("egret-soak: {e}");
            ExitCode::FAILURE
        }
    }
}

// returns true if no rule was broken
fn run_soak(args: Args) -> io::Result<bool> {
    let temporary = tempfile::tempdir()?;
    if let Some(folder) = &args.keep {
        std::fs::create_dir_all(folder)?;
        // what targets executed in another run would count
        if std::fs::read_dir(folder)?.next().is_some() {
            return Err(io::Error::other(format!("{} is not empty", folder.display())));
        }
    }
    let conf = SoakConf {
        seed: args.seed,
        seconds: args.seconds,
        hosts: args.hosts,
        engines: args.engines,
        edge: args.edge,
        old_edge: args.old_edge,
        without: args.without,
        folder: args.keep.unwrap_or(temporary.path().to_owned()),
    };
    print!("{}", conf.schedule());
    let report = Runtime::new()?.block_on(async {
        let mut stop = signal(SignalKind::terminate())?;
        // what is dropped here ends its processes
        tokio::select! {
            report = play(&conf) => report,
            _ = stop.recv() => Err(io::ErrorKind::Interrupted.into()),
            _ = tokio::signal::ctrl_c() => Err(io::ErrorKind::Interrupted.into()),
        }
    })?;
    let text = report.text(&conf.folder);
    print!("{text}");
    std::fs::write(conf.folder.join("report.txt"), text)?;
    Ok(report.violations.is_empty())
}
