//! Signal handling: graceful stop and reload of settings.

use {
    crate::{
        conf::{Settings, StopSettings},
        state::Edge,
    },
    egret_core::{StopTimes, Time},
    egret_runtime::{events, lingering_connections, load_settings, now, with_deadline},
    std::{path::Path, sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Time before the process would be killed at which open requests get their final answers.
const ANSWER_MARGIN_MS: u64 = 800;

/// Time before the process would be killed at which it ends at the latest. The answers before it are
/// written by then, and the last log lines after it.
const KILL_MARGIN_MS: u64 = 500;

/// Interval of checks whether all requests are finished.
const CHECK_INTERVAL_MS: u64 = 50;

/// Time for idle connections to close. A request that is on its way over one of them is still
/// answered.
const IDLE_CLOSE_MS: u64 = 60;

/// Runs until a stop signal arrives and all open requests are finished.
///
/// At the signal the host reports at once that it is not ready. It continues to serve new requests
/// until the load balancer has certainly noticed.
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
    let times = stop_times(started, &stop);
    let stop_deadline = started.after_ms(stop.grace_ms().saturating_sub(KILL_MARGIN_MS));
    edge.begin_stop(times);
    events::STOPPING.info(format_args!("open={}", edge.open_requests()));
    tokio::time::sleep(Duration::from_millis(now().ms_until(times.closes_at))).await;
    edge.close_connections();
    tokio::time::sleep(Duration::from_millis(IDLE_CLOSE_MS)).await;
    // an answer is complete for this host before its last bytes are sent, and a connection ends
    // after them
    let finished = async {
        while edge.open_requests() > 0
            || edge.caller_connections.count() > 0
            || lingering_connections() > 0
        {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        }
    };
    if with_deadline(stop_deadline, finished).await.is_none() {
        events::STOP_TIMED_OUT.warn(format_args!(
            "open={} connections={}",
            edge.open_requests(),
            edge.caller_connections.count()
        ));
    }
    Ok(())
}

fn stop_times(started: Time, stop: &StopSettings) -> StopTimes {
    let ends_at = started.after_ms(stop.grace_ms().saturating_sub(ANSWER_MARGIN_MS));
    StopTimes { closes_at: started.after_ms(stop.notice_ms).min(ends_at), ends_at }
}

// only a new log level takes effect at once: all other settings are used only at the start of the
// process, so changes of them take effect with the next start
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
