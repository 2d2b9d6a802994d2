//! The platform's store: keyed topics with one partition, over HTTP.

use {
    crate::http::{Conn, Request},
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    // value and offset of the newest record of each key
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, content: &[u8]) {
        let offset = self.records.len() as u64;
        if let Some((length, rest)) = content.split_first()
            && let Some((key, value)) = rest.split_at_checked(usize::from(*length))
        {
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.to_vec(), (value.to_vec(), offset));
            }
        }
        self.records.push(content.to_vec());
    }
}

/// The contents of a store.
#[derive(Clone, Default)]
pub struct Contents(HashMap<String, Topic>);

#[derive(Default)]
struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
}

/// A store that serves HTTP.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            let symbol = if place <= chunk.len() { BASE64[index as usize] } else { b'=' };
            text.push(char::from(symbol));
        }
    }
    text
}

fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| *first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    bytes
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self { address, state: Mutex::default(), changed: Condvar::new() });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(Conn::new(stream)?));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Writes a record as the operator, a server or another writer does; false while the store is
    /// away.
    pub fn write(&self, topic: &str, key: &[u8], value: &[u8]) -> bool {
        let mut state = self.lock();
        if state.is_away {
            return false;
        }
        let length = u8::try_from(key.len()).expect("the store's keys have 255 bytes at most");
        let content = [&[length], key, value].concat();
        state.contents.0.entry(topic.to_owned()).or_default().append(&content);
        self.changed.notify_all();
        true
    }

    /// A copy of the contents.
    pub fn copy(&self) -> Contents {
        self.lock().contents.clone()
    }

    /// The store goes away: it refuses all calls and does nothing.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// The store comes back from a copy, with the next era.
    pub fn come_back(&self, copy: Contents) {
        let mut state = self.lock();
        state.contents = copy;
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    /// Keys of a topic that have a value, as text.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.contents.0.get(topic).into_iter().flat_map(|topic| topic.newest.keys());
        keys.map(|key| String::from_utf8_lossy(key).into_owned()).collect()
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(request) = conn.read_request()? {
            let (status, body) = self.handle(&request);
            let era = self.lock().era.to_string();
            conn.answer(status, &[("Store-Era", &era)], &body)?;
        }
        Ok(())
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        if self.lock().is_away {
            return (503, Vec::new());
        }
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/v1/log-append" => self.append(topic, request),
            "/v1/log-read" => self.read(topic, request),
            "/v1/log-newest" => self.newest(topic, request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return (403, Vec::new());
        }
        let mut state = self.lock();
        let log = state.contents.0.entry(topic.to_owned()).or_default();
        let offset = log.records.len();
        let condition = request.query("at").and_then(|at| at.parse::<usize>().ok());
        if condition.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end_offset\":{offset}}}").into_bytes());
        }
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((content, tail)) = tail.split_at_checked(length) else {
                return (400, Vec::new());
            };
            log.append(content);
            rest = tail;
        }
        let end = log.records.len();
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(usize::MAX);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.is_away {
                return (503, Vec::new());
            }
            let empty = Topic::default();
            let log = state.contents.0.get(topic).unwrap_or(&empty);
            let end = log.records.len();
            // a read that waited over a restore starts again
            if from > end || state.era != era {
                return (410, b"{\"first_offset\":0}".to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = [(end as u64).to_be_bytes(), 0_u64.to_be_bytes()].concat();
                for content in &log.records[from..] {
                    body.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    body.extend_from_slice(content);
                }
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics while it holds the state").0;
        }
    }

    fn newest(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let after = request.query("after").map(unescape);
        let state = self.lock();
        let empty = Topic::default();
        let log = state.contents.0.get(topic).unwrap_or(&empty);
        let later = log.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a));
        let mut items: Vec<String> = later
            .map(|(key, (value, offset))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let more = items.len() > 500;
        items.truncate(500);
        let end = log.records.len();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"more\":{more},\"end_offset\":{end}}}").into_bytes())
    }
}
