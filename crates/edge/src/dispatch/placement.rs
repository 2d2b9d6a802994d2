//! Chooses the target of a request and has the adapter that it needs loaded there.

use {
    super::{request::OutgoingRequest, target_starts},
    crate::{
        orders::{self, AdapterRequest},
        peers::{self, AllowedBegins},
        state::{Edge, RunningRequest},
    },
    egret_core::{
        Target, TargetCandidate, TargetChoice, TargetPace, Time, choose_engine_for_adapter,
        choose_target,
    },
    egret_runtime::{events, now},
    faststr::FastStr,
    std::sync::Arc,
};

/// Longest wait for an adapter load, in multiples of the route's latency goal. Callers of streams
/// wait for four times the goal. A caller that is refused before that can still retry in time, and
/// then finds the adapter loaded.
const LOAD_WAIT_GOALS: u64 = 3;

/// Software versions at which a request may begin a stream.
#[derive(Clone, Debug)]
pub(crate) enum BeginVersions {
    /// Any: it begins no resumable stream.
    Any,
    /// Those at which this process may begin streams.
    Allowed(AllowedBegins),
}

impl BeginVersions {
    fn include(&self, target: &Target) -> bool {
        match self {
            Self::Any => true,
            Self::Allowed(allowed) => allowed.include(target),
        }
    }
}

/// Targets among which one is chosen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Eligibility<'a> {
    /// Targets that are left out.
    pub(crate) tried: &'a [FastStr],
    /// The only software version at which the request may run, if there is one.
    pub(crate) software_version: Option<&'a FastStr>,
    /// Software versions at which a resumable stream may begin, if the request begins one.
    pub(crate) begin_versions: &'a BeginVersions,
}

impl Eligibility<'_> {
    fn includes(&self, target: &Target) -> bool {
        self.software_version.is_none_or(|version| target.software_version == *version)
            && (self.software_version.is_some() || self.begin_versions.include(target))
            && !self.tried.contains(&target.id)
    }
}

/// A target chosen for a request, which counts as being there.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) target: Arc<Target>,
    pub(crate) running: RunningRequest,
}

/// Result of choosing a target.
#[derive(Debug)]
pub(crate) enum Placement {
    /// This target can serve the request.
    Target(Placed),
    /// The adapter was not loaded on this engine in time.
    AdapterNotLoaded(FastStr),
    /// No target can serve the request.
    NoTarget,
}

enum Choice {
    Target(Arc<Target>),
    // all targets that can serve the request are brittle and full; this one is the first to wait at
    Full(Arc<Target>),
    AdapterNotLoaded(FastStr),
    NoTarget,
}

/// Chooses an eligible target and, if needed, waits until the adapter is loaded there. The caller has
/// been waiting since `waiting_since`. A target that limits its rate or is brittle is chosen for one
/// send, since a token or a place is taken for it.
pub(crate) async fn select_target(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    eligibility: Eligibility<'_>,
    waiting_since: Time,
) -> Placement {
    let mut left_out = eligibility.tried.to_vec();
    let mut full = Vec::new();
    loop {
        let eligibility = Eligibility { tried: &left_out, ..eligibility };
        let choice = match try_select_target(edge, out, eligibility, &full, waiting_since).await {
            Ok(choice) => choice,
            Err(unavailable) => {
                left_out.push(unavailable);
                continue;
            }
        };
        let (target, waits_until) = match choice {
            Choice::Target(target) => (target, now()),
            Choice::Full(target) => {
                let goal = waiting_since.after_ms(out.selected.route.latency_goal_ms);
                (target, goal.min(out.deadline))
            }
            Choice::AdapterNotLoaded(engine) => return Placement::AdapterNotLoaded(engine),
            Choice::NoTarget => return Placement::NoTarget,
        };
        let id = target.id.clone();
        match reserve(edge, out, target, waits_until).await {
            Ok(placed) => return Placement::Target(placed),
            Err(Unreserved::RateLimit) => left_out.push(id),
            // it was the last one
            Err(Unreserved::Full(until)) if full.contains(&id) => {
                out.record_place_expected(until);
                return Placement::NoTarget;
            }
            Err(Unreserved::Full(_)) => full.push(id),
        }
    }
}

// why a request cannot go to the target that was chosen
enum Unreserved {
    RateLimit,
    // a place is expected then
    Full(Time),
}

