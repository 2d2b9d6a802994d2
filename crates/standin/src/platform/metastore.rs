//! The platform's metadata store: a log with keyed topics.

use {
    super::raw_http::{RawConn, RawRequest},
    base64::{Engine, prelude::BASE64_STANDARD},
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// Faults of calls to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls are refused with this status and have no effect.
    Refuse(u16),
    /// Calls get no answer and have no effect.
    Silent,
    /// Appends are carried out but not answered.
    LoseAnswers,
    /// Appends are carried out after this many milliseconds, if their offset still fits, but not
    /// answered.
    AppendsLate(u64),
    /// Calls are carried out after this many milliseconds.
    Slow(u64),
    /// Connections are reset.
    Reset,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    first_offset: u64,
    records: Vec<Vec<u8>>,
    // value and offset of the newest record of each key
    newest: IndexMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, content: Vec<u8>) -> u64 {
        let offset = self.end_offset();
        if let Some((key, value)) = split_record(&content) {
            if value.is_empty() {
                self.newest.swap_remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push(content);
        offset
    }
}

#[derive(Debug, Default)]
struct State {
    topics: IndexMap<String, Topic>,
    // rises by one each time the store comes back from a copy
    era: u64,
    fault: StoreFault,
    calls: u64,
}

/// A copy of the contents of a store.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: IndexMap<String, Topic>,
}

/// A metadata store that serves HTTP.
#[derive(Debug)]
pub struct Metastore {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    server: JoinHandle<()>,
}

impl Drop for Metastore {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Metastore {
    /// Starts a store at `address`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let changed = watch::channel(0).0;
        let (server_state, server_changed) = (state.clone(), changed.clone());
        let server = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(
                    RawConn::new(stream),
                    server_state.clone(),
                    server_changed.clone(),
                ));
            }
        });
        Ok(Self { address, state, changed, server })
    }

    /// Address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of all later calls.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Writes a record as the operator or a target does. A record without a value deletes its key.
    pub fn write(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut content = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.unwrap_or_default().as_bytes());
        self.state.lock().topics.entry(topic.to_owned()).or_default().append(content);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Copies all contents.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { topics: self.state.lock().topics.clone() }
    }

    /// Comes back from a copy: what was written since is lost, and its offsets are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock();
        state.topics = copy.topics;
        state.era += 1;
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Deletes the records of `topic` from the log; the newest value of each key stays.
    pub fn compact(&self, topic: &str) {
        if let Some(log) = self.state.lock().topics.get_mut(topic) {
            log.first_offset = log.end_offset();
            log.records.clear();
        }
        self.changed.send_modify(|count| *count += 1);
    }

    /// The newest value of `key` in `topic`.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock();
        let (value, _) = state.topics.get(topic)?.newest.get(key)?;
        String::from_utf8(value.clone()).ok()
    }

    /// Keys that have a value in `topic`.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.state.lock();
        state.topics.get(topic).map(|log| log.newest.keys().cloned().collect()).unwrap_or_default()
    }
}

fn split_record(content: &[u8]) -> Option<(String, Vec<u8>)> {
    let length = usize::from(*content.first()?);
    let key = content.get(1..=length)?;
    Some((String::from_utf8(key.to_vec()).ok()?, content[1 + length..].to_vec()))
}

async fn serve_connection(
    mut conn: RawConn,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
) {
    while let Ok(Some(request)) = conn.read_request().await {
        let fault = {
            let mut state = state.lock();
            state.calls += 1;
            state.fault
        };
        let result = match fault {
            StoreFault::Refuse(status) => conn.write_response(status, &[], b"").await,
            StoreFault::Silent => {
                conn.wait_for_close().await;
                return;
            }
            StoreFault::Reset => {
                conn.reset();
                return;
            }
            StoreFault::LoseAnswers if request.path.starts_with("/v1/log-append") => {
                append(&request, &state, &changed);
                conn.wait_for_close().await;
                return;
            }
            StoreFault::AppendsLate(ms) if request.path.starts_with("/v1/log-append") => {
                let (state, changed) = (state.clone(), changed.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    append(&request, &state, &changed);
                });
                conn.wait_for_close().await;
                return;
            }
            StoreFault::Slow(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                handle_request(&mut conn, &request, &state, &changed).await
            }
            StoreFault::None | StoreFault::LoseAnswers | StoreFault::AppendsLate(_) => {
                handle_request(&mut conn, &request, &state, &changed).await
            }
        };
        if result.is_err() {
            return;
        }
    }
}

