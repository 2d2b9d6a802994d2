//! Command line and startup.

mod args;

use {
    crate::{conf::Settings, links, loader, ownership, peers, snapshots, state::Keeper, web},
    args::Args,
    clap::Parser,
    egret_runtime::{HostsClient, LogClient, events, load_settings, run_daemon, serve_links},
    std::{process::ExitCode, sync::Arc},
};

/// Runs the keeper until it is stopped.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    let settings = load_settings(&args.common.config, Settings::faults);
    run_daemon("egret-keeper", &args.common, settings, |cfg: &Settings| &cfg.logs, serve)
}

fn serve(cfg: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let keeper = Arc::new(Keeper::new(cfg));
        start_tasks(&keeper);
        events::STARTED
            .info(format_args!("host={} incarnation={}", keeper.host, keeper.incarnation));
        web::serve(keeper.clone()).await?;
        events::STOPPED.info(format_args!("host={}", keeper.host));
        Ok(())
    })
}

fn start_tasks(keeper: &Arc<Keeper>) {
    let platform = &keeper.cfg.platform;
    let log = LogClient::new(platform.log);
    let hosts = HostsClient::new(platform.hosts);
    spawn(keeper, move |k| async move { k.config.follow(log).await });
    spawn(keeper, move |k| async move { k.hosts.follow(hosts).await });
    spawn(keeper, ownership::follow_claims);
    spawn(keeper, ownership::plan_claims);
    spawn(keeper, ownership::follow_config);
    spawn(keeper, peers::send_heartbeats);
    spawn(keeper, snapshots::run);
    spawn(keeper, loader::run);
    spawn(keeper, |k| async move {
        k.audit.flush_periodically(k.log.clone(), k.cfg.audit.interval_ms).await;
    });
    spawn(keeper, |k| async move {
        let handler = links::link_handler(k.clone());
        let result = serve_links(k.cfg.links, k.cfg.secret.clone(), handler).await;
        if let Err(e) = result {
            eprintln!("egret-keeper: failed to serve links at {}: {e}", k.cfg.links);
            std::process::exit(1);
        }
    });
}

fn spawn<F>(keeper: &Arc<Keeper>, task: impl FnOnce(Arc<Keeper>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(task(keeper.clone()));
}
