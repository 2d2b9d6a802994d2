//! Starts and controls a deployment of real processes on loopback addresses.

use {
    crate::{
        layout::{DeploymentSpec, Layout},
        process::Process,
    },
    egret_core::Manifest,
    egret_load::{LoadPlan, LoadShape},
    egret_runtime::{HostEntry, HttpClient, Reply, now},
    http::{HeaderMap, Method},
    indexmap::IndexMap,
    serde_json::Value,
    std::{
        fmt::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Command,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::runtime::Runtime,
};

/// Longest wait for a condition to hold.
const MAX_WAIT: Duration = Duration::from_mins(3);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout of a GET request, in milliseconds. Requests that send JSON have four times as long.
const CALL_TIMEOUT_MS: u64 = 5000;

/// A deployment of real processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Addresses of the processes.
    pub layout: Layout,
    /// Sizes and options.
    pub spec: DeploymentSpec,
    /// Client for calls to the processes.
    pub client: HttpClient,
    temp_folder: TempDir,
    program_folder: PathBuf,
    runtime: Runtime,
    processes: IndexMap<String, Process>,
}

impl Deployment {
    /// Starts the stand-ins, the entries and the keepers, applies the manifest, and waits
    /// until every engine can load adapters.
    ///
    /// # Panics
    ///
    /// When a process can't be started or the deployment does not become ready.
    #[must_use]
    pub fn start(spec: DeploymentSpec) -> Self {
        let mut deployment = Self::prepare(spec);
        deployment.start_standins();
        for index in 0..deployment.spec.hosts {
            deployment.start_host(index);
        }
        let manifest = deployment.layout.manifest(&deployment.spec);
        let (code, output) = deployment.apply_manifest(&manifest, "start");
        assert_eq!(code, 0, "apply: {output}");
        deployment.wait_until("every engine can load", Self::all_engines_ready);
        deployment
    }

    fn prepare(spec: DeploymentSpec) -> Self {
        Self {
            layout: Layout::reserve(),
            spec,
            client: HttpClient::unpooled(),
            temp_folder: TempDir::new().expect("a temporary folder can be made"),
            program_folder: program_folder(),
            runtime: Runtime::new().expect("a runtime can be built"),
            processes: IndexMap::new(),
        }
    }

    fn start_standins(&mut self) {
        self.start_standin("log", self.layout.log(), &["log".to_owned()]);
        self.start_standin("hosts", self.layout.host_list(), &["hosts".to_owned()]);
        self.start_standin("store", self.layout.weight_store(), &["store".to_owned()]);
        let weight_store = self.layout.weight_store().to_string();
        for index in 0..self.spec.engines {
            let mut args = vec![
                "engine".to_owned(),
                format!("--store={weight_store}"),
                format!("--adapter-slots={}", self.spec.adapter_slots),
                format!("--batch={}", self.spec.batch_size),
            ];
            if self.spec.checks_fence {
                args.push("--checks-fence".to_owned());
            }
            args.extend(self.spec.engine_args.iter().cloned());
            self.start_standin(&Layout::engine_name(index), self.layout.engine(index), &args);
        }
        for index in 0..self.spec.service_targets {
            let name = format!("studio-{}", index + 1);
            self.start_standin(&name, self.layout.service_target(index), &["service".to_owned()]);
        }
        if self.spec.has_log_relays {
            for index in 0..self.spec.hosts {
                self.start_relay(index);
            }
        }
        let hosts = self.layout.host_entries(&self.spec);
        self.replace_host_list(&hosts);
    }

    fn start_standin(&mut self, name: &str, address: SocketAddr, args: &[String]) {
        let mut args = args.to_vec();
        args.push(format!("--listen={address}"));
        self.start_process(name, "egret-standin", &args);
        self.wait_until("a stand-in answers", move |d| d.is_healthy(address));
    }

    fn start_relay(&mut self, index: usize) {
        let control = self.layout.relay_control(index);
        let args = [
            "relay".to_owned(),
            format!("--listen={}", self.layout.relay(index)),
            format!("--to={}", self.layout.log()),
            format!("--control={control}"),
        ];
        self.start_process(&format!("relay-{}", index + 1), "egret-standin", &args);
        self.wait_until("a relay answers", move |d| d.is_healthy(control));
    }

    /// Starts the entry and the keeper of host `index`.
    pub fn start_host(&mut self, index: usize) {
        self.start_keeper(index);
        self.start_entry(index);
    }

