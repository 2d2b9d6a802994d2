//! A target: a model engine that checks orders and requests against its adapters, or a plain
//! service.

use {
    super::{
        batch::{Batch, BatchConf, SequenceHandle},
        brittle::{Brittle, BrittleConf},
        connection_owner::owns_connection,
        engine,
        metastore::Metastore,
        raw_http::{RawConn, RawRequest, response_head},
        weight_store::WeightStore,
    },
    clap::ValueEnum,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        fs::File,
        io::{self, Write},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::Notify,
        task::{JoinHandle, JoinSet},
    },
};

/// Pause in the middle of a plain answer without a length.
const UNFRAMED_PAUSE: Duration = Duration::from_millis(50);

/// Interval of checks whether a target is down.
const DOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a target that is an engine.
#[derive(Clone, Debug)]
pub struct EngineConf {
    /// Base model, loaded from the start.
    pub model: String,
    /// Highest number of loaded adapters.
    pub adapter_slots: usize,
    /// Weight store to load adapters from.
    pub weight_store: Arc<WeightStore>,
    /// Events of each stream.
    pub events_per_stream: u64,
    /// Time between two events of a stream, before the time that the batch adds.
    pub event_interval: Duration,
    /// Capacity and pace of its batch.
    pub batch: BatchConf,
    /// Adapters that are loaded from the start, in version 1.
    pub initial_adapters: Vec<String>,
}

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct TargetConf {
    /// Key of the target's entry in the registry.
    pub id: String,
    /// Version of the software that the target runs.
    pub software_version: String,
    /// Name of its service.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Engine settings; `None` for a plain service.
    pub engine: Option<EngineConf>,
}

/// Faults of requests and orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFault {
    /// No fault.
    #[default]
    None,
    /// Requests are refused with a `Not-Executed` header, the proof that they have not run.
    Full,
    /// Requests are refused like those of `Full`, and the target wants none for this many
    /// milliseconds.
    FullFor(u64),
    /// Answers say that the target leaves.
    Leaving,
    /// Requests run, and the connection is reset instead of an answer.
    LoseAnswer,
    /// Requests run and get no answer.
    #[serde(rename = "mute")]
    NoAnswer,
    /// Streams break off after this many events, other answers in the middle.
    CutAfter(u64),
    /// Streams without a `Last-Event-Id` break off after this many events; resumed ones are
    /// complete.
    CutUnresumedAfter(u64),
    /// Streams without a `Last-Event-Id` stay open without a further event after this many;
    /// resumed ones are complete.
    StallUnresumedAfter(u64),
    /// A second answer follows the first on the same connection.
    #[serde(rename = "doubled")]
    DuplicateAnswer,
    /// A refusal with this status and no id is written before the answer to each request that runs.
    RefusalInFront(u16),
    /// Answers carry the id of another request.
    #[serde(rename = "crossed")]
    WrongRequestId,
    /// Answers carry no `Server-Seal` header.
    Unsealed,
    /// Answers have no `Content-Length` and end with a reset.
    UnframedReset,
    /// Answers are not valid HTTP.
    Garbled,
    /// Answers are heads without end.
    EndlessHead,
    /// Answers and reports have bodies without end: streams an event, others one chunk after the
    /// other.
    EndlessBody,
    /// Requests are refused with a `Not-Executed` header before their body is read.
    #[serde(rename = "early")]
    RefuseEarly,
    /// Requests run and are answered with status 500.
    Error,
    /// Requests run and are answered with status 500 after this many milliseconds.
    ErrorAfter(u64),
    /// Answers of plain services have bodies of this many bytes.
    LargeAnswer(usize),
    /// Requests run and are answered with status 404.
    NotFound,
    /// Answers pause once for `ms` milliseconds and then go on: streams after this many events,
    /// streams after 0 events and other answers before their head.
    PauseAfter {
        /// Events before the pause.
        events: u64,
        /// Length of the pause, in milliseconds.
        ms: u64,
    },
    /// Orders get no answer and are carried out after this many milliseconds.
    OrdersLate(u64),
}

