//! A target: a model engine that guards what it holds, or a plain service.

use {
    super::{
        batch::{Batch, BatchConf},
        engine,
        metastore::Metastore,
        raw_http::{RawConn, RawRequest, response_head},
        weight_store::WeightStore,
    },
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::JoinHandle},
};

/// What makes a target an engine.
#[derive(Clone, Debug)]
pub struct EngineConf {
    /// Its base model, which it holds from its start.
    pub model: String,
    /// Adapters that it holds at most.
    pub adapter_slots: usize,
    /// Where its adapters come from.
    pub weight_store: Arc<WeightStore>,
    /// Events of each stream.
    pub events_per_stream: u64,
    /// Time between two events of an engine that runs nothing else.
    pub event_interval: Duration,
    /// Requests that it takes.
    pub batch: BatchConf,
}

/// A target.
#[derive(Clone, Debug)]
pub struct TargetConf {
    /// Identity of this start.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Set when it is an engine.
    pub engine: Option<EngineConf>,
}

/// What goes wrong with requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetFault {
    /// Nothing.
    #[default]
    None,
    /// They are refused, with proof that they have not run.
    Full,
    /// They run, and the connection is reset instead of an answer.
    LoseAnswer,
    /// They run and get no answer.
    #[serde(rename = "mute")]
    NoAnswer,
    /// Answers break off after this many events, or in their middle.
    CutAfter(u64),
    /// A second answer follows the first.
    #[serde(rename = "doubled")]
    DuplicateAnswer,
    /// Answers carry the id of another request.
    #[serde(rename = "crossed")]
    WrongRequestId,
    /// Answers carry no seal.
    Unsealed,
    /// Answers have no length and end with a reset.
    UnframedReset,
    /// Answers are no HTTP.
    Garbled,
    /// They are refused, with proof, before they have come in whole.
    #[serde(rename = "early")]
    RefuseEarly,
    /// They fail.
    Error,
    /// Orders get no answer and are carried out after this many milliseconds.
    OrdersLate(u64),
}

/// A request that a target has run.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// Its id.
    pub request_id: String,
    /// Its path.
    pub path: String,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
    /// Set once the caller's connection closed before the end.
    pub abandoned: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct HeldAdapter {
    pub(super) version: u64,
    pub(super) ready_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) fault: TargetFault,
    pub(super) executed_requests: Vec<ExecutedRequest>,
    pub(super) adapters: IndexMap<String, HeldAdapter>,
    // adapters with versions of which it has copies
    pub(super) local_copies: IndexSet<(String, u64)>,
    pub(super) newest_versions: IndexMap<String, u64>,
    pub(super) seq: u64,
    pub(super) fence: u64,
    pub(super) overfilled: bool,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) conf: TargetConf,
    pub(super) state: Mutex<State>,
    pub(super) batch: Arc<Batch>,
    open_connections: AtomicUsize,
    seal_count: AtomicU64,
}

/// A running target. Dropping it is a crash.
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
    /// Starts a target at `address` and registers it.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        conf: TargetConf,
        store: &Metastore,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let batch = Batch::new(conf.engine.as_ref().map(|e| e.batch).unwrap_or_default());
        let seals = AtomicU64::new(0);
        let shared = Arc::new(Shared {
            conf,
            state: Mutex::default(),
            batch,
            open_connections: AtomicUsize::new(0),
            seal_count: seals,
        });
        let s = shared.clone();
        let server = tokio::spawn(async move {
            // connections end with the target, as when it crashes
            let mut conns = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let s = s.clone();
                conns.spawn(async move {
                    s.open_connections.fetch_add(1, Ordering::Relaxed);
                    serve_connection(RawConn::new(stream), s.clone()).await;
                    s.open_connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        let target = Self { shared, address, server };
        target.register(store, "ready");
        Ok(target)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes its entry with this state.
    pub fn register(&self, store: &Metastore, state: &str) {
        let conf = &self.shared.conf;
        let entry = json!({
            "service": conf.service, "address": self.address.to_string(), "zone": conf.data_centre,
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "stage": "both",
            "seq": self.shared.state.lock().seq, "born": 1, "models": self.shared.models_json(),
        });
        store.write("keyed.servers", &conf.id, Some(&entry.to_string()));
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: TargetFault) {
        self.shared.state.lock().fault = fault;
    }

    /// Makes `version` the newest one of an adapter.
    pub fn set_version(&self, adapter: &str, version: u64) {
        self.shared.state.lock().newest_versions.insert(adapter.to_owned(), version);
    }

    /// What it has run.
    #[must_use]
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.shared.state.lock().executed_requests.clone()
    }

    /// Adapters that it holds.
    #[must_use]
    pub fn adapters(&self) -> Vec<String> {
        self.shared.state.lock().adapters.keys().cloned().collect()
    }

    /// Orders that it has accepted.
    #[must_use]
    pub fn accepted_orders(&self) -> u64 {
        self.shared.state.lock().seq
    }

    /// The highest fencing number that it has seen.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.shared.state.lock().fence
    }

    /// Connections that are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Requests that run there, and those that were put back for more urgent ones.
    #[must_use]
    pub fn batch_counts(&self) -> (usize, u64) {
        (self.shared.batch.running(), self.shared.batch.preemptions())
    }

    /// True when it was ordered to hold more than it has room for.
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
        let held = state.adapters.iter().filter(|(_, a)| a.ready_at <= now);
        let held: Vec<String> = held.map(|(name, a)| format!("{name}@{}", a.version)).collect();
        json!([{ "name": engine.model, "version": 1, "adapters": held }])
    }

    fn next_seal(&self) -> String {
        format!("{}.{}", self.conf.id, self.seal_count.fetch_add(1, Ordering::Relaxed))
    }
}

