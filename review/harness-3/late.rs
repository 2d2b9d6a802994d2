//! A model server that may leave orders unanswered and carry them out later, and that may crash and come
//! back under its id with nothing loaded.

use crate::{
    http::{Reply, Request, handle_connection, whole},
    store::Store,
    world::{Record, has_trouble, unix_ms},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const SERVICE: &str = "llm";
pub const MODEL: &str = "base0";
/// Places for adapters, as on the sheet of the site.
pub const ADAPTER_SLOTS: usize = 13;
/// Time that an adapter takes to arrive, as on the sheet.
const LOAD: Duration = Duration::from_millis(250);
/// Adapters that may be in transit at the same time.
const IN_TRANSIT_MAX: usize = 4;
const HEARTBEAT: Duration = Duration::from_millis(1000);
/// When a late order is carried out, after it was sent.
const LATE_MIN: Duration = Duration::from_secs(2);
const LATE_MAX: Duration = Duration::from_millis(11_900);

struct State {
    is_up: bool,
    born: u64,
    seq: u64,
    fence: u64,
    // loaded from then on
    adapters: BTreeMap<String, Instant>,
    running: BTreeMap<String, usize>,
    // unloaded once their runs end
    unloading: BTreeSet<String>,
    connections: Vec<TcpStream>,
    late_until: Option<Instant>,
    orders: u64,
    has_overloaded: bool,
}

pub struct EngineServer {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    state: Mutex<State>,
    record: Arc<Record>,
}

#[derive(Clone, Debug)]
struct Order {
    kind: String,
    adapter: String,
    expected: Option<u64>,
    fence: u64,
}

impl EngineServer {
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let state = State {
            is_up: false,
            born: 0,
            seq: 0,
            fence: 0,
            adapters: BTreeMap::new(),
            running: BTreeMap::new(),
            unloading: BTreeSet::new(),
            connections: Vec::new(),
            late_until: None,
            orders: 0,
            has_overloaded: false,
        };
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            state: Mutex::new(state),
            record: record.clone(),
        });
        engine.come_up();
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                if let Some(entry) = beating.entry() {
                    store.write("keyed.servers", &beating.id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    // starts with nothing loaded, at the same address and under the same id
    fn come_up(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener that does not wait");
        {
            let mut state = self.state.lock().unwrap();
            (state.is_up, state.born, state.seq, state.fence) = (true, unix_ms(), 0, 0);
            state.adapters.clear();
            state.running.clear();
            state.unloading.clear();
        }
        let engine = self.clone();
        let born = self.state.lock().unwrap().born;
        thread::spawn(move || {
            while engine.is_start(born) {
                match listener.accept() {
                    Ok((stream, _)) => engine.clone().serve(stream, born),
                    Err(problem) if problem.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(2));
                    }
                    Err(_) => return,
                }
            }
        });
    }

    fn is_start(&self, born: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.born == born
    }

    fn serve(self: Arc<Self>, stream: TcpStream, born: u64) {
        if stream.set_nonblocking(false).is_err() {
            return;
        }
        if let Ok(copy) = stream.try_clone() {
            self.state.lock().unwrap().connections.push(copy);
        }
        thread::spawn(move || {
            let handler = |request: &Request, stream: &mut TcpStream| {
                if self.is_start(born) { self.handle(request, stream) } else { Reply::Hang }
            };
            let _ = handle_connection(stream, &handler);
        });
    }

    /// The server crashes, and is back `down` later under its id.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        {
            let mut state = self.state.lock().unwrap();
            state.is_up = false;
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        self.record.write(&format!("server {} crashed", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            engine.come_up();
            engine.record.write(&format!("server {} is back under its id", engine.id));
        });
    }

    /// From now until `until`, each third order gets no answer and is carried out late.
    pub fn set_late_until(&self, until: Instant) {
        self.state.lock().unwrap().late_until = Some(until);
    }

    pub fn orders(&self) -> u64 {
        self.state.lock().unwrap().orders
    }

    pub fn has_overloaded(&self) -> bool {
        self.state.lock().unwrap().has_overloaded
    }

    fn entry(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let entry = || {
            format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{},\"stage\":\"both\",\
                 \"models\":{},\"seq\":{}}}",
                self.address,
                self.zone,
                state.born,
                models(&state),
                state.seq
            )
        };
        state.is_up.then(entry)
    }

    fn handle(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> Reply {
        let expected = request.header("expect-instance");
        let id = request.header("request-id").to_owned();
        if !expected.is_empty() && expected != self.id {
            return refusal(421, &id);
        }
        match request.path.as_str() {
            "/v1/report" => whole(200, self.report()),
            "/v1/order" => self.order(request),
            "/health" => whole(200, ""),
            _ => self.generate(request, &id, stream),
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let arriving = state.adapters.iter().filter(|(_, at)| Instant::now() < **at);
        let pending: Vec<String> = arriving.map(|(name, _)| format!("\"{MODEL}/{name}@1\"")).collect();
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq\":{},\"queued\":0,\"running\":{},\
             \"kv_used\":0,\"kv_total\":100000,\"handles\":0,\"pending\":[{}],\"born\":{},\
             \"state\":\"ready\"}}",
            models(&state),
            state.seq,
            state.running.values().sum::<usize>(),
            pending.join(","),
            state.born
        )
    }

    fn order(self: &Arc<Self>, request: &Request) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (Some(_), Some(fence), Some(kind)) =
            (field(&body, "holder"), field(&body, "fence_token"), field(&body, "op_type"))
        else {
            return whole(400, "");
        };
        let order = Order {
            kind,
            adapter: field(&body, "adapter").unwrap_or_default(),
            expected: field(&body, "expected").and_then(|text| text.parse().ok()),
            fence: fence.parse().unwrap_or(0),
        };
        let is_late = {
            let mut state = self.state.lock().unwrap();
            state.orders += 1;
            let is_time = state.late_until.is_some_and(|until| Instant::now() < until);
            has_trouble() && is_time && state.orders % 3 == 0
        };
        if is_late {
            let (engine, sent_at) = (self.clone(), Instant::now());
            thread::spawn(move || engine.carry_out_late(&order, sent_at));
            return Reply::Silent;
        }
        let status = self.carry_out(&order, "");
        whole(status, "{}")
    }

    // The moment is left open between two limits: it is the first at which the number fits and all places
    // are taken, or the last.
    fn carry_out_late(&self, order: &Order, sent_at: Instant) {
        thread::sleep(LATE_MIN);
        loop {
            let is_last = sent_at.elapsed() >= LATE_MAX;
            let fits = {
                let state = self.state.lock().unwrap();
                state.is_up
                    && order.expected == Some(state.seq)
                    && state.adapters.len() == ADAPTER_SLOTS
                    && !state.adapters.contains_key(&order.adapter)
            };
            if fits || is_last {
                self.carry_out(order, &format!(" late={}", sent_at.elapsed().as_millis()));
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn carry_out(&self, order: &Order, note: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return 0;
        }
        let status = if order.fence < state.fence {
            412
        } else {
            state.fence = order.fence;
            match (order.kind.as_str(), order.adapter.as_str()) {
                ("load", "") => 200,
                ("load", adapter) => load(&mut state, adapter, order.expected),
                ("unload", adapter) => unload(&mut state, adapter, order.expected),
                _ => 400,
            }
        };
        let loaded = state.adapters.len();
        self.record.write(&format!(
            "order server={} {} {} expected={:?} fence={} status={status} loaded={loaded}{note}",
            self.id, order.kind, order.adapter, order.expected, order.fence
        ));
        if loaded > ADAPTER_SLOTS {
            state.has_overloaded = true;
            self.record.write(&format!("LIMIT: server {} was ordered to load {loaded}", self.id));
        }
        status
    }

    fn generate(&self, request: &Request, id: &str, stream: &mut TcpStream) -> Reply {
        let model = request.header("model").to_owned();
        let adapter = model.split_once('/').map_or("", |(_, name)| name).to_owned();
        {
            let mut state = self.state.lock().unwrap();
            let is_loaded = state.adapters.get(&adapter).is_some_and(|at| *at <= Instant::now());
            if !adapter.is_empty() && !is_loaded {
                return refusal(421, id);
            }
            if state.unloading.contains(&adapter) {
                return refusal(503, id);
            }
            *state.running.entry(adapter.clone()).or_default() += 1;
        }
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let written = write_stream(stream, id, after);
        let mut state = self.state.lock().unwrap();
        let count = state.running.entry(adapter.clone()).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 && state.unloading.remove(&adapter) {
            state.adapters.remove(&adapter);
        }
        drop(state);
        Reply::Written(written.is_ok())
    }
}

fn load(state: &mut State, adapter: &str, expected: Option<u64>) -> u16 {
    let now = Instant::now();
    match state.adapters.get(adapter) {
        Some(at) if *at <= now => return 200,
        Some(_) => return 202,
        None => {}
    }
    let arriving = state.adapters.values().filter(|at| now < **at).count();
    if expected.is_some_and(|expected| expected != state.seq) || arriving >= IN_TRANSIT_MAX {
        return 409;
    }
    state.seq += 1;
    state.adapters.insert(adapter.to_owned(), now + LOAD);
    202
}

fn unload(state: &mut State, adapter: &str, expected: Option<u64>) -> u16 {
    if !state.adapters.contains_key(adapter) {
        return 200;
    }
    if state.unloading.contains(adapter) {
        return 202;
    }
    if expected.is_some_and(|expected| expected != state.seq) {
        return 409;
    }
    state.seq += 1;
    if state.running.get(adapter).is_some_and(|count| *count > 0) {
        state.unloading.insert(adapter.to_owned());
        return 202;
    }
    state.adapters.remove(adapter);
    200
}

fn models(state: &State) -> String {
    let loaded = state.adapters.iter().filter(|(_, at)| **at <= Instant::now());
    let names: Vec<String> = loaded.map(|(name, _)| format!("\"{name}@1\"")).collect();
    format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]", names.join(","))
}

fn refusal(status: u16, id: &str) -> Reply {
    let headers =
        vec![("Request-Id".to_owned(), id.to_owned()), ("Not-Executed".to_owned(), "1".to_owned())];
    Reply::Whole { status, headers, body: Vec::new() }
}

fn write_stream(stream: &mut TcpStream, id: &str, after: u64) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=4 {
        let event = format!("id: {number}\ndata: part {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(10));
    }
    stream.write_all(b"0\r\n\r\n")
}

// the value of a field of a flat JSON object, without quotation marks
fn field(body: &str, name: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let end = rest.find([',', '}'])?;
    Some(rest[..end].trim().trim_matches('"').to_owned())
}