/// How the ends of streams and of plain answers are marked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum StreamFraming {
    /// By chunks, and by a length in plain answers.
    #[default]
    #[value(name = "chunked")]
    Chunked,
    /// By the end of the connection.
    #[value(name = "until-close")]
    UntilClose,
}

/// Requests that crash a target.
#[derive(Clone, Debug)]
pub(super) struct CrashTrigger {
    // part of the path or of a header's value
    marker: String,
    // events of a stream that are written before the crash
    after_events: u64,
    // true if the crash is within the next event
    within_event: bool,
}

impl CrashTrigger {
    // true if the crash comes before the head of the answer
    fn precedes_answer(&self, conf: &TargetConf, framing: StreamFraming) -> bool {
        match conf.engine {
            Some(_) => self.after_events == 0,
            None => framing == StreamFraming::Chunked,
        }
    }

    fn matches(&self, request: &RawRequest) -> bool {
        let has_marker = |text: &str| text.contains(&self.marker);
        has_marker(&request.path)
            || request.headers.values().filter_map(|value| value.to_str().ok()).any(has_marker)
    }
}

/// A request that a target has executed.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// The `request-id` header.
    pub request_id: String,
    /// Path and query.
    pub path: String,
    /// All headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
    /// Version of the software that executed the request.
    pub software_version: String,
    /// True once the caller has closed the connection before the end of the answer.
    pub abandoned: bool,
    /// Events of its stream that were written.
    pub events: u64,
}

/// The version of an adapter on an engine; it is loading until `ready_at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterState {
    pub(super) version: u64,
    pub(super) ready_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) software_version: String,
    // number of starts, written as the time of the latest one
    pub(super) starts: u64,
    // true if reports do not name the start
    pub(super) hides_start: bool,
    pub(super) fault: TargetFault,
    framing: StreamFraming,
    // ids of executed requests, of a target that is a process of its own
    executed_log: Option<Arc<File>>,
    crash_trigger: Option<CrashTrigger>,
    // time for which the listener stays open after a crash has closed all connections
    crash_listener_time: Duration,
    refused_requests: u64,
    // requests a second that answers say the target takes
    request_limit: Option<f64>,
    brittle: Option<Brittle>,
    // time that a request to a plain service takes in a slot; without it none takes one
    work: Duration,
    // times at which requests were refused for want of room
    full_refusals: Vec<Instant>,
    // processes whose connections are closed
    cut_off: Vec<u32>,
    // times at which requests arrived, whatever came of them
    arrivals: Vec<Instant>,
    // account headers of the requests that arrived, whatever came of them
    received_accounts: Vec<Option<String>>,
    // requests that arrived with a caller's key
    received_keys: u64,
    pub(super) executed_requests: Vec<ExecutedRequest>,
    pub(super) adapters: IndexMap<String, AdapterState>,
    // adapters and versions that were loaded before, of which the engine keeps copies
    pub(super) local_copies: IndexSet<(String, u64)>,
    pub(super) newest_versions: IndexMap<String, u64>,
    // number of orders that changed `adapters`
    pub(super) seq: u64,
    // highest fencing token of any order
    pub(super) fence: u64,
    pub(super) overfilled: bool,
}

/// A request is refused, since too many run and wait.
struct NoRoom;

/// Headers by which a target says something of itself.
type Notices = Vec<(&'static str, String)>;

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) conf: TargetConf,
    pub(super) state: Mutex<State>,
    pub(super) batch: Arc<Batch>,
    open_connections: AtomicUsize,
    seal_count: AtomicU64,
    crash: Notify,
    crashes: AtomicU64,
    falls: AtomicU64,
}

// counts an open connection, also when its task is aborted
struct OpenConnection(Arc<Shared>);

