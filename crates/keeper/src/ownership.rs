//! Ownership claims on the log: follows them, appends them, and applies changes of owner.

use {
    crate::{
        engines::{OwnedEngine, probe, run_effects},
        state::Keeper,
    },
    egret_core::{ClaimRecord, Config, EngineSlots, Reason, Resource, Time, WeightStoreLimits},
    egret_runtime::{Batch, Tail, events, now},
    faststr::FastStr,
    indexmap::IndexSet,
    std::{sync::Arc, time::Duration},
};

/// Log stream of the claims.
pub(crate) const CLAIM_STREAM: &str = "claims";

/// Interval at which claims are planned, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 250;

/// Timeout of one append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1500;

/// Applies new records of the claim stream, forever.
pub(crate) async fn follow_claims(keeper: Arc<Keeper>) {
    let mut tail = Tail::new(keeper.log.clone(), CLAIM_STREAM);
    loop {
        let (read_start, batch) = tail.next_batch().await;
        for resource in apply_batch(&keeper, read_start, batch) {
            handle_owner_change(&keeper, &resource);
        }
    }
}

fn apply_batch(keeper: &Keeper, read_start: Time, batch: Batch) -> Vec<Resource> {
    let at_end = batch.reaches_end();
    let mut ownership = keeper.ownership.lock();
    ownership.set_stream_start(batch.start);
    let mut changed = Vec::new();
    for (offset, record) in batch.decode::<ClaimRecord>() {
        match record {
            Some(record) => changed.extend(ownership.apply_record(now(), offset, record)),
            None => events::LOG_RECORD_UNKNOWN
                .warn(format_args!("stream={CLAIM_STREAM} offset={offset}")),
        }
    }
    if at_end {
        ownership.extend_lease(read_start);
    }
    changed
}

fn handle_owner_change(keeper: &Arc<Keeper>, resource: &Resource) {
    let (fencing_token, owner) = {
        let ownership = keeper.ownership.lock();
        let owner = ownership.claims().get(resource).map(|o| (o.keeper.clone(), o.is_active()));
        (ownership.owned_fencing_token(resource), owner)
    };
    let owner = match owner {
        Some((host, true)) => host,
        _ => FastStr::from_static_str("-"),
    };
    let detail = format!("resource={resource} holder={owner} fence={}", fencing_token.unwrap_or(0));
    if fencing_token.is_some() {
        keeper.audit.record(events::OWNERSHIP_CHANGED, &detail);
    } else {
        events::OWNERSHIP_CHANGED.debug(format_args!("{detail}"));
    }
    match (resource, fencing_token) {
        (Resource::Permit(number), Some(_)) => keeper.permits.lock().add_owned(now(), *number),
        (Resource::Permit(number), None) => keeper.permits.lock().remove_owned(*number),
        (Resource::Engine(name), Some(fencing_token)) => add_engine(keeper, name, fencing_token),
        (Resource::Engine(name), None) => remove_engine(keeper, name),
    }
}

fn add_engine(keeper: &Arc<Keeper>, name: &FastStr, fencing_token: u64) {
    let config = keeper.config.current();
    let Some(spec) = config.manifest.engines.get(name) else {
        return;
    };
    let store = &config.manifest.weight_store;
    let settings = keeper.cfg.slot_settings(store.load_timeout_ms);
    let slots = EngineSlots::new(OwnedEngine::engine_limits(spec), settings, fencing_token);
    let engine = Arc::new(OwnedEngine::new(name.clone(), spec.clone(), slots));
    keeper.engines.lock().insert(name.clone(), engine.clone());
    tokio::spawn(probe(keeper.clone(), engine));
}

fn remove_engine(keeper: &Arc<Keeper>, name: &FastStr) {
    let Some(engine) = keeper.engines.lock().shift_remove(name) else {
        return;
    };
    let effects = engine.slots.lock().refuse_all(Reason::NoTarget, 0);
    run_effects(keeper, &engine, effects);
}

/// Claims the resources proposed for this keeper and releases those beyond its share, forever.
pub(crate) async fn plan_claims(keeper: Arc<Keeper>) {
    let mut live_hosts = Vec::new();
    let mut stable_since = now();
    loop {
        tokio::time::sleep(Duration::from_millis(PLAN_INTERVAL_MS)).await;
        let hosts = keeper.live_hosts();
        if hosts != live_hosts {
            live_hosts = hosts;
            stable_since = now();
        }
        if keeper.is_stopping() || !keeper.config.has_config() {
            continue;
        }
        let settled = now().ms_since(stable_since) >= keeper.cfg.ownership.settle_ms;
        let resources = claimable_resources(&keeper.config.current());
        let records = keeper.ownership.lock().plan_records(now(), &live_hosts, settled, &resources);
        if !records.is_empty() {
            append_claims(&keeper, &records).await;
        }
    }
}

