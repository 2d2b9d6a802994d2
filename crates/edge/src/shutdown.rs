//! Signals: graceful stop, and settings read again.

use {
    crate::{conf::Settings, state::Edge},
    egret_runtime::{events, load_settings, now, with_deadline},
    std::{path::Path, sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Time kept in reserve before the process would be killed, in milliseconds.
const KILL_MARGIN_MS: u64 = 600;

/// Time between two looks at whether everything is finished, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// Time for idle connections to close, in milliseconds: a request that is on its way to one still
/// gets its answer.
const IDLE_CLOSE_MS: u64 = 60;

/// Runs until a stop was asked for and everything open is finished.
///
/// The host says at once that it is not ready, and goes on serving what still reaches it until
/// the balancer has certainly noticed.
pub(crate) async fn run_until_stopped(edge: &Arc<Edge>, file: &Path) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(edge, file),
        }
    }
    let started = now();
    let stop = edge.cfg.stop;
    let noticed = started.after_ms(stop.notice_ms);
    let last = started.after_ms(stop.grace_ms.saturating_sub(KILL_MARGIN_MS));
    edge.begin_stop();
    events::STOPPING.info(format_args!("open={}", edge.open_requests()));
    tokio::time::sleep(Duration::from_millis(now().ms_until(noticed))).await;
    // what comes later could not be finished in time
    edge.close_connections();
    tokio::time::sleep(Duration::from_millis(IDLE_CLOSE_MS)).await;
    let closed = async {
        while edge.open_requests() > 0 {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    };
    if with_deadline(last, closed).await.is_none() {
        events::STOP_TIMED_OUT.warn(format_args!("open={}", edge.open_requests()));
    }
    Ok(())
}

// all settings name this process or what it was built on at its start; a file that differs in
// them is noted and comes into force with the next start
fn reload(edge: &Edge, file: &Path) {
    match load_settings(file, Settings::faults) {
        Ok(cfg) if cfg.logs.level != edge.cfg.logs.level => {
            log::set_max_level(cfg.logs.level);
            events::SETTINGS_RELOADED.info(format_args!("level={}", cfg.logs.level));
        }
        Ok(_) => events::SETTINGS_RELOADED.info(format_args!("level={}", log::max_level())),
        Err(e) => events::SETTINGS_REFUSED.warn(format_args!("problem={e}")),
    }
}