impl OpenConnection {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running target. Dropping it closes all its connections, like a crash.
#[derive(Debug)]
pub struct Target {
    shared: Arc<Shared>,
    address: SocketAddr,
    server: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Target {
    /// Starts a target at `address` and registers it in the store as ready.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        conf: TargetConf,
        store: &Metastore,
    ) -> io::Result<Self> {
        let target = Self::start_unregistered(address, conf).await?;
        target.register(store, "ready");
        Ok(target)
    }

    /// Starts a target at `address` that is in no registry.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start_unregistered(address: SocketAddr, conf: TargetConf) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let batch = Batch::new(conf.engine.as_ref().map(|e| e.batch).unwrap_or_default());
        let software_version = conf.software_version.clone();
        let shared = Arc::new(Shared {
            conf,
            state: Mutex::default(),
            batch,
            open_connections: AtomicUsize::new(0),
            seal_count: AtomicU64::new(0),
            crash: Notify::new(),
            crashes: AtomicU64::new(0),
            falls: AtomicU64::new(0),
        });
        shared.reset_state(software_version);
        let server = tokio::spawn(serve(listener, shared.clone()));
        Ok(Self { shared, address, server })
    }

    /// Makes the target behave as a process of its own, started at `born` (Unix milliseconds): the
    /// events of its streams name their writer, the second figure of `token-count` is the number of
    /// a stream's events, and the ids of executed requests go to `executed_log`.
    pub fn identify(&self, born: u64, executed_log: File) {
        let mut state = self.shared.state.lock();
        state.starts = born;
        state.executed_log = Some(Arc::new(executed_log));
    }

    /// Restarts the target under its id and address with another version of its software, and
    /// registers it as ready. Its faults, local copies and recorded requests are kept.
    ///
    /// # Errors
    ///
    /// When the address can't be bound again.
    pub async fn restart(&mut self, store: &Metastore, software_version: &str) -> io::Result<()> {
        self.restart_unregistered(software_version).await?;
        self.register(store, "ready");
        Ok(())
    }

    /// Restarts the target like [`Self::restart`] and leaves its old entry in the registry.
    ///
    /// # Errors
    ///
    /// When the address can't be bound again.
    pub async fn restart_unregistered(&mut self, software_version: &str) -> io::Result<()> {
        self.server.abort();
        // the listener is closed once the task has ended
        let _ = (&mut self.server).await;
        // the system closes the connections of a process before another one can listen
        while self.open_connections() > 0 {
            tokio::task::yield_now().await;
        }
        let listener = TcpListener::bind(self.address).await?;
        self.shared.reset_state(software_version.to_owned());
        self.server = tokio::spawn(serve(listener, self.shared.clone()));
        Ok(())
    }

    /// Address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes the target's record with this state to the store.
    pub fn register(&self, store: &Metastore, state: &str) {
        let entry = self.entry(state, self.address).to_string();
        store.write("keyed.servers", &self.shared.conf.id, Some(&entry));
    }

    /// The target's record with this state, for callers that reach it at `address`.
    #[must_use]
    pub fn entry(&self, state: &str, address: SocketAddr) -> Value {
        let conf = &self.shared.conf;
        let models = self.shared.models_json();
        let target = self.shared.state.lock();
        json!({
            "service": conf.service, "address": address.to_string(),
            "zone": conf.data_centre, "version": target.software_version, "slots": self.shared.batch.slots(),
            "state": state, "cold_left_ms": 0, "stage": "both", "seq": target.seq,
            "born": target.starts, "models": models,
        })
    }

    /// Version of the software that the target runs.
    #[must_use]
    pub fn software_version(&self) -> String {
        self.shared.state.lock().software_version.clone()
    }

    /// Sets the fault of all later requests and orders.
    pub fn set_fault(&self, fault: TargetFault) {
        self.shared.state.lock().fault = fault;
    }

    /// Cuts these processes off: their connections are closed, and new ones at once.
    pub fn cut_off(&self, processes: &[u32]) {
        self.shared.state.lock().cut_off = processes.to_vec();
    }

