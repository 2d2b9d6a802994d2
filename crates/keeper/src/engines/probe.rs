//! Asking engines what is resident, which also shows restarts and crashes.

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

/// Wait for a probe that is under way, in milliseconds.
const PROBE_POLL_MS: u64 = 5;

/// How long a probe may take, in milliseconds.
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

/// Probes all engines, each by a task of its own.
pub(crate) fn probe_all(keeper: &Arc<Keeper>) {
    for shard in keeper.owned_engines() {
        tokio::spawn(probe(keeper.clone(), shard));
    }
}

/// Asks one engine by a question that begins now, after one that may be under way.
pub(crate) async fn probe_after_current(keeper: Arc<Keeper>, shard: Arc<OwnedEngine>) {
    while shard.probe_running.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(PROBE_POLL_MS)).await;
    }
    probe(keeper, shard).await;
}

/// Asks one engine, unless it is being asked already.
pub(crate) async fn probe(keeper: Arc<Keeper>, shard: Arc<OwnedEngine>) {
    if shard.probe_running.swap(true, Ordering::AcqRel) {
        return;
    }
    let asked = now();
    let deadline = asked.after_ms(PROBE_TIMEOUT_MS);
    let reply = keeper.engine_client.get(shard.spec.address, "/v1/models", deadline).await;
    shard.probe_running.store(false, Ordering::Release);
    let (crashed, effects) = match reply {
        Ok(reply) => match parse_models(&reply) {
            Some((epoch, resident)) => {
                shard.slots.lock().sync_resident(now(), asked, epoch, &resident)
            }
            None => return,
        },
        Err(e) if e.is_unsent() => mark_lost(&shard),
        // silent: deadlines of its requests decide
        Err(_) => return,
    };
    record_suspects(&keeper, &shard, &crashed);
    run_effects(&keeper, &shard, effects);
}

fn parse_models(reply: &Reply) -> Option<(u64, IndexSet<ModelName>)> {
    let models: ModelList = reply.json().ok()?;
    let names = models.data.iter().filter_map(|m| m.id.parse().ok());
    Some((models.epoch, names.collect()))
}

fn mark_lost(shard: &OwnedEngine) -> (Vec<Fingerprint>, Vec<Effect>) {
    let mut slots = shard.slots.lock();
    if !slots.is_down() {
        events::ENGINE_UNREACHABLE.warn(format_args!("engine={}", shard.name));
    }
    slots.mark_down(now())
}

fn record_suspects(keeper: &Keeper, shard: &OwnedEngine, crashed: &[Fingerprint]) {
    if crashed.is_empty() {
        return;
    }
    let keep_ms = keeper.cfg.slots.suspect_ms;
    keeper.suspects.lock().record_crash(now(), crashed, keep_ms);
    let contents: Vec<String> = crashed.iter().map(|f| format!("{:016x}", f.0)).collect();
    let detail = format!("engine={} contents={}", shard.name, contents.join(","));
    keeper.audit.record(events::SUSPECTS_FOUND, &detail);
}
