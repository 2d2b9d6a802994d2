//! Status report of the entry, for operators and `egretctl`.

use {
    crate::state::Entry,
    egret_runtime::now,
    serde_json::{Value, json},
};

/// Returns the entry's state as JSON.
pub(crate) fn status_json(entry: &Entry) -> Value {
    let (keys, unsettled) = entry.journal.sizes();
    let engines: Vec<Value> = {
        let views = entry.views.lock();
        let engine = |(name, view): (&faststr::FastStr, &egret_core::EngineView)| {
            json!({
                "engine": name,
                "keeper": view.keeper,
                "fence": view.fencing_token,
                "running": view.running,
                "queued": view.queued,
                "can_load": view.can_load,
                "leaving": view.leaving,
            })
        };
        views.iter().map(engine).collect()
    };
    json!({
        "program": "egret-entry",
        "host": entry.host,
        "data_centre": entry.cfg.data_centre,
        "up_ms": now().ms_since(entry.started_at),
        "stopping": entry.is_stopping(),
        "leaving": entry.is_leaving(),
        "ready": check_ready(entry).is_ok(),
        "revision": entry.config.current().revision,
        "requests_open": entry.caller_limits.lock().open_count(),
        "tickets_open": entry.tickets.len(),
        "journal_ready": entry.journal.is_caught_up(),
        "journal_keys": keys,
        "journal_unsettled": unsettled,
        "suspects": entry.suspects.lock().records(now()).len(),
        "engines": engines,
        "audit_dropped": entry.audit.dropped_records(),
    })
}

/// Checks whether the load balancer may send requests here. Returns the reason if not.
pub(crate) fn check_ready(entry: &Entry) -> Result<(), &'static str> {
    if entry.is_stopping() {
        return Err("stopping");
    }
    if entry.is_leaving() {
        return Err("leaving");
    }
    if !entry.config.has_config() {
        return Err("no configuration yet");
    }
    Ok(())
}
