//! A small deployment on loopback: the store, servers and hosts, and a record of what happened.

use {
    crate::{
        client::{Call, ROUTE_HOST},
        host::Host,
        store::Store,
        target::{Conf, MODEL, Target},
    },
    std::{
        env,
        fmt::Write as _,
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Places for adapters of each engine.
pub const ADAPTER_SLOTS: usize = 27;

/// A deployment. Dropping it ends all processes and removes their folder.
pub struct Scene {
    pub began_at: Instant,
    pub store: Arc<Store>,
    pub targets: Vec<Arc<Target>>,
    pub hosts: Vec<Host>,
    pub folder: PathBuf,
    record: String,
}

impl Scene {
    /// Starts the store and writes the first config.
    pub fn new() -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("egretshore-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        let scene = Self {
            began_at: Instant::now(),
            store,
            targets: Vec::new(),
            hosts: Vec::new(),
            folder,
            record: String::new(),
        };
        scene.store.write("keyed.op", b"config", config(3, "").as_bytes());
        Ok(scene)
    }

    /// Starts a server.
    pub fn start_target(&mut self, id: &str, service: &str, zone: &str) -> io::Result<()> {
        let conf = Conf {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            adapter_slots: (service == "engines").then_some(ADAPTER_SLOTS),
        };
        self.targets.push(Target::start(conf, &self.store)?);
        self.note(&format!("server {id} of {service} started in {zone}"));
        Ok(())
    }

    /// Starts a host.
    pub fn start_host(&mut self, name: &str, zone: &str, is_first_start: bool) -> io::Result<()> {
        let host = Host::start(name, zone, is_first_start, self.store.address, &self.folder)?;
        self.hosts.push(host);
        self.note(&format!("host {name} started in {zone}"));
        Ok(())
    }

    /// Starts the four hosts of the smallest sites, and waits until they are ready.
    pub fn start_hosts(&mut self) -> io::Result<()> {
        for (number, zone) in [(1, "zone-1"), (2, "zone-2"), (3, "zone-3"), (4, "zone-1")] {
            self.start_host(&format!("edge-{number}"), zone, true)?;
        }
        self.hosts.iter().try_for_each(Host::wait_until_ready)
    }

    /// Starts nine engines in three zones, named with this prefix.
    pub fn start_engines(&mut self, prefix: &str) -> io::Result<()> {
        (1..=9).try_for_each(|number| self.start_engine(prefix, number))
    }

    /// Starts the engine of this number.
    pub fn start_engine(&mut self, prefix: &str, number: usize) -> io::Result<()> {
        let zone = format!("zone-{}", (number - 1) % 3 + 1);
        self.start_target(&format!("{prefix}-{number:02}"), "engines", &zone)
    }

    /// Names and addresses of the hosts, for clients.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.hosts.iter().map(|host| (host.name.clone(), host.callers)).collect()
    }

    /// Milliseconds since the start.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.began_at).as_millis()
    }

    /// Adds a line to the record, with the time.
    pub fn note(&mut self, line: &str) {
        let ms = self.ms(Instant::now());
        let _ = writeln!(self.record, "{ms:>6} ms  {line}");
    }

    /// Adds a line without a time.
    pub fn add(&mut self, line: &str) {
        self.record.push_str(line);
        self.record.push('\n');
    }

    /// Adds a line for each request that clients sent, with its answer.
    fn add_calls(&mut self, calls: &[Call]) {
        self.add("requests: sent, answered, host, Request-Id, path, adapter or parts of the prompt, status, whole");
        for call in calls {
            let (sent, ended) = (self.ms(call.sent_at), self.ms(call.ended_at));
            let adapter = call.adapter.as_deref().or(call.parts).unwrap_or("-");
            self.add(&format!(
                "  {sent} ms, {ended} ms, {}, {}, {}, {adapter}, {}, {}",
                call.host, call.id, call.path, call.status, call.is_whole
            ));
        }
    }

    /// Adds a line for each request that servers ran, and for each order that they got.
    fn add_runs(&mut self) {
        for target in self.targets.clone() {
            let id = &target.conf.id;
            self.add(&format!(
                "server {id}: runs, and orders with holder, epoch number and status"
            ));
            for run in target.runs() {
                let ms = self.ms(run.at);
                self.add(&format!("  {ms} ms ran {} {}", run.id, run.target));
            }
            for order in target.orders() {
                let ms = self.ms(order.at);
                self.add(&format!(
                    "  {ms} ms order {} by {}, {}, {}",
                    order.what, order.holder, order.fence, order.status
                ));
            }
        }
    }

    /// Waits until this time since the start.
    pub fn wait_until(&self, seconds: f64) {
        let at = self.began_at + Duration::from_secs_f64(seconds);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Writes the record, with all requests, runs and orders at its end.
    pub fn save(&mut self, folder: &Path, calls: &[Call]) -> io::Result<()> {
        self.add_calls(calls);
        self.add_runs();
        fs::write(folder.join("record.txt"), &self.record)
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.hosts.clear();
        for target in &self.targets {
            target.end();
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A config with routes to two plain services and to the engines, and with these tenants.
pub fn config(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32| {
        let more =
            if kind == "streaming" { ",\"resumable\":true,\"gap_target_ms\":300" } else { "" };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\
             \"sticky\":{}{more}}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("publish", "unsafe", "studio", 2, 4000),
        route("status", "safe", "studio", 2, 4000),
        route("issue", "unsafe", "registry", 2, 4000),
        route("draft", "streaming", "engines", 2, 12_000),
    ];
    let plain = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":100}}")
    };
    let engines = format!(
        "{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":360,\"engine\":\
         {{\"slots\":64,\"adapter_slots\":{ADAPTER_SLOTS},\"loads_per_s\":3.7,\"models\":\
         [{{\"name\":\"{MODEL}\",\"weights_mb\":65100,\"load_s\":0.6,\"adapters\":3000,\
         \"adapter_mb\":12}}]}}}}"
    );
    let services = [plain("studio"), plain("registry"), engines];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(","),
        services.join(",")
    )
}
