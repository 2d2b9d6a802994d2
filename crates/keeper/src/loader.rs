//! Loads: which waiting adapter gets the next permit, and borrowing permits from others.

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

/// How often queues are looked through, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// Ticks between two probes of all engines.
const PROBE_INTERVAL_TICKS: u64 = 50;

/// Ticks between two attempts to borrow permits.
const BORROW_INTERVAL_TICKS: u64 = 10;

/// Time that a load takes at full speed, in milliseconds.
const FULL_SPEED_LOAD_MS: u64 = 300;

/// Looks after the queues for ever.
pub(crate) async fn run(keeper: Arc<Keeper>) {
    let mut tick = 0_u64;
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        tick += 1;
        tick_engines(&keeper);
        let left = start_loads(&keeper);
        if left == 0 {
            prefetch_adapter(&keeper);
        }
        update_load_estimates(&keeper, left);
        if left > 0 && tick.is_multiple_of(BORROW_INTERVAL_TICKS) {
            tokio::spawn(peers::borrow_permits(keeper.clone(), left));
        }
        if tick.is_multiple_of(PROBE_INTERVAL_TICKS) {
            probe_all(&keeper);
        }
    }
}

fn tick_engines(keeper: &Arc<Keeper>) {
    let config = keeper.config.current();
    let required: IndexSet<_> = {
        let members = keeper.hosts.members().lock();
        members.known().into_iter().map(|m| m.host.clone()).collect()
    };
    for shard in keeper.owned_engines() {
        let can_load = keeper.order_fence(&shard.name).is_some();
        let leaving =
            config.manifest.hosts.is_leaving(&shard.name) || keeper.hosts.is_leaving(&shard.name);
        let effects = {
            let mut slots = shard.slots.lock();
            slots.set_required_entries(required.clone());
            slots.tick(now(), can_load, leaving)
        };
        run_effects(keeper, &shard, effects);
    }
}

/// Starts as many loads as there are permits. Returns how many adapters still wait for one.
fn start_loads(keeper: &Arc<Keeper>) -> usize {
    let mut wants = collect_wants(keeper);
    wants.sort_by_key(|(_, w)| (w.class, std::cmp::Reverse(w.waiting), w.since));
    let usable: Vec<u16> = keeper.ownership.lock().usable_permits(now());
    let mut left = 0;
    for (shard, want) in wants {
        let permit = keeper.permits.lock().acquire_for_load(now(), |n| usable.contains(&n));
        let Some(permit) = permit else {
            left += 1;
            continue;
        };
        let effects = start_load(&shard, &want, permit);
        if effects.is_empty() {
            keeper.permits.lock().cancel_acquire(now(), permit);
        }
        run_effects(keeper, &shard, effects);
    }
    left
}

/// Refills one slot that holds nothing, for instance after a restart of its engine, if the
/// budget has something to spare.
fn prefetch_adapter(keeper: &Arc<Keeper>) {
    if !keeper.permits.lock().has_spare_capacity(now()) {
        return;
    }
    let found = keeper.owned_engines().into_iter().find_map(|shard| {
        let model = shard.slots.lock().prefetch_candidate(now())?;
        Some((shard, model))
    });
    let Some((shard, model)) = found else {
        return;
    };
    let usable: Vec<u16> = keeper.ownership.lock().usable_permits(now());
    let Some(permit) = keeper.permits.lock().acquire_for_load(now(), |n| usable.contains(&n))
    else {
        return;
    };
    let effects = shard.slots.lock().begin_load(now(), &model, permit);
    if effects.is_empty() {
        keeper.permits.lock().cancel_acquire(now(), permit);
    }
    run_effects(keeper, &shard, effects);
}

fn collect_wants(keeper: &Keeper) -> Vec<(Arc<OwnedEngine>, RequestGroup)> {
    let mut all = Vec::new();
    for shard in keeper.owned_engines() {
        let wants = shard.slots.lock().missing_adapters();
        all.extend(wants.into_iter().map(|want| (shard.clone(), want)));
    }
    all
}

fn start_load(shard: &OwnedEngine, want: &RequestGroup, permit: u16) -> Vec<Effect> {
    shard.slots.lock().begin_load(now(), &want.model, permit)
}

/// Tells the engines how long a new load would take, given what waits for permits.
fn update_load_estimates(keeper: &Keeper, waiting: usize) {
    let (spacing_ms, permits) = {
        let permits = keeper.permits.lock();
        (permits.limits().start_interval_ms(), permits.len() as u64)
    };
    let estimate = FULL_SPEED_LOAD_MS + waiting as u64 * spacing_ms / permits.max(1);
    for shard in keeper.owned_engines() {
        shard.slots.lock().set_load_ms(estimate);
    }
}