    /// Makes each request crash the target that has `marker` in its path or in the value of a header:
    /// all connections close and new ones are refused until a restart. A stream crashes it after
    /// `after_events` events, within the next one if `within_event` is set. A plain answer crashes it
    /// in the middle if its end is that of the connection, and else before it begins.
    pub fn crash_on(&self, marker: &str, after_events: u64, within_event: bool) {
        let trigger = CrashTrigger { marker: marker.to_owned(), after_events, within_event };
        self.shared.state.lock().crash_trigger = Some(trigger);
    }

    /// Crashes the target: all connections close and new ones are refused until a restart.
    pub fn crash(&self) {
        self.shared.begin_crash();
    }

    /// Makes the listener of a crashing target stay open for this long after its connections have
    /// closed, as the system may do when a process ends.
    pub fn set_crash_listener_time(&self, time: Duration) {
        self.shared.state.lock().crash_listener_time = time;
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.shared.crashes.load(Ordering::Relaxed)
    }

    /// Makes later reports leave out when the target started.
    pub fn hide_start(&self) {
        self.shared.state.lock().hides_start = true;
    }

    /// Sets how the ends of later answers are marked.
    pub fn set_framing(&self, framing: StreamFraming) {
        self.shared.state.lock().framing = framing;
    }

    /// Sets the limit of requests a second that all later answers name; it ends with a restart.
    pub fn set_request_limit(&self, per_s: Option<f64>) {
        self.shared.state.lock().request_limit = per_s;
    }

    /// Makes the target brittle, or sound again. A restart does not end that.
    pub fn set_brittle(&self, conf: Option<BrittleConf>) {
        self.shared.batch.set_queue_max(None);
        self.shared.state.lock().brittle = conf.map(|conf| Brittle::new(conf, Instant::now()));
    }

    /// Makes each later request to a plain service take a slot for this long; further ones wait in its
    /// queue or are refused, as those of an engine are.
    pub fn set_work(&self, work: Duration) {
        self.shared.state.lock().work = work;
    }

    /// Number of times that the target has fallen over because it had to refuse too many requests.
    #[must_use]
    pub fn falls(&self) -> u64 {
        self.shared.falls.load(Ordering::Relaxed)
    }

    /// True from a crash or fall on until the restart.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.server.is_finished()
    }

    /// Waits until the target is down after a crash or fall.
    pub async fn wait_until_down(&self) {
        while !self.is_down() {
            tokio::time::sleep(DOWN_CHECK_INTERVAL).await;
        }
    }

    /// Times at which requests were refused for want of room.
    #[must_use]
    pub fn full_refusals(&self) -> Vec<Instant> {
        self.shared.state.lock().full_refusals.clone()
    }

    /// Times at which requests arrived, whatever came of them.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.state.lock().arrivals.clone()
    }

    /// Accounts that the requests which arrived have named, whatever came of them.
    #[must_use]
    pub fn received_accounts(&self) -> Vec<Option<String>> {
        self.shared.state.lock().received_accounts.clone()
    }

    /// Number of requests that arrived with the key of a caller, which targets must never get where
    /// there are accounts.
    #[must_use]
    pub fn received_keys(&self) -> u64 {
        self.shared.state.lock().received_keys
    }

    /// Makes `version` the newest version of an adapter.
    pub fn set_version(&self, adapter: &str, version: u64) {
        self.shared.state.lock().newest_versions.insert(adapter.to_owned(), version);
    }

    /// The requests executed so far.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.shared.state.lock().executed_requests.clone()
    }

    /// Number of requests refused with a time for which the target wants none.
    #[must_use]
    pub fn refused_requests(&self) -> u64 {
        self.shared.state.lock().refused_requests
    }

    /// Adapters that are loaded or loading.
    #[must_use]
    pub fn adapters(&self) -> Vec<String> {
        self.shared.state.lock().adapters.keys().cloned().collect()
    }

    /// Number of orders that changed the set of adapters.
    #[must_use]
    pub fn accepted_orders(&self) -> u64 {
        self.shared.state.lock().seq
    }

    /// The highest fencing token of any order.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.shared.state.lock().fence
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// The number of running requests, and the number of preemptions.
    #[must_use]
    pub fn batch_counts(&self) -> (usize, u64) {
        (self.shared.batch.running(), self.shared.batch.preemptions())
    }

    /// True when orders have ever loaded more adapters than there are slots.
    #[must_use]
    pub fn is_overfilled(&self) -> bool {
        self.shared.state.lock().overfilled
    }
}

