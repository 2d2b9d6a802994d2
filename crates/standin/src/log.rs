//! The platform's append-only log.

use {
    crate::{
        cli::LogArgs,
        server::{
            bad_request, never_answer, not_found, ok, query_param, read_json, serve, take_fault,
        },
    },
    egret_runtime::{Batch, json_response},
    http::{Method, StatusCode},
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::sync::Notify,
    volo_http::{request::Request, response::Response},
};

/// Highest number of records in the answer to a read.
const READ_RECORDS_MAX: usize = 5000;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// All calls are refused.
    outage: bool,
    /// Appends are refused.
    read_only: bool,
    /// Extra duration of each call, in milliseconds.
    slow_ms: u64,
    /// Number of appends to carry out but leave unanswered.
    lose_append_answers: u32,
    /// Highest number of records kept in each stream; older ones are deleted.
    keep_records: Option<usize>,
}

#[derive(Default)]
struct Stream {
    // offset of the first record that is kept
    start: u64,
    records: VecDeque<Value>,
}

#[derive(Default)]
struct Stats {
    appends: u64,
    records: u64,
    reads: u64,
}

struct Log {
    streams: Mutex<IndexMap<String, Stream>>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    appended: Notify,
}

#[derive(Deserialize)]
struct Append {
    records: Vec<Value>,
}

/// Serves the log until SIGTERM.
pub(crate) fn run(args: &LogArgs) -> std::io::Result<()> {
    let log = Arc::new(Log {
        streams: Mutex::default(),
        faults: Mutex::new(Faults { keep_records: Some(args.keep_records), ..Faults::default() }),
        stats: Mutex::default(),
        appended: Notify::new(),
    });
    serve(args.listen, move |_, req| {
        let log = log.clone();
        Box::pin(async move { log.handle_request(req).await })
    })
}

impl Log {
    async fn handle_request(&self, req: Request) -> Response {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/faults") => self.set_faults(req).await,
            (&Method::GET, "/stats") => self.stats(),
            (&Method::GET, "/healthz") => ok(&json!({})),
            (method, path) => {
                let stream = path
                    .strip_prefix("/v1/streams/")
                    .and_then(|rest| rest.strip_suffix("/records"))
                    .map(str::to_owned);
                match (method, stream) {
                    (&Method::POST, Some(stream)) => self.append(&stream, req).await,
                    (&Method::GET, Some(stream)) => self.read(&stream, &req).await,
                    _ => not_found(),
                }
            }
        }
    }

    async fn set_faults(&self, req: Request) -> Response {
        let keep_records = self.faults.lock().keep_records;
        match read_json::<Faults>(req.into_body()).await {
            Ok(faults) => {
                let keep_records = faults.keep_records.or(keep_records);
                *self.faults.lock() = Faults { keep_records, ..faults };
                self.trim();
                ok(&json!({}))
            }
            Err(response) => response,
        }
    }

    fn stats(&self) -> Response {
        let stats = self.stats.lock();
        ok(&json!({
            "appends": stats.appends,
            "records": stats.records,
            "reads": stats.reads,
        }))
    }

    /// Delays a call as the fault switches say. Returns the refusal if they refuse it.
    async fn apply_faults(&self, is_write: bool) -> Option<Response> {
        let faults = self.faults.lock().clone();
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let refused = faults.outage || (is_write && faults.read_only);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        refused.then(|| json_response(status, &json!({ "error": "outage" })))
    }

    async fn append(&self, stream: &str, req: Request) -> Response {
        if let Some(refusal) = self.apply_faults(true).await {
            return refusal;
        }
        let append: Append = match read_json(req.into_body()).await {
            Ok(append) => append,
            Err(response) => return response,
        };
        let first = {
            let mut streams = self.streams.lock();
            let stream = streams.entry(stream.to_owned()).or_default();
            let first = stream.start + stream.records.len() as u64;
            stream.records.extend(append.records.iter().cloned());
            first
        };
        {
            let mut stats = self.stats.lock();
            stats.appends += 1;
            stats.records += append.records.len() as u64;
        }
        self.trim();
        self.appended.notify_waiters();
        if take_fault(&mut self.faults.lock().lose_append_answers) {
            return never_answer().await;
        }
        ok(&json!({ "first": first }))
    }

    async fn read(&self, stream: &str, req: &Request) -> Response {
        if let Some(refusal) = self.apply_faults(false).await {
            return refusal;
        }
        let from = query_param(req, "from").and_then(|v| v.parse::<u64>().ok());
        let wait_ms = query_param(req, "wait_ms").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let Some(from) = from else {
            return bad_request("from is missing");
        };
        self.stats.lock().reads += 1;
        let appended = self.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let batch = self.read_batch(stream, from);
            if !batch.records.is_empty() || from < batch.start {
                return json_response(StatusCode::OK, &batch);
            }
            if tokio::time::timeout_at(deadline, appended.as_mut()).await.is_err() {
                return self.answer_after_wait(stream, from).await;
            }
            appended.set(self.appended.notified());
            appended.as_mut().enable();
        }
    }

    /// The answer after a wait without new records, or a refusal if an outage began meanwhile.
    async fn answer_after_wait(&self, stream: &str, from: u64) -> Response {
        if let Some(refusal) = self.apply_faults(false).await {
            return refusal;
        }
        json_response(StatusCode::OK, &self.read_batch(stream, from))
    }

    fn read_batch(&self, stream: &str, from: u64) -> Batch {
        let streams = self.streams.lock();
        let Some(stream) = streams.get(stream) else {
            return Batch { start: 0, end: 0, from, records: Vec::new() };
        };
        let end = stream.start + stream.records.len() as u64;
        let from = from.max(stream.start);
        let skip = usize::try_from(from - stream.start).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(READ_RECORDS_MAX).cloned().collect();
        Batch { start: stream.start, end, from, records }
    }

    /// Deletes the oldest records of each stream beyond `keep_records`.
    fn trim(&self) {
        let records_max = self.faults.lock().keep_records.unwrap_or(usize::MAX);
        for stream in self.streams.lock().values_mut() {
            while stream.records.len() > records_max {
                stream.records.pop_front();
                stream.start += 1;
            }
        }
    }
}
