//! Shared state of an edge host. Each part has its own lock, and no two locks are held at once.

use {
    crate::{
        conf::Settings,
        counts::Counts,
        dispatch::{CrashChecks, Relays},
        orders::EngineReconcilers,
        peers::{
            self, AllowanceExchange, DeclarationExchange, FixedRepeats, LoadReports,
            OriginRecording, Peers, RoutesExchange, Spread, TargetFetch,
        },
        pool::ConnectionPool,
    },
    egret_core::{
        AdapterVersions, BrittleTargets, BrokenConnections, ColdLoadLimit, CrashReports,
        CrossDataCentreRequests, EngineClaim, EngineOwners, Fleet, Health, LocalCopies,
        PlaceRequester, RetryBounds, RetryShare, Routing, StopTimes, StreamOrigins, TargetPaces,
        TargetRateLimits, TargetReach, TargetRooms, TargetStarts, Time, VersionRecord,
        VersionSightings, ViewAge,
    },
    egret_platform::StoreClient,
    egret_runtime::{
        Connections, HeldAnswers, Hello, LINK_RELEASE, LinkPool, Metrics, RequestBodies, events,
        now, unix_ms,
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::{Mutex, RwLock},
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Time after the start of the process within which links to the other hosts are opened.
const STARTUP_MS: u64 = 3000;

/// Longest wait of a host that can serve else for what the host log says of crashes.
const CRASH_FINDINGS_WAIT_MS: u64 = 1500;

/// Bits of a request's number that count the requests of one process.
const REQUEST_NUMBER_BITS: u32 = 20;

/// This host's requests at one target, and the target's health as their answers show it.
#[derive(Debug, Default)]
pub(crate) struct TargetActivity {
    /// Requests that are there or wait for their adapter.
    pub(crate) running: u32,
    /// Requests that have chosen the target and are not sent yet.
    pub(crate) pending: u32,
    /// Numbers of the requests that may be there.
    pub(crate) open: IndexSet<u64>,
    pub(crate) adapters: IndexMap<FastStr, u32>,
    pub(crate) health: Health,
}

/// Position up to which a stream of the store was read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReadPosition {
    /// Offset of the first record that is not known yet.
    pub(crate) next_offset: u64,
    /// Time at which the store last confirmed that there are no further records.
    pub(crate) caught_up_at: Time,
}

impl Default for ReadPosition {
    fn default() -> Self {
        Self { next_offset: 0, caught_up_at: Time::ZERO }
    }
}

impl ReadPosition {
    /// Records that the stream was read up to `end`, which is the end of the stream if `to_end` is
    /// set.
    pub(crate) fn advance(&mut self, end: u64, to_end: bool) {
        self.next_offset = self.next_offset.max(end);
        if to_end {
            self.caught_up_at = now();
        }
    }
}

/// Shared state of an edge host.
#[derive(Debug)]
pub(crate) struct Edge {
    pub(crate) cfg: Settings,
    // distinguishes this process from earlier ones of the host
    pub(crate) incarnation: u64,
    pub(crate) routing: RwLock<Arc<Routing>>,
    pub(crate) versions: RwLock<AdapterVersions>,
    pub(crate) routes_exchange: RoutesExchange,
    pub(crate) fleet: RwLock<Fleet>,
    pub(crate) target_fetch: TargetFetch,
    // time at which the registry was last read to its end; zero before the first read
    pub(crate) registry_read_at: Mutex<Time>,
    // the same for reads by this host itself
    pub(crate) registry_own_read_at: Mutex<Time>,
    pub(crate) target_activity: Mutex<IndexMap<FastStr, TargetActivity>>,
    pub(crate) rate_limits: Mutex<TargetRateLimits>,
    pub(crate) brittle_targets: Mutex<BrittleTargets>,
    /// Rooms of brittle targets of which this host is the issuer.
    pub(crate) rooms: Mutex<TargetRooms>,
    /// Notified when places have been given back.
    pub(crate) rooms_changed: Notify,
    pub(crate) place_requester: Mutex<PlaceRequester>,
    next_request: AtomicU64,
    /// Reach of the targets of each service.
    pub(crate) target_reach: Mutex<IndexMap<FastStr, TargetReach>>,
    /// Notified when a connection to a target has failed.
    pub(crate) target_failed: Notify,
    /// Starts that targets name.
    pub(crate) target_starts: Mutex<TargetStarts>,
    pub(crate) target_paces: Mutex<TargetPaces>,
    pub(crate) allowances: AllowanceExchange,
    pub(crate) engine_owners: Mutex<EngineOwners>,
    pub(crate) reconcilers: EngineReconcilers,
    pub(crate) load_limit: Mutex<ColdLoadLimit>,
    pub(crate) remote_requests: Mutex<CrossDataCentreRequests>,
    pub(crate) local_copies: Mutex<LocalCopies>,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) links: Arc<LinkPool>,
    pub(crate) spread: Spread,
    pub(crate) load_reports: LoadReports,
    /// Hosts to which a link is being opened.
    pub(crate) connecting: Mutex<IndexSet<FastStr>>,
    pub(crate) connections: ConnectionPool,
    pub(crate) relays: Relays,
    retry_shares: Mutex<IndexMap<FastStr, RetryShare>>,
    // time from which this host may use its part of the free repeats
    fixed_repeats_from: Mutex<Time>,
    pub(crate) crash_reports: Mutex<CrashReports>,
    /// Notified when the host log lacks a finding of the crash reports.
    pub(crate) crash_findings_changed: Notify,
    // time until which this host waits for the findings in the host log, once it can serve else
    crash_findings_awaited_until: OnceLock<Time>,
    pub(crate) broken_connections: Mutex<BrokenConnections>,
    pub(crate) crash_checks: CrashChecks,
    pub(crate) held_answers: Arc<HeldAnswers>,
    pub(crate) request_bodies: Arc<RequestBodies>,
    pub(crate) caller_connections: Arc<Connections>,
    pub(crate) stream_origins: Mutex<StreamOrigins>,
    pub(crate) version_sightings: Mutex<VersionSightings>,
    /// The record of software versions in the host log, as last read.
    pub(crate) version_record: Mutex<Option<Arc<VersionRecord>>>,
    /// The record that this host has last tried to write. It may be in the host log.
    pub(crate) offered_version_record: Mutex<Option<Arc<VersionRecord>>>,
    /// True once this process has read a record of software versions.
    pub(crate) has_read_versions: AtomicBool,
    /// Notified when a software version has appeared.
    pub(crate) versions_changed: Notify,
    pub(crate) origin_recording: OriginRecording,
    /// Software versions at which hosts may begin streams.
    pub(crate) declarations: DeclarationExchange,
    /// Time by which links to the other hosts are open.
    pub(crate) startup_ends_at: Time,
    pub(crate) store: StoreClient,
    pub(crate) operator_position: Mutex<ReadPosition>,
    /// Age of this host's view of the operator's records, and so of the keys of accounts.
    pub(crate) key_view: Mutex<ViewAge>,
    // position in the host log; claims are appended on the condition that the log ends there
    pub(crate) host_log_position: Mutex<ReadPosition>,
    /// True once the record of this process is in the host log.
    pub(crate) is_announced: AtomicBool,
    /// Notified when the host log is to be read at once.
    pub(crate) host_log_read_requested: Notify,
    pub(crate) metrics: Metrics,
    pub(crate) counts: Counts,
    /// Notified when peers, targets or claims have changed.
    pub(crate) state_changed: Notify,
    stop_times: watch::Sender<Option<StopTimes>>,
    closing: watch::Sender<bool>,
    open_count: AtomicUsize,
}