impl Shared {
    pub(super) fn models_json(&self) -> Value {
        let Some(engine) = &self.conf.engine else {
            return json!([]);
        };
        let now = Instant::now();
        let state = self.state.lock();
        let loaded = state.adapters.iter().filter(|(_, a)| a.ready_at <= now);
        let loaded: Vec<String> = loaded.map(|(name, a)| format!("{name}@{}", a.version)).collect();
        json!([{ "name": engine.model, "version": 1, "adapters": loaded }])
    }

    // the state after a start
    fn reset_state(&self, software_version: String) {
        let now = Instant::now();
        let initial = self.conf.engine.as_ref().map_or(&[][..], |e| &e.initial_adapters);
        let loaded = AdapterState { version: 1, ready_at: now };
        let mut state = self.state.lock();
        state.software_version = software_version;
        state.starts += 1;
        state.request_limit = None;
        if let Some(brittle) = &mut state.brittle {
            brittle.record_start();
        }
        state.seq = 0;
        state.fence = 0;
        state.adapters = initial.iter().map(|name| (name.clone(), loaded)).collect();
    }

    // framing of the answer, and how the request crashes the target if it does
    fn stream_conf(&self, request: &RawRequest) -> (StreamFraming, Option<CrashTrigger>) {
        let state = self.state.lock();
        let trigger = state.crash_trigger.clone();
        (state.framing, trigger.filter(|trigger| trigger.matches(request)))
    }

    // returns the fault of the request, and what its answer says of the target
    fn record_arrival(&self, request: &RawRequest) -> (TargetFault, Notices) {
        let mut state = self.state.lock();
        // a repeated header shows as a name that no account has
        let names: Vec<&str> = request
            .headers
            .get_all("tenant")
            .iter()
            .filter_map(|name| name.to_str().ok())
            .collect();
        state.received_accounts.push((!names.is_empty()).then(|| names.join(", ")));
        state.received_keys += u64::from(request.headers.contains_key("authorization"));
        state.arrivals.push(Instant::now());
        let limit = state.request_limit.map(|per_s| ("Server-Limit", per_s.to_string()));
        let brittle = state.brittle.as_ref().map(|b| ("Server-Brittle", b.header()));
        (state.fault, limit.into_iter().chain(brittle).collect())
    }

    // takes a place among the requests that run or wait, if the request needs one
    fn take_place(&self, request: &RawRequest) -> Result<Option<SequenceHandle>, NoRoom> {
        let now = Instant::now();
        let (is_timed, queue_max) = {
            let state = self.state.lock();
            let queue_max = state.brittle.as_ref().and_then(|brittle| brittle.queue_max(now));
            (!state.work.is_zero(), queue_max)
        };
        self.batch.set_queue_max(queue_max);
        let place = match &self.conf.engine {
            Some(_) => engine::submit(self, request),
            None if is_timed => self.batch.submit(0, 0),
            None => return Ok(None),
        };
        if place.is_none() {
            let mut state = self.state.lock();
            state.full_refusals.push(now);
            let falls = state.brittle.as_mut().is_some_and(|b| b.record_refusal(now));
            drop(state);
            if falls {
                self.falls.fetch_add(1, Ordering::Relaxed);
                self.begin_crash();
            }
        }
        place.map(Some).ok_or(NoRoom)
    }

