//! The platform's store: a log with keyed topics, which may come back from a copy.

use crate::http::{Reply, Request, serve, whole};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, content: &[u8]) {
        let offset = self.records.len() as u64;
        if let Some((key, value)) = split(content) {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push(content.to_vec());
    }
}

fn split(content: &[u8]) -> Option<(String, Vec<u8>)> {
    let length = usize::from(*content.first()?);
    let key = String::from_utf8(content.get(1..=length)?.to_vec()).ok()?;
    Some((key, content[1 + length..].to_vec()))
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    era: u64,
}

/// A copy of the contents of a store.
pub struct Copy(HashMap<String, Topic>);

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    is_away: AtomicBool,
    notes: Mutex<Vec<(Instant, String)>>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_away: AtomicBool::new(false),
            notes: Mutex::default(),
        });
        let served = store.clone();
        serve(listener, Arc::new(move |request: &Request, _: &mut _| served.handle(request)));
        store
    }

    /// Writes a record as the operator or a server does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        if self.is_away.load(Ordering::SeqCst) {
            return;
        }
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        self.state.lock().unwrap().topics.entry(topic.to_owned()).or_default().append(&content);
        self.changed.notify_all();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().topics.clone())
    }

    /// While the store is away, calls end without an answer and do nothing.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and its offsets are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.topics = copy.0;
        state.era += 1;
        drop(state);
        self.changed.notify_all();
    }

    /// What servers have told the script, and when.
    pub fn notes(&self) -> Vec<(Instant, String)> {
        self.notes.lock().unwrap().clone()
    }

    /// The newest values in a topic whose keys begin with `prefix`.
    pub fn newest(&self, topic: &str, prefix: &str) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let Some(log) = state.topics.get(topic) else {
            return Vec::new();
        };
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        let items = log.newest.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(key, (value, offset))| (key.clone(), format!("{} @{offset}", text(value)))).collect()
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_away.load(Ordering::SeqCst) {
            return Reply::Hang;
        }
        let reply = match request.path.as_str() {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.list(request),
            // for servers that are processes of their own
            "/own/write" => {
                let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
                self.write(&text("topic"), &text("key"), &String::from_utf8_lossy(&request.body));
                whole(200, "")
            }
            "/own/note" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.notes.lock().unwrap().push((Instant::now(), text));
                whole(200, "")
            }
            _ => whole(404, ""),
        };
        if self.is_away.load(Ordering::SeqCst) {
            return Reply::Hang;
        }
        let Reply::Whole { status, mut headers, body } = reply else {
            return reply;
        };
        headers.push(("Store-Era".to_owned(), self.state.lock().unwrap().era.to_string()));
        Reply::Whole { status, headers, body }
    }

    fn append(&self, request: &Request) -> Reply {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return whole(403, "");
        }
        let mut state = self.state.lock().unwrap();
        let log = state.topics.entry(topic).or_default();
        let end = log.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return whole(412, format!("{{\"end_offset\":{end}}}"));
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            log.append(&rest[4..4 + length]);
            rest = &rest[4 + length..];
        }
        let new_end = log.records.len() as u64;
        drop(state);
        self.changed.notify_all();
        whole(200, format!("{{\"offset\":{end},\"end_offset\":{new_end}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let from = request.number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            let empty = Topic::default();
            let log = state.topics.get(&topic).unwrap_or(&empty);
            if from > log.records.len() {
                return whole(410, "{\"first_offset\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < log.records.len() || left.is_zero() || state.era != era {
                let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for content in &log.records[from..] {
                    body.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    body.extend_from_slice(content);
                }
                return whole(200, body);
            }
            if self.is_away.load(Ordering::SeqCst) {
                return Reply::Hang;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let state = self.state.lock().unwrap();
        let empty = Topic::default();
        let log = state.topics.get(&topic).unwrap_or(&empty);
        let following = || log.newest.iter().filter(|(key, _)| after.is_empty() || **key > after);
        let items: Vec<String> = following()
            .take(500)
            .map(|(key, (value, offset))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let more = following().count() > items.len();
        let (items, end) = (items.join(","), log.records.len());
        whole(200, format!("{{\"items\":[{items}],\"more\":{more},\"end_offset\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