async fn reserve(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    target: Arc<Target>,
    waits_until: Time,
) -> Result<Placed, Unreserved> {
    let adapter = out.head.adapter.as_ref().filter(|_| out.selected.service.engine.is_some());
    let mut running = RunningRequest::new(edge, &target.id, adapter);
    peers::take_place(edge, &target, &mut running, out.urgency, waits_until)
        .await
        .map_err(Unreserved::Full)?;
    if !peers::take_token(edge, &target).await {
        return Err(Unreserved::RateLimit);
    }
    running.open();
    Ok(Placed { target, running })
}

// the error names a target that takes no requests any more, chosen before that was known
async fn try_select_target(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    eligibility: Eligibility<'_>,
    full: &[FastStr],
    waiting_since: Time,
) -> Result<Choice, FastStr> {
    let adapter = out.head.adapter.as_ref().filter(|_| out.selected.service.engine.is_some());
    let version = adapter.and_then(|adapter| edge.newest_version(adapter));
    let candidates = collect_candidates(edge, out, adapter, version, eligibility);
    let chosen = match adapter {
        None => choose_target(&candidates, &out.head.id),
        Some(adapter) => {
            let replica_justified = edge.remote_requests.lock().justifies_replica(now(), adapter);
            let in_progress = orders::all_loads_in_progress(edge);
            let is_store_busy = edge.load_limit.lock().is_near_limit(in_progress);
            choose_engine_for_adapter(&candidates, adapter, is_store_busy, replica_justified)
        }
    };
    if let (TargetChoice::Direct(candidate), Some(adapter)) = (&chosen, adapter)
        && !candidate.same_data_centre
    {
        edge.remote_requests.lock().record_request(now(), adapter);
    }
    let (id, needs_load) = match chosen {
        TargetChoice::NoTarget => return Ok(Choice::NoTarget),
        TargetChoice::Direct(candidate) if is_full(edge, full, candidate) => {
            return choose_beside_full(edge, out, full, &candidates, candidate);
        }
        TargetChoice::Direct(candidate) => (candidate.id.clone(), false),
        TargetChoice::AfterLoad(candidate) => (candidate.id.clone(), true),
    };
    if let (true, Some(adapter)) = (needs_load, adapter) {
        let load_started = now();
        let due_at = waiting_since.after_ms(out.selected.route.latency_goal_ms);
        let wait_until = load_deadline(out, waiting_since);
        let request = AdapterRequest {
            adapter: adapter.clone(),
            min_version: version,
            due_at,
            deadline: wait_until.min(out.deadline),
        };
        // requests that wait for a load count as running on the engine, so that later requests
        // are spread to other engines
        let waiting = RunningRequest::awaiting_adapter(edge, &id);
        let loaded = load_adapter(edge, &id, &request).await;
        drop(waiting);
        #[allow(clippy::cast_precision_loss)]
        edge.counts.load_stalls_ms.observe(now().ms_since(load_started) as f64);
        if !loaded {
            events::ATTEMPT_FAILED.info(format_args!(
                "request={} target={id} adapter={adapter} reason=not_loaded waited_ms={}",
                out.head.id,
                now().ms_since(load_started)
            ));
            return Ok(Choice::AdapterNotLoaded(id));
        }
        // all requests that waited for this load continue at the same time, and the adapter may
        // have been loaded on other engines meanwhile
        let current_candidates =
            self::collect_candidates(edge, out, Some(adapter), version, eligibility);
        let id = match choose_engine_for_adapter(&current_candidates, adapter, true, false) {
            TargetChoice::Direct(candidate) => candidate.id.clone(),
            TargetChoice::AfterLoad(_) | TargetChoice::NoTarget => id,
        };
        return accepting_target(edge, &id).map(Choice::Target).ok_or(id);
    }
    accepting_target(edge, &id).map(Choice::Target).ok_or(id)
}

// true if there was no place at the target just now, or if other requests of this host wait for one
fn is_full(edge: &Edge, full: &[FastStr], candidate: &TargetCandidate) -> bool {
    let id = &candidate.id;
    if edge.brittle_targets.lock().is_empty() {
        return false;
    }
    let has_pending = || edge.target_activity.lock().get(id).is_some_and(|e| e.pending > 0);
    full.contains(id) || edge.place_requester.lock().is_denied(now(), id) || has_pending()
}

