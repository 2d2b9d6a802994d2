//! State of an edge host, in parts that each have their own lock. No two are held at once.

use {
    crate::{conf::Settings, orders::Drivers, peers::Peers, pool::Pool},
    egret_core::{
        BrokenConnections, ColdLoadLimit, CrashSuspects, CrossDataCentreRequests, EngineClaim,
        EngineOwners, Fleet, Health, LocalCopies, RetryBounds, RetryWindow, Routing, Time,
    },
    egret_platform::StoreClient,
    egret_runtime::{Hello, LinkPool, Metrics, now, unix_ms},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::{Mutex, RwLock},
    prometheus_client::metrics::{counter::Counter, family::Family, histogram::Histogram},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    tokio::sync::{Notify, watch},
};

type Labels = Vec<(&'static str, String)>;

/// Counts for the collector.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) answers: Family<Labels, Counter>,
    pub(crate) sends_failed: Family<Labels, Counter>,
    pub(crate) orders: Family<Labels, Counter>,
    pub(crate) first_part_ms: Histogram,
    pub(crate) stalls_ms: Histogram,
}

impl Counts {
    fn new(metrics: &Metrics) -> Self {
        Self {
            answers: metrics.counters("egret_answers", "Final answers by outcome"),
            sends_failed: metrics.counters("egret_sends_failed", "Failed sends by reason"),
            orders: metrics.counters("egret_orders", "Orders to engines by answer"),
            first_part_ms: metrics.latency_ms("egret_first_part_ms", "Time to the first part"),
            stalls_ms: metrics.latency_ms("egret_load_stall_ms", "Waits for an adapter load"),
        }
    }
}

/// Requests of this host at one target, and what their answers say of it.
#[derive(Debug, Default)]
pub(crate) struct AtTarget {
    pub(crate) running: u32,
    pub(crate) adapters: IndexMap<FastStr, u32>,
    pub(crate) health: Health,
}

/// How far a stream of the store was read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    /// Offset up to which its records are known.
    pub(crate) end: u64,
    /// When the store last said that there are no others.
    pub(crate) at: Time,
}

impl Default for Reading {
    fn default() -> Self {
        Self { end: 0, at: Time::ZERO }
    }
}

impl Reading {
    /// Notes an answer of the store, which has nothing after `end` if `to_end` is set.
    pub(crate) fn read(&mut self, end: u64, to_end: bool) {
        self.end = self.end.max(end);
        if to_end {
            self.at = now();
        }
    }
}

/// An edge host.
#[derive(Debug)]
pub(crate) struct Edge {
    pub(crate) cfg: Settings,
    pub(crate) incarnation: u64,
    pub(crate) routing: RwLock<Arc<Routing>>,
    // newest version by adapter
    pub(crate) versions: RwLock<IndexMap<FastStr, u64>>,
    pub(crate) fleet: RwLock<Fleet>,
    // when the registry was last read to its end; zero before the first time
    pub(crate) fleet_read: Mutex<Time>,
    pub(crate) at_targets: Mutex<IndexMap<FastStr, AtTarget>>,
    pub(crate) tenure: Mutex<EngineOwners>,
    pub(crate) drivers: Drivers,
    pub(crate) transit: Mutex<ColdLoadLimit>,
    pub(crate) crossings: Mutex<CrossDataCentreRequests>,
    pub(crate) homes: Mutex<LocalCopies>,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) links: LinkPool,
    /// Hosts to which a link is being opened.
    pub(crate) connecting: Mutex<IndexSet<FastStr>>,
    pub(crate) pool: Pool,
    pub(crate) retries: Mutex<IndexMap<FastStr, RetryWindow>>,
    pub(crate) suspects: Mutex<CrashSuspects>,
    pub(crate) crashes: Mutex<BrokenConnections>,
    pub(crate) store: StoreClient,
    pub(crate) operator_read: Mutex<Reading>,
    // appends to our own stream are made under the condition that it ends where it was read to
    pub(crate) own_read: Mutex<Reading>,
    /// True once this process stands on our own stream.
    pub(crate) announced: AtomicBool,
    /// Set off when our own stream is to be read at once.
    pub(crate) read_own: Notify,
    pub(crate) metrics: Metrics,
    pub(crate) counts: Counts,
    /// Set off when peers, targets or claims have changed.
    pub(crate) changed: Notify,
    stopping: AtomicBool,
    closing: watch::Sender<bool>,
    open: AtomicUsize,
}

