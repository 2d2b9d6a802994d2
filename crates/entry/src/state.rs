//! Shared state of the entry. Each part has its own lock, and no two locks are held at once.

use {
    crate::{
        conf::Settings,
        keepers::{OpenTickets, TicketGate},
        services::JournalState,
        trace::Traces,
    },
    egret_core::{CallerLimits, CrashSuspects, EngineViews, RetryBudget, Time},
    egret_runtime::{
        AuditTrail, ConfigWatch, HeldAnswers, Hello, HostsWatch, HttpClient, LinkPool, LogClient,
        Metrics, RequestBodies, now, unix_ms,
    },
    faststr::FastStr,
    parking_lot::Mutex,
    prometheus_client::metrics::{counter::Counter, family::Family, histogram::Histogram},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

type MetricLabels = Vec<(&'static str, String)>;

/// Counters and histograms exposed at `/metrics`.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) answers: Family<MetricLabels, Counter>,
    pub(crate) attempts_failed: Family<MetricLabels, Counter>,
    pub(crate) answers_dropped: Counter,
    pub(crate) first_part_ms: Histogram,
    pub(crate) stalls_ms: Histogram,
}

impl Counts {
    fn new(metrics: &Metrics) -> Self {
        Self {
            answers: metrics.counters("egret_answers", "Final answers by outcome and reason"),
            attempts_failed: metrics
                .counters("egret_attempts_failed", "Attempts that failed, by reason"),
            answers_dropped: metrics
                .counter("egret_answers_dropped", "Parts of answers that match no open attempt"),
            first_part_ms: metrics.latency_ms("egret_first_part_ms", "Time to the first part"),
            stalls_ms: metrics.latency_ms("egret_load_stall_ms", "Waits for an adapter load"),
        }
    }
}

/// Shared state of the entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) cfg: Settings,
    pub(crate) host: FastStr,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Time,
    pub(crate) config: ConfigWatch,
    pub(crate) hosts: HostsWatch,
    pub(crate) views: Mutex<EngineViews>,
    pub(crate) links: LinkPool,
    pub(crate) tickets: OpenTickets,
    pub(crate) ticket_gate: TicketGate,
    pub(crate) suspects: Mutex<CrashSuspects>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) caller_limits: Mutex<CallerLimits>,
    pub(crate) bodies: Arc<RequestBodies>,
    pub(crate) held_answers: Arc<HeldAnswers>,
    pub(crate) journal: JournalState,
    pub(crate) traces: Traces,
    pub(crate) log: LogClient,
    pub(crate) engine_client: HttpClient,
    pub(crate) service_client: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) counts: Counts,
    pub(crate) audit: AuditTrail,
    stopping: AtomicBool,
    next_request_number: AtomicU64,
}

impl Entry {
    pub(crate) fn new(cfg: Settings) -> Self {
        let metrics = Metrics::default();
        let limits = &cfg.limits;
        let incarnation = unix_ms();
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
            views: Mutex::default(),
            links: LinkPool::new(hello),
            tickets: OpenTickets::default(),
            ticket_gate: TicketGate::default(),
            suspects: Mutex::default(),
            retry_budget: Mutex::default(),
            caller_limits: Mutex::new(CallerLimits::new(limits.requests, limits.caller_requests)),
            bodies: RequestBodies::new(limits.memory_mb),
            held_answers: HeldAnswers::new(limits.held_answers_bytes()),
            journal: JournalState::new(cfg.journal.key_max_ms),
            traces: Traces::default(),
            log: LogClient::new(cfg.platform.log),
            engine_client: HttpClient::pooled(),
            service_client: HttpClient::unpooled(),
            counts: Counts::new(&metrics),
            metrics,
            audit: AuditTrail::new(cfg.host.clone()),
            stopping: AtomicBool::new(false),
            next_request_number: AtomicU64::new(0),
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

    /// Returns true if this host must not get new requests.
    pub(crate) fn is_leaving(&self) -> bool {
        let config = self.config.current();
        self.is_stopping()
            || config.manifest.hosts.is_leaving(&self.host)
            || self.hosts.is_leaving(&self.host)
    }

    /// Returns a request id that is unique in the deployment.
    pub(crate) fn new_request_id(&self) -> FastStr {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        FastStr::from_string(format!("{}-{:x}-{number}", self.host, self.incarnation))
    }
}

/// Counts a caller's request as open until dropped.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    entry: Arc<Entry>,
    caller: FastStr,
}

impl AdmissionGuard {
    /// Admits a request of `caller`. Returns `None` if the caller has used up its share, or if the
    /// limit of open requests on this host is reached.
    pub(crate) fn new(entry: &Arc<Entry>, caller: &FastStr) -> Option<Self> {
        let admitted = entry.caller_limits.lock().try_open(caller);
        admitted.then(|| Self { entry: entry.clone(), caller: caller.clone() })
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.entry.caller_limits.lock().close(&self.caller);
    }
}
