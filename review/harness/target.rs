//! Servers: model engines that take orders, and plain services.

use {
    crate::{
        http::{Conn, Request},
        json,
        store::Store,
    },
    std::{
        collections::BTreeMap,
        io,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Interval in which a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time that an adapter takes to load.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Time that the model takes to load.
const MODEL_LOAD_TIME: Duration = Duration::from_millis(600);

/// Adapters that may be in transit to a server at the same time.
const IN_TRANSIT_MAX: usize = 4;

/// Base model of all engines.
pub const MODEL: &str = "base";

/// What a server is.
#[derive(Clone, Debug)]
pub struct Conf {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Places for adapters; none if the server is not an engine.
    pub adapter_slots: Option<usize>,
}

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub what: String,
    pub status: u16,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub target: String,
}

#[derive(Default)]
struct State {
    // end of the load of the model; none if it is not there
    model: Option<Instant>,
    // end of the load by adapter
    adapters: BTreeMap<String, Instant>,
    seq: u64,
    fence: u64,
    orders: Vec<Order>,
    runs: Vec<Run>,
    // streams end with their connection, without a length or chunks
    is_unframed: bool,
    // part of a prompt on which the server crashes when it begins to write, and the time until it is
    // back
    crashes_on: Option<(String, Duration)>,
    crashes: Vec<Instant>,
    connections: Vec<TcpStream>,
}

/// A running server.
pub struct Target {
    pub conf: Conf,
    pub address: SocketAddr,
    born: AtomicU64,
    // number of the start; the listener of an earlier one ends
    boot: AtomicU64,
    store: Arc<Store>,
    state: Mutex<State>,
    seals: AtomicU64,
    is_draining: AtomicBool,
    has_ended: AtomicBool,
}

impl Target {
    /// Starts a server on a free port, and writes its entry now and in each heartbeat. An engine has
    /// its model from the start.
    pub fn start(conf: Conf, store: &Arc<Store>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Arc::new(Self {
            conf,
            address: listener.local_addr()?,
            born: AtomicU64::new(unix_ms()),
            boot: AtomicU64::new(1),
            store: store.clone(),
            state: Mutex::default(),
            seals: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
        });
        target.lock().model = Some(Instant::now());
        target.listen(listener);
        Ok(target)
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let boot = self.boot.load(Ordering::Acquire);
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::Acquire)
                    || server.boot.load(Ordering::Acquire) != boot
                {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.lock().connections.push(copy);
                }
                let target = server.clone();
                thread::spawn(move || target.serve(Conn::new(stream)?));
            }
        });
        let writer = self.clone();
        thread::spawn(move || {
            while !writer.has_ended.load(Ordering::Acquire)
                && writer.boot.load(Ordering::Acquire) == boot
            {
                writer.register();
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// The fields of the entry, each as it stands in JSON.
    pub fn entry(&self) -> Vec<(&'static str, String)> {
        let quoted = |text: &str| format!("\"{text}\"");
        let seq = self.lock().seq;
        let mut fields = vec![
            ("service", quoted(&self.conf.service)),
            ("address", quoted(&self.address.to_string())),
            ("zone", quoted(&self.conf.zone)),
            ("version", quoted("v1")),
            ("slots", "64".to_owned()),
            (
                "state",
                quoted(if self.is_draining.load(Ordering::Acquire) { "draining" } else { "ready" }),
            ),
            ("cold_left_ms", "0".to_owned()),
            ("seq", seq.to_string()),
            ("born", self.born.load(Ordering::Acquire).to_string()),
        ];
        if self.conf.adapter_slots.is_some() {
            fields.push(("stage", quoted("both")));
            fields.push(("models", self.models()));
        }
        fields
    }

    fn register(&self) {
        // the next heartbeat writes it if the store is away
        let _ = self.store.write(
            "keyed.servers",
            self.conf.id.as_bytes(),
            object(&self.entry()).as_bytes(),
        );
    }

    fn models(&self) -> String {
        let now = Instant::now();
        let state = self.lock();
        if state.model.is_none_or(|end| end > now) {
            return "[]".to_owned();
        }
        let loaded = state.adapters.iter().filter(|(_, end)| **end <= now);
        let loaded: Vec<String> = loaded.map(|(name, _)| format!("\"{name}@1\"")).collect();
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]", loaded.join(","))
    }

    /// Orders that have arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Requests that have run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// The server reports that it is leaving.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.register();
    }

    /// The server ends: its heartbeats, its listener and its connections.
    pub fn end(&self) {
        if !self.has_ended.swap(true, Ordering::AcqRel) {
            self.close();
        }
    }

    /// The server crashes, and is back after this time under its id and address, with nothing.
    pub fn crash(self: &Arc<Self>, down: Duration) -> io::Result<()> {
        self.boot.fetch_add(1, Ordering::AcqRel);
        self.close();
        thread::sleep(down);
        let listener = TcpListener::bind(self.address)?;
        {
            let mut state = self.lock();
            (state.seq, state.fence) = (0, 0);
            state.model = None;
            state.adapters.clear();
        }
        self.born.store(unix_ms(), Ordering::Release);
        self.listen(listener);
        Ok(())
    }

    /// Streams have neither a length nor chunks from now on.
    pub fn leave_streams_unframed(&self) {
        self.lock().is_unframed = true;
    }

    /// Makes the server crash when it begins to write an answer on a prompt with this part. It is back
    /// after this time.
    pub fn crash_on(&self, part: &str, down: Duration) {
        self.lock().crashes_on = Some((part.to_owned(), down));
    }

    /// When the server has crashed on a prompt.
    pub fn crashes(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    // crashes if the request's prompt has the part for that
    fn crash_if_due(self: &Arc<Self>, request: &Request) -> bool {
        let prefix = request.headers.get("prompt-prefix").unwrap_or_default();
        let mut state = self.lock();
        let Some((part, down)) = state.crashes_on.clone() else {
            return false;
        };
        if !prefix.split(',').any(|entry| entry.split(':').next() == Some(part.as_str())) {
            return false;
        }
        state.crashes.push(Instant::now());
        drop(state);
        let target = self.clone();
        thread::spawn(move || target.crash(down));
        true
    }

    fn close(&self) {
        // the listener notices with the next connection
        let _ = TcpStream::connect(self.address);
        for connection in self.lock().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// The server ends, and its entry is removed.
    pub fn leave(&self) {
        self.end();
        let _ = self.store.write("keyed.servers", self.conf.id.as_bytes(), b"");
    }

    fn serve(self: &Arc<Self>, mut conn: Conn) -> io::Result<()> {
        while let Some(request) = conn.read_request()? {
            if request.headers.get("expect-instance").is_some_and(|id| id != self.conf.id) {
                self.refuse(&mut conn, &request, 421)?;
                continue;
            }
            match request.path() {
                "/health" => conn.answer(200, &[("Instance-Id", &self.conf.id)], b"")?,
                "/v1/report" if self.conf.adapter_slots.is_some() => {
                    conn.answer(200, &[], self.report().as_bytes())?;
                }
                "/v1/order" if self.conf.adapter_slots.is_some() => {
                    let status = self.take_order(&request);
                    conn.answer(status, &[], b"")?;
                }
                _ => self.run(&mut conn, &request)?,
            }
        }
        Ok(())
    }

    fn refuse(&self, conn: &mut Conn, request: &Request, status: u16) -> io::Result<()> {
        let id = request.headers.get("request-id").unwrap_or_default();
        conn.answer(status, &[("Request-Id", id), ("Not-Executed", "1")], b"")
    }

    fn report(&self) -> String {
        let models = self.models();
        let now = Instant::now();
        let state = self.lock();
        let pending = state.adapters.iter().filter(|(_, end)| **end > now);
        let pending: Vec<String> =
            pending.map(|(name, _)| format!("\"{MODEL}/{name}@1\"")).collect();
        format!(
            "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"seq\":{},\"queued\":0,\
             \"running\":0,\"kv_used\":0,\"kv_total\":100000,\"handles\":0,\"pending\":[{}],\
             \"born\":{}}}",
            state.model.is_some_and(|end| end > now),
            state.seq,
            pending.join(","),
            self.born.load(Ordering::Acquire)
        )
    }

    fn take_order(&self, request: &Request) -> u16 {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (holder, fence) = (json::text(&body, "holder"), json::number(&body, "fence_token"));
        let (Some(holder), Some(fence)) = (holder, fence) else {
            return 400;
        };
        let mut state = self.lock();
        let what = format!(
            "{} {}",
            json::text(&body, "op_type").unwrap_or_default(),
            json::text(&body, "adapter").unwrap_or_else(|| "the model".to_owned())
        );
        let status = self.status_of_order(&mut state, &body, fence);
        state.orders.push(Order { at: Instant::now(), holder, fence, what, status });
        status
    }

    fn status_of_order(&self, state: &mut State, body: &str, fence: u64) -> u16 {
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        let is_load = json::text(body, "op_type").as_deref() == Some("load");
        let now = Instant::now();
        let is_stale = json::number(body, "expected").is_some_and(|seq| seq != state.seq);
        let Some(adapter) = json::text(body, "adapter") else {
            return match state.model {
                Some(end) if is_load => 202 - 2 * u16::from(end <= now),
                None if is_load && !is_stale => {
                    state.seq += 1;
                    state.model = Some(now + MODEL_LOAD_TIME);
                    202
                }
                _ => 409,
            };
        };
        if state.model.is_none_or(|end| end > now) {
            return 400;
        }
        match state.adapters.get(&adapter) {
            Some(end) if is_load => return if *end <= now { 200 } else { 202 },
            None if !is_load => return 200,
            _ => {}
        }
        let in_transit = state.adapters.values().filter(|end| **end > now).count();
        if is_stale || is_load && in_transit >= IN_TRANSIT_MAX {
            return 409;
        }
        state.seq += 1;
        if is_load {
            state.adapters.insert(adapter, now + LOAD_TIME);
            202
        } else {
            state.adapters.remove(&adapter);
            200
        }
    }

    // the status that refuses a request whose model or adapter is not there
    fn missing_model_status(&self, request: &Request) -> Option<u16> {
        let model = request.headers.get("model")?;
        let state = self.lock();
        let end = match model.split_once('/') {
            Some((_, adapter)) => state.adapters.get(adapter).copied(),
            None => state.model,
        };
        let has_model = state.model.is_some_and(|end| end <= Instant::now());
        match end.filter(|_| has_model) {
            None => Some(421),
            Some(end) => (end > Instant::now()).then_some(503),
        }
    }

    fn run(self: &Arc<Self>, conn: &mut Conn, request: &Request) -> io::Result<()> {
        let Some(id) = request.headers.get("request-id") else {
            return conn.answer(400, &[("Not-Executed", "1")], b"");
        };
        if self.conf.adapter_slots.is_some()
            && let Some(status) = self.missing_model_status(request)
        {
            return self.refuse(conn, request, status);
        }
        let run = Run { at: Instant::now(), id: id.to_owned(), target: request.target.clone() };
        self.lock().runs.push(run);
        thread::sleep(Duration::from_millis(15));
        let seal = format!("{}.{}", self.conf.id, self.seals.fetch_add(1, Ordering::Relaxed));
        let headers = [("Request-Id", id), ("Server-Seal", seal.as_str())];
        if self.conf.adapter_slots.is_none() {
            return conn.answer(
                200,
                &headers,
                format!("{} did {id}", self.conf.service).as_bytes(),
            );
        }
        if self.crash_if_due(request) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let is_unframed = self.lock().is_unframed;
        let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        conn.write(head.as_bytes())?;
        let boot = self.boot.load(Ordering::Acquire);
        for event in 1..=4 {
            if self.boot.load(Ordering::Acquire) != boot {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {event}\ndata: token\n\n");
            let bytes =
                if is_unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
            conn.write(bytes.as_bytes())?;
            thread::sleep(Duration::from_millis(10));
        }
        if is_unframed {
            return conn.socket().shutdown(Shutdown::Both);
        }
        conn.write(b"0\r\n\r\n")
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(0)
}

/// A JSON object of fields.
pub fn object(fields: &[(&str, String)]) -> String {
    let fields: Vec<String> = fields.iter().map(|(k, v)| format!("\"{k}\":{v}")).collect();
    format!("{{{}}}", fields.join(","))
}
