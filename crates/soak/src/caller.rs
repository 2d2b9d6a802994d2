//! Callers: they retry and resume as the platform's page says, and record each attempt.

use {
    crate::{
        checks::{Attempt, End, Route},
        fleet::Fleet,
        schedule::Service,
    },
    egret_standin::platform::{BASE_MODEL, ROUTE_HOST},
    parking_lot::Mutex,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        fmt::Write,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Time limit of a call with all its attempts.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest deadline that a request names, in milliseconds.
const DEADLINE_MAX_MS: u64 = 8000;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after which a stream is abandoned.
const GAP_MAX: Duration = Duration::from_secs(2);

/// Longest time for which an unused connection is kept.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// Attempts of one call.
const ATTEMPTS_MAX: u64 = 8;

/// Wait before a retry for which the host names no time, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 50..300;

/// Pause of a caller between two calls, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 0..400;

/// Events of a stream.
const EVENTS: std::ops::Range<u64> = 5..100;

/// Events of every twentieth stream, which outlasts the planned stop of its host.
const MANY_EVENTS: std::ops::Range<u64> = 150..280;

/// Pause before a stream is taken up again, of every fifth one, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 1000..6000;

/// Adapters that streams draw from; targets hold the first four from the start.
const ADAPTERS: u64 = 6;

/// First random stream of the callers of bursts.
const BURST_STREAMS: u64 = 1000;

/// Headers of an answer at most.
const HEADERS_MAX: usize = 64;

/// What all callers share.
pub(crate) struct Callers {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) seed: u64,
    pub(crate) until: Instant,
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    pub(crate) calls: AtomicU64,
}

struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    host: usize,
    used_at: Instant,
}

struct Answer {
    status: Option<u16>,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    end: End,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A call: one request with all its attempts.
struct Call {
    number: u64,
    route: Route,
    total: u64,
    adapter: u64,
    deadline: Instant,
    last_event: u64,
    // request id of the attempt that brought the first event
    begun_by: Option<String>,
}

/// Makes one call after the other.
pub(crate) async fn run_caller(callers: Arc<Callers>, number: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed);
    rng.set_stream(number);
    let mut kept = None;
    while Instant::now() < callers.until {
        let route = match rng.random_range(0..20) {
            0..=10 => Route::Stream,
            11..=13 => Route::Frail,
            14..=16 => Route::Once,
            _ => Route::Safe,
        };
        let mut call = Call::draw(&callers, route, &mut rng);
        call.run(&callers, &mut kept, &mut rng).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(THINK_MS))).await;
    }
}

/// Makes one call to a service after the other, without a pause, until `until`.
pub(crate) async fn run_burst_caller(
    callers: Arc<Callers>,
    number: u64,
    service: Service,
    until: Instant,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(callers.seed);
    rng.set_stream(BURST_STREAMS + number);
    let mut kept = None;
    while Instant::now() < until.min(callers.until) {
        let may_repeat = rng.random_bool(0.5);
        let route = match (service, may_repeat) {
            (Service::Engines, true) => Route::Stream,
            (Service::Engines, false) => Route::Frail,
            (Service::Plain, true) => Route::Safe,
            (Service::Plain, false) => Route::Once,
        };
        Call::draw(&callers, route, &mut rng).run(&callers, &mut kept, &mut rng).await;
    }
}

impl Call {
    fn draw(callers: &Callers, route: Route, rng: &mut ChaCha8Rng) -> Self {
        Self {
            number: callers.calls.fetch_add(1, Ordering::Relaxed),
            route,
            total: match rng.random_bool(0.05) {
                _ if !route.is_stream() => 0,
                true => rng.random_range(MANY_EVENTS),
                false => rng.random_range(EVENTS),
            },
            adapter: rng.random_range(0..ADAPTERS),
            deadline: Instant::now() + CALL_TIMEOUT,
            last_event: 0,
            begun_by: None,
        }
    }

    async fn run(&mut self, callers: &Callers, kept: &mut Option<Conn>, rng: &mut ChaCha8Rng) {
        let mut conn = kept.take().filter(|conn| conn.used_at.elapsed() < IDLE_MAX);
        for number in 0..ATTEMPTS_MAX {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let (host, address) = callers.fleet.choose_host(rng);
            let host = conn.as_ref().map_or(host, |conn| conn.host);
            let id = format!("s{}-{}-{number}", callers.seed, self.number);
            let sent_ms = callers.fleet.now_ms();
            if conn.is_none() {
                conn = Conn::open(host, address).await;
            }
            let (answer, reusable) = match conn.take() {
                Some(conn) => conn.exchange(&self.request(&id, left), self).await,
                None => (Answer::without_head(End::Reset), None),
            };
            let attempt = Attempt {
                call: self.number,
                route: self.route,
                id: id.clone(),
                host,
                resumes_after: self.last_event,
                total: self.total,
                deadline_ms: deadline_ms(left),
                sent_ms,
                ended_ms: callers.fleet.now_ms(),
                status: answer.status,
                is_sealed: answer.header("server-seal").is_some(),
                answered_id: answer.header("request-id").map(ToOwned::to_owned),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
                end: answer.end,
            };
            let events = attempt.events().0.len() as u64;
            callers.attempts.lock().push(attempt);
            *kept = reusable;
            let wait = match answer.status {
                Some(200..300) if answer.end == End::Whole => return,
                Some(200..300) if self.route == Route::Stream => {
                    self.last_event += events;
                    if events > 0 {
                        self.begun_by.get_or_insert(id);
                    }
                    if self.last_event >= self.total {
                        return;
                    }
                    if rng.random_bool(0.2) {
                        let pause = Duration::from_millis(rng.random_range(LATE_MS));
                        tokio::time::sleep(pause).await;
                    }
                    None
                }
                Some(400 | 401 | 404 | 413 | 431) => return,
                Some(408 | 421 | 429 | 503) => answer.header("retry-after"),
                _ if self.route.is_repeatable() => None,
                _ => return,
            };
            let wait = wait.and_then(|text| text.parse().ok()).map(Duration::from_secs_f64);
            let wait = wait.unwrap_or(Duration::from_millis(rng.random_range(RETRY_MS)));
            tokio::time::sleep(wait.min(left / 3)).await;
        }
    }

