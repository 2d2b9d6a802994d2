//! The store and single targets as processes of their own. Targets register at the store's control
//! by heartbeats.

use {
    super::{
        batch::BatchConf,
        brittle::BrittleConf,
        metastore::{Metastore, StoreCopy, StoreFault},
        raw_http::RawConn,
        simulated::BASE_MODEL,
        target::{EngineConf, StreamFraming, Target, TargetConf, TargetFault},
        weight_store::WeightStore,
    },
    bytes::Bytes,
    egret_runtime::{Conn, now},
    http::{Method, Request},
    http_body_util::Full,
    indexmap::IndexMap,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        fs::File,
        io::{self, Write},
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
    },
};

/// Heartbeats that an entry outlasts.
const HEARTBEATS_MISSED_MAX: u32 = 3;

/// Longest time beyond its drain for which a target goes on with open requests.
const OVERTIME_MAX: Duration = Duration::from_secs(4);

/// Timeout of a call to the store's control, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 300;

/// Interval at which a draining target looks for open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A call to the store's control.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RegistryCall {
    /// Sets the fault of calls to the store. Heartbeats fail as well unless calls are merely slow.
    Fault(StoreFault),
    /// Copies the contents of the store.
    Copy,
    /// Comes back from the last copy; what targets and the operator wrote since is written again.
    Restore,
    /// Writes a record of the operator.
    Write {
        /// Topic of the record.
        topic: String,
        /// Key of the record.
        key: String,
        /// Its value.
        value: String,
    },
    /// The heartbeat of a target; without an entry, the target has left.
    Heartbeat {
        /// Id of the target.
        id: String,
        /// Its record.
        entry: Option<Value>,
    },
}

/// Client of a store's control.
#[derive(Clone, Copy, Debug)]
pub struct Registry(pub SocketAddr);

impl Registry {
    /// Makes a call. Returns false if it failed.
    pub async fn call(self, call: &RegistryCall) -> bool {
        let deadline = now().after_ms(CALL_TIMEOUT_MS);
        let Ok(body) = serde_json::to_vec(call) else {
            return false;
        };
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        let Ok(mut conn) = Conn::open(self.0, deadline).await else {
            return false;
        };
        conn.call(request, deadline).await.is_ok_and(|reply| reply.status.is_success())
    }
}

#[derive(Debug)]
struct Entries {
    store: Metastore,
    fault: Mutex<StoreFault>,
    copy: Mutex<Option<StoreCopy>>,
    // what the operator wrote
    written: Mutex<Vec<(String, String, String)>>,
    // last heartbeat and entry of each target
    heartbeats: Mutex<IndexMap<String, (Instant, Value)>>,
}

impl Entries {
    // returns the status of the answer
    fn handle(&self, call: RegistryCall) -> u16 {
        match call {
            RegistryCall::Fault(fault) => {
                *self.fault.lock() = fault;
                self.store.set_fault(fault);
            }
            RegistryCall::Copy => *self.copy.lock() = Some(self.store.copy()),
            RegistryCall::Restore => {
                let Some(copy) = self.copy.lock().take() else {
                    return 409;
                };
                self.store.restore(copy);
                for (topic, key, value) in &*self.written.lock() {
                    self.store.write(topic, key, Some(value));
                }
                // entries that only the copy has lapse, the others are written at the next heartbeat
                let keys = self.store.keys("keyed.servers").into_iter();
                let entries = keys.map(|key| (key, (Instant::now(), Value::Null))).collect();
                *self.heartbeats.lock() = entries;
            }
            RegistryCall::Write { topic, key, value } => {
                self.store.write(&topic, &key, Some(&value));
                self.written.lock().push((topic, key, value));
            }
            RegistryCall::Heartbeat { .. }
                if !matches!(*self.fault.lock(), StoreFault::None | StoreFault::Slow(_)) =>
            {
                return 503;
            }
            RegistryCall::Heartbeat { id, entry: Some(entry) } => {
                let last =
                    self.heartbeats.lock().insert(id.clone(), (Instant::now(), entry.clone()));
                // a change of `seq` alone is not written
                let without_seq = |entry: &Value| {
                    let mut entry = entry.clone();
                    entry["seq"].take();
                    entry
                };
                if last.is_none_or(|(_, last)| without_seq(&last) != without_seq(&entry)) {
                    self.store.write("keyed.servers", &id, Some(&entry.to_string()));
                }
            }
            RegistryCall::Heartbeat { id, entry: None } => self.remove(&id),
        }
        200
    }

    fn remove(&self, id: &str) {
        if self.heartbeats.lock().swap_remove(id).is_some() {
            self.store.write("keyed.servers", id, None);
        }
    }

    async fn remove_silent(&self, heartbeat: Duration) {
        loop {
            tokio::time::sleep(heartbeat / 2).await;
            let silent: Vec<String> = {
                let heartbeats = self.heartbeats.lock();
                let is_silent = |at: &Instant| at.elapsed() > heartbeat * HEARTBEATS_MISSED_MAX;
                let silent = heartbeats.iter().filter(|(_, (at, _))| is_silent(at));
                silent.map(|(id, _)| id.clone()).collect()
            };
            for id in &silent {
                self.remove(id);
            }
        }
    }
}

