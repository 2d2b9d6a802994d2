//! Asking engines what is resident, which also shows restarts and crashes.

use {
    super::{effects::run_effects, shard::EngineShard},
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
const BUSY_MS: u64 = 5;

/// How long a probe may take, in milliseconds.
const PROBE_MS: u64 = 1500;

#[derive(Deserialize)]
struct Models {
    data: Vec<Model>,
    epoch: u64,
}

#[derive(Deserialize)]
struct Model {
    id: String,
}

/// Probes all engines, each by a task of its own.
pub(crate) fn probe_all(keeper: &Arc<Keeper>) {
    for shard in keeper.shards() {
        tokio::spawn(probe(keeper.clone(), shard));
    }
}

/// Asks one engine by a question that begins now, after one that may be under way.
pub(crate) async fn probe_anew(keeper: Arc<Keeper>, shard: Arc<EngineShard>) {
    while shard.probing.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(BUSY_MS)).await;
    }
    probe(keeper, shard).await;
}

/// Asks one engine, unless it is being asked already.
pub(crate) async fn probe(keeper: Arc<Keeper>, shard: Arc<EngineShard>) {
    if shard.probing.swap(true, Ordering::AcqRel) {
        return;
    }
    let asked = now();
    let deadline = asked.after_ms(PROBE_MS);
    let reply = keeper.engine_caller.get(shard.spec.address, "/v1/models", deadline).await;
    shard.probing.store(false, Ordering::Release);
    let (crashed, effects) = match reply {
        Ok(reply) => match parse(&reply) {
            Some((epoch, resident)) => shard.slots.lock().sync(now(), asked, epoch, &resident),
            None => return,
        },
        Err(e) if e.is_unsent() => lost(&shard),
        // silent: deadlines of its requests decide
        Err(_) => return,
    };
    suspect(&keeper, &shard, &crashed);
    run_effects(&keeper, &shard, effects);
}

fn parse(reply: &Reply) -> Option<(u64, IndexSet<ModelName>)> {
    let models: Models = reply.json().ok()?;
    let names = models.data.iter().filter_map(|m| m.id.parse().ok());
    Some((models.epoch, names.collect()))
}

fn lost(shard: &EngineShard) -> (Vec<Fingerprint>, Vec<Effect>) {
    let mut slots = shard.slots.lock();
    if !slots.down() {
        events::ENGINE_UNREACHABLE.warn(format_args!("engine={}", shard.name));
    }
    slots.lost(now())
}

fn suspect(keeper: &Keeper, shard: &EngineShard, crashed: &[Fingerprint]) {
    if crashed.is_empty() {
        return;
    }
    let keep_ms = keeper.cfg.slots.suspect_ms;
    keeper.suspects.lock().crashed(now(), crashed, keep_ms);
    let contents: Vec<String> = crashed.iter().map(|f| format!("{:016x}", f.0)).collect();
    let detail = format!("engine={} contents={}", shard.name, contents.join(","));
    keeper.audit.record(events::SUSPECTS_FOUND, &detail);
}
