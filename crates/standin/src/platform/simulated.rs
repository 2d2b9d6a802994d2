//! The simulated platform: metadata store, weight store, engines and plain services.

use {
    super::{
        batch::BatchConf,
        metastore::{Metastore, StoreFault},
        raw_http::{RawConn, RawRequest},
        target::{EngineConf, Target, TargetConf, TargetFault},
        weight_store::WeightStore,
    },
    indexmap::IndexMap,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinSet},
};

/// Base model of all engines.
pub const BASE_MODEL: &str = "base";

/// Host name of all routes.
pub const ROUTE_HOST: &str = "calls.example";

/// Events of each stream.
pub const EVENTS_PER_STREAM: u64 = 6;

/// Software version of all targets except the upgraded engines.
const SOFTWARE_VERSION: &str = "v1";

/// Software version of the upgraded engines.
const UPGRADED_VERSION: &str = "v2";

/// Target latency of all routes; of streams, until their first event.
pub(super) const TARGET_LATENCY_MS: u64 = 400;

/// Size and pace of a simulated platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConf {
    /// Address of the metadata store; targets listen on free ports of the same IP address.
    pub store: SocketAddr,
    /// Address of the fault switches, if any.
    pub control: Option<SocketAddr>,
    /// Number of data centres, named `dc-1` and so on.
    pub data_centres: usize,
    /// Number of engines, named `engine-1` and so on.
    pub engines: usize,
    /// Number of engines that run software version v2; all other targets run v1. The engines with
    /// the highest numbers are the upgraded ones.
    pub upgraded_engines: usize,
    /// Number of targets of the plain service, named `plain-1` and so on.
    pub plain_targets: usize,
    /// Adapters that an engine holds at most.
    pub adapter_slots: usize,
    /// Duration of an adapter load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Concurrent loads up to which each goes at full speed.
    pub full_speed_loads: usize,
    /// Batch of each engine.
    pub batch: BatchConf,
}

/// A running platform. Dropping it stops its store and its targets.
#[derive(Debug)]
pub struct SimulatedPlatform {
    /// The metadata store.
    pub store: Arc<Metastore>,
    /// The weight store.
    pub weight_store: Arc<WeightStore>,
    targets: Arc<IndexMap<String, Target>>,
    // dropping it stops the fault switches
    _control: JoinSet<()>,
}

impl SimulatedPlatform {
    /// Starts a platform and writes its first configuration.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn start(conf: PlatformConf) -> io::Result<Self> {
        let store = Arc::new(Metastore::start(conf.store).await?);
        let weight_store =
            Arc::new(WeightStore::new(Duration::from_millis(conf.load_ms), conf.full_speed_loads));
        let engine = EngineConf {
            model: BASE_MODEL.to_owned(),
            adapter_slots: conf.adapter_slots,
            weight_store: weight_store.clone(),
            events_per_stream: EVENTS_PER_STREAM,
            event_interval: Duration::from_millis(5),
            batch: conf.batch,
            initial_adapters: Vec::new(),
        };
        store.write("keyed.op", "config", Some(&conf.config(1, 8000).to_string()));
        let mut targets = IndexMap::new();
        let kinds = [("engine", conf.engines, Some(engine)), ("plain", conf.plain_targets, None)];
        for (kind, count, engine) in kinds {
            for number in 0..count {
                let id = format!("{kind}-{}", number + 1);
                let data_centre = format!("dc-{}", number % conf.data_centres.max(1) + 1);
                let service = if engine.is_some() { "engines" } else { "plain" }.to_owned();
                let is_upgraded = engine.is_some() && number + conf.upgraded_engines >= count;
                let software_version =
                    if is_upgraded { UPGRADED_VERSION } else { SOFTWARE_VERSION }.to_owned();
                let target = TargetConf {
                    id: id.clone(),
                    software_version,
                    service,
                    data_centre,
                    engine: engine.clone(),
                };
                let address = SocketAddr::new(conf.store.ip(), 0);
                targets.insert(id, Target::start(address, target, &store).await?);
            }
        }
        let targets = Arc::new(targets);
        let mut control = JoinSet::new();
        if let Some(address) = conf.control {
            let listener = TcpListener::bind(address).await?;
            control.spawn(serve_control(
                listener,
                store.clone(),
                targets.clone(),
                weight_store.clone(),
            ));
        }
        Ok(Self { store, weight_store, targets, _control: control })
    }

    /// The target `id`.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }
}

impl PlatformConf {
    fn config(&self, revision: u64, timeout_ms: u64) -> Value {
        config(revision, timeout_ms, self.batch.slots, self.adapter_slots)
    }
}