// chooses a target with room that needs no load, or the one to wait at, since `first` has no room
fn choose_beside_full(
    edge: &Edge,
    out: &OutgoingRequest,
    full: &[FastStr],
    candidates: &[TargetCandidate],
    first: &TargetCandidate,
) -> Result<Choice, FastStr> {
    let with_room = candidates.iter().filter(|c| c.is_resident && !is_full(edge, full, c));
    let with_room: Vec<TargetCandidate> = with_room.cloned().collect();
    match choose_target(&with_room, &out.head.id) {
        TargetChoice::Direct(candidate) => {
            let id = &candidate.id;
            accepting_target(edge, id).map(Choice::Target).ok_or_else(|| id.clone())
        }
        TargetChoice::AfterLoad(_) | TargetChoice::NoTarget => {
            let id = &first.id;
            accepting_target(edge, id).map(Choice::Full).ok_or_else(|| id.clone())
        }
    }
}

// the target, unless it leaves or wants no requests
fn accepting_target(edge: &Edge, id: &FastStr) -> Option<Arc<Target>> {
    let is_down =
        edge.target_activity.lock().get(id).is_some_and(|entry| entry.health.is_down(now()));
    edge.fleet.read().ready(id).filter(|_| !is_down).cloned()
}

/// Time until which a request waits for adapter loads, if its caller has been waiting since
/// `waiting_since`.
pub(crate) fn load_deadline(out: &OutgoingRequest, waiting_since: Time) -> Time {
    let wait_ms = out.selected.route.latency_goal_ms * LOAD_WAIT_GOALS;
    waiting_since.after_ms(wait_ms).min(out.deadline)
}

/// True if a target of the request's service with this software version accepts new work.
pub(crate) fn has_ready_target(edge: &Edge, out: &OutgoingRequest, version: &FastStr) -> bool {
    let fleet = edge.fleet.read();
    let service = &out.selected.service.name;
    fleet.all_ready().any(|t| t.service == *service && t.software_version == *version)
}

/// True if an untried ready target is left out only because its software version is not recorded.
pub(crate) fn has_unrecorded_target(
    edge: &Edge,
    out: &OutgoingRequest,
    eligibility: Eligibility<'_>,
) -> bool {
    let service = &out.selected.service.name;
    eligibility.software_version.is_none()
        && edge.fleet.read().all_ready().any(|t| {
            t.service == *service
                && !eligibility.begin_versions.include(t)
                && !eligibility.tried.contains(&t.id)
        })
}

/// True if a target of the request's service takes no further request for a while, by its rate limit.
pub(crate) fn has_exhausted_target(edge: &Edge, out: &OutgoingRequest) -> bool {
    let service = &out.selected.service.name;
    let ready: Vec<Arc<Target>> =
        edge.fleet.read().all_ready().filter(|t| t.service == *service).cloned().collect();
    let limits = edge.rate_limits.lock();
    ready.iter().any(|t| limits.is_exhausted(now(), &t.id, t.started_unix_ms))
}

/// True if an eligible target can serve the request, now or after a load.
pub(crate) fn has_alternative(
    edge: &Edge,
    out: &OutgoingRequest,
    eligibility: Eligibility<'_>,
) -> bool {
    let adapter = out.head.adapter.as_ref().filter(|_| out.selected.service.engine.is_some());
    let version = adapter.and_then(|adapter| edge.newest_version(adapter));
    let candidates = collect_candidates(edge, out, adapter, version, eligibility);
    adapter.is_none() && !candidates.is_empty()
        || candidates.iter().any(|c| c.is_resident || c.can_load)
}

async fn load_adapter(edge: &Arc<Edge>, engine: &FastStr, request: &AdapterRequest) -> bool {
    if edge.reconcilers.get(engine).is_some() {
        return orders::load_on_own_engine(edge, engine, request).await;
    }
    let owner = edge.engine_owners.lock().owner_host(engine).cloned();
    match owner {
        Some(host) => peers::request_load(edge, &host, engine, request).await,
        None => false,
    }
}