fn claimable_resources(config: &Config) -> Vec<Resource> {
    let engines = config.manifest.engines.keys().cloned().map(Resource::Engine);
    let permits = (0..config.manifest.weight_store.in_transit_max).map(Resource::Permit);
    engines.chain(permits).collect()
}

async fn append_claims(keeper: &Keeper, records: &[ClaimRecord]) {
    let deadline = now().after_ms(APPEND_TIMEOUT_MS);
    // A lost answer needs no retry here: reading the stream shows whether the claim was appended.
    let appended = keeper.log.append(CLAIM_STREAM, records, deadline).await;
    for record in records {
        let detail = match record {
            ClaimRecord::Claim { resource, follows, .. } => {
                format!("claim resource={resource} follows={follows}")
            }
            ClaimRecord::Release { resource, fencing_token, .. } => {
                format!("release resource={resource} fence={fencing_token}")
            }
            ClaimRecord::Snapshot { .. } => continue,
            ClaimRecord::Reset => "reset".to_owned(),
        };
        let result = if appended.is_ok() { "appended" } else { "no answer" };
        keeper.audit.record(events::CLAIM_APPENDED, &format!("{detail} {result}"));
    }
}

/// Applies each new configuration, forever.
pub(crate) async fn follow_config(keeper: Arc<Keeper>) {
    let mut updates = keeper.config.subscribe();
    loop {
        let config = updates.borrow_and_update().clone();
        if config.revision > 0 {
            apply_config(&keeper, &config);
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}

fn apply_config(keeper: &Arc<Keeper>, config: &Config) {
    let store = &config.manifest.weight_store;
    let limits = WeightStoreLimits {
        in_transit_max: store.in_transit_max,
        loads_per_1000_s: store.loads_per_1000_s,
        load_timeout_ms: store.load_timeout_ms,
    };
    keeper.permits.lock().set_limits(limits);
    let owned: Vec<(Resource, Option<u64>)> = {
        let mut ownership = keeper.ownership.lock();
        ownership.set_times(keeper.cfg.ownership_times(store.load_timeout_ms));
        let owned: Vec<Resource> = ownership.owned_resources().cloned().collect();
        owned.into_iter().map(|r| (r.clone(), ownership.owned_fencing_token(&r))).collect()
    };
    for (resource, fencing_token) in owned {
        match (resource, fencing_token) {
            (Resource::Permit(number), _) => keeper.permits.lock().add_owned(now(), number),
            (Resource::Engine(name), Some(fencing_token)) => {
                update_engine(keeper, config, &name, fencing_token);
            }
            (Resource::Engine(_), None) => {}
        }
    }
    if config.manifest.hosts.stop.contains(&keeper.host) {
        stop_process();
    }
}

fn update_engine(keeper: &Arc<Keeper>, config: &Config, name: &FastStr, fencing_token: u64) {
    let engine = keeper.engine(name);
    match (config.manifest.engines.get(name), engine) {
        (None, _) => remove_engine(keeper, name),
        (Some(_), None) => add_engine(keeper, name, fencing_token),
        (Some(spec), Some(engine)) if *spec != engine.spec => {
            remove_engine(keeper, name);
            add_engine(keeper, name, fencing_token);
        }
        (Some(_), Some(_)) => {}
    }
}

/// Stops this process with `SIGTERM`, as an operator would.
fn stop_process() {
    let _ = nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM);
}

/// Releases all owned resources and waits until other keepers own them, at most `wait_ms`.
pub(crate) async fn hand_over(keeper: &Arc<Keeper>, wait_ms: u64) {
    let released: IndexSet<Resource> = keeper.ownership.lock().owned_resources().cloned().collect();
    let records = keeper.ownership.lock().release_all(now());
    append_claims(keeper, &records).await;
    let deadline = now().after_ms(wait_ms);
    while now() < deadline && !have_new_owners(keeper, &released) {
        tokio::time::sleep(Duration::from_millis(PLAN_INTERVAL_MS)).await;
    }
    keeper.audit.record(events::OWNERSHIP_RELEASED, &format!("count={}", released.len()));
}

fn have_new_owners(keeper: &Keeper, released: &IndexSet<Resource>) -> bool {
    let ownership = keeper.ownership.lock();
    let has_new_owner = |resource: &Resource| {
        let owner = ownership.claims().get(resource);
        owner.is_some_and(|o| o.is_active() && o.keeper != keeper.host)
    };
    released.iter().all(has_new_owner)
}