    // returns the index of the record
    fn record_execution(&self, request: &RawRequest, request_id: &str) -> usize {
        let mut state = self.state.lock();
        if let Some(mut log) = state.executed_log.as_deref() {
            // one write, so that a kill leaves whole lines
            log.write_all(format!("{request_id}\n").as_bytes()).expect("the log can be written");
        }
        let software_version = state.software_version.clone();
        state.executed_requests.push(ExecutedRequest {
            request_id: request_id.to_owned(),
            software_version,
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            abandoned: false,
            events: 0,
        });
        state.executed_requests.len() - 1
    }

    // how the events of a stream name their writer, if they do
    fn writer(&self, request_id: &str) -> Option<String> {
        let state = self.state.lock();
        state.executed_log.as_ref()?;
        let (version, born) = (&state.software_version, state.starts);
        Some(format!("{version}/{}/{born}/{request_id}", self.conf.id))
    }

    fn begin_crash(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.crash.notify_one();
    }

    fn next_seal(&self) -> String {
        format!("{}.{}", self.conf.id, self.seal_count.fetch_add(1, Ordering::Relaxed))
    }
}

// the body is never read, so the kernel resets the connection after the answer
async fn refuse_early(mut conn: RawConn) {
    let Ok(Some(id)) = conn.peek_request_id().await else {
        return;
    };
    let _ = conn.write_response(503, &[("Request-Id", &id), ("Not-Executed", "1")], b"").await;
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    // dropping the set closes all connections, like a crash
    let mut conns = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.crash.notified() => {
                let listener_time = shared.state.lock().crash_listener_time;
                if !listener_time.is_zero() {
                    drop(conns);
                    tokio::time::sleep(listener_time).await;
                }
                return;
            }
        };
        let Ok((stream, peer)) = accepted else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        conns.spawn(async move {
            let _open = OpenConnection::new(&shared);
            let Ok(own) = stream.local_addr() else {
                return;
            };
            if !is_cut_off(&shared, peer, own).await {
                serve_connection(RawConn::new(stream), (peer, own), shared.clone()).await;
            }
        });
    }
}

async fn is_cut_off(shared: &Shared, peer: SocketAddr, own: SocketAddr) -> bool {
    let cut_off = shared.state.lock().cut_off.clone();
    if cut_off.is_empty() {
        return false;
    }
    // a process may have many files, and several connections come at once
    let is_owned = move || cut_off.into_iter().any(|process| owns_connection(process, peer, own));
    tokio::task::spawn_blocking(is_owned).await.unwrap_or(false)
}

async fn serve_connection(
    mut conn: RawConn,
    (peer, own): (SocketAddr, SocketAddr),
    shared: Arc<Shared>,
) {
    // `RefuseEarly` applies if it is set when the first byte of a request arrives
    while conn.wait_for_request().await {
        if is_cut_off(&shared, peer, own).await {
            return;
        }
        if shared.state.lock().fault == TargetFault::RefuseEarly {
            return refuse_early(conn).await;
        }
        let Ok(Some(request)) = conn.read_request().await else {
            return;
        };
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != shared.conf.id) {
            let id = request.header("request-id").unwrap_or_default();
            let headers = [("Instance-Id", shared.conf.id.as_str()), ("Request-Id", id)];
            if conn.write_response(421, &headers, b"").await.is_err() {
                return;
            }
            continue;
        }
        let keep_alive = match request.path.as_str() {
            "/v1/report" => engine::answer_report(&mut conn, &shared).await.is_ok(),
            "/v1/order" => match engine::answer_order(&mut conn, &request, &shared).await {
                Some(result) => result.is_ok(),
                None => return conn.wait_for_close().await,
            },
            _ => match run_request(conn, &request, &shared).await {
                Some(reusable) => {
                    conn = reusable;
                    true
                }
                None => return,
            },
        };
        if !keep_alive {
            return;
        }
    }
}