/// Serves a metadata store and its control until the process ends.
///
/// # Errors
///
/// When an address can't be bound.
pub async fn serve_metastore(
    listen: SocketAddr,
    control: SocketAddr,
    heartbeat: Duration,
) -> io::Result<()> {
    let entries = Arc::new(Entries {
        store: Metastore::start(listen).await?,
        fault: Mutex::default(),
        copy: Mutex::default(),
        written: Mutex::default(),
        heartbeats: Mutex::default(),
    });
    let listener = TcpListener::bind(control).await?;
    let silent = entries.clone();
    tokio::spawn(async move { silent.remove_silent(heartbeat).await });
    loop {
        let (stream, _) = listener.accept().await?;
        let entries = entries.clone();
        tokio::spawn(async move {
            let mut conn = RawConn::new(stream);
            while let Ok(Some(request)) = conn.read_request().await {
                let call = serde_json::from_slice(&request.body);
                let status = call.map_or(400, |call| entries.handle(call));
                if conn.write_response(status, &[], b"").await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Settings of a target in a process of its own.
#[derive(Clone, Debug)]
pub struct TargetProcessConf {
    /// Key of its entry in the registry.
    pub id: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to register.
    pub reached_at: SocketAddr,
    /// Version of its software.
    pub software_version: String,
    /// Name of its service.
    pub service: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// How the ends of answers are marked.
    pub framing: StreamFraming,
    /// Events of streams whose requests name no number; 0 for a plain service.
    pub events: u64,
    /// Time between events.
    pub pause: Duration,
    /// Adapters that are loaded from the start.
    pub adapters: Vec<String>,
    /// Address of the store's control.
    pub registry: SocketAddr,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Time from SIGTERM for which it serves on in any case.
    pub drain: Duration,
    /// File to which the ids of executed requests are appended.
    pub executed: PathBuf,
    /// Time that a request to a plain service takes in a slot.
    pub work: Duration,
    /// How it is brittle from SIGUSR1 to SIGUSR2.
    pub brittle: BrittleConf,
    /// True if it is brittle from the start.
    pub starts_brittle: bool,
    /// File to which a line is appended when it falls over.
    pub falls: Option<PathBuf>,
}

fn record_fall(falls: Option<&Path>) -> io::Result<()> {
    let Some(file) = falls else {
        return Ok(());
    };
    File::options().create(true).append(true).open(file)?.write_all(b"fell over\n")
}

/// Runs a target until it has drained after SIGTERM, or has fallen over.
///
/// # Errors
///
/// When its address can't be bound or its file can't be written.
pub async fn serve_target(conf: TargetProcessConf) -> io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut brittle_begin = signal(SignalKind::user_defined1())?;
    let mut brittle_end = signal(SignalKind::user_defined2())?;
    let engine = (conf.events > 0).then(|| EngineConf {
        model: BASE_MODEL.to_owned(),
        adapter_slots: 8,
        weight_store: Arc::new(WeightStore::new(Duration::from_millis(60), 8)),
        events_per_stream: conf.events,
        event_interval: conf.pause,
        batch: BatchConf::default(),
        initial_adapters: conf.adapters,
    });
    let target_conf = TargetConf {
        id: conf.id.clone(),
        software_version: conf.software_version,
        service: conf.service,
        data_centre: conf.data_centre,
        engine,
    };
    let born = SystemTime::UNIX_EPOCH.elapsed().map_err(io::Error::other)?.as_millis();
    let executed = File::options().create(true).append(true).open(&conf.executed)?;
    let target = Target::start_unregistered(conf.listen, target_conf).await?;
    target.identify(u64::try_from(born).unwrap_or(u64::MAX), executed);
    target.set_framing(conf.framing);
    target.set_work(conf.work);
    if conf.starts_brittle {
        target.set_brittle(Some(conf.brittle));
    }
    let registry = Registry(conf.registry);
    let heartbeat = async |state: &str| {
        let entry = Some(target.entry(state, conf.reached_at));
        registry.call(&RegistryCall::Heartbeat { id: conf.id.clone(), entry }).await
    };
    loop {
        heartbeat("ready").await;
        tokio::select! {
            () = tokio::time::sleep(conf.heartbeat) => {}
            () = target.wait_until_down() => {
                // its entry lapses
                return record_fall(conf.falls.as_deref());
            }
            _ = brittle_begin.recv() => target.set_brittle(Some(conf.brittle)),
            _ = brittle_end.recv() => target.set_brittle(None),
            _ = stop.recv() => break,
        }
    }
    target.set_fault(TargetFault::Leaving);
    // it serves for `drain` after the store has accepted the report
    let mut accepted_at = None;
    let stopped_at = Instant::now();
    while stopped_at.elapsed() < conf.drain + OVERTIME_MAX {
        if heartbeat("draining").await && accepted_at.is_none() {
            accepted_at = Some(Instant::now());
        }
        let has_drained = accepted_at.is_some_and(|at| at.elapsed() > conf.drain);
        if has_drained && target.batch_counts().0 == 0 {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    registry.call(&RegistryCall::Heartbeat { id: conf.id.clone(), entry: None }).await;
    Ok(())
}
