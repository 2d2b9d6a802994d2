//! Command line and startup.

mod args;

use {
    crate::{conf::Settings, keepers, services, state::Entry, web},
    args::Args,
    clap::Parser,
    egret_runtime::{HostsClient, LogClient, events, load_settings, run_daemon},
    std::{process::ExitCode, sync::Arc},
};

/// Runs the entry until it is stopped.
#[must_use]
pub fn run() -> ExitCode {
    let args = Args::parse();
    let settings = load_settings(&args.common.config, Settings::faults);
    run_daemon("egret-entry", &args.common, settings, |cfg: &Settings| &cfg.logs, serve)
}

fn serve(cfg: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let entry = Arc::new(Entry::new(cfg));
        start_tasks(&entry);
        events::STARTED.info(format_args!("host={} incarnation={}", entry.host, entry.incarnation));
        web::serve(entry.clone()).await?;
        events::STOPPED.info(format_args!("host={}", entry.host));
        Ok(())
    })
}

fn start_tasks(entry: &Arc<Entry>) {
    let platform = &entry.cfg.platform;
    let log = LogClient::new(platform.log);
    let hosts = HostsClient::new(platform.hosts);
    spawn(entry, move |e| async move { e.config.follow(log).await });
    spawn(entry, move |e| async move { e.hosts.follow(hosts).await });
    spawn(entry, keepers::run_heartbeats);
    spawn(entry, keepers::follow_config);
    spawn(entry, keepers::read_claims);
    spawn(entry, services::follow_journal);
    spawn(entry, services::append_journal);
    spawn(entry, |e| async move {
        e.audit.flush_periodically(e.log.clone(), e.cfg.audit.interval_ms).await;
    });
}

fn spawn<F>(entry: &Arc<Entry>, task: impl FnOnce(Arc<Entry>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(task(entry.clone()));
}
