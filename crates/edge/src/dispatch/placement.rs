//! The target for a request, and the adapter that it needs there.

use {
    super::request::OutgoingRequest,
    crate::{
        orders::{self, AdapterRequest},
        peers,
        state::{Edge, RunningRequest},
    },
    egret_core::{
        Target, TargetCandidate, TargetChoice, Time, choose_engine_for_adapter, choose_target,
    },
    egret_runtime::{events, now},
    faststr::FastStr,
    std::sync::Arc,
};

/// Longest wait for an adapter's load, in multiples of the route's aim. Callers of streams wait
/// for four aims; one that is told to come back before finds the adapter there.
const LOAD_WAIT_AIMS: u64 = 3;

/// Where a request can go.
#[derive(Clone, Debug)]
pub(crate) enum Placement {
    /// To this target.
    Target(Arc<Target>),
    /// The adapter could not be loaded at this engine in time.
    AdapterNotLoaded(FastStr),
    /// No target takes it.
    NoTarget,
}

/// Finds a target that is not in `tried`, and has the adapter loaded there if need be. The caller
/// has waited since `since`.
pub(crate) async fn select_target(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    tried: &[FastStr],
    since: Time,
) -> Placement {
    let adapter = out.head.adapter.as_ref().filter(|_| out.selected.service.engine.is_some());
    let version = adapter.and_then(|adapter| edge.newest_version(adapter));
    let candidates = collect_candidates(edge, out, adapter, version, tried);
    let chosen = match adapter {
        None => choose_target(&candidates, &out.head.id),
        Some(adapter) => {
            let copy_near = edge.remote_requests.lock().justifies_replica(now(), adapter);
            let in_transit = orders::all_loads_in_transit(edge);
            let busy = edge.transit_limit.lock().is_near_limit(in_transit);
            choose_engine_for_adapter(&candidates, adapter, busy, copy_near)
        }
    };
    if let (TargetChoice::Direct(candidate), Some(adapter)) = (&chosen, adapter)
        && !candidate.same_data_centre
    {
        edge.remote_requests.lock().record_request(now(), adapter);
    }
    let (id, load) = match chosen {
        TargetChoice::NoTarget => return Placement::NoTarget,
        TargetChoice::Direct(candidate) => (candidate.id.clone(), false),
        TargetChoice::AfterLoad(candidate) => (candidate.id.clone(), true),
    };
    let Some(target) = edge.fleet.read().ready(&id).cloned() else {
        return Placement::NoTarget;
    };
    if let (true, Some(adapter)) = (load, adapter) {
        let began = now();
        let aim = since.after_ms(out.selected.route.latency_goal_ms);
        let patience = load_deadline(out, since);
        let wish = AdapterRequest {
            adapter: adapter.clone(),
            min_version: version,
            due_at: aim,
            deadline: patience.min(out.deadline),
        };
        // those who wait for an engine are load that it will have: the next ones go elsewhere
        let waiting = RunningRequest::new(edge, &id, None);
        let loaded = load_adapter(edge, &id, &wish).await;
        drop(waiting);
        #[allow(clippy::cast_precision_loss)]
        edge.counts.load_stalls_ms.observe(now().ms_since(began) as f64);
        if !loaded {
            events::ATTEMPT_FAILED.info(format_args!(
                "request={} target={id} adapter={adapter} reason=not_loaded waited_ms={}",
                out.head.id,
                now().ms_since(began)
            ));
            return Placement::AdapterNotLoaded(id);
        }
        // all who waited go on at once, and copies may have come up elsewhere
        let there = self::collect_candidates(edge, out, Some(adapter), version, tried);
        let id = match choose_engine_for_adapter(&there, adapter, true, false) {
            TargetChoice::Direct(candidate) => candidate.id.clone(),
            TargetChoice::AfterLoad(_) | TargetChoice::NoTarget => id,
        };
        // the target may have begun to leave during the load
        return edge
            .fleet
            .read()
            .ready(&id)
            .cloned()
            .map_or(Placement::NoTarget, Placement::Target);
    }
    Placement::Target(target)
}

/// Until when a request that has waited since `since` waits for loads of its adapter.
pub(crate) fn load_deadline(out: &OutgoingRequest, since: Time) -> Time {
    let wait_ms = out.selected.route.latency_goal_ms * LOAD_WAIT_AIMS;
    since.after_ms(wait_ms).min(out.deadline)
}

/// True when a target that is not in `tried` can serve the request now or after a load.
pub(crate) fn has_alternative(edge: &Edge, out: &OutgoingRequest, tried: &[FastStr]) -> bool {
    let adapter = out.head.adapter.as_ref().filter(|_| out.selected.service.engine.is_some());
    let version = adapter.and_then(|adapter| edge.newest_version(adapter));
    let candidates = collect_candidates(edge, out, adapter, version, tried);
    adapter.is_none() && !candidates.is_empty()
        || candidates.iter().any(|c| c.is_resident || c.can_load)
}

async fn load_adapter(edge: &Arc<Edge>, engine: &FastStr, wish: &AdapterRequest) -> bool {
    if edge.reconcilers.get(engine).is_some() {
        return orders::load_on_own_engine(edge, engine, wish).await;
    }
    let holder = edge.engine_claims.lock().owner_host(engine).cloned();
    match holder {
        Some(host) => peers::request_load(edge, &host, engine, wish).await,
        None => false,
    }
}

