//! A model server: reports, orders and event streams.

use crate::{
    http::{Reply, Request, serve, whole},
    store::Store,
    world::{Record, unix_ms},
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const SERVICE: &str = "llm";
pub const MODEL: &str = "base0";
/// Places for adapters, as the config states them.
pub const ADAPTER_SLOTS: usize = 6;
/// Time that an adapter takes to arrive, as on the sheets.
const LOAD: Duration = Duration::from_millis(250);
/// Adapters that may be in transit at the same time.
const IN_TRANSIT_MAX: usize = 4;
pub const HEARTBEAT: Duration = Duration::from_millis(1000);

/// An order that has reached the server.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
    pub text: String,
}

#[derive(Default)]
struct State {
    seq: u64,
    fence: u64,
    // loaded from then on
    adapters: BTreeMap<String, Instant>,
    running: BTreeMap<String, usize>,
    orders: Vec<Order>,
    has_crashed: bool,
}

pub struct EngineServer {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    born: u64,
    state: Mutex<State>,
    record: Arc<Record>,
}

impl EngineServer {
    /// Starts a server, which writes to the store from then on.
    pub fn start(id: &str, zone: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born: unix_ms(),
            state: Mutex::default(),
            record: record.clone(),
        });
        let served = engine.clone();
        serve(
            listener,
            Arc::new(move |request: &Request, stream: &mut TcpStream| served.handle(request, stream)),
        );
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                store.write("keyed.servers", &beating.id, &beating.entry());
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn has_crashed(&self) -> bool {
        self.state.lock().unwrap().has_crashed
    }

    fn entry(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":32,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{},\"stage\":\"both\",\
             \"models\":{},\"seq\":{}}}",
            self.address,
            self.zone,
            self.born,
            models(&state),
            state.seq
        )
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> Reply {
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
            self.born
        )
    }

    fn order(&self, request: &Request) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (Some(holder), Some(fence), Some(kind)) =
            (field(&body, "holder"), field(&body, "fence_token"), field(&body, "op_type"))
        else {
            return whole(400, "");
        };
        let fence: u64 = fence.parse().unwrap_or(0);
        let adapter = field(&body, "adapter");
        let expected = field(&body, "expected").and_then(|text| text.parse::<u64>().ok());
        let mut state = self.state.lock().unwrap();
        let status = if fence < state.fence {
            412
        } else {
            state.fence = fence;
            match (&*kind, &adapter) {
                ("load", None) => 200,
                ("load", Some(adapter)) => load(&mut state, adapter, expected),
                ("unload", Some(adapter)) => unload(&mut state, adapter, expected),
                _ => 400,
            }
        };
        let text = format!("{kind} {} expected={expected:?}", adapter.unwrap_or_default());
        let order = Order { at: Instant::now(), holder, fence, status, text };
        self.record.write(&format!(
            "order server={} holder={} fence={} status={} {}",
            self.id, order.holder, order.fence, order.status, order.text
        ));
        state.orders.push(order);
        if state.has_crashed {
            self.record.write(&format!("overloaded server={}", self.id));
        }
        whole(status, "{}")
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
            *state.running.entry(adapter.clone()).or_default() += 1;
        }
        let first: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let written = write_stream(stream, id, first);
        *self.state.lock().unwrap().running.entry(adapter).or_default() -= 1;
        self.record.write(&format!("ran server={} request={id}", self.id));
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
    state.has_crashed |= state.adapters.len() > ADAPTER_SLOTS;
    202
}

fn unload(state: &mut State, adapter: &str, expected: Option<u64>) -> u16 {
    if !state.adapters.contains_key(adapter) {
        return 200;
    }
    if expected.is_some_and(|expected| expected != state.seq) {
        return 409;
    }
    if state.running.get(adapter).is_some_and(|count| *count > 0) {
        return 202;
    }
    state.seq += 1;
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