impl Edge {
    /// Creates the state of a host that has read nothing from the store yet.
    pub(crate) fn new(cfg: Settings) -> Self {
        let metrics = Metrics::default();
        let incarnation = unix_ms();
        let hello = Hello {
            host: cfg.host.to_string(),
            incarnation,
            secret: String::new(),
            release: LINK_RELEASE,
        };
        let own_claim = EngineClaim { host: cfg.host.clone(), incarnation, taken_over: false };
        Self {
            incarnation,
            routing: RwLock::default(),
            versions: RwLock::default(),
            routes_exchange: RoutesExchange::default(),
            fleet: RwLock::default(),
            target_fetch: TargetFetch::default(),
            registry_read_at: Mutex::new(Time::ZERO),
            registry_own_read_at: Mutex::new(Time::ZERO),
            target_activity: Mutex::default(),
            rate_limits: Mutex::default(),
            brittle_targets: Mutex::default(),
            rooms: Mutex::default(),
            rooms_changed: Notify::new(),
            place_requester: Mutex::new(PlaceRequester::new(&cfg.host)),
            // apart from the numbers of an earlier process
            next_request: AtomicU64::new(incarnation << REQUEST_NUMBER_BITS),
            target_reach: Mutex::default(),
            target_failed: Notify::new(),
            target_starts: Mutex::default(),
            target_paces: Mutex::default(),
            allowances: AllowanceExchange::new(cfg.host.clone(), cfg.allowances.as_ref()),
            engine_owners: Mutex::new(EngineOwners::new(
                own_claim,
                cfg.orders.fencing,
                cfg.orders.lease_ms,
            )),
            reconcilers: EngineReconcilers::default(),
            load_limit: Mutex::default(),
            remote_requests: Mutex::default(),
            local_copies: Mutex::default(),
            peers: Mutex::default(),
            links: Arc::new(LinkPool::new(hello)),
            spread: Spread::new(cfg.host.clone(), incarnation),
            load_reports: LoadReports::default(),
            connecting: Mutex::default(),
            connections: ConnectionPool::default(),
            relays: Relays::default(),
            retry_shares: Mutex::default(),
            fixed_repeats_from: Mutex::new(now().after_ms(cfg.retries.window_ms())),
            crash_reports: Mutex::default(),
            crash_findings_changed: Notify::new(),
            crash_findings_awaited_until: OnceLock::new(),
            broken_connections: Mutex::default(),
            crash_checks: CrashChecks::default(),
            request_bodies: RequestBodies::new(cfg.host_mb()),
            caller_connections: Connections::new("callers", cfg.caller_connections_max()),
            held_answers: HeldAnswers::new(cfg.held_answers_bytes()),
            stream_origins: Mutex::default(),
            version_sightings: Mutex::default(),
            version_record: Mutex::default(),
            offered_version_record: Mutex::default(),
            has_read_versions: AtomicBool::new(false),
            versions_changed: Notify::new(),
            origin_recording: OriginRecording::default(),
            declarations: DeclarationExchange::default(),
            startup_ends_at: now().after_ms(STARTUP_MS),
            store: StoreClient::new(cfg.store.address),
            operator_position: Mutex::default(),
            key_view: Mutex::new(ViewAge::new(cfg.revocation_bound_ms())),
            host_log_position: Mutex::default(),
            is_announced: AtomicBool::new(false),
            host_log_read_requested: Notify::new(),
            counts: Counts::new(&metrics),
            metrics,
            state_changed: Notify::new(),
            stop_times: watch::channel(None).0,
            closing: watch::channel(false).0,
            open_count: AtomicUsize::new(0),
            cfg,
        }
    }

