//! A model engine: adapter slots, continuous batching, orders with fencing tokens.

mod batch;
mod completions;
mod faults;
mod orders;

use {
    crate::{
        cli::EngineArgs,
        server::{not_found, ok, read_json, serve_with_restarts},
    },
    batch::{Batch, Sequence},
    egret_runtime::{HttpClient, unix_ms},
    faults::Faults,
    http::Method,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    serde_json::json,
    std::{
        collections::VecDeque,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Instant,
    },
    tokio::sync::Notify,
    volo::net::Address,
    volo_http::{request::Request, response::Response},
};

/// Counters that outlive crashes.
#[derive(Clone, Debug, Default)]
struct Stats {
    steps: u64,
    /// Running sequences, summed over all steps.
    sequences: u64,
    /// Distinct adapters in use, summed over all steps.
    adapters: u64,
    loads: u64,
    unloads: u64,
    /// Unloads that aborted sequences.
    unloads_in_use: u64,
    /// Orders refused for a stale fencing token.
    fenced: u64,
    crashes: u64,
    answered: u64,
}

/// State that outlives a crash: arguments, fault switches, counters and the highest fencing token.
struct DurableState {
    args: EngineArgs,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    fence: Mutex<u64>,
}

/// State of the engine between two crashes.
struct Engine {
    durable: Arc<DurableState>,
    /// Start time in Unix milliseconds, which distinguishes restarts of the engine.
    epoch: u64,
    crash: Arc<Notify>,
    crashed: AtomicBool,
    weight_store_client: HttpClient,
    resident_adapters: Mutex<IndexSet<String>>,
    batch: Mutex<Batch>,
    work_added: Notify,
    /// Connections by the address of their peer; true once silenced.
    peers: Mutex<IndexMap<String, bool>>,
    /// Time, running sequences and waiting sequences of each report.
    load_reports: Mutex<VecDeque<(Instant, usize, usize)>>,
}

/// Serves the engine until SIGTERM.
pub(crate) fn run(args: &EngineArgs) -> std::io::Result<()> {
    let durable = Arc::new(DurableState {
        args: args.clone(),
        faults: Mutex::default(),
        stats: Mutex::default(),
        fence: Mutex::new(0),
    });
    let crashed = durable.clone();
    let break_ms = move || crashed.faults.lock().break_ms;
    serve_with_restarts(args.listen, args.restart_ms, break_ms, move |crash| {
        let engine = Arc::new(Engine::new(durable.clone(), crash));
        tokio::spawn(batch::run_steps(engine.clone()));
        move |peer, req| {
            let engine = engine.clone();
            Box::pin(async move { engine.handle_request(&peer, req).await })
        }
    })
}

impl Engine {
    fn new(durable: Arc<DurableState>, crash: Arc<Notify>) -> Self {
        Self {
            durable,
            epoch: unix_ms(),
            crash,
            crashed: AtomicBool::new(false),
            weight_store_client: HttpClient::pooled(),
            resident_adapters: Mutex::default(),
            batch: Mutex::default(),
            work_added: Notify::new(),
            peers: Mutex::default(),
            load_reports: Mutex::default(),
        }
    }

    async fn handle_request(self: Arc<Self>, peer: &Address, req: Request) -> Response {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/faults") => return self.set_faults(req).await,
            (&Method::GET, "/stats") => return self.stats(),
            (&Method::GET, "/healthz") => return ok(&json!({})),
            _ => {}
        }
        if self.is_silenced(peer) {
            return crate::server::never_answer().await;
        }
        match (req.method(), path.as_str()) {
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                completions::complete(self, req).await
            }
            (&Method::POST, "/v1/load_lora_adapter") => orders::load(&self, req).await,
            (&Method::POST, "/v1/unload_lora_adapter") => orders::unload(&self, req).await,
            (&Method::POST, "/v1/cancel") => orders::cancel(&self, req).await,
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/v1/load") => self.load_report(),
            _ => not_found(),
        }
    }

    async fn set_faults(&self, req: Request) -> Response {
        let faults = match read_json::<Faults>(req.into_body()).await {
            Ok(faults) => faults,
            Err(response) => return response,
        };
        if faults.silence_open {
            self.peers.lock().values_mut().for_each(|silent| *silent = true);
            self.batch.lock().silence_all();
        }
        if faults.crash {
            self.crash();
        }
        *self.durable.faults.lock() = faults;
        ok(&json!({}))
    }

    /// Records the peer and returns true if its connection is silenced.
    fn is_silenced(&self, peer: &Address) -> bool {
        let mut peers = self.peers.lock();
        *peers.entry(peer.to_string()).or_insert(false)
    }

    /// Ends this run of the engine. It counts as one crash however late the server shuts down.
    fn crash(&self) {
        if !self.crashed.swap(true, Ordering::AcqRel) {
            self.durable.stats.lock().crashes += 1;
            self.crash.notify_one();
        }
    }

    fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::Acquire)
    }

    fn stats(&self) -> Response {
        let stats = self.durable.stats.lock().clone();
        ok(&json!({
            "epoch": self.epoch,
            "steps": stats.steps,
            "sequences": stats.sequences,
            "adapters": stats.adapters,
            "loads": stats.loads,
            "unloads": stats.unloads,
            "unloads_in_use": stats.unloads_in_use,
            "fenced": stats.fenced,
            "crashes": stats.crashes,
            "answered": stats.answered,
            "running": self.batch.lock().running.len(),
            "resident": self.resident_adapters.lock().len(),
        }))
    }

    fn models(&self) -> Response {
        let resident = self.resident_adapters.lock();
        let data: Vec<_> = resident.iter().map(|id| json!({ "id": id })).collect();
        ok(&json!({ "object": "list", "data": data, "epoch": self.epoch }))
    }

    /// The numbers of running and waiting sequences, `report_lag_ms` ago.
    fn load_report(&self) -> Response {
        let lag = std::time::Duration::from_millis(self.durable.args.report_lag_ms);
        let reports = self.load_reports.lock();
        let old = reports.iter().rev().find(|(at, _, _)| at.elapsed() >= lag);
        let (running, waiting) = old.map_or((0, 0), |(_, running, waiting)| (*running, *waiting));
        ok(&json!({ "running": running, "waiting": waiting }))
    }
}
