//! State of the keeper, in parts that each have their own lock. No two are held at once.

use {
    crate::{conf::Settings, engines::EngineShard},
    egret_core::{Ownership, Permits, Resource, StoreLimits, Suspects, Time},
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

/// Counts for the collector.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) granted: Counter,
    pub(crate) refused: Counter,
    pub(crate) loads: Counter,
    pub(crate) evictions: Counter,
    pub(crate) orders_failed: Counter,
    pub(crate) orders_withheld: Counter,
    pub(crate) stalls_ms: Histogram,
}

impl Counts {
    fn new(metrics: &Metrics) -> Self {
        Self {
            granted: metrics.counter("egret_tickets_granted", "Tickets granted"),
            refused: metrics.counter("egret_tickets_refused", "Requests refused a ticket"),
            loads: metrics.counter("egret_loads", "Adapter loads ordered"),
            evictions: metrics.counter("egret_evictions", "Adapter unloads ordered"),
            orders_failed: metrics.counter("egret_orders_failed", "Orders that failed"),
            orders_withheld: metrics
                .counter("egret_orders_withheld", "Orders withheld without the right"),
            stalls_ms: metrics.latency_ms("egret_load_stall_ms", "Waits for an adapter load"),
        }
    }
}

/// The keeper.
#[derive(Debug)]
pub(crate) struct Keeper {
    pub(crate) cfg: Settings,
    pub(crate) host: FastStr,
    pub(crate) incarnation: u64,
    pub(crate) started: Time,
    pub(crate) config: ConfigWatch,
    pub(crate) hosts: HostsWatch,
    pub(crate) ownership: Mutex<Ownership>,
    pub(crate) permits: Mutex<Permits>,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) engines: Mutex<IndexMap<FastStr, Arc<EngineShard>>>,
    pub(crate) links: LinkPool,
    pub(crate) log: LogClient,
    pub(crate) engine_caller: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) counts: Counts,
    pub(crate) audit: AuditTrail,
    stopping: AtomicBool,
}

impl Keeper {
    /// A keeper that holds nothing yet.
    pub(crate) fn new(cfg: Settings) -> Self {
        let limits = StoreLimits { in_transit_max: 0, loads_per_1000_s: 1, load_timeout_ms: 2000 };
        let incarnation = unix_ms();
        let times = cfg.times(limits.load_timeout_ms);
        let metrics = Metrics::default();
        let hello = Hello { host: cfg.host.to_string(), incarnation, secret: cfg.secret.clone() };
        Self {
            host: cfg.host.clone(),
            incarnation,
            started: now(),
            config: ConfigWatch::default(),
            hosts: HostsWatch::default(),
            ownership: Mutex::new(Ownership::new(cfg.host.clone(), incarnation, times)),
            permits: Mutex::new(Permits::new(limits)),
            suspects: Mutex::default(),
            engines: Mutex::default(),
            links: LinkPool::new(hello),
            log: LogClient::new(cfg.platform.log),
            engine_caller: HttpClient::pooled(),
            counts: Counts::new(&metrics),
            metrics,
            audit: AuditTrail::new(cfg.host.clone()),
            stopping: AtomicBool::new(false),
            cfg,
        }
    }

    /// True once a stop was asked for.
    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a stop.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// The engine named `name`, if this keeper holds it.
    pub(crate) fn engine(&self, name: &str) -> Option<Arc<EngineShard>> {
        self.engines.lock().get(name).cloned()
    }

    /// All engines that this keeper holds.
    pub(crate) fn shards(&self) -> Vec<Arc<EngineShard>> {
        self.engines.lock().values().cloned().collect()
    }

    /// The fencing number for an order given right now to `engine`.
    pub(crate) fn may_order(&self, engine: &FastStr) -> Option<u64> {
        let resource = Resource::Engine(engine.clone());
        self.ownership.lock().may_order(now(), &resource)
    }

    /// Entry hosts seen live.
    pub(crate) fn live(&self) -> Vec<FastStr> {
        let own = &self.cfg.ownership;
        let members = self.hosts.members().lock();
        members.live(now(), &self.host, own.suspect_ms, own.watched)
    }
}