    fn request(&self, id: &str, left: Duration) -> String {
        let deadline_ms = deadline_ms(left);
        let mut text = format!(
            "POST /{}/x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n",
            self.route.name()
        );
        if self.route.is_stream() {
            let _ = write!(
                text,
                "Model: {BASE_MODEL}/a{}\r\nToken-Count: 10,{}\r\nPrompt-Prefix: {}:4,{:x}:6\r\n",
                self.adapter,
                self.total,
                self.adapter + 1,
                self.number + 256
            );
        }
        if let Some(begun_by) = &self.begun_by {
            let _ = write!(text, "Last-Event-Id: {}\r\nResumes: {begun_by}\r\n", self.last_event);
        }
        text + "\r\nbody"
    }
}

impl Answer {
    fn without_head(end: End) -> Self {
        Self { status: None, headers: Vec::new(), body: Vec::new(), end }
    }
}

impl Conn {
    async fn open(host: usize, address: SocketAddr) -> Option<Self> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Self { stream, buf: Vec::new(), host, used_at: Instant::now() })
    }

    // returns the connection if it can carry another request
    async fn exchange(mut self, request: &str, call: &Call) -> (Answer, Option<Self>) {
        // an answer may come before the request is sent, and also if it can't be sent
        let _ = self.stream.write_all(request.as_bytes()).await;
        let mut answer = loop {
            match parse_head(&self.buf) {
                Ok(Some((answer, length))) => {
                    self.buf.drain(..length);
                    if !matches!(answer.status, Some(100..200)) {
                        break answer;
                    }
                }
                Ok(None) => {
                    if let Err(end) = self.read_more(call).await {
                        let mut answer = Answer::without_head(end);
                        answer.body = self.buf;
                        return (answer, None);
                    }
                }
                Err(_) => {
                    let mut answer = Answer::without_head(End::Garbled);
                    answer.body = self.buf;
                    return (answer, None);
                }
            }
        };
        let is_chunked = answer.header("transfer-encoding").is_some();
        let length = answer.header("content-length").and_then(|text| text.parse().ok());
        let closes = answer.header("connection").is_some_and(|text| text.contains("close"));
        loop {
            let read = match (is_chunked, length) {
                (true, _) => decode_chunks(&self.buf),
                (false, Some(length)) if self.buf.len() >= length => {
                    Ok((self.buf[..length].to_vec(), Some(length)))
                }
                (false, _) => Ok((self.buf.clone(), None)),
            };
            let Ok((body, end)) = read else {
                answer.end = End::Garbled;
                return (answer, None);
            };
            answer.body = body;
            if let Some(end) = end {
                answer.end = End::Whole;
                self.buf.drain(..end);
                self.used_at = Instant::now();
                return (answer, (!closes).then_some(self));
            }
            if let Err(end) = self.read_more(call).await {
                // without a length and chunks, the end of the connection is that of the answer
                let is_whole = end == End::Closed && !is_chunked && length.is_none();
                answer.end = if is_whole { End::Whole } else { end };
                return (answer, None);
            }
        }
    }

    async fn read_more(&mut self, call: &Call) -> Result<(), End> {
        let left = call.deadline.saturating_duration_since(Instant::now());
        let timeout = if call.route.is_stream() { left.min(GAP_MAX) } else { left };
        match tokio::time::timeout(timeout, self.stream.read_buf(&mut self.buf)).await {
            Err(_) => Err(End::GivenUp),
            Ok(Err(_)) => Err(End::Reset),
            Ok(Ok(0)) => Err(End::Closed),
            Ok(Ok(_)) => Ok(()),
        }
    }
}

fn deadline_ms(left: Duration) -> u64 {
    u64::try_from(left.as_millis()).unwrap_or(0).min(DEADLINE_MAX_MS)
}

fn parse_head(buf: &[u8]) -> io::Result<Option<(Answer, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = head.parse(buf).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = head.headers.iter().map(|h| (h.name.to_owned(), text(h.value))).collect();
    let answer = Answer { status: head.code, headers, body: Vec::new(), end: End::Closed };
    Ok(Some((answer, length)))
}

// the body so far, and the length of the whole encoded body once its last chunk has come
fn decode_chunks(buf: &[u8]) -> io::Result<(Vec<u8>, Option<usize>)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let parsed =
            httparse::parse_chunk_size(&buf[at..]).map_err(|_| io::ErrorKind::InvalidData)?;
        let httparse::Status::Complete((line, size)) = parsed else {
            return Ok((body, None));
        };
        let start = at + line;
        let size = usize::try_from(size).map_err(io::Error::other)?;
        let Some(chunk) = buf.get(start..start + size + 2) else {
            body.extend_from_slice(&buf[start..buf.len().min(start + size)]);
            return Ok((body, None));
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(io::ErrorKind::InvalidData.into());
        }
        at = start + size + 2;
        if size == 0 {
            return Ok((body, Some(at)));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