/// Reports to the owner of `engine` that the engine lacks an adapter which it should have.
pub(crate) fn report_missing_adapter(edge: &Edge, engine: &FastStr, adapter: &FastStr) {
    let owner = edge.engine_owners.lock().owner_host(engine).cloned();
    match owner {
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
    eligibility: Eligibility<'_>,
) -> Vec<TargetCandidate> {
    let now = now();
    let service = &out.selected.service;
    let targets: Vec<Arc<Target>> = edge
        .fleet
        .read()
        .all_ready()
        .filter(|t| t.service == service.name && eligibility.includes(t))
        .cloned()
        .collect();
    let paces = edge.target_paces.lock().uneven();
    let mut candidates = Vec::with_capacity(targets.len());
    for target in targets {
        let (running, pending, failing_milli, is_down) = {
            let activity = edge.target_activity.lock();
            activity.get(&target.id).map_or((0, 0, 0, false), |entry| {
                (
                    u64::from(entry.running),
                    u64::from(entry.pending),
                    entry.health.failure_rate_milli(now),
                    entry.health.is_down(now),
                )
            })
        };
        let (is_rate_limited, is_exhausted) = {
            let limits = edge.rate_limits.lock();
            let (id, start) = (&target.id, target.started_unix_ms);
            (limits.limit(id, start).is_some(), limits.is_exhausted(now, id, start))
        };
        if is_down || is_exhausted || target_starts::is_other(edge, out, &target) {
            continue;
        }
        let running = peers::running_at(edge, &target.id, running) + pending;
        let engine_residency = match (&service.engine, &out.head.base_model) {
            (Some(_), Some(base)) => residency(edge, &target, base, adapter, version),
            _ => Residency {
                has_base: true,
                has_adapter: true,
                has_older_version: false,
                can_load: false,
            },
        };
        if !engine_residency.has_base {
            continue;
        }
        candidates.push(TargetCandidate {
            id: target.id.clone(),
            same_data_centre: target.data_centre == edge.cfg.data_centre,
            running,
            slots: u64::from(target.slots),
            failure_rate_milli: failing_milli,
            is_resident: engine_residency.has_adapter,
            has_local_copy: adapter
                .is_some_and(|a| edge.local_copies.lock().has_copy(&target.id, a)),
            // an older version in use can be replaced only after its requests have ended, so
            // another engine has the new version sooner
            is_rate_limited,
            pace: paces.get(&target.id).copied().unwrap_or(TargetPace::EVEN),
            can_load: engine_residency.can_load
                && !(engine_residency.has_older_version && is_serving(edge, &target.id, adapter)),
        });
    }
    candidates
}

// true if any host is known to have a request for `adapter` running on `engine`
fn is_serving(edge: &Edge, engine: &str, adapter: Option<&FastStr>) -> bool {
    let Some(adapter) = adapter else {
        return false;
    };
    if peers::is_in_use(edge, engine, adapter) {
        return true;
    }
    let owner = edge.engine_owners.lock().owner_host(engine).cloned();
    let peers = edge.peers.lock();
    let view = owner.and_then(|owner| peers.all().get(&owner)?.engines.get(engine));
    view.is_some_and(|view| view.outdated_and_busy.contains(adapter))
}

// what an engine has loaded: from this host's own state if it is the owner, otherwise from the
// rows of the owner, otherwise from the registry entry, which is older
#[allow(clippy::struct_excessive_bools)] // four independent facts
struct Residency {
    has_base: bool,
    has_adapter: bool,
    // a version older than the required one is loaded
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
    let is_current = |found: Option<u64>| found.is_some_and(|v| version.is_none_or(|min| v >= min));
    if let Some(reconciler) = edge.reconcilers.get(&target.id) {
        let may_order = edge.engine_owners.lock().order_fencing_token(now(), &target.id).is_some();
        let inventory = reconciler.inventory.lock();
        let can_load = inventory.is_ready();
        let has_adapter = adapter.is_some_and(|adapter| inventory.is_resident(adapter, version));
        let has_older_version =
            !has_adapter && adapter.is_some_and(|adapter| inventory.is_resident(adapter, None));
        return Residency {
            has_base: registered_base || can_load,
            has_adapter,
            has_older_version,
            can_load: can_load && may_order,
        };
    }
    let owner = edge.engine_owners.lock().owner_host(&target.id).cloned();
    if let Some(host) = owner {
        let peers = edge.peers.lock();
        if peers.is_live(&host) {
            let view = peers.all().get(&host).and_then(|peer| peer.engines.get(&target.id));
            if let Some(view) = view {
                let found = adapter.and_then(|a| view.adapters.get(a.as_str()).copied());
                let has_adapter = is_current(found);
                return Residency {
                    has_base: registered_base || view.can_load,
                    has_adapter,
                    has_older_version: !has_adapter && found.is_some(),
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
        has_adapter: is_current(registered),
        has_older_version: false,
        can_load: false,
    }
}