/// A configuration with one route of each kind; `timeout_ms` is that of the plain service's routes.
#[must_use]
pub fn config(revision: u64, timeout_ms: u64, slots: usize, adapter_slots: usize) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool, attempts: u32| {
        json!({
            "name": prefix, "host": ROUTE_HOST, "path_prefix": format!("/{prefix}/"),
            "route_type": kind, "timeout_ms": timeout_ms, "target_latency_ms": TARGET_LATENCY_MS,
            "priority": 1, "service": service, "max_attempts": attempts, "sticky": true,
            "resumable": resumable, "gap_target_ms": 200,
        })
    };
    json!({
        "version": revision,
        "routes": [
            route("safe", "safe", "plain", false, 2),
            route("once", "unsafe", "plain", false, 1),
            route("stream", "streaming", "engines", true, 2),
            route("frail", "streaming", "engines", false, 1),
        ],
        "services": [
            { "name": "plain", "health_path": "/health", "max_conns": 50 },
            { "name": "engines", "health_path": "/health", "max_conns": 50, "engine": {
                "slots": slots, "adapter_slots": adapter_slots, "loads_per_s": 4.0,
                "models": [{ "name": BASE_MODEL, "weights_mb": 10.0, "load_s": 0.1 }],
            }},
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}

/// Adds an account for each name and its key to a configuration. The first route becomes public if
/// `has_public_route` is set.
pub fn add_accounts(config: &mut Value, accounts: &[(&str, &str)], has_public_route: bool) {
    let account = |(name, key): &(&str, &str)| json!({ "name": name, "api_keys": [key] });
    config["tenants"] = accounts.iter().map(account).collect();
    config["routes"][0]["public"] = json!(has_public_route);
}

/// A request to the address of the fault switches: a fault to set, or a version to publish.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum ControlRequest {
    Store(StoreFault),
    Target { id: String, fault: TargetFault },
    Version { adapter: String, version: u64 },
}

async fn serve_control(
    listener: TcpListener,
    store: Arc<Metastore>,
    targets: Arc<IndexMap<String, Target>>,
    weight_store: Arc<WeightStore>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut conn = RawConn::new(stream);
        // one connection at a time: faults are set by hand or by a script
        while let Ok(Some(request)) = conn.read_request().await {
            let (status, body) = handle_request(&request, &store, &targets, &weight_store);
            if conn.write_response(status, &[], body.to_string().as_bytes()).await.is_err() {
                break;
            }
        }
    }
}

fn handle_request(
    request: &RawRequest,
    store: &Metastore,
    targets: &IndexMap<String, Target>,
    weight_store: &WeightStore,
) -> (u16, Value) {
    if request.path == "/state" {
        return (200, state_json(store, targets, weight_store));
    }
    match serde_json::from_slice::<ControlRequest>(&request.body) {
        Ok(ControlRequest::Store(fault)) => store.set_fault(fault),
        Ok(ControlRequest::Target { id, fault }) => match targets.get(&id) {
            Some(target) => target.set_fault(fault),
            None => return (404, json!({ "problem": format!("no target {id}") })),
        },
        Ok(ControlRequest::Version { adapter, version }) => {
            publish_version(store, targets, &adapter, version);
        }
        Err(e) => return (400, json!({ "problem": e.to_string() })),
    }
    (200, json!({}))
}

fn publish_version(
    store: &Metastore,
    targets: &IndexMap<String, Target>,
    adapter: &str,
    version: u64,
) {
    for target in targets.values() {
        target.set_version(adapter, version);
    }
    let record = json!({ "model": BASE_MODEL, "adapter": adapter, "version": version });
    store.write("keyed.op", &format!("version/{BASE_MODEL}.{adapter}"), Some(&record.to_string()));
}

fn state_json(
    store: &Metastore,
    targets: &IndexMap<String, Target>,
    weight_store: &WeightStore,
) -> Value {
    let target_json = |target: &Target| {
        let (running, preempted) = target.batch_counts();
        json!({
            "runs": target.executed_requests().len(), "running": running, "preempted": preempted,
            "orders": target.accepted_orders(), "adapters": target.adapters(),
            "overfilled": target.is_overfilled(), "software_version": target.software_version(),
        })
    };
    let targets = targets.iter().map(|(id, target)| (id.clone(), target_json(target)));
    let (started, concurrent_max) = weight_store.load_counts();
    json!({
        "store_calls": store.calls(), "loads": started, "loads_at_once": concurrent_max,
        "targets": targets.collect::<serde_json::Map<String, Value>>(),
    })
}