impl Edge {
    /// A host that knows nothing yet.
    pub(crate) fn new(cfg: Settings) -> Self {
        let metrics = Metrics::default();
        let incarnation = unix_ms();
        let hello = Hello { host: cfg.host.to_string(), incarnation, secret: String::new() };
        let me = EngineClaim { host: cfg.host.clone(), incarnation, taken_over: false };
        Self {
            incarnation,
            routing: RwLock::default(),
            versions: RwLock::default(),
            fleet: RwLock::default(),
            fleet_read: Mutex::new(Time::ZERO),
            at_targets: Mutex::default(),
            tenure: Mutex::new(EngineOwners::new(me, cfg.orders.fencing, cfg.orders.lease_ms)),
            drivers: Drivers::default(),
            transit: Mutex::default(),
            crossings: Mutex::default(),
            homes: Mutex::default(),
            peers: Mutex::default(),
            links: LinkPool::new(hello),
            connecting: Mutex::default(),
            pool: Pool::default(),
            retries: Mutex::default(),
            suspects: Mutex::default(),
            crashes: Mutex::default(),
            store: StoreClient::new(cfg.store.address),
            operator_read: Mutex::default(),
            own_read: Mutex::default(),
            announced: AtomicBool::new(false),
            read_own: Notify::new(),
            counts: Counts::new(&metrics),
            metrics,
            changed: Notify::new(),
            stopping: AtomicBool::new(false),
            closing: watch::channel(false).0,
            open: AtomicUsize::new(0),
            cfg,
        }
    }

    /// The routes in force.
    pub(crate) fn routing(&self) -> Arc<Routing> {
        self.routing.read().clone()
    }

    /// The newest version of an adapter, if one was announced.
    pub(crate) fn version(&self, adapter: &str) -> Option<u64> {
        self.versions.read().get(adapter).copied()
    }

    /// True when callers can be served.
    pub(crate) fn ready(&self) -> bool {
        !self.stopping() && self.routing.read().is_known() && *self.fleet_read.lock() > Time::ZERO
    }

    /// True once a stop was asked for.
    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a stop.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Closes callers' connections once their open requests are answered.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until callers' connections are to be closed.
    pub(crate) async fn closing(&self) {
        let mut closing = self.closing.subscribe();
        // the sender lives as long as this host
        let _ = closing.wait_for(|closing| *closing).await;
    }

    /// Requests that are open.
    pub(crate) fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Hosts that may draw on a shared budget, this one included.
    pub(crate) fn hosts(&self) -> u64 {
        self.peers.lock().known() + 1
    }

    /// Counts the first send of a request to `service`.
    pub(crate) fn first_send(&self, service: &FastStr) {
        let bounds = self.cfg.retries.bounds();
        self.retries.lock().entry(service.clone()).or_default().record_first_send(now(), &bounds);
    }

    /// Takes one repeated send to `service` out of the budget.
    pub(crate) fn take_retry(&self, service: &FastStr) -> bool {
        let bounds: RetryBounds = self.cfg.retries.bounds();
        let hosts = self.hosts();
        self.retries.lock().entry(service.clone()).or_default().try_take(now(), &bounds, hosts)
    }
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub(crate) struct Open(Arc<Edge>);

impl Open {
    pub(crate) fn new(edge: &Arc<Edge>) -> Self {
        edge.open.fetch_add(1, Ordering::AcqRel);
        Self(edge.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Counts a request as running at a target until dropped.
#[derive(Debug)]
pub(crate) struct Running {
    edge: Arc<Edge>,
    target: FastStr,
    adapter: Option<FastStr>,
}

impl Running {
    pub(crate) fn new(edge: &Arc<Edge>, target: &FastStr, adapter: Option<&FastStr>) -> Self {
        let mut at_targets = edge.at_targets.lock();
        let at = at_targets.entry(target.clone()).or_default();
        at.running += 1;
        if let Some(adapter) = adapter {
            *at.adapters.entry(adapter.clone()).or_default() += 1;
        }
        drop(at_targets);
        Self { edge: edge.clone(), target: target.clone(), adapter: adapter.cloned() }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut at_targets = self.edge.at_targets.lock();
        let Some(at) = at_targets.get_mut(&self.target) else {
            return;
        };
        at.running = at.running.saturating_sub(1);
        let Some(adapter) = &self.adapter else {
            return;
        };
        if let Some(count) = at.adapters.get_mut(adapter) {
            *count -= 1;
            if *count == 0 {
                at.adapters.swap_remove(adapter);
            }
        }
    }
}