    /// Starts the entry of host `index`.
    pub fn start_entry(&mut self, index: usize) {
        let name = format!("entry-{}", index + 1);
        let text = self.layout.entry_settings(&self.spec, index);
        let file = Layout::write_file(self.temp_folder.path(), &format!("{name}.toml"), &text);
        self.start_process(&name, "egret-entry", &[format!("--config={file}")]);
        let address = self.layout.entry(index);
        self.wait_until("an entry answers", move |d| d.is_healthy(address));
    }

    /// Starts the keeper of host `index`.
    pub fn start_keeper(&mut self, index: usize) {
        let name = format!("keeper-{}", index + 1);
        let text = self.layout.keeper_settings(&self.spec, index);
        let file = Layout::write_file(self.temp_folder.path(), &format!("{name}.toml"), &text);
        self.start_process(&name, "egret-keeper", &[format!("--config={file}")]);
        let address = self.layout.keeper_http(index);
        self.wait_until("a keeper answers", move |d| d.is_healthy(address));
    }

    fn start_process(&mut self, name: &str, program: &str, args: &[String]) {
        let process =
            Process::start(name, &self.program_folder.join(program), args, self.temp_folder.path());
        let process = process.unwrap_or_else(|e| panic!("{e}"));
        self.processes.insert(name.to_owned(), process);
    }

    /// Returns the process named `name`, for instance `keeper-1` or `engine-3`.
    ///
    /// # Panics
    ///
    /// When no process has that name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Replaces the host list.
    pub fn replace_host_list(&self, hosts: &[HostEntry]) {
        let body = serde_json::to_value(hosts).unwrap_or_default();
        let _ = self.send_json(Method::PUT, self.layout.host_list(), "/v1/hosts", &body);
    }

    /// Sets the fault switches of a stand-in.
    ///
    /// # Panics
    ///
    /// When the stand-in does not accept them within three minutes.
    pub fn inject_faults(&self, address: SocketAddr, switches: &Value) {
        // a stand-in that has just crashed accepts them only after its restart
        self.wait_until("a stand-in accepts its fault switches", |d| {
            let reply = d.send_json(Method::POST, address, "/faults", switches);
            reply.is_some_and(|r| r.status.is_success())
        });
    }

    /// Gets JSON from a process. Returns none on any error.
    #[must_use]
    pub fn get_json(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let deadline = now().after_ms(CALL_TIMEOUT_MS);
        let reply = self.runtime.block_on(self.client.get(address, path, deadline)).ok()?;
        reply.status.is_success().then(|| reply.json().ok()).flatten()
    }

    /// Sends JSON to a process. Returns none when no reply comes.
    #[must_use]
    pub fn send_json(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Option<Reply> {
        self.send_json_with_headers(method, address, path, &[], body)
    }

    /// Sends JSON with headers to a process. Returns none when no reply comes.
    #[must_use]
    pub fn send_json_with_headers(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        body: &Value,
    ) -> Option<Reply> {
        let mut header_map = HeaderMap::new();
        for (name, value) in headers {
            header_map.insert(*name, value.parse().ok()?);
        }
        let deadline = now().after_ms(4 * CALL_TIMEOUT_MS);
        let body = body.to_string().into();
        let reply = self.client.call(address, method, path, &header_map, body, deadline);
        self.runtime.block_on(reply).ok()
    }

    /// Runs a future to its end on the deployment's runtime.
    pub fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.runtime.block_on(future)
    }

