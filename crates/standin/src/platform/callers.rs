//! Callers: open-loop load on the hosts of a deployment, with a check of each answer.

use {
    super::simulated::{BASE_MODEL, EVENTS_PER_STREAM, ROUTE_HOST, TARGET_LATENCY_MS},
    bytes::Bytes,
    egret_load::Popularity,
    egret_runtime::{Conn, HttpError, Reply, now},
    http::{HeaderValue, Method, Request, header},
    http_body_util::Full,
    indexmap::IndexMap,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        fmt::Write,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// How long a caller waits for its answer; also the deadline that its request names.
const ANSWER_TIMEOUT_MS: u64 = 6000;

/// Highest number of open requests; the next request waits for one of them to end.
const OPEN_REQUESTS_MAX: usize = 1000;

/// The load that callers send.
#[derive(Clone, Debug)]
pub struct CallersConf {
    /// Hosts to send to, in turn, like a round-robin load balancer.
    pub hosts: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// Seconds of load.
    pub seconds: u64,
    /// Number of adapters that streams draw from.
    pub adapters: usize,
    /// Zipf exponent of the adapters' popularity.
    pub exponent: f64,
    /// Share of requests that go to the plain service.
    pub plain_share: f64,
    /// Key of the account that the callers belong to, if they have one.
    pub key: Option<String>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Outcomes of the requests of one route.
#[derive(Clone, Debug, Default)]
pub struct RouteCounts {
    /// Requests sent.
    pub sent: u64,
    /// Complete, correct answers within the target latency; whole streams within twice that.
    pub on_time: u64,
    /// Complete, correct answers that took longer.
    pub late: u64,
    /// Refusals (503): the request was not run.
    pub refused: u64,
    /// Refusals of the callers' key (401).
    pub key_refused: u64,
    /// Refusals without a `retry-after` header.
    pub without_retry_after: u64,
    /// Answers of any other status: the outcome is unknown.
    pub unknown: u64,
    /// Requests without a complete answer.
    pub broken: u64,
    /// Complete answers with the wrong request id or body.
    pub wrong: u64,
    // time until the end of each complete, correct answer
    latencies_ms: Vec<u64>,
}

/// Outcomes of all requests, by route.
#[derive(Clone, Debug, Default)]
pub struct CallersReport {
    /// Counts by route.
    pub routes: IndexMap<&'static str, RouteCounts>,
}

impl RouteCounts {
    /// Latency quantile of complete, correct answers; `quantile_milli` is in thousandths.
    #[must_use]
    pub fn latency_quantile_ms(&self, quantile_milli: usize) -> u64 {
        let mut latencies_ms = self.latencies_ms.clone();
        latencies_ms.sort_unstable();
        let index = latencies_ms.len() * quantile_milli / 1000;
        latencies_ms.get(index.min(latencies_ms.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}

impl CallersReport {
    /// The report as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "{:<8}{:>7}{:>8}{:>7}{:>9}{:>6}{:>9}{:>8}{:>7}{:>9}{:>9}\n",
            "route",
            "sent",
            "on time",
            "late",
            "refused",
            "key",
            "unknown",
            "broken",
            "wrong",
            "p50 ms",
            "p99 ms"
        );
        for (route, counts) in &self.routes {
            let _ = writeln!(
                text,
                "{route:<8}{:>7}{:>8}{:>7}{:>9}{:>6}{:>9}{:>8}{:>7}{:>9}{:>9}",
                counts.sent,
                counts.on_time,
                counts.late,
                counts.refused,
                counts.key_refused,
                counts.unknown,
                counts.broken,
                counts.wrong,
                counts.latency_quantile_ms(500),
                counts.latency_quantile_ms(990)
            );
        }
        text
    }

    /// Wrong answers over all routes.
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        self.routes.values().map(|counts| counts.wrong).sum()
    }
}

struct CallerRequest {
    route: &'static str,
    id: String,
    adapter: Option<usize>,
}

/// Sends the load and waits for all answers.
pub async fn call_hosts(conf: CallersConf) -> CallersReport {
    let report = Arc::new(Mutex::new(CallersReport::default()));
    let mut rng = ChaCha8Rng::seed_from_u64(conf.seed);
    let popularity = Popularity::new(conf.adapters, conf.exponent, &mut rng);
    let mut open = JoinSet::new();
    let start = Instant::now();
    let mut due_s = 0.0;
    for number in 0.. {
        // exponential inter-arrival times make a Poisson process
        due_s += -(1.0 - rng.random::<f64>()).ln() / conf.rate;
        if due_s >= Duration::from_secs(conf.seconds).as_secs_f64() {
            break;
        }
        let adapter =
            (rng.random::<f64>() >= conf.plain_share).then(|| popularity.draw_adapter(&mut rng));
        let route = match adapter {
            Some(_) => "stream",
            None if rng.random::<bool>() => "safe",
            None => "once",
        };
        let call = CallerRequest { route, id: format!("{}-{number}", conf.seed), adapter };
        let host = conf.hosts[number % conf.hosts.len()];
        tokio::time::sleep_until((start + Duration::from_secs_f64(due_s)).into()).await;
        while open.len() >= OPEN_REQUESTS_MAX {
            open.join_next().await;
        }
        let report = report.clone();
        let key = conf.key.clone();
        open.spawn(async move {
            let sent = Instant::now();
            let result = send_request(host, &call, key.as_deref()).await;
            let took_ms = u64::try_from(sent.elapsed().as_millis()).unwrap_or(u64::MAX);
            report.lock().routes.entry(call.route).or_default().record(&call, &result, took_ms);
        });
    }
    while open.join_next().await.is_some() {}
    std::mem::take(&mut *report.lock())
}

async fn send_request(
    host: SocketAddr,
    call: &CallerRequest,
    key: Option<&str>,
) -> Result<Reply, HttpError> {
    let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
    let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = format!("/{}/x", call.route).parse().expect("routes are plain words");
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static(ROUTE_HOST));
    headers.insert("deadline-ms", HeaderValue::from(ANSWER_TIMEOUT_MS));
    let text = |text: &str| HeaderValue::from_str(text).expect("ids are plain words");
    headers.insert("request-id", text(&call.id));
    if let Some(key) = key {
        headers.insert(header::AUTHORIZATION, text(&format!("Bearer {key}")));
    }
    if let Some(adapter) = call.adapter {
        headers.insert("model", text(&format!("{BASE_MODEL}/a{adapter}")));
        headers.insert("token-count", HeaderValue::from_static("600,36"));
        headers.insert("prompt-prefix", HeaderValue::from_static("1:100"));
    }
    Conn::open(host, deadline).await?.call(request, deadline).await
}

impl RouteCounts {
    fn record(&mut self, call: &CallerRequest, result: &Result<Reply, HttpError>, took_ms: u64) {
        self.sent += 1;
        let Ok(reply) = result else {
            self.broken += 1;
            return;
        };
        self.without_retry_after +=
            u64::from(reply.status.as_u16() == 503 && reply.header("retry-after").is_none());
        match reply.status.as_u16() {
            200 if !is_correct(call, reply) => self.wrong += 1,
            200 => {
                self.latencies_ms.push(took_ms);
                // the target latency covers only the first event of a stream; the others follow at
                // the engine's pace and may take as long again
                let limit_ms =
                    TARGET_LATENCY_MS + if call.adapter.is_some() { TARGET_LATENCY_MS } else { 0 };
                if took_ms <= limit_ms {
                    self.on_time += 1;
                } else {
                    self.late += 1;
                }
            }
            503 => self.refused += 1,
            401 => self.key_refused += 1,
            _ => self.unknown += 1,
        }
    }
}

fn is_correct(call: &CallerRequest, reply: &Reply) -> bool {
    let expected = match call.adapter {
        Some(_) => {
            let events =
                (1..=EVENTS_PER_STREAM).map(|id| format!("id: {id}\ndata: token-{id}\n\n"));
            events.collect::<Vec<String>>().concat()
        }
        None => format!("answer to {}", call.id),
    };
    reply.header("request-id") == Some(&call.id) && reply.body == expected.as_bytes()
}
