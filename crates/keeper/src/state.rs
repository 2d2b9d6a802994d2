//! Shared state of the keeper. Each part has its own lock, and no two locks are held at once.

use {
    crate::{conf::Settings, engines::OwnedEngine},
    egret_core::{CrashSuspects, Ownership, Permits, Resource, Time, WeightStoreLimits},
    egret_runtime::{
        AuditTrail, ConfigWatch, Hello, HostsWatch, HttpClient, LinkPool, LogClient, Metrics, now,
        unix_ms,
    },
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    prometheus_client::metrics::{counter::Counter, histogram::Histogram},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Counters and histograms exposed at `/metrics`.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) tickets_granted: Counter,
    pub(crate) tickets_refused: Counter,
    pub(crate) loads: Counter,
    pub(crate) evictions: Counter,
    pub(crate) orders_failed: Counter,
    pub(crate) orders_withheld: Counter,
    pub(crate) stalls_ms: Histogram,
}

impl Counts {
    fn new(metrics: &Metrics) -> Self {
        Self {
            tickets_granted: metrics.counter("egret_tickets_granted", "Tickets granted"),
            tickets_refused: metrics.counter("egret_tickets_refused", "Requests refused a ticket"),
            loads: metrics.counter("egret_loads", "Adapter loads ordered"),
            evictions: metrics.counter("egret_evictions", "Adapter unloads ordered"),
            orders_failed: metrics.counter("egret_orders_failed", "Orders that failed"),
            orders_withheld: metrics
                .counter("egret_orders_withheld", "Orders withheld without the right"),
            stalls_ms: metrics.latency_ms("egret_load_stall_ms", "Waits for an adapter load"),
        }
    }
}

/// Shared state of the keeper.
#[derive(Debug)]
pub(crate) struct Keeper {
    pub(crate) cfg: Settings,
    pub(crate) host: FastStr,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Time,
    pub(crate) config: ConfigWatch,
    pub(crate) hosts: HostsWatch,
    pub(crate) ownership: Mutex<Ownership>,
    pub(crate) permits: Mutex<Permits>,
    pub(crate) suspects: Mutex<CrashSuspects>,
    pub(crate) engines: Mutex<IndexMap<FastStr, Arc<OwnedEngine>>>,
    pub(crate) links: LinkPool,
    pub(crate) log: LogClient,
    pub(crate) engine_client: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) counts: Counts,
    pub(crate) audit: AuditTrail,
    stopping: AtomicBool,
}

impl Keeper {
    /// Creates a keeper that owns no resources.
    pub(crate) fn new(cfg: Settings) -> Self {
        let limits =
            WeightStoreLimits { in_transit_max: 0, loads_per_1000_s: 1, load_timeout_ms: 2000 };
        let incarnation = unix_ms();
        let times = cfg.ownership_times(limits.load_timeout_ms);
        let metrics = Metrics::default();
        let hello = Hello {
            host: cfg.host.to_string(),
            incarnation,
            secret: cfg.secret.clone(),
            ..Hello::default()
        };
        Self {
            host: cfg.host.clone(),
            incarnation,
            started_at: now(),
            config: ConfigWatch::default(),
            hosts: HostsWatch::default(),
            ownership: Mutex::new(Ownership::new(cfg.host.clone(), incarnation, times)),
            permits: Mutex::new(Permits::new(limits)),
            suspects: Mutex::default(),
            engines: Mutex::default(),
            links: LinkPool::new(hello),
            log: LogClient::new(cfg.platform.log),
            engine_client: HttpClient::pooled(),
            counts: Counts::new(&metrics),
            metrics,
            audit: AuditTrail::new(cfg.host.clone()),
            stopping: AtomicBool::new(false),
            cfg,
        }
    }

    /// Returns true once a graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a graceful stop.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Returns the engine `name` if this keeper owns it.
    pub(crate) fn engine(&self, name: &str) -> Option<Arc<OwnedEngine>> {
        self.engines.lock().get(name).cloned()
    }

    /// Returns all engines that this keeper owns.
    pub(crate) fn owned_engines(&self) -> Vec<Arc<OwnedEngine>> {
        self.engines.lock().values().cloned().collect()
    }

    /// Returns the fencing token for an order to `engine`, or `None` without a valid lease.
    pub(crate) fn order_fencing_token(&self, engine: &FastStr) -> Option<u64> {
        let resource = Resource::Engine(engine.clone());
        self.ownership.lock().order_fencing_token(now(), &resource)
    }

    /// Returns the hosts whose keepers are live.
    pub(crate) fn live_hosts(&self) -> Vec<FastStr> {
        let settings = &self.cfg.ownership;
        let members = self.hosts.members().lock();
        members.live_hosts(now(), &self.host, settings.suspect_ms, settings.watched)
    }
}