    /// The routes in force.
    pub(crate) fn routing(&self) -> Arc<Routing> {
        self.routing.read().clone()
    }

    /// The newest version of an adapter, if one was announced.
    pub(crate) fn newest_version(&self, adapter: &str) -> Option<u64> {
        self.versions.read().get(adapter)
    }

    /// True if this host can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.routing.read().is_known()
            && *self.registry_read_at.lock() > Time::ZERO
            && self.knows_crash_findings()
    }

    /// True if this host has read in the host log what crashes targets. A host that knows routes, from
    /// others, waits for it only for a while: the store may turn it away.
    pub(crate) fn knows_crash_findings(&self) -> bool {
        if self.host_log_position.lock().caught_up_at > Time::ZERO {
            return true;
        }
        let awaited_until = self
            .crash_findings_awaited_until
            .get_or_init(|| now().after_ms(CRASH_FINDINGS_WAIT_MS));
        now() >= *awaited_until
    }

    /// True while this host reaches no target of `service`.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        self.target_reach.lock().get(service).is_some_and(TargetReach::is_cut_off)
    }

    /// True while this host reaches no target of the service of `target`.
    pub(crate) fn is_cut_off_from(&self, target: &str) -> bool {
        let service = self.fleet.read().ready(target).map(|target| target.service.clone());
        service.is_some_and(|service| self.is_cut_off(&service))
    }

    /// True once a graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_times.borrow().is_some()
    }

    /// Begins a graceful stop.
    pub(crate) fn begin_stop(&self, times: StopTimes) {
        self.stop_times.send_replace(Some(times));
    }

    /// True unless a stop leaves too little time for a request that was read completely just now.
    pub(crate) fn admits_until(&self, deadline: Time) -> bool {
        self.stop_times.borrow().is_none_or(|times| times.admits(now(), deadline))
    }

    /// Waits until a graceful stop ends open requests.
    pub(crate) async fn wait_until_stop_ends(&self) {
        let mut stop_times = self.stop_times.subscribe();
        // cannot fail, since the sender is part of this state
        let Ok(times) = stop_times.wait_for(Option::is_some).await.map(|times| *times) else {
            return;
        };
        let ends_at = times.map_or(Time::ZERO, |times| times.ends_at);
        tokio::time::sleep(Duration::from_millis(now().ms_until(ends_at))).await;
    }

    /// Closes the connections of callers once their open requests are answered.
    pub(crate) fn close_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until the connections of callers are to be closed.
    pub(crate) async fn wait_until_closing(&self) {
        let mut closing = self.closing.subscribe();
        // cannot fail, since the sender is part of this state
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_count.load(Ordering::Acquire)
    }

    /// Updates the gauges of what callers make this host hold.
    pub(crate) fn record_received(&self) {
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.counts.body_bytes.set(gauge(self.request_bodies.taken()));
        self.counts.caller_connections.set(gauge(self.caller_connections.count()));
        let closed = self.caller_connections.closed_total();
        self.counts.connections_closed.set(i64::try_from(closed).unwrap_or(i64::MAX));
    }

    /// Number of hosts that may draw on a shared budget, including this one.
    pub(crate) fn budget_host_count(&self) -> u64 {
        self.peers.lock().budget_host_count() + 1
    }

    /// Counts the first send of a request to `service`.
    pub(crate) fn record_first_send(&self, service: &FastStr) {
        let bounds = self.retry_bounds();
        let mut shares = self.retry_shares.lock();
        shares.entry(service.clone()).or_default().record_first_send(now(), &bounds);
    }

    /// Reserves one repeated send to `service` in the retry budget; none if it has none left.
    pub(crate) fn reserve_repeat(self: &Arc<Self>, service: &FastStr) -> Option<RepeatPermit> {
        let is_reserved = self.with_retry_share(service, |share, bounds, hosts| {
            share.try_reserve(now(), bounds, hosts)
        });
        if !is_reserved {
            self.counts.record_repeat(service, "denied");
            return None;
        }
        Some(RepeatPermit {
            edge: self.clone(),
            service: service.clone(),
            reserved_at: now(),
            is_spent: AtomicBool::new(false),
        })
    }

    /// True if the retry budget has a repeated send to `service` left.
    pub(crate) fn has_retry_budget(&self, service: &FastStr) -> bool {
        self.with_retry_share(service, |share, bounds, hosts| {
            share.has_repeat(now(), bounds, hosts)
        })
    }

    fn with_retry_share(
        &self,
        service: &FastStr,
        apply: impl FnOnce(&mut RetryShare, &RetryBounds, u64) -> bool,
    ) -> bool {
        let bounds = self.retry_bounds();
        let hosts = self.peers.lock().retry_host_count() + 1;
        let mut shares = self.retry_shares.lock();
        apply(shares.entry(service.clone()).or_default(), &bounds, hosts)
    }

    /// Fixed repeats of this host for a contact that knows `known` of this process, and their number; none
    /// if it knows them, or as long as those of earlier processes are not known here.
    pub(crate) fn own_fixed_repeats(&self, known: Option<u64>) -> Option<(u64, FixedRepeats)> {
        if now() < *self.fixed_repeats_from.lock() {
            return None;
        }
        let shares = self.retry_shares.lock();
        let count = shares.values().map(RetryShare::fixed_count).sum();
        if known == Some(count) {
            return None;
        }
        let repeats = shares.iter().map(|(name, s)| (name.clone(), s.fixed_repeats().collect()));
        Some((count, FixedRepeats { incarnation: self.incarnation, by_service: repeats.collect() }))
    }

    /// Goes on from the fixed repeats of earlier processes of this host, as the host `from` knows them.
    pub(crate) fn resume_fixed_repeats(&self, from: &str, repeats: &FixedRepeats) {
        let mut shares = self.retry_shares.lock();
        for (service, sent_at) in &repeats.by_service {
            shares.entry(service.clone()).or_default().resume(sent_at);
            events::EARLIER_REPEATS_KNOWN.info(format_args!(
                "service={service} fixed_repeats={} from={from}",
                sent_at.len()
            ));
        }
        drop(shares);
        *self.fixed_repeats_from.lock() = Time::ZERO;
    }

    /// Records that no earlier process of this host has served requests.
    pub(crate) fn record_first_start(&self) {
        // a host that is added is not counted by the others at once
        if self.cfg.first_start {
            self.version_sightings.lock().record_first_start();
            *self.fixed_repeats_from.lock() = Time::ZERO;
        }
    }

    fn retry_bounds(&self) -> RetryBounds {
        self.cfg.retries.bounds(*self.fixed_repeats_from.lock())
    }
}

