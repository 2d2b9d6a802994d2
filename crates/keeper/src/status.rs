//! Status report of the keeper, for operators and `egretctl`.

use {
    crate::state::Keeper,
    egret_core::Resource,
    egret_runtime::now,
    serde_json::{Value, json},
};

/// Returns the keeper's state as JSON.
pub(crate) fn status_json(keeper: &Keeper) -> Value {
    let config = keeper.config.current();
    let (lease_ms, owned) = {
        let ownership = keeper.ownership.lock();
        let owned: Vec<Resource> = ownership.owned_resources().cloned().collect();
        (now().ms_until(ownership.lease_expires_at()), owned)
    };
    let permits = {
        let permits = keeper.permits.lock();
        json!({ "usable": permits.len(), "free": permits.free_count(now()) })
    };
    let engines: Vec<Value> = keeper
        .owned_engines()
        .iter()
        .map(|engine| {
            let (_, resident) = engine.versioned_residents();
            let slots = engine.slots.lock();
            let counters = slots.counters();
            json!({
                "engine": engine.name,
                "data_centre": engine.spec.data_centre,
                "fence": slots.fencing_token(),
                "can_load": slots.can_load(),
                "may_evict": slots.may_evict(),
                "unregistered": slots.unregistered().collect::<Vec<_>>(),
                "leaving": slots.is_leaving(),
                "down": slots.is_down(),
                "running": slots.running(),
                "queued": slots.queued(now()),
                "free_slots": slots.free_slots(),
                "resident": resident,
                "granted": counters.granted,
                "stalled": counters.stalled,
                "loads": counters.loads,
                "loads_failed": counters.loads_failed,
                "evictions": counters.evictions,
            })
        })
        .collect();
    json!({
        "program": "egret-keeper",
        "host": keeper.host,
        "data_centre": keeper.cfg.data_centre,
        "up_ms": now().ms_since(keeper.started_at),
        "stopping": keeper.is_stopping(),
        "revision": config.revision,
        "right_ms": lease_ms,
        "live": keeper.live_hosts(),
        "held": owned.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "permits": permits,
        "engines": engines,
        "audit_dropped": keeper.audit.dropped_records(),
    })
}