async fn handle_request(
    conn: &mut RawConn,
    request: &RawRequest,
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
) -> io::Result<()> {
    let path = request.path.split('?').next().unwrap_or_default();
    let (status, body) = match path {
        "/v1/log-append" => append(request, state, changed),
        "/v1/log-read" => read_or_wait(request, state, changed).await,
        "/v1/log-newest" => newest(request, state),
        _ => (404, Vec::new()),
    };
    let era = state.lock().era.to_string();
    let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
    conn.write_response(status, &headers, &body).await
}

fn append(
    request: &RawRequest,
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
) -> (u16, Vec<u8>) {
    let topic = request.query_param("topic").unwrap_or_default();
    if matches!(topic, "keyed.op" | "keyed.servers") {
        return (403, Vec::new());
    }
    let mut state = state.lock();
    let log = state.topics.entry(topic.to_owned()).or_default();
    let expected_end = request.query_param("at").and_then(|at| at.parse::<u64>().ok());
    if expected_end.is_some_and(|expected| expected != log.end_offset()) {
        return (412, json!({ "end_offset": log.end_offset() }).to_string().into_bytes());
    }
    let offset = log.end_offset();
    let mut rest = &request.body[..];
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some(content) = tail.get(..length) else {
            return (400, Vec::new());
        };
        log.append(content.to_vec());
        rest = &tail[length..];
    }
    let end = log.end_offset();
    drop(state);
    changed.send_modify(|count| *count += 1);
    (200, json!({ "offset": offset, "end_offset": end }).to_string().into_bytes())
}

async fn read_or_wait(
    request: &RawRequest,
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
) -> (u16, Vec<u8>) {
    let topic = request.query_param("topic").unwrap_or_default();
    let from: u64 = request.query_param("from").and_then(|from| from.parse().ok()).unwrap_or(0);
    let wait_ms: u64 =
        request.query_param("wait_ms").and_then(|wait_ms| wait_ms.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut updates = changed.subscribe();
    loop {
        updates.mark_unchanged();
        if let Some(answer) = read_available(topic, from, state) {
            return answer;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if tokio::time::timeout(left, updates.changed()).await.is_err() {
            let end = state.lock().topics.get(topic).map_or(0, Topic::end_offset);
            return (200, [end.to_be_bytes(), 0_u64.to_be_bytes()].concat());
        }
    }
}

// `None` while there is nothing to read
fn read_available(topic: &str, from: u64, state: &Mutex<State>) -> Option<(u16, Vec<u8>)> {
    let state = state.lock();
    let log = state.topics.get(topic)?;
    if from < log.first_offset || from > log.end_offset() {
        return Some((410, json!({ "first_offset": log.first_offset }).to_string().into_bytes()));
    }
    if from >= log.end_offset() {
        return None;
    }
    let mut body = [log.end_offset().to_be_bytes(), log.first_offset.to_be_bytes()].concat();
    let skip = usize::try_from(from - log.first_offset).unwrap_or(usize::MAX);
    for content in log.records.iter().skip(skip) {
        let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
        body.extend_from_slice(&length.to_be_bytes());
        body.extend_from_slice(content);
    }
    Some((200, body))
}

fn newest(request: &RawRequest, state: &Mutex<State>) -> (u16, Vec<u8>) {
    let topic = request.query_param("topic").unwrap_or_default();
    let state = state.lock();
    let Some(log) = state.topics.get(topic) else {
        let empty = json!({ "items": [], "more": false, "end_offset": 0 });
        return (200, empty.to_string().into_bytes());
    };
    let items: Vec<_> = log
        .newest
        .iter()
        .map(|(key, (value, offset))| {
            json!({ "key": key, "value": BASE64_STANDARD.encode(value), "offset": offset })
        })
        .collect();
    let body = json!({ "items": items, "more": false, "end_offset": log.end_offset() });
    (200, body.to_string().into_bytes())
}