// status and retry delay of a request that is refused before it reaches the batch
fn refusal(
    shared: &Shared,
    request: &RawRequest,
    fault: TargetFault,
) -> Option<(u16, Option<String>)> {
    match fault {
        TargetFault::Full => Some((503, None)),
        TargetFault::FullFor(ms) => {
            shared.state.lock().refused_requests += 1;
            Some((503, Some(format!("{}.{:03}", ms / 1000, ms % 1000))))
        }
        _ => engine::missing_adapter_status(shared, request).map(|status| (status, None)),
    }
}

// refuses a request that has not run; returns the connection if it can carry another one
async fn refuse<'a>(
    mut conn: RawConn,
    status: u16,
    id: &'a str,
    more_headers: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Option<RawConn> {
    let mut headers = vec![("Request-Id", id), ("Not-Executed", "1")];
    headers.extend(more_headers);
    conn.write_response(status, &headers, b"").await.ok().map(|()| conn)
}

// returns the connection if it can carry another request
async fn run_request(
    mut conn: RawConn,
    request: &RawRequest,
    shared: &Arc<Shared>,
) -> Option<RawConn> {
    let (fault, notices) = shared.record_arrival(request);
    let notices = || notices.iter().map(|(name, value)| (*name, value.as_str()));
    let id = request.header("request-id").unwrap_or_default().to_owned();
    if let Some((status, retry_after)) = refusal(shared, request, fault) {
        let retry_after = retry_after.as_deref().map(|text| ("Retry-After", text));
        return refuse(conn, status, &id, notices().chain(retry_after)).await;
    }
    let Ok(place) = shared.take_place(request) else {
        return refuse(conn, 503, &id, notices()).await;
    };
    let index = shared.record_execution(request, &id);
    let sequence = work_in(&conn, shared, place, index).await.ok()?;
    let seal = shared.next_seal();
    let echoed_id =
        if fault == TargetFault::WrongRequestId { "another".to_owned() } else { id.clone() };
    let mut headers = vec![("Request-Id", echoed_id.as_str())];
    headers.extend(notices());
    headers.extend((fault == TargetFault::Leaving).then_some(("Server-Leaving", "1")));
    if fault != TargetFault::Unsealed {
        headers.push(("Server-Seal", seal.as_str()));
    }
    let (framing, trigger) = shared.stream_conf(request);
    if trigger.as_ref().is_some_and(|t| t.precedes_answer(&shared.conf, framing)) {
        shared.begin_crash();
        return None;
    }
    match (&shared.conf.engine, fault) {
        (_, TargetFault::LoseAnswer) => {
            conn.reset();
            None
        }
        (_, TargetFault::NoAnswer) => {
            conn.wait_for_close().await;
            shared.state.lock().executed_requests[index].abandoned = true;
            None
        }
        (_, TargetFault::Garbled) => {
            let _ = conn.write(b"HTTP/9.7 two hundred\r\n\r\n").await;
            None
        }
        (_, TargetFault::EndlessHead) => {
            conn.write_endless(b"HTTP/1.1 200 OK\r\nX-Filler: ", b"").await;
            None
        }
        (_, TargetFault::EndlessBody) => {
            headers.push(("Transfer-Encoding", "chunked"));
            let event: &[u8] = if shared.conf.engine.is_some() { b"id: " } else { b"" };
            conn.write_endless(&response_head(200, &headers, None), event).await;
            None
        }
        (_, TargetFault::Error) => answer_with(conn, 500, &headers, b"failed").await,
        (_, TargetFault::ErrorAfter(ms)) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            answer_with(conn, 500, &headers, b"failed").await
        }
        (_, TargetFault::NotFound) => answer_with(conn, 404, &headers, b"not found").await,
        (Some(engine), _) => {
            let sequence = sequence.as_ref().expect("an engine's request is in its batch");
            let stream = engine::EventStream {
                conf: engine,
                shared,
                index,
                batch: &shared.batch,
                sequence,
                fault,
                framing,
                writer: shared.writer(&id),
                breaks_after: trigger.as_ref().map(|t| (t.after_events, t.within_event)),
            };
            let streamed = stream.write_events(&mut conn, request, &headers).await;
            if trigger.is_some() {
                shared.begin_crash();
                return None;
            }
            if streamed.is_err() {
                shared.state.lock().executed_requests[index].abandoned = true;
            }
            match fault {
                TargetFault::CutAfter(_) | TargetFault::CutUnresumedAfter(_) => None,
                _ if framing == StreamFraming::UntilClose => None,
                _ => streamed.ok().map(|()| conn),
            }
        }
        (None, TargetFault::PauseAfter { events: 0, ms }) => {
            let pause = tokio::time::sleep(Duration::from_millis(ms));
            if engine::while_connected(&conn, pause).await.is_err() {
                shared.state.lock().executed_requests[index].abandoned = true;
                return None;
            }
            answer_plain(conn, &id, &headers, fault).await
        }
        (None, TargetFault::None) if framing == StreamFraming::UntilClose => {
            answer_unframed(conn, &id, &headers, trigger.is_some().then_some(shared)).await
        }
        (None, _) => answer_plain(conn, &id, &headers, fault).await,
    }
}