// what has not come in yet is never read: the connection is reset behind the answer
async fn refuse_early(mut conn: RawConn) {
    let Ok(Some(id)) = conn.peek_request_id().await else {
        return;
    };
    let _ = conn.write_response(503, &[("Request-Id", &id), ("Not-Executed", "1")], b"").await;
}

async fn serve_connection(mut conn: RawConn, shared: Arc<Shared>) {
    // the fault counts that is set when a request begins to come in
    while conn.wait_for_request().await {
        if shared.state.lock().fault == TargetFault::RefuseEarly {
            return refuse_early(conn).await;
        }
        let Ok(Some(request)) = conn.read_request().await else {
            return;
        };
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != shared.conf.id) {
            if conn.write_response(421, &[("Instance-Id", &shared.conf.id)], b"").await.is_err() {
                return;
            }
            continue;
        }
        let kept = match request.path.as_str() {
            "/v1/report" => engine::answer_report(&mut conn, &shared).await.is_ok(),
            "/v1/order" => match engine::answer_order(&mut conn, &request, &shared).await {
                Some(done) => done.is_ok(),
                None => return conn.wait_for_close().await,
            },
            _ => match run_request(conn, &request, &shared).await {
                Some(back) => {
                    conn = back;
                    true
                }
                None => return,
            },
        };
        if !kept {
            return;
        }
    }
}

// the connection, if it can carry another request
async fn run_request(
    mut conn: RawConn,
    request: &RawRequest,
    shared: &Arc<Shared>,
) -> Option<RawConn> {
    let fault = shared.state.lock().fault;
    let id = request.header("request-id").unwrap_or_default().to_owned();
    if fault == TargetFault::Full {
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        return conn.write_response(503, &headers, b"").await.ok().map(|()| conn);
    }
    if let Some(status) = engine::missing_adapter_status(shared, request) {
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        return conn.write_response(status, &headers, b"").await.ok().map(|()| conn);
    }
    let place = shared.conf.engine.as_ref().map(|_| engine::submit(shared, request));
    let Some(place) = place.map_or(Some(None), |place| place.map(Some)) else {
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        return conn.write_response(503, &headers, b"").await.ok().map(|()| conn);
    };
    let number = {
        let mut state = shared.state.lock();
        state.executed_requests.push(ExecutedRequest {
            request_id: id.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            abandoned: false,
        });
        state.executed_requests.len() - 1
    };
    let seal = shared.next_seal();
    let echoed =
        if fault == TargetFault::WrongRequestId { "another".to_owned() } else { id.clone() };
    let mut headers = vec![("Request-Id", echoed.as_str())];
    if fault != TargetFault::Unsealed {
        headers.push(("Server-Seal", seal.as_str()));
    }
    match (&shared.conf.engine, fault) {
        (_, TargetFault::LoseAnswer) => {
            conn.reset();
            None
        }
        (_, TargetFault::NoAnswer) => {
            conn.wait_for_close().await;
            shared.state.lock().executed_requests[number].abandoned = true;
            None
        }
        (_, TargetFault::Garbled) => {
            let _ = conn.write(b"HTTP/9.7 two hundred\r\n\r\n").await;
            None
        }
        (_, TargetFault::Error) => {
            conn.write_response(500, &headers, b"failed").await.ok().map(|()| conn)
        }
        (Some(engine), _) => {
            let place = place.as_ref().expect("an engine's request has a place");
            let with =
                engine::EventStream { conf: engine, batch: &shared.batch, sequence: place, fault };
            let streamed = with.write_events(&mut conn, request, &headers).await;
            if streamed.is_err() {
                shared.state.lock().executed_requests[number].abandoned = true;
            }
            match fault {
                TargetFault::CutAfter(_) => None,
                _ => streamed.ok().map(|()| conn),
            }
        }
        (None, _) => answer_plain(conn, &id, &headers, fault).await,
    }
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
        _ => conn.write_response(200, headers, body.as_bytes()).await.ok().map(|()| conn),
    }
}
