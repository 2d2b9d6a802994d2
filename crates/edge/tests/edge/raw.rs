//! Targets and callers that write and read exact bytes.

use {
    crate::support::Deployment,
    egret_standin::platform::{BASE_MODEL, ROUTE_HOST},
    parking_lot::Mutex,
    serde_json::json,
    std::{
        fmt::Write,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time::timeout,
    },
};

/// How a scripted target goes on after the bytes of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// Reads the next request of the connection.
    Keep,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Goes on with these bytes, again and again after the pause, until the host closes the connection.
    Repeat(&'static [u8], Duration),
}

/// The exact bytes of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) bytes: Vec<u8>,
    pub(crate) end: End,
}

/// Gets the head of a request, and how often it came before to the targets that share the script.
type Answerer = dyn Fn(&str, usize) -> Script + Send + Sync;

/// Answers requests of callers with exact bytes, and those of hosts for its load report.
#[derive(Clone)]
pub(crate) struct Scripts {
    answerer: Arc<Mutex<Arc<Answerer>>>,
    // heads of the requests so far
    received: Arc<Mutex<Vec<String>>>,
}

impl Scripts {
    /// Closes each connection without an answer.
    pub(crate) fn new() -> Self {
        let close = |_: &str, _: usize| Script { bytes: Vec::new(), end: End::Close };
        Self { answerer: Arc::new(Mutex::new(Arc::new(close))), received: Arc::default() }
    }

    /// Sets the answers and forgets the requests so far.
    pub(crate) fn set(&self, answerer: impl Fn(&str, usize) -> Script + Send + Sync + 'static) {
        *self.answerer.lock() = Arc::new(answerer);
        self.received.lock().clear();
    }

    /// Heads of the requests since the answers were set.
    pub(crate) fn received(&self) -> Vec<String> {
        self.received.lock().clone()
    }

    fn answer(&self, head: &str) -> Script {
        let answerer = self.answerer.lock().clone();
        let mut received = self.received.lock();
        let id = header(head, "request-id");
        let times = received.iter().filter(|earlier| header(earlier, "request-id") == id).count();
        received.push(head.to_owned());
        drop(received);
        answerer(head, times)
    }
}

/// A target that writes what its scripts say.
pub(crate) struct ScriptedTarget {
    server: JoinHandle<()>,
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl ScriptedTarget {
    /// Starts a target and registers it; an engine holds the adapter `a1`.
    pub(crate) async fn start(
        d: &Deployment,
        id: &str,
        is_engine: bool,
        scripts: &Scripts,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let model = json!({ "name": BASE_MODEL, "version": 1, "adapters": ["a1@1"] });
        let models = if is_engine { json!([model]) } else { json!([]) };
        let entry = json!({
            "service": if is_engine { "engines" } else { "plain" },
            "address": listener.local_addr().unwrap().to_string(), "zone": "dc-1", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": "both", "seq": 0, "born": 1,
            "models": models,
        });
        let report = json!({
            "stage": "both", "models": models, "busy": false, "seq": 0, "queued": 0, "running": 0,
            "kv_used": 0, "kv_total": 1000, "handles": 0, "pending": [],
        });
        let report = report.to_string();
        let scripts = scripts.clone();
        let server = tokio::spawn(async move {
            let mut conns = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                conns.spawn(serve(stream, scripts.clone(), report.clone()));
            }
        });
        d.store.write("keyed.servers", id, Some(&entry.to_string()));
        Self { server }
    }
}

async fn serve(mut stream: TcpStream, scripts: Scripts, report: String) {
    let mut buf = Vec::new();
    while let Ok(Some(head)) = read_request(&mut stream, &mut buf).await {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let script = match path {
            "/v1/report" => json_script(&report),
            "/v1/order" => json_script("{}"),
            _ => scripts.answer(&head),
        };
        if stream.write_all(&script.bytes).await.is_err() {
            return;
        }
        match script.end {
            End::Keep => {}
            End::Close => {
                let _ = stream.shutdown().await;
                return;
            }
            End::Reset => {
                // what was written arrives before the reset does
                tokio::time::sleep(Duration::from_millis(5)).await;
                let _ = stream.set_zero_linger();
                return;
            }
            End::Repeat(bytes, pause) => {
                while stream.write_all(bytes).await.is_ok() {
                    if !pause.is_zero() {
                        tokio::time::sleep(pause).await;
                    }
                }
                return;
            }
        }
    }
}