// waits for the work of a plain service, which gives up its place before it answers; fails if the
// caller leaves
async fn work_in(
    conn: &RawConn,
    shared: &Shared,
    place: Option<SequenceHandle>,
    index: usize,
) -> io::Result<Option<SequenceHandle>> {
    let place = match place {
        Some(place) if shared.conf.engine.is_none() => place,
        place => return Ok(place),
    };
    let work = shared.state.lock().work;
    let run = async {
        place.wait_until_running().await;
        tokio::time::sleep(work).await;
    };
    if let Err(e) = engine::while_connected(conn, run).await {
        shared.state.lock().executed_requests[index].abandoned = true;
        return Err(e);
    }
    Ok(None)
}

async fn answer_with(
    mut conn: RawConn,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<RawConn> {
    conn.write_response(status, headers, body).await.ok().map(|()| conn)
}

// writes an answer whose end is that of its connection; the target `crashing` ends in the middle of it
async fn answer_unframed(
    mut conn: RawConn,
    id: &str,
    headers: &[(&str, &str)],
    crashing: Option<&Arc<Shared>>,
) -> Option<RawConn> {
    let body = format!("answer to {id}");
    let (start, rest) = body.split_at(body.len() / 2);
    conn.write(&[&response_head(200, headers, None), start.as_bytes()].concat()).await.ok()?;
    if let Some(target) = crashing {
        target.begin_crash();
        // the connection is closed with all others
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(UNFRAMED_PAUSE).await;
    conn.write(rest.as_bytes()).await.ok()?;
    None
}

async fn answer_plain(
    mut conn: RawConn,
    id: &str,
    headers: &[(&str, &str)],
    fault: TargetFault,
) -> Option<RawConn> {
    let body = format!("answer to {id}");
    match fault {
        TargetFault::CutAfter(_) => {
            conn.write(&response_head(200, headers, Some(body.len()))).await.ok()?;
            conn.write(&body.as_bytes()[..body.len() / 2]).await.ok()?;
            conn.reset();
            None
        }
        TargetFault::UnframedReset => {
            conn.write(&response_head(200, headers, None)).await.ok()?;
            conn.write(body.as_bytes()).await.ok()?;
            conn.reset();
            None
        }
        TargetFault::DuplicateAnswer => {
            conn.write_response(200, headers, body.as_bytes()).await.ok()?;
            conn.write_response(200, headers, b"a second answer").await.ok()?;
            Some(conn)
        }
        TargetFault::RefusalInFront(status) => {
            conn.write_response(status, &[("Not-Executed", "1")], b"").await.ok()?;
            conn.write_response(200, headers, body.as_bytes()).await.ok()?;
            Some(conn)
        }
        TargetFault::LargeAnswer(bytes) => {
            conn.write_response(200, headers, &vec![b'x'; bytes]).await.ok().map(|()| conn)
        }
        _ => conn.write_response(200, headers, body.as_bytes()).await.ok().map(|()| conn),
    }
}