/// A repeated send that is reserved in the retry budget until it is sent or dropped.
#[derive(Debug)]
pub(crate) struct RepeatPermit {
    edge: Arc<Edge>,
    service: FastStr,
    pub(crate) reserved_at: Time,
    is_spent: AtomicBool,
}

impl RepeatPermit {
    /// Counts the repeated send. Returns false if the budget no longer allows it.
    pub(crate) fn spend(&self) -> bool {
        // a send of which nothing left this host was counted before
        if self.is_spent.swap(true, Ordering::AcqRel) {
            return true;
        }
        let mut is_fixed = false;
        let is_allowed = self.edge.with_retry_share(&self.service, |share, bounds, hosts| {
            let fixed_before = share.fixed_count();
            let is_allowed = share.spend(now(), bounds, hosts);
            is_fixed = share.fixed_count() > fixed_before;
            is_allowed
        });
        if is_fixed {
            // a process that is killed afterwards has told it
            self.edge.spread.flush();
        }
        if !is_allowed {
            self.edge.counts.record_repeat(&self.service, "expired");
        }
        is_allowed
    }
}

impl Drop for RepeatPermit {
    fn drop(&mut self) {
        if !*self.is_spent.get_mut() {
            self.edge.with_retry_share(&self.service, |share, _, _| {
                share.release();
                true
            });
        }
    }
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<Edge>);

