//! A server of the users' platform, a process of its own: a plain service or a model engine.

use {
    crate::{
        http::{Request, call, read_request, write_answer},
        util::{Record, unix_ms},
    },
    std::{
        io::{self, BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Length of the answers of plain services, in bytes.
pub const BODY_BYTES: usize = 800;

/// The whole answer of a plain service to a request.
pub fn whole_body(id: &str) -> Vec<u8> {
    let mut body = format!("answer to {id}: ").into_bytes();
    body.resize(BODY_BYTES, b'.');
    body
}

struct Server {
    id: String,
    service: String,
    // its address, as registered
    reached_at: SocketAddr,
    born: u64,
    // version of its software
    version: String,
    events: u64,
    pause: Duration,
    // none for a plain service
    model: Option<Model>,
    // part of a prompt that crashes it
    poison: String,
    work: Duration,
    slots: usize,
    running: AtomicUsize,
    seq: AtomicU64,
    record: Record,
}

struct Model {
    // names and sizes in megabytes of those that it holds
    held: Mutex<Vec<(String, u64)>>,
    sizes: Vec<(String, u64)>,
    weights_mb: u64,
}

fn value(args: &[String], name: &str) -> Option<String> {
    let at = args.iter().position(|arg| arg == name)?;
    args.get(at + 1).cloned()
}

/// Runs a server until it is killed.
pub fn run(args: &[String]) {
    let get = |name: &str| value(args, name).unwrap_or_default();
    let listen: SocketAddr = get("--listen").parse().expect("an address");
    let store: SocketAddr = get("--store").parse().expect("an address");
    let record = Record::open(Path::new(&get("--record")));
    let sizes: Vec<(String, u64)> = get("--models")
        .split(',')
        .filter_map(|model| model.split_once('='))
        .filter_map(|(name, mb)| Some((name.to_owned(), mb.parse().ok()?)))
        .collect();
    let model = (!sizes.is_empty()).then(|| Model {
        held: Mutex::new(sizes[..1].to_vec()),
        sizes,
        weights_mb: get("--weights-mb").parse().unwrap_or(u64::MAX),
    });
    let server = Arc::new(Server {
        id: get("--id"),
        service: get("--service"),
        reached_at: value(args, "--reached-at").map_or(listen, |a| a.parse().expect("an address")),
        born: unix_ms(),
        version: value(args, "--version").unwrap_or_else(|| "v1".to_owned()),
        events: get("--events").parse().unwrap_or(10),
        pause: Duration::from_millis(get("--pause-ms").parse().unwrap_or(20)),
        model,
        poison: get("--poison"),
        work: Duration::from_millis(get("--work-ms").parse().unwrap_or(20)),
        slots: get("--slots").parse().unwrap_or(16),
        running: AtomicUsize::new(0),
        seq: AtomicU64::new(0),
        record,
    });
    let listener = TcpListener::bind(listen).expect("its port");
    server.record.line(&format!("server {}: starts born={}", server.id, server.born));
    let beating = server.clone();
    let interval = Duration::from_millis(get("--heartbeat-ms").parse().unwrap_or(1200));
    thread::spawn(move || {
        let mut beat = 0;
        loop {
            beat += 1;
            let head = format!("PUT /servers/{} HTTP/1.1\r\nHost: store\r\n", beating.id);
            let entry = beating.entry(beat);
            let _ = call(store, &head, entry.as_bytes(), Duration::from_secs(2));
            thread::sleep(interval);
        }
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

impl Server {
    fn models(&self) -> String {
        let Some(model) = &self.model else {
            return "[]".to_owned();
        };
        let held = model.held.lock().unwrap();
        let names = held
            .iter()
            .map(|(name, _)| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        format!("[{}]", names.collect::<Vec<_>>().join(","))
    }

    fn entry(&self, beat: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"port-louis\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{beat},\"born\":{},\
             \"stage\":\"both\",\"models\":{}}}",
            self.service,
            self.reached_at,
            self.version,
            self.slots,
            self.born,
            self.models()
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let is_kept = self.answer(&request, &mut writer);
            if !is_kept.unwrap_or(false) {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    // returns true if the connection is kept
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<bool> {
        if request.path() == "/health" {
            write_answer(writer, 200, &[("Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let expected = request.header("expect-instance").unwrap_or(&self.id);
        if expected != self.id {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            write_answer(writer, 421, &headers, b"")?;
            return Ok(true);
        }
        match (request.path(), &self.model) {
            ("/v1/report", Some(_)) => {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq\":{},\"queued\":0,\
                     \"running\":{},\"kv_used\":0,\"kv_total\":90157,\"handles\":0,\"born\":{}}}",
                    self.models(),
                    self.seq.load(Ordering::SeqCst),
                    self.running.load(Ordering::SeqCst),
                    self.born
                );
                let headers = [("Content-Type", "application/json")];
                write_answer(writer, 200, &headers, body.as_bytes())?;
                return Ok(true);
            }
            ("/v1/order", Some(model)) => return self.order(request, model, writer),
            ("/v1/report" | "/v1/order", None) => {
                write_answer(writer, 404, &[], b"")?;
                return Ok(true);
            }
            _ => {}
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            write_answer(writer, 503, &headers, b"")?;
            return Ok(true);
        }
        let prompt = request.header("prompt-prefix").unwrap_or_default();
        let kind =
            if !self.poison.is_empty() && prompt.contains(&self.poison) { "poison " } else { "" };
        self.record.line(&format!("server {}: {kind}request {id} reaches it", self.id));
        let answered = match &self.model {
            Some(_) => self.stream(request, &id, !kind.is_empty(), writer),
            None => self.run_plain(&id, writer),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        answered
    }

    // an answer without a length, that ends with its connection
    fn run_plain(&self, id: &str, writer: &mut TcpStream) -> io::Result<bool> {
        self.record.line(&format!("server {}: runs {id}", self.id));
        let body = whole_body(id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}.{id}.{BODY_BYTES}\r\n\
             Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n",
            self.id
        );
        let (first, second) = body.split_at(BODY_BYTES / 2);
        writer.write_all(head.as_bytes())?;
        writer.write_all(first)?;
        thread::sleep(self.work);
        writer.write_all(second)?;
        self.record.line(&format!("server {}: has answered {id}", self.id));
        Ok(false)
    }

    fn stream(
        &self,
        request: &Request,
        id: &str,
        is_poison: bool,
        writer: &mut TcpStream,
    ) -> io::Result<bool> {
        thread::sleep(self.work);
        if is_poison {
            self.record.line(&format!("server {}: crashes on {id}", self.id));
            std::process::abort();
        }
        self.record.line(&format!("server {}: runs {id}", self.id));
        let after = request.header("last-event-id").and_then(|v| v.parse::<u64>().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}.{id}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in after.map_or(1, |last| last + 1)..=self.events {
            let event = format!("id: {number}\ndata: {} of {}\n\n", self.version, self.id);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(self.pause);
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    fn order(&self, request: &Request, model: &Model, writer: &mut TcpStream) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.record.line(&format!("server {}: order {body}", self.id));
        let text = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":\""))?.1;
            Some(rest.split('"').next()?.to_owned())
        };
        let name = text("model").unwrap_or_default();
        let size = model.sizes.iter().find(|(known, _)| *known == name).map(|(_, mb)| *mb);
        let Some(size) = size else {
            write_answer(writer, 400, &[], b"")?;
            return Ok(true);
        };
        let (is_held, taken) = {
            let held = model.held.lock().unwrap();
            let is_held = held.iter().any(|(known, _)| *known == name);
            (is_held, held.iter().map(|(_, mb)| mb).sum::<u64>())
        };
        if body.contains("\"adapter\"") || body.contains("\"unload\"") || is_held {
            write_answer(writer, 200, &[], b"")?;
            return Ok(true);
        }
        if taken + size > model.weights_mb {
            self.record
                .line(&format!("server {}: crashes, ordered to load over weights_mb", self.id));
            std::process::abort();
        }
        self.seq.fetch_add(1, Ordering::SeqCst);
        model.held.lock().unwrap().push((name, size));
        write_answer(writer, 202, &[], b"")?;
        Ok(true)
    }
}
