//! Probes engines for their resident adapters, which also detects restarts and crashes.

use {
    super::{effects::run_effects, owned_engine::OwnedEngine},
    crate::state::Keeper,
    egret_core::{Effect, Fingerprint, ModelName, Time},
    egret_runtime::{CallError, Reply, events, now},
    indexmap::IndexSet,
    serde::Deserialize,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Interval between the probes of a crash check, in milliseconds.
const CRASH_CHECK_INTERVAL_MS: u64 = 5;

/// Longest duration of a crash check, in milliseconds. Entries wait 2500 ms for its result.
const CRASH_CHECK_MAX_MS: u64 = 2000;

/// Timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1500;

/// How a probe ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeEnd {
    /// Another probe of the engine was running.
    NotBegun,
    /// The connection broke, as happens while an engine crashes.
    Broken,
    /// The engine answered, refused the connection or did not answer in time.
    Complete,
}

/// Marks an engine's probe as running until dropped, so also when the link that caused the probe
/// ends. It is dropped after a crash has been recorded: what the next probe's caller reads includes
/// that crash.
struct RunningProbe<'a>(&'a OwnedEngine);

impl<'a> RunningProbe<'a> {
    /// Returns `None` if a probe of this engine is running.
    fn begin(engine: &'a OwnedEngine) -> Option<Self> {
        let was_running = engine.probe_running.swap(true, Ordering::AcqRel);
        (!was_running).then(|| Self(engine))
    }
}

impl Drop for RunningProbe<'_> {
    fn drop(&mut self) {
        self.0.probe_running.store(false, Ordering::Release);
    }
}

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

/// Probes one engine until a probe that began after this call shows whether it has crashed. An
/// engine that crashes may accept connections for a moment and break them, so a probe whose
/// connection breaks is repeated.
pub(crate) async fn check_for_crash(keeper: &Arc<Keeper>, engine: &Arc<OwnedEngine>) {
    let deadline = now().after_ms(CRASH_CHECK_MAX_MS);
    while now() < deadline {
        if try_probe(keeper, engine, deadline).await == ProbeEnd::Complete {
            return;
        }
        tokio::time::sleep(Duration::from_millis(CRASH_CHECK_INTERVAL_MS)).await;
    }
    events::CRASH_CHECK_UNDECIDED
        .warn(format_args!("engine={} within_ms={CRASH_CHECK_MAX_MS}", engine.name));
}

/// Probes one engine, unless a probe is already running.
pub(crate) async fn probe(keeper: Arc<Keeper>, engine: Arc<OwnedEngine>) {
    try_probe(&keeper, &engine, now().after_ms(PROBE_TIMEOUT_MS)).await;
}

async fn try_probe(keeper: &Arc<Keeper>, engine: &Arc<OwnedEngine>, deadline: Time) -> ProbeEnd {
    let Some(_running) = RunningProbe::begin(engine) else {
        return ProbeEnd::NotBegun;
    };
    probe_and_record(keeper, engine, deadline).await
}

async fn probe_and_record(
    keeper: &Arc<Keeper>,
    engine: &Arc<OwnedEngine>,
    deadline: Time,
) -> ProbeEnd {
    let started_at = now();
    let deadline = deadline.min(started_at.after_ms(PROBE_TIMEOUT_MS));
    let reply = keeper.engine_client.get(engine.spec.address, "/v1/models", deadline).await;
    let (crashed, effects) = match reply {
        Ok(reply) => match parse_models(&reply) {
            Some((epoch, resident)) => {
                engine.slots.lock().sync_resident(now(), started_at, epoch, &resident)
            }
            None => return ProbeEnd::Complete,
        },
        Err(CallError::NotConnected(_)) => mark_down(engine),
        Err(CallError::Broken(_)) => return ProbeEnd::Broken,
        // Neither proves a crash, so the engine's requests are left to their deadlines.
        Err(CallError::TimedOut | CallError::InvalidStatus(_)) => return ProbeEnd::Complete,
    };
    record_suspects(keeper, engine, &crashed);
    run_effects(keeper, engine, effects);
    ProbeEnd::Complete
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