impl OpenRequest {
    pub(crate) fn new(edge: &Arc<Edge>) -> Self {
        edge.open_count.fetch_add(1, Ordering::AcqRel);
        Self(edge.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// How far a request to a target is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestStage {
    /// It has chosen the target, and waits for a place there if that is brittle.
    Pending,
    /// It waits for its adapter.
    AwaitsAdapter,
    /// It may be sent.
    Open,
}

/// Counts a request as being at a target until dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    edge: Arc<Edge>,
    target: FastStr,
    adapter: Option<FastStr>,
    number: u64,
    stage: RequestStage,
    // start of the target at which it has a place
    place: Option<u64>,
    is_refused: AtomicBool,
}

impl RunningRequest {
    /// Counts a request that has chosen `target`.
    pub(crate) fn new(edge: &Arc<Edge>, target: &FastStr, adapter: Option<&FastStr>) -> Self {
        let mut activity = edge.target_activity.lock();
        let entry = activity.entry(target.clone()).or_default();
        entry.pending += 1;
        if let Some(adapter) = adapter {
            *entry.adapters.entry(adapter.clone()).or_default() += 1;
        }
        drop(activity);
        Self {
            edge: edge.clone(),
            target: target.clone(),
            adapter: adapter.cloned(),
            number: edge.next_request.fetch_add(1, Ordering::Relaxed),
            stage: RequestStage::Pending,
            place: None,
            is_refused: AtomicBool::new(false),
        }
    }

    /// Counts a request that waits for its adapter on `target`.
    pub(crate) fn awaiting_adapter(edge: &Arc<Edge>, target: &FastStr) -> Self {
        let mut request = Self::new(edge, target, None);
        request.enter(RequestStage::AwaitsAdapter);
        request
    }

    /// Number of the request, unique at this host.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Sets the start of the target at which the request has a place, which goes back when it ends.
    pub(crate) fn set_place(&mut self, started_unix_ms: Option<u64>) {
        self.place = started_unix_ms;
    }

    /// Records that the request may be sent.
    pub(crate) fn open(&mut self) {
        self.enter(RequestStage::Open);
    }

    /// Records that the target has refused the request for want of room.
    pub(crate) fn record_refusal(&self) {
        self.is_refused.store(true, Ordering::Relaxed);
    }

    fn enter(&mut self, stage: RequestStage) {
        let mut activity = self.edge.target_activity.lock();
        let entry = activity.entry(self.target.clone()).or_default();
        entry.pending = entry.pending.saturating_sub(1);
        entry.running += 1;
        if stage == RequestStage::Open {
            entry.open.insert(self.number);
        }
        self.stage = stage;
    }

    fn remove(&self) {
        let mut activity = self.edge.target_activity.lock();
        let Some(entry) = activity.get_mut(&self.target) else {
            return;
        };
        match self.stage {
            RequestStage::Pending => entry.pending = entry.pending.saturating_sub(1),
            RequestStage::AwaitsAdapter | RequestStage::Open => {
                entry.running = entry.running.saturating_sub(1);
                entry.open.swap_remove(&self.number);
            }
        }
        let Some(adapter) = &self.adapter else {
            return;
        };
        if let Some(count) = entry.adapters.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                entry.adapters.swap_remove(adapter);
            }
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.remove();
        if let Some(started) = self.place {
            let is_refused = self.is_refused.load(Ordering::Relaxed);
            peers::release_place(&self.edge, &self.target, started, self.number, is_refused);
        }
    }
}
