//! A target: a model engine that guards what it holds, or a plain service.

use {
    super::{
        metastore::Metastore,
        raw::{RawConn, RawRequest, head},
    },
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
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
    /// Time of a load.
    pub load: Duration,
    /// Events of each stream.
    pub events: u64,
    /// Time between two events.
    pub pause: Duration,
}

/// A target.
#[derive(Clone, Debug)]
pub struct TargetConf {
    /// Identity of this start.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub zone: String,
    /// Set when it is an engine.
    pub engine: Option<EngineConf>,
}

/// What goes wrong with requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetFault {
    /// Nothing.
    #[default]
    None,
    /// They are refused, with proof that they have not run.
    Full,
    /// They run, and the connection is reset instead of an answer.
    LoseAnswer,
    /// They run and get no answer.
    Mute,
    /// Answers break off after this many events, or in their middle.
    CutAfter(u64),
    /// A second answer follows the first.
    Doubled,
    /// Answers carry the id of another request.
    Crossed,
    /// Answers carry no seal.
    Unsealed,
    /// Answers have no length and end with a reset.
    UnframedReset,
    /// They fail.
    Error,
    /// Orders get no answer and are carried out after this many milliseconds.
    OrdersLate(u64),
}

/// A request that a target has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub request: String,
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
struct Adapter {
    version: u64,
    ready_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    fault: TargetFault,
    runs: Vec<Run>,
    adapters: IndexMap<String, Adapter>,
    versions: IndexMap<String, u64>,
    seq: u64,
    fence: u64,
    crashed_by_orders: bool,
}

#[derive(Debug)]
struct Shared {
    conf: TargetConf,
    state: Mutex<State>,
    seals: AtomicU64,
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
        let shared = Arc::new(Shared { conf, state: Mutex::default(), seals: AtomicU64::new(0) });
        let s = shared.clone();
        let server = tokio::spawn(async move {
            // connections end with the target, as when it crashes
            let mut conns = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                conns.spawn(serve(RawConn::new(stream), s.clone()));
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
            "service": conf.service, "address": self.address.to_string(), "zone": conf.zone,
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "stage": "both",
            "seq": self.shared.state.lock().seq, "born": 1, "models": self.shared.models(),
        });
        store.write("keyed.servers", &conf.id, Some(&entry.to_string()));
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: TargetFault) {
        self.shared.state.lock().fault = fault;
    }

    /// Makes `version` the newest one of an adapter.
    pub fn set_version(&self, adapter: &str, version: u64) {
        self.shared.state.lock().versions.insert(adapter.to_owned(), version);
    }

    /// What it has run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state.lock().runs.clone()
    }

    /// Adapters that it holds.
    #[must_use]
    pub fn adapters(&self) -> Vec<String> {
        self.shared.state.lock().adapters.keys().cloned().collect()
    }

    /// Orders that it has accepted.
    #[must_use]
    pub fn orders(&self) -> u64 {
        self.shared.state.lock().seq
    }

    /// The highest fencing number that it has seen.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.shared.state.lock().fence
    }

    /// True when it was ordered to hold more than it has room for.
    #[must_use]
    pub fn overfilled(&self) -> bool {
        self.shared.state.lock().crashed_by_orders
    }
}

impl Shared {
    fn models(&self) -> Value {
        let Some(engine) = &self.conf.engine else {
            return json!([]);
        };
        let now = Instant::now();
        let state = self.state.lock();
        let held = state.adapters.iter().filter(|(_, a)| a.ready_at <= now);
        let held: Vec<String> = held.map(|(name, a)| format!("{name}@{}", a.version)).collect();
        json!([{ "name": engine.model, "version": 1, "adapters": held }])
    }

    fn seal(&self) -> String {
        format!("{}.{}", self.conf.id, self.seals.fetch_add(1, Ordering::Relaxed))
    }
}

