//! A server as a process of its own. One part of a prompt, or one body, ends a model server as soon as it
//! begins to write an answer on it; one path ends a plain server as soon as it begins to run the request.

use crate::{
    http::{self, Reply, Request, serve, whole},
    world::{has_trouble, unix_ms},
};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub const SERVICE: &str = "llm";
pub const MODEL: &str = "base0";
/// The part that ends a server.
pub const BAD_PART: &str = "deadbeef";
/// The body that ends a server.
pub const BAD_BODY: &str = "the same words again";
/// The plain service whose servers one path ends.
pub const CRASHING_SERVICE: &str = "first";
/// The path that ends them.
pub const BAD_PATH: &str = "/v/status";
const HEARTBEAT: Duration = Duration::from_millis(1000);
const EVENTS: u64 = 5;

/// The entry of a server in the registry.
pub fn entry(service: &str, address: &str, zone: &str, born: u64) -> String {
    let models = if service == SERVICE {
        format!(",\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]")
    } else {
        String::new()
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":32,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born}{models},\"seq\":0}}"
    )
}

/// Arguments of the program: server ID ADDRESS ZONE STORE SERVICE
pub fn run(arguments: &[String]) -> ! {
    let [id, address, zone, store, service] = arguments else {
        std::process::exit(2);
    };
    let store: SocketAddr = store.parse().expect("the address of the store");
    let listener = TcpListener::bind(address).unwrap_or_else(|_| std::process::exit(3));
    let born = unix_ms();
    let entry = entry(service, address, zone, born);
    let (own_id, own_service) = (id.clone(), service.clone());
    serve(
        listener,
        Arc::new(move |request: &Request, stream: &mut TcpStream| {
            if own_service != SERVICE {
                return handle_plain(&own_id, &own_service, store, request);
            }
            handle(&own_id, born, store, request, stream)
        }),
    );
    loop {
        let path = format!("/own/write?topic=keyed.servers&key={id}");
        let limit = Duration::from_secs(2);
        if http::call(store, "POST", &path, &[], entry.as_bytes(), limit).is_err() {
            // the script has ended
            std::process::exit(0);
        }
        thread::sleep(HEARTBEAT);
    }
}

fn handle_plain(id: &str, service: &str, store: SocketAddr, request: &Request) -> Reply {
    let request_id = request.header("request-id");
    let mut headers = vec![("Request-Id".to_owned(), request_id.to_owned())];
    let expected = request.header("expect-instance");
    if !expected.is_empty() && expected != id {
        headers.push(("Not-Executed".to_owned(), "1".to_owned()));
        return Reply::Whole { status: 421, headers, body: Vec::new() };
    }
    if request.path == "/health" {
        headers.push(("Instance-Id".to_owned(), id.to_owned()));
        return Reply::Whole { status: 200, headers, body: Vec::new() };
    }
    let is_bad = has_trouble() && service == CRASHING_SERVICE && request.path == BAD_PATH;
    let kind = if is_bad { "crash" } else { "run" };
    let note = format!("{kind} server={id} request={request_id}");
    let _ = http::call(store, "POST", "/own/note", &[], note.as_bytes(), Duration::from_secs(1));
    if is_bad {
        std::process::abort();
    }
    headers.push(("Server-Seal".to_owned(), format!("seal.{request_id}")));
    Reply::Whole { status: 200, headers, body: b"done".to_vec() }
}

fn handle(
    id: &str,
    born: u64,
    store: SocketAddr,
    request: &Request,
    stream: &mut TcpStream,
) -> Reply {
    let request_id = request.header("request-id");
    let expected = request.header("expect-instance");
    if !expected.is_empty() && expected != id {
        let headers = vec![
            ("Request-Id".to_owned(), request_id.to_owned()),
            ("Not-Executed".to_owned(), "1".to_owned()),
        ];
        return Reply::Whole { status: 421, headers, body: Vec::new() };
    }
    match request.path.as_str() {
        "/v1/report" => whole(
            200,
            format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\
                 \"kv_total\":100000,\"handles\":0,\"pending\":[],\"born\":{born},\"state\":\"ready\"}}"
            ),
        ),
        "/v1/order" => whole(200, "{}"),
        "/health" => whole(200, ""),
        _ => {
            let is_bad = request
                .header("prompt-prefix")
                .split(',')
                .any(|part| part.split(':').next() == Some(BAD_PART))
                || request.body == BAD_BODY.as_bytes();
            let kind = if is_bad { "crash" } else { "run" };
            let note = format!("{kind} server={id} request={request_id}");
            let _ = http::call(store, "POST", "/own/note", &[], note.as_bytes(), Duration::from_secs(1));
            let written = write_stream(stream, request, is_bad);
            Reply::Written(written.is_ok())
        }
    }
}

fn write_stream(stream: &mut TcpStream, request: &Request, is_bad: bool) -> std::io::Result<()> {
    let id = request.header("request-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    if is_bad {
        std::process::abort();
    }
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: part {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(20));
    }
    stream.write_all(b"0\r\n\r\n")
}

/// A place at which a server runs, and starts again under another id some time after it has ended.
pub struct Place {
    service: &'static str,
    number: usize,
    pub address: SocketAddr,
    starts: u32,
    pub id: String,
    child: Option<Child>,
    ended_at: Instant,
    is_entry_gone: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What happened at a place.
pub enum Change {
    None,
    Ended(String),
    Started(String),
    /// The entry of the server that has ended is to be removed.
    Lapsed(String),
}

impl Place {
    pub fn new(number: usize, address: SocketAddr) -> Self {
        Self::of_service(SERVICE, number, address)
    }

    pub fn of_service(service: &'static str, number: usize, address: SocketAddr) -> Self {
        let (id, ended_at) = (String::new(), Instant::now() - Duration::from_secs(60));
        Self { service, number, address, starts: 0, id, child: None, ended_at, is_entry_gone: true }
    }

    /// Looks after the server. A server that has ended is back after `down`.
    pub fn observe(&mut self, zone: &str, store: SocketAddr, down: Duration) -> Change {
        if let Some(child) = &mut self.child {
            if !matches!(child.try_wait(), Ok(Some(_))) {
                return Change::None;
            }
            self.child = None;
            self.ended_at = Instant::now();
            self.is_entry_gone = false;
            return Change::Ended(self.id.clone());
        }
        if self.ended_at.elapsed() >= down {
            let before = std::mem::take(&mut self.id);
            if !self.is_entry_gone {
                // three heartbeats of silence are over, or will be before the next start is known
                self.id = before;
                if self.ended_at.elapsed() < 3 * HEARTBEAT {
                    return Change::None;
                }
                self.is_entry_gone = true;
                return Change::Lapsed(self.id.clone());
            }
            self.starts += 1;
            self.id = format!("i-{}-{}", self.number, self.starts);
            let program = std::env::current_exe().expect("the path of this program");
            let child = Command::new(program)
                .args(["server", &self.id, &self.address.to_string(), zone, &store.to_string()])
                .arg(self.service)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn();
            self.child = child.ok();
            return Change::Started(self.id.clone());
        }
        Change::None
    }
}
