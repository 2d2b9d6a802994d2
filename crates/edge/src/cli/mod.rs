//! Command line and start.

mod args;

use {
    crate::{conf::Settings, orders, peers, server, shutdown, state::Edge, watch},
    args::Args,
    clap::Parser,
    egret_runtime::{events, load_settings, run_daemon},
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

/// Runs an edge host until a stop signal arrives.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    let settings = load_settings(&args.common.config, Settings::faults);
    let settings = settings.map(|cfg| (cfg, args.common.config.clone()));
    run_daemon("egret-edge", &args.common, settings, |(cfg, _)| &cfg.logs, serve)
}

fn serve((cfg, file): (Settings, PathBuf)) -> std::io::Result<()> {
    // the host has one processor, so a second thread would only add context switches
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let edge = Arc::new(Edge::new(cfg));
        events::STARTED.info(format_args!(
            "host={} incarnation={} data_centre={}",
            edge.cfg.host, edge.incarnation, edge.cfg.data_centre
        ));
        let listeners = server::bind(&edge).await?;
        watch::start(&edge);
        orders::start(&edge);
        peers::start(&edge);
        server::start(&edge, listeners);
        shutdown::run_until_stopped(&edge, &file).await?;
        events::STOPPED.info(format_args!("host={}", edge.cfg.host));
        Ok(())
    })
}