    /// Spawns a future on the deployment's runtime.
    pub fn spawn_task<F>(&self, future: F) -> tokio::task::JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.runtime.spawn(future)
    }

    /// Runs egretctl and returns its exit code and its output.
    ///
    /// # Panics
    ///
    /// When it can't be run.
    #[must_use]
    pub fn run_ctl(&self, args: &[&str]) -> (i32, String) {
        let settings = self.layout.ctl_settings();
        let file = Layout::write_file(self.temp_folder.path(), "egretctl.toml", &settings);
        let output = Command::new(self.program_folder.join("egretctl"))
            .arg(format!("--config={file}"))
            .args(args)
            .output()
            .expect("egretctl can be run");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    /// Applies a manifest with egretctl and returns its exit code and its output.
    #[must_use]
    pub fn apply_manifest(&self, manifest: &Manifest, operator: &str) -> (i32, String) {
        let text = toml::to_string(manifest).unwrap_or_default();
        let name = format!("manifest-{operator}.toml");
        let file = Layout::write_file(self.temp_folder.path(), &name, &text);
        self.run_ctl(&["apply", &file, "--operator", operator])
    }

    /// Waits until `condition` holds. `what` describes it in the panic message.
    ///
    /// # Panics
    ///
    /// When it does not hold within three minutes.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let started_at = Instant::now();
        while !condition(self) {
            if started_at.elapsed() > MAX_WAIT {
                let folder = self.temp_folder.path().display();
                panic!(
                    "timed out waiting until {what}; logs were in {folder}:\n{}",
                    self.log_tails()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the last lines of the log files of all entries and keepers.
    #[must_use]
    pub fn log_tails(&self) -> String {
        let mut tails = String::new();
        for name in
            self.processes.keys().filter(|n| n.starts_with("entry") || n.starts_with("keeper"))
        {
            let path = self.temp_folder.path().join(format!("{name}.log"));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let tail = &lines[lines.len().saturating_sub(15)..];
            let _ = write!(tails, "--- {name}\n{}\n", tail.join("\n"));
        }
        tails
    }

    /// True when a process passes its health check.
    #[must_use]
    pub fn is_healthy(&self, address: SocketAddr) -> bool {
        self.passes_check(address, "/healthz")
    }

    /// True when an entry or keeper passes its readiness check.
    #[must_use]
    pub fn is_ready(&self, address: SocketAddr) -> bool {
        self.passes_check(address, "/readyz")
    }

    fn passes_check(&self, address: SocketAddr, path: &str) -> bool {
        let deadline = now().after_ms(CALL_TIMEOUT_MS);
        let reply = self.runtime.block_on(self.client.get(address, path, deadline));
        reply.is_ok_and(|r| r.status.is_success())
    }

    /// Status of the keeper of host `index`, none when it can't be read.
    #[must_use]
    pub fn keeper_status(&self, index: usize) -> Option<Value> {
        self.get_json(self.layout.keeper_http(index), "/status")
    }

    /// Status of the entry of host `index`, none when it can't be read.
    #[must_use]
    pub fn entry_status(&self, index: usize) -> Option<Value> {
        self.get_json(self.layout.entry(index), "/status")
    }

    /// True when every engine has a keeper that can load and evict, and every entry whose status
    /// can be read reports that all engines can load.
    #[must_use]
    pub fn all_engines_ready(&self) -> bool {
        let mut ready = 0;
        for index in 0..self.spec.hosts {
            let Some(status) = self.keeper_status(index) else {
                continue;
            };
            for engine in status["engines"].as_array().into_iter().flatten() {
                let is_ready = engine["can_load"] == true && engine["may_evict"] == true;
                ready += usize::from(is_ready);
            }
        }
        ready == self.spec.engines && self.entries_see_loadable_engines(self.spec.engines)
    }

    /// True when every entry whose status can be read reports `engines` engines that can load.
    fn entries_see_loadable_engines(&self, engines: usize) -> bool {
        (0..self.spec.hosts).filter_map(|n| self.entry_status(n)).all(|status| {
            let views = status["engines"].as_array().into_iter().flatten();
            views.filter(|e| e["can_load"] == true).count() == engines
        })
    }

    /// A load of Meteora's shape on this deployment: 20 requests per second for 2 s.
    #[must_use]
    pub fn load_plan(&self) -> LoadPlan {
        LoadPlan {
            entries: self.entry_addresses(),
            engines: self.engine_addresses(),
            shape: LoadShape::Meteora,
            base_model: "base".to_owned(),
            adapters: self.spec.adapters,
            rate: 20.0,
            seconds: 2,
            exponent: 1.1,
            shift_interval_s: 0,
            publication_share: 0.05,
            service: "studio".to_owned(),
            seed: 1,
        }
    }

    /// Addresses of all entries.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        (0..self.spec.hosts).map(|n| self.layout.entry(n)).collect()
    }

    /// Addresses of all engines.
    #[must_use]
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        (0..self.spec.engines).map(|n| self.layout.engine(n)).collect()
    }
}

/// Returns the folder that holds the built programs of this workspace.
///
/// # Panics
///
/// When the programs have not been built.
#[must_use]
pub fn program_folder() -> PathBuf {
    let current = std::env::current_exe().expect("the path of this program is known");
    let has_programs = |folder: &&Path| folder.join("egret-standin").exists();
    let folder = current.ancestors().skip(1).find(has_programs);
    folder.expect("build the programs first: cargo build --workspace").to_owned()
}