/// Tells whoever orders `engine` that it lacks an adapter which it should have.
pub(crate) fn report_missing_adapter(edge: &Edge, engine: &FastStr, adapter: &FastStr) {
    let holder = edge.engine_claims.lock().owner_host(engine).cloned();
    match holder {
        Some(host) if host == edge.cfg.host => {
            orders::record_missing_adapter(edge, engine, adapter);
        }
        Some(host) => peers::notify_missing_adapter(edge, &host, engine, adapter),
        None => {}
    }
}

fn collect_candidates(
    edge: &Edge,
    out: &OutgoingRequest,
    adapter: Option<&FastStr>,
    version: Option<u64>,
    tried: &[FastStr],
) -> Vec<TargetCandidate> {
    let now = now();
    let service = &out.selected.service;
    let targets: Vec<Arc<Target>> = edge
        .fleet
        .read()
        .all_ready()
        .filter(|t| t.service == service.name && !tried.contains(&t.id))
        .cloned()
        .collect();
    let mut candidates = Vec::with_capacity(targets.len());
    for target in targets {
        let (running, failing_milli, down) = {
            let at_targets = edge.target_activity.lock();
            at_targets.get(&target.id).map_or((0, 0, false), |at| {
                (u64::from(at.running), at.health.failure_rate_milli(now), at.health.is_down(now))
            })
        };
        if down {
            continue;
        }
        let running = {
            let peers = edge.peers.lock();
            (running + peers.running_at(&target.id)).max(peers.total_running_at(&target.id))
        };
        let holds = match (&service.engine, &out.head.base_model) {
            (Some(_), Some(base)) => residency(edge, &target, base, adapter, version),
            _ => Residency {
                has_base: true,
                has_adapter: true,
                has_older_version: false,
                can_load: false,
            },
        };
        if !holds.has_base {
            continue;
        }
        candidates.push(TargetCandidate {
            id: target.id.clone(),
            same_data_centre: target.data_centre == edge.cfg.data_centre,
            running,
            slots: u64::from(target.slots),
            failure_rate_milli: failing_milli,
            is_resident: holds.has_adapter,
            has_local_copy: adapter
                .is_some_and(|a| edge.adapter_history.lock().has_copy(&target.id, a)),
            // an older version that serves is replaced once its runs have ended, and blocks until
            // then: another engine has the new one sooner
            can_load: holds.can_load
                && !(holds.has_older_version && is_serving(edge, &target.id, adapter)),
        });
    }
    candidates
}

// true when a request of any host for `adapter` runs at `engine`, as far as is known
fn is_serving(edge: &Edge, engine: &str, adapter: Option<&FastStr>) -> bool {
    let Some(adapter) = adapter else {
        return false;
    };
    let here =
        edge.target_activity.lock().get(engine).is_some_and(|at| at.adapters.contains_key(adapter));
    here || edge.peers.lock().uses_adapter(engine, adapter)
}

// what an engine holds: by this host's own book, by the host that orders it, or else by the
// engine's registration, which is older
#[allow(clippy::struct_excessive_bools)] // four independent facts
struct Residency {
    has_base: bool,
    has_adapter: bool,
    // held in a version that will not do
    has_older_version: bool,
    can_load: bool,
}

fn residency(
    edge: &Edge,
    target: &Target,
    base: &FastStr,
    adapter: Option<&FastStr>,
    version: Option<u64>,
) -> Residency {
    let registered_base = target.models.iter().any(|model| model.name == *base);
    let current = |found: Option<u64>| found.is_some_and(|v| version.is_none_or(|want| v >= want));
    if let Some(driver) = edge.reconcilers.get(&target.id) {
        let right = edge.engine_claims.lock().order_fence(now(), &target.id).is_some();
        let book = driver.residency.lock();
        let able = book.is_ready();
        let there = adapter.is_some_and(|adapter| book.is_resident(adapter, version));
        let older = !there && adapter.is_some_and(|adapter| book.is_resident(adapter, None));
        return Residency {
            has_base: registered_base || able,
            has_adapter: there,
            has_older_version: older,
            can_load: able && right,
        };
    }
    let holder = edge.engine_claims.lock().owner_host(&target.id).cloned();
    if let Some(host) = holder {
        let peers = edge.peers.lock();
        if peers.is_alive(&host) {
            let view = peers.all().get(&host).and_then(|peer| peer.engines.get(&target.id));
            if let Some(view) = view {
                let found = adapter.and_then(|a| view.adapters.get(a.as_str()).copied());
                let there = current(found);
                return Residency {
                    has_base: registered_base || view.can_load,
                    has_adapter: there,
                    has_older_version: !there && found.is_some(),
                    can_load: view.can_load,
                };
            }
        }
    }
    let registered = adapter.and_then(|adapter| {
        let name = adapter.split_once('/').map(|(_, name)| name)?;
        let model = target.models.iter().find(|model| model.name == *base)?;
        model.adapters.iter().find(|a| a.name == name).map(|a| a.version)
    });
    Residency {
        has_base: registered_base,
        has_adapter: current(registered),
        has_older_version: false,
        can_load: false,
    }
}
