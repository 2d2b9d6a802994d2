//! Probes engines for their resident adapters, which also detects restarts and crashes.

use {
    super::{effects::run_effects, owned_engine::OwnedEngine},
    crate::state::Keeper,
    egret_core::{Effect, Fingerprint, ModelName},
    egret_runtime::{Reply, events, now},
    indexmap::IndexSet,
    serde::Deserialize,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Interval between checks whether a running probe has ended, in milliseconds.
const PROBE_POLL_MS: u64 = 5;

/// Timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1500;

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
    epoch: u64,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

/// Probes all owned engines concurrently.
pub(crate) fn probe_all(keeper: &Arc<Keeper>) {
    for engine in keeper.owned_engines() {
        tokio::spawn(probe(keeper.clone(), engine));
    }
}

/// Probes one engine after any running probe has ended, so that the result is newer than this call.
pub(crate) async fn probe_after_current(keeper: Arc<Keeper>, engine: Arc<OwnedEngine>) {
    while engine.probe_running.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(PROBE_POLL_MS)).await;
    }
    probe(keeper, engine).await;
}

/// Probes one engine, unless a probe is already running.
pub(crate) async fn probe(keeper: Arc<Keeper>, engine: Arc<OwnedEngine>) {
    if engine.probe_running.swap(true, Ordering::AcqRel) {
        return;
    }
    let started_at = now();
    let deadline = started_at.after_ms(PROBE_TIMEOUT_MS);
    let reply = keeper.engine_client.get(engine.spec.address, "/v1/models", deadline).await;
    engine.probe_running.store(false, Ordering::Release);
    let (crashed, effects) = match reply {
        Ok(reply) => match parse_models(&reply) {
            Some((epoch, resident)) => {
                engine.slots.lock().sync_resident(now(), started_at, epoch, &resident)
            }
            None => return,
        },
        Err(e) if e.is_unsent() => mark_down(&engine),
        // A timeout does not prove a crash, so the engine's requests are left to their deadlines.
        Err(_) => return,
    };
    record_suspects(&keeper, &engine, &crashed);
    run_effects(&keeper, &engine, effects);
}

fn parse_models(reply: &Reply) -> Option<(u64, IndexSet<ModelName>)> {
    let models: ModelList = reply.json().ok()?;
    let names = models.data.iter().filter_map(|m| m.id.parse().ok());
    Some((models.epoch, names.collect()))
}

fn mark_down(engine: &OwnedEngine) -> (Vec<Fingerprint>, Vec<Effect>) {
    let mut slots = engine.slots.lock();
    if !slots.is_down() {
        events::ENGINE_UNREACHABLE.warn(format_args!("engine={}", engine.name));
    }
    slots.mark_down(now())
}

fn record_suspects(keeper: &Keeper, engine: &OwnedEngine, crashed: &[Fingerprint]) {
    if crashed.is_empty() {
        return;
    }
    let ttl_ms = keeper.cfg.slots.suspect_ms;
    keeper.suspects.lock().record_crash(now(), crashed, ttl_ms);
    let contents: Vec<String> = crashed.iter().map(|f| format!("{:016x}", f.0)).collect();
    let detail = format!("engine={} contents={}", engine.name, contents.join(","));
    keeper.audit.record(events::SUSPECTS_FOUND, &detail);
}