fn json_script(body: &str) -> Script {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    Script { bytes: [head.as_bytes(), body.as_bytes()].concat(), end: End::Keep }
}

// returns the head of a request once its body has come, too
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = find(buf, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if buf.len() >= end + 4 + length {
                buf.drain(..end + 4 + length);
                return Ok(Some(head));
            }
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// The value of a header in the text of a head.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

/// An answer as its caller got it.
#[derive(Clone, Debug)]
pub(crate) struct RawAnswer {
    /// Empty if not even the head is complete.
    pub(crate) head: String,
    /// The body, without its chunks.
    pub(crate) body: Vec<u8>,
    /// True if its framing says that it is complete.
    pub(crate) is_whole: bool,
}

impl RawAnswer {
    /// 0 if there is no answer.
    pub(crate) fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    // what the bytes received so far mean; the end of the connection ends an answer without framing
    fn parse(bytes: &[u8], is_at_end: bool) -> Self {
        let Some(end) = find(bytes, b"\r\n\r\n") else {
            return Self { head: String::new(), body: Vec::new(), is_whole: false };
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let rest = &bytes[end + 4..];
        let (body, is_whole) = if header(&head, "transfer-encoding").is_some() {
            decode_chunks(rest)
        } else if let Some(length) = header(&head, "content-length") {
            let length: usize = length.parse().expect("a length is a number");
            (rest[..length.min(rest.len())].to_vec(), rest.len() >= length)
        } else {
            (rest.to_vec(), is_at_end)
        };
        Self { head, body, is_whole }
    }
}

fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = find(rest, b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).expect("a chunk has a size");
        let size = usize::from_str_radix(size, 16).expect("a chunk has a size");
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, rest == b"\r\n");
        }
        body.extend_from_slice(&rest[..size.min(rest.len())]);
        if rest.len() < size + 2 {
            break;
        }
        rest = &rest[size + 2..];
    }
    (body, false)
}

/// A caller's connection.
pub(crate) struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Returns false if the connection is broken.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Reads until the answer is complete or the connection ends.
    pub(crate) async fn read_answer(&mut self, wait: Duration) -> RawAnswer {
        let mut bytes = Vec::new();
        let read = async {
            loop {
                let answer = RawAnswer::parse(&bytes, false);
                if answer.is_whole {
                    return answer;
                }
                if !matches!(self.stream.read_buf(&mut bytes).await, Ok(1..)) {
                    return RawAnswer::parse(&bytes, true);
                }
            }
        };
        timeout(wait, read).await.expect("the answer or the connection ends in time")
    }
}

/// The bytes of a request with a body of four bytes, and its id.
pub(crate) fn raw_request(path: &str, headers: &[(&str, &str)]) -> (Vec<u8>, String) {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let id = format!("raw-{:06x}", IDS.fetch_add(1, Ordering::Relaxed));
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: {id}\r\n");
    for (name, value) in headers {
        write!(text, "{name}: {value}\r\n").unwrap();
    }
    text.push_str("Content-Length: 4\r\n\r\nbody");
    (text.into_bytes(), id)
}

/// Headers of a request for a stream of the adapter `a1`.
pub(crate) fn stream_headers() -> [(&'static str, &'static str); 3] {
    [("Model", "base/a1"), ("Token-Count", "10,6"), ("Prompt-Prefix", "1:10")]
}

/// Sends a request on a new connection.
pub(crate) async fn call_raw(address: SocketAddr, request: &[u8], wait: Duration) -> RawAnswer {
    let mut caller = RawCaller::connect(address).await.unwrap();
    assert!(caller.send(request).await);
    caller.read_answer(wait).await
}