async fn serve(mut conn: RawConn, shared: Arc<Shared>) {
    while let Ok(Some(request)) = conn.read().await {
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != shared.conf.id) {
            if conn.answer(421, &[("Instance-Id", &shared.conf.id)], b"").await.is_err() {
                return;
            }
            continue;
        }
        let kept = match request.path.as_str() {
            "/v1/report" => report(&mut conn, &shared).await.is_ok(),
            "/v1/order" => match order(&mut conn, &request, &shared).await {
                Some(done) => done.is_ok(),
                None => return conn.closed().await,
            },
            _ => match run(conn, &request, &shared).await {
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

async fn report(conn: &mut RawConn, shared: &Shared) -> io::Result<()> {
    let now = Instant::now();
    let (seq, pending) = {
        let state = shared.state.lock();
        let coming = state.adapters.iter().filter(|(_, a)| a.ready_at > now);
        let model = shared.conf.engine.as_ref().map_or("", |e| e.model.as_str());
        let named = coming.map(|(name, a)| format!("{model}/{name}@{}", a.version));
        (state.seq, named.collect::<Vec<String>>())
    };
    let body = json!({
        "stage": "both", "models": shared.models(), "busy": false, "seq": seq, "queued": 0,
        "running": 0, "kv_used": 0, "kv_total": 1000, "handles": 0, "pending": pending,
    });
    conn.answer(200, &[("Content-Type", "application/json")], body.to_string().as_bytes()).await
}

// none when the order gets no answer
async fn order(
    conn: &mut RawConn,
    request: &RawRequest,
    shared: &Arc<Shared>,
) -> Option<io::Result<()>> {
    let fault = shared.state.lock().fault;
    if let TargetFault::OrdersLate(ms) = fault {
        let (shared, body) = (shared.clone(), request.body.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            carry_out(&shared, &body);
        });
        return None;
    }
    let status = carry_out(shared, &request.body);
    Some(conn.answer(status, &[], b"").await)
}

fn carry_out(shared: &Shared, body: &[u8]) -> u16 {
    let Some(engine) = &shared.conf.engine else {
        return 400;
    };
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return 400;
    };
    let (Some(fence), Some(_)) = (order["fence_token"].as_u64(), order["holder"].as_str()) else {
        return 400;
    };
    let mut state = shared.state.lock();
    if fence < state.fence {
        return 412;
    }
    state.fence = fence;
    let now = Instant::now();
    let Some(adapter) = order["adapter"].as_str() else {
        return 200;
    };
    let newest = state.versions.get(adapter).copied().unwrap_or(1);
    let version = order["version"].as_u64().unwrap_or(newest);
    let load = order["op_type"] == "load";
    match state.adapters.get(adapter) {
        Some(held) if load && held.version >= version && held.ready_at <= now => return 200,
        Some(held) if load && held.version >= version => return 202,
        None if !load => return 200,
        _ => {}
    }
    if order["expected"].as_u64().is_some_and(|seq| seq != state.seq) {
        return 409;
    }
    state.seq += 1;
    if !load {
        state.adapters.swap_remove(adapter);
        return 200;
    }
    let held = Adapter { version, ready_at: now + engine.load };
    state.adapters.insert(adapter.to_owned(), held);
    if state.adapters.len() > engine.adapter_slots {
        state.crashed_by_orders = true;
    }
    202
}

// the connection, if it can carry another request
async fn run(mut conn: RawConn, request: &RawRequest, shared: &Arc<Shared>) -> Option<RawConn> {
    let fault = shared.state.lock().fault;
    let id = request.header("request-id").unwrap_or_default().to_owned();
    if fault == TargetFault::Full {
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        return conn.answer(503, &headers, b"").await.ok().map(|()| conn);
    }
    if let Some(status) = not_held(shared, request) {
        let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        return conn.answer(status, &headers, b"").await.ok().map(|()| conn);
    }
    let number = {
        let mut state = shared.state.lock();
        state.runs.push(Run {
            request: id.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            abandoned: false,
        });
        state.runs.len() - 1
    };
    let seal = shared.seal();
    let echoed = if fault == TargetFault::Crossed { "another".to_owned() } else { id.clone() };
    let mut headers = vec![("Request-Id", echoed.as_str())];
    if fault != TargetFault::Unsealed {
        headers.push(("Server-Seal", seal.as_str()));
    }
    match (&shared.conf.engine, fault) {
        (_, TargetFault::LoseAnswer) => {
            conn.reset();
            None
        }
        (_, TargetFault::Mute) => {
            conn.closed().await;
            shared.state.lock().runs[number].abandoned = true;
            None
        }
        (_, TargetFault::Error) => conn.answer(500, &headers, b"failed").await.ok().map(|()| conn),
        (Some(engine), _) => {
            let streamed = stream(&mut conn, engine, request, &headers, fault).await;
            if streamed.is_err() {
                shared.state.lock().runs[number].abandoned = true;
            }
            match fault {
                TargetFault::CutAfter(_) => None,
                _ => streamed.ok().map(|()| conn),
            }
        }
        (None, _) => plain(conn, &id, &headers, fault).await,
    }
}

// the status for a request whose adapter is not there
fn not_held(shared: &Shared, request: &RawRequest) -> Option<u16> {
    let engine = shared.conf.engine.as_ref()?;
    let (model, adapter) = request.header("model")?.split_once('/')?;
    if model != engine.model {
        return Some(421);
    }
    let state = shared.state.lock();
    let Some(held) = state.adapters.get(adapter) else {
        return Some(421);
    };
    if held.ready_at > Instant::now() {
        return Some(503);
    }
    let wanted = request.header("expect-version").and_then(|v| v.parse().ok());
    wanted.is_some_and(|wanted: u64| wanted != held.version).then_some(421)
}

async fn plain(
    mut conn: RawConn,
    id: &str,
    headers: &[(&str, &str)],
    fault: TargetFault,
) -> Option<RawConn> {
    let body = format!("answer to {id}");
    match fault {
        TargetFault::CutAfter(_) => {
            conn.write(&head(200, headers, Some(body.len()))).await.ok()?;
            conn.write(&body.as_bytes()[..body.len() / 2]).await.ok()?;
            conn.reset();
            None
        }
        TargetFault::UnframedReset => {
            conn.write(&head(200, headers, None)).await.ok()?;
            conn.write(body.as_bytes()).await.ok()?;
            conn.reset();
            None
        }
        TargetFault::Doubled => {
            conn.answer(200, headers, body.as_bytes()).await.ok()?;
            conn.answer(200, headers, b"a second answer").await.ok()?;
            Some(conn)
        }
        _ => conn.answer(200, headers, body.as_bytes()).await.ok().map(|()| conn),
    }
}

async fn stream(
    conn: &mut RawConn,
    engine: &EngineConf,
    request: &RawRequest,
    headers: &[(&str, &str)],
    fault: TargetFault,
) -> io::Result<()> {
    let mut headers = headers.to_vec();
    headers.push(("Content-Type", "text/event-stream"));
    headers.push(("Transfer-Encoding", "chunked"));
    conn.write(&head(200, &headers, None)).await?;
    let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    for id in last + 1..=engine.events {
        if fault == TargetFault::CutAfter(id - 1) {
            // the beginning of the next event goes out as well
            return conn.write(b"10\r\nid: ").await;
        }
        let event = format!("id: {id}\ndata: token-{id}\n\n");
        conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        // a caller that has left shows as a closed connection
        let mut byte = [0; 1];
        let left = tokio::time::timeout(engine.pause, conn.stream.peek(&mut byte)).await;
        if matches!(left, Ok(Ok(0) | Err(_))) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
    conn.write(b"0\r\n\r\n").await
}
