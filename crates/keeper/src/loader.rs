//! Schedules adapter loads: assigns permits to waiting adapters and borrows permits from peers.

use {
    crate::{
        engines::{OwnedEngine, probe_all, run_effects},
        peers,
        state::Keeper,
    },
    egret_core::{Effect, RequestGroup},
    egret_runtime::now,
    indexmap::IndexSet,
    std::{sync::Arc, time::Duration},
};

/// Interval of the scheduling loop, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// Interval between probes of all engines, in ticks.
const PROBE_INTERVAL_TICKS: u64 = 50;

/// Interval between attempts to borrow permits, in ticks.
const BORROW_INTERVAL_TICKS: u64 = 10;

/// Duration of a load at full speed, in milliseconds.
const FULL_SPEED_LOAD_MS: u64 = 300;

/// Runs the scheduling loop, forever.
pub(crate) async fn run(keeper: Arc<Keeper>) {
    let mut tick = 0_u64;
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        tick += 1;
        tick_engines(&keeper);
        let waiting = start_loads(&keeper);
        if waiting == 0 {
            prefetch_adapter(&keeper);
        }
        update_load_estimates(&keeper, waiting);
        if waiting > 0 && tick.is_multiple_of(BORROW_INTERVAL_TICKS) {
            tokio::spawn(peers::borrow_permits(keeper.clone(), waiting));
        }
        if tick.is_multiple_of(PROBE_INTERVAL_TICKS) {
            probe_all(&keeper);
        }
    }
}

fn tick_engines(keeper: &Arc<Keeper>) {
    let config = keeper.config.current();
    let required_entries: IndexSet<_> = {
        let members = keeper.hosts.members().lock();
        members.known().into_iter().map(|m| m.host.clone()).collect()
    };
    for engine in keeper.owned_engines() {
        let can_load = keeper.order_fencing_token(&engine.name).is_some();
        let leaving =
            config.manifest.hosts.is_leaving(&engine.name) || keeper.hosts.is_leaving(&engine.name);
        let effects = {
            let mut slots = engine.slots.lock();
            slots.set_required_entries(required_entries.clone());
            slots.tick(now(), can_load, leaving)
        };
        run_effects(keeper, &engine, effects);
    }
}

/// Starts as many loads as there are permits. Returns the number of adapters still waiting for a
/// permit.
fn start_loads(keeper: &Arc<Keeper>) -> usize {
    let mut groups = collect_missing_adapters(keeper);
    groups.sort_by_key(|(_, group)| (group.class, std::cmp::Reverse(group.waiting), group.since));
    let usable_permits: Vec<u16> = keeper.ownership.lock().usable_permits(now());
    let mut waiting = 0;
    for (engine, group) in groups {
        let permit = keeper.permits.lock().acquire_for_load(now(), |n| usable_permits.contains(&n));
        let Some(permit) = permit else {
            waiting += 1;
            continue;
        };
        let effects = start_load(&engine, &group, permit);
        if effects.is_empty() {
            keeper.permits.lock().cancel_acquire(now(), permit);
        }
        run_effects(keeper, &engine, effects);
    }
    waiting
}

/// Prefetches an adapter into one empty slot, for instance after an engine restart, if the load
/// budget has spare permits.
fn prefetch_adapter(keeper: &Arc<Keeper>) {
    if !keeper.permits.lock().has_spare_capacity(now()) {
        return;
    }
    let candidate = keeper.owned_engines().into_iter().find_map(|engine| {
        let model = engine.slots.lock().prefetch_candidate(now())?;
        Some((engine, model))
    });
    let Some((engine, model)) = candidate else {
        return;
    };
    let usable_permits: Vec<u16> = keeper.ownership.lock().usable_permits(now());
    let Some(permit) =
        keeper.permits.lock().acquire_for_load(now(), |n| usable_permits.contains(&n))
    else {
        return;
    };
    let effects = engine.slots.lock().begin_load(now(), &model, permit);
    if effects.is_empty() {
        keeper.permits.lock().cancel_acquire(now(), permit);
    }
    run_effects(keeper, &engine, effects);
}

fn collect_missing_adapters(keeper: &Keeper) -> Vec<(Arc<OwnedEngine>, RequestGroup)> {
    let mut all_groups = Vec::new();
    for engine in keeper.owned_engines() {
        let groups = engine.slots.lock().missing_adapters();
        all_groups.extend(groups.into_iter().map(|group| (engine.clone(), group)));
    }
    all_groups
}

fn start_load(engine: &OwnedEngine, group: &RequestGroup, permit: u16) -> Vec<Effect> {
    engine.slots.lock().begin_load(now(), &group.model, permit)
}

/// Sets the expected load time of all engines from the number of adapters waiting for permits.
fn update_load_estimates(keeper: &Keeper, waiting: usize) {
    let (spacing_ms, permits) = {
        let permits = keeper.permits.lock();
        (permits.limits().start_interval_ms(), permits.len() as u64)
    };
    let estimate = FULL_SPEED_LOAD_MS + waiting as u64 * spacing_ms / permits.max(1);
    for engine in keeper.owned_engines() {
        engine.slots.lock().set_load_ms(estimate);
    }
}
