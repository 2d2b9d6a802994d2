//! The platform's metadata store: a log with keyed topics. Servers write their entries with
//! `PUT /servers/ID`, which stands for the platform's own way to it.

use {
    crate::{
        http::{Request, read_request, write_answer},
        util::{Record, base64},
    },
    std::{
        collections::BTreeMap,
        io::BufReader,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, content: Vec<u8>) {
        let offset = self.records.len() as u64;
        let length = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
        let value = content[1 + length..].to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, offset));
        }
        self.records.push(content);
    }

    fn write(&mut self, key: &str, value: &[u8]) {
        let mut content = vec![u8::try_from(key.len()).expect("short key")];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        self.append(content);
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    // last heartbeat of each server
    beats: BTreeMap<String, Instant>,
}

/// The store, served by threads of this process.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store. Entries of servers lapse after three heartbeats of this length.
    pub fn start(address: SocketAddr, heartbeat_ms: u64, record: &Record) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let lapsing = store.clone();
        let record = record.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                lapsing.remove_lapsed(Duration::from_millis(3 * heartbeat_ms), &record);
            }
        });
        store
    }

    /// Writes a record as the operator does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().write(key, value.as_bytes());
        self.state.1.notify_all();
    }

    /// True if the server has an entry.
    pub fn has_server(&self, id: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        state.topics.get("keyed.servers").is_some_and(|topic| topic.newest.contains_key(id))
    }

    fn remove_lapsed(&self, after: Duration, record: &Record) {
        let mut state = self.state.0.lock().unwrap();
        let lapsed: Vec<String> = state
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > after)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            record.line(&format!("store: the entry of {id} lapses"));
            state.beats.remove(&id);
            state.topics.entry("keyed.servers".to_owned()).or_default().write(&id, b"");
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if write_answer(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        if let Some(id) = request.path().strip_prefix("/servers/") {
            let mut state = self.state.0.lock().unwrap();
            state.beats.insert(id.to_owned(), Instant::now());
            let topic = state.topics.entry("keyed.servers".to_owned()).or_default();
            topic.write(id, &request.body);
            self.state.1.notify_all();
            return (200, Vec::new());
        }
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/v1/log-append" => self.append(request, &topic),
            "/v1/log-read" => self.read(request, &topic),
            "/v1/log-newest" => self.newest(request, &topic),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request, topic: &str) -> (u16, Vec<u8>) {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return (403, Vec::new());
        }
        let mut state = self.state.0.lock().unwrap();
        let log = state.topics.entry(topic.to_owned()).or_default();
        let offset = log.records.len() as u64;
        let expected = request.query("at").and_then(|at| at.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != offset) {
            return (412, format!("{{\"end_offset\":{offset}}}").into_bytes());
        }
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            log.append(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let end = log.records.len();
        self.state.1.notify_all();
        (200, format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes())
    }

    fn read(&self, request: &Request, topic: &str) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(usize::MAX);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, |log| log.records.len());
            if from > end {
                return (410, b"{\"first_offset\":0}".to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for content in state.topics.get(topic).iter().flat_map(|l| &l.records[from..]) {
                    let length = u32::try_from(content.len()).expect("short record");
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(content);
                    if body.len() > 1024 * 1024 {
                        break;
                    }
                }
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, topic: &str) -> (u16, Vec<u8>) {
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let empty = Topic::default();
        let log = state.topics.get(topic).unwrap_or(&empty);
        let later: Vec<_> = log.newest.iter().filter(|(key, _)| **key > after).collect();
        let items: Vec<String> = later
            .iter()
            .take(500)
            .map(|(key, (value, offset))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":{},\"end_offset\":{}}}",
            items.join(","),
            later.len() > 500,
            log.records.len()
        );
        (200, body.into_bytes())
    }
}
