//! The processes, the relays between them, and the faults that are played on them.

use {
    crate::{
        checks::{BrittleTime, Executed, History, Stop},
        schedule::{Back, Fault, FaultKind, Service},
    },
    bytes::Bytes,
    egret_runtime::{Conn, now},
    egret_scenarios::{Process, program_folder},
    egret_standin::{
        platform::{self, Registry, RegistryCall, StoreFault},
        relay::{Relay, RelayFaults},
    },
    http::Request,
    http_body_util::Full,
    nix::sys::signal::Signal,
    parking_lot::Mutex,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    std::{
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Interval of the load balancer's readiness checks; two misses take a host out.
const READY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a readiness check, in milliseconds.
const READY_TIMEOUT_MS: u64 = 400;

/// Time by which the load balancer has noticed that a host is not ready, in milliseconds.
const NOTICE_MS: u64 = 1500;

/// Time from SIGTERM until a host has ended, in seconds.
const GRACE_S: u64 = 5;

/// Longest wait for a host that starts.
const START_MAX: Duration = Duration::from_secs(15);

/// Longest wait for a target that drains.
const DRAIN_MAX: Duration = Duration::from_secs(10);

/// Time for which requests may be cut because of SIGHUP, in milliseconds.
const RELOAD_MS: u64 = 2000;

/// Time for which the store is away before it comes back from a copy, in milliseconds.
const RESTORE_MS: u64 = 300;

/// Interval at which a process is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a request to a plain target takes, in milliseconds.
const WORK_MS: u64 = 40;

/// How a target comes back that has fallen over.
const BACK_FROM_FALL: Back = Back { after_ms: 2000, keeps_id: false, changes_version: false };

/// Plain targets, which follow the engines.
pub(crate) const PLAIN_TARGETS: usize = 3;

/// Settings of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetConf {
    pub(crate) folder: PathBuf,
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    pub(crate) edge: Option<PathBuf>,
    pub(crate) old_edge: Option<PathBuf>,
    pub(crate) without: Vec<FaultKind>,
    /// True if targets of two software versions serve from the start.
    pub(crate) starts_mixed: bool,
}

// a process is started again only by the task that holds `restart`
#[derive(Default)]
struct Slot {
    process: Mutex<Option<Process>>,
    restart: tokio::sync::Mutex<()>,
}

impl Slot {
    // signals nothing once the process has ended, as its id may be in use again
    fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.lock().as_mut()
            && process.is_running()
        {
            process.send_signal(signal);
        }
    }

    fn is_running(&self) -> bool {
        self.process.lock().as_mut().is_some_and(Process::is_running)
    }

    // returns false if the process had to be killed
    async fn wait_for_exit(&self, timeout: Duration) -> bool {
        let since = Instant::now();
        while self.is_running() {
            if since.elapsed() > timeout {
                self.signal(Signal::SIGKILL);
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

#[derive(Default)]
struct Host {
    slot: Slot,
    is_ready: AtomicBool,
    runs_old_build: AtomicBool,
    debug_logs: AtomicBool,
}

struct Target {
    slot: Slot,
    is_brittle: AtomicBool,
    boot: Mutex<Boot>,
}

#[derive(Default)]
struct Boot {
    generation: u16,
    runs_v2: bool,
    relay: Option<Arc<Relay>>,
}

/// All processes of a run. Dropping it kills them.
pub(crate) struct Fleet {
    conf: FleetConf,
    programs: PathBuf,
    net: [u8; 2],
    started: Instant,
    // leads the group of all processes, and ends it if this program is killed
    store: Process,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    // the callers' and the store's path of each host
    paths: Vec<[Relay; 2]>,
    history: Mutex<History>,
    notes: Mutex<Vec<String>>,
}

impl Fleet {
    /// Starts all processes and waits until the hosts are ready.
    pub(crate) async fn start(conf: FleetConf) -> io::Result<Arc<Self>> {
        let programs = program_folder();
        let id = std::process::id();
        // keeps the addresses of concurrent runs apart
        let net = [u8::try_from(100 + id / 250 % 150).unwrap_or(100), (id % 250) as u8];
        let args = [
            "metastore".to_owned(),
            format!("--listen={}", address(net, 1, 9000)),
            format!("--control={}", address(net, 1, 9001)),
            "--ends-group".to_owned(),
        ];
        let standin = programs.join("egret-standin");
        let store = Process::start_in_group("store", &standin, &args, &conf.folder, Some(0))?;
        let mut paths = Vec::new();
        for host in 0..conf.hosts {
            let caller = Relay::start(
                address(net, host_octet(host), 17_000),
                address(net, host_octet(host), 7000),
            );
            let store = Relay::start(address(net, host_octet(host), 19_000), address(net, 1, 9000));
            paths.push([caller.await?, store.await?]);
        }
        let targets = (0..conf.engines + PLAIN_TARGETS).map(|index| Target {
            slot: Slot::default(),
            is_brittle: AtomicBool::new(false),
            boot: Mutex::new(Boot {
                runs_v2: conf.starts_mixed && index % 2 == 1,
                ..Boot::default()
            }),
        });
        let fleet = Arc::new(Self {
            hosts: (0..conf.hosts).map(|_| Host::default()).collect(),
            targets: targets.collect(),
            programs,
            net,
            started: Instant::now(),
            store,
            paths,
            history: Mutex::default(),
            notes: Mutex::default(),
            conf,
        });
        let record = platform::config(1, 8000, 8, 8).to_string();
        let call = RegistryCall::Write {
            topic: "keyed.op".to_owned(),
            key: "config".to_owned(),
            value: record,
        };
        if !fleet.call_registry(&call).await {
            return Err(io::Error::other("the store does not answer"));
        }
        for index in 0..fleet.targets.len() {
            fleet.start_target(index, None).await?;
        }
        for (index, host) in fleet.hosts.iter().enumerate() {
            host.runs_old_build.store(fleet.conf.old_edge.is_some(), Ordering::Relaxed);
            host.debug_logs.store(true, Ordering::Relaxed);
            fleet.start_host(index, true)?;
        }
        Ok(fleet)
    }

    /// Waits until all hosts are ready. The load balancer has to run.
    pub(crate) async fn wait_until_ready(&self) -> io::Result<()> {
        for index in 0..self.hosts.len() {
            if !self.wait_for_host(index).await {
                return Err(io::Error::other(format!("host {} does not get ready", index + 1)));
            }
        }
        Ok(())
    }

    /// Checks the readiness of all hosts forever, as the load balancer does.
    pub(crate) async fn balance(self: Arc<Self>) {
        let mut checks = JoinSet::new();
        for index in 0..self.hosts.len() {
            let fleet = self.clone();
            checks.spawn(async move {
                let mut misses = 0;
                loop {
                    misses = if fleet.answers_ready(index).await { 0 } else { misses + 1 };
                    if misses == 0 || misses >= 2 {
                        fleet.hosts[index].is_ready.store(misses == 0, Ordering::Relaxed);
                    }
                    tokio::time::sleep(READY_INTERVAL).await;
                }
            });
        }
        while checks.join_next().await.is_some() {}
    }

    async fn answers_ready(&self, index: usize) -> bool {
        let deadline = now().after_ms(READY_TIMEOUT_MS);
        let ready = address(self.net, host_octet(index), 7001);
        let Ok(mut conn) = Conn::open(ready, deadline).await else {
            return false;
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = "/v1/ready".parse().expect("a path");
        conn.call(request, deadline).await.is_ok_and(|reply| reply.status == 200)
    }

    /// A host in rotation and an address of it: its own, or that of the relay before it.
    pub(crate) fn choose_host(&self, rng: &mut ChaCha8Rng) -> (usize, SocketAddr) {
        let is_ready = |index: &usize| self.hosts[*index].is_ready.load(Ordering::Relaxed);
        let mut ready: Vec<usize> = (0..self.hosts.len()).filter(is_ready).collect();
        if ready.is_empty() {
            ready = (0..self.hosts.len()).collect();
        }
        let host = ready[rng.random_range(0..ready.len())];
        let port = if rng.random_bool(0.4) { 17_000 } else { 7000 };
        (host, address(self.net, host_octet(host), port))
    }

    /// Milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// What was played.
    pub(crate) fn history(&self) -> History {
        self.history.lock().clone()
    }

    /// What went otherwise than the schedule has it.
    pub(crate) fn notes(&self) -> Vec<String> {
        self.notes.lock().clone()
    }

    /// Kills all processes and returns what the targets have executed.
    pub(crate) fn end(&self) -> io::Result<Executed> {
        let slots = self.hosts.iter().map(|host| &host.slot);
        for slot in slots.chain(self.targets.iter().map(|target| &target.slot)) {
            slot.process.lock().take();
        }
        let mut executed = Executed::new();
        for index in 0..self.targets.len() {
            for line in std::fs::read_to_string(self.executed_file(index))?.lines() {
                *executed.entry(line.to_owned()).or_default() += 1;
            }
        }
        Ok(executed)
    }

    /// Plays a fault to its end.
    pub(crate) async fn play(self: Arc<Self>, fault: Fault) {
        let from_ms = self.now_ms();
        let planned = match &fault {
            Fault::StopHosts(hosts) => Some(hosts.clone()),
            Fault::ReplaceHost(host) => Some(vec![*host]),
            Fault::ReloadHost(host) => {
                self.reload_host(*host);
                return;
            }
            _ => None,
        };
        if let Some(hosts) = planned {
            let mut stops = JoinSet::new();
            let replaces = matches!(fault, Fault::ReplaceHost(_));
            for host in hosts {
                stops.spawn(self.clone().stop_host(host, replaces));
            }
            while stops.join_next().await.is_some() {}
            return;
        }
        // open until the fault has ended
        let index = {
            let mut history = self.history.lock();
            history.disruptions.push((from_ms, u64::MAX));
            history.disruptions.len() - 1
        };
        if let Err(e) = self.clone().disrupt(fault).await {
            self.note(&e.to_string());
        }
        self.history.lock().disruptions[index].1 = self.now_ms();
    }

    async fn disrupt(self: Arc<Self>, fault: Fault) -> io::Result<()> {
        let sleep_ms = async |ms| tokio::time::sleep(Duration::from_millis(ms)).await;
        match fault {
            Fault::KillTargets(targets, back) => {
                for target in &targets {
                    self.targets[*target].slot.signal(Signal::SIGKILL);
                }
                let mut starts = JoinSet::new();
                for target in targets {
                    let fleet = self.clone();
                    starts.spawn(async move { fleet.bring_back(target, back).await });
                }
                while let Some(started) = starts.join_next().await {
                    started??;
                }
            }
            Fault::StopTarget(target, back) => {
                self.targets[target].slot.signal(Signal::SIGTERM);
                self.targets[target].slot.wait_for_exit(DRAIN_MAX).await;
                self.bring_back(target, back).await?;
            }
            Fault::FreezeTarget(target, ms) => {
                self.targets[target].slot.signal(Signal::SIGSTOP);
                sleep_ms(ms).await;
                self.targets[target].slot.signal(Signal::SIGCONT);
            }
            Fault::KillHosts(hosts, ms) => {
                for host in &hosts {
                    self.hosts[*host].slot.signal(Signal::SIGKILL);
                }
                sleep_ms(ms).await;
                for host in &hosts {
                    // a task that stops the host starts it again
                    if let Ok(_restart) = self.hosts[*host].slot.restart.try_lock()
                        && !self.hosts[*host].slot.is_running()
                    {
                        self.start_host(*host, false)?;
                    }
                }
                for host in hosts {
                    self.wait_for_host(host).await;
                }
            }
            Fault::FreezeHosts(hosts, ms) => {
                let signal_all = |signal| {
                    for host in &hosts {
                        self.hosts[*host].slot.signal(signal);
                    }
                };
                signal_all(Signal::SIGSTOP);
                sleep_ms(ms).await;
                signal_all(Signal::SIGCONT);
            }
            Fault::Store(fault, ms) => {
                self.call_registry(&RegistryCall::Fault(fault)).await;
                sleep_ms(ms).await;
                self.call_registry(&RegistryCall::Fault(StoreFault::None)).await;
            }
            Fault::RestoreStore(age_ms) => {
                self.call_registry(&RegistryCall::Copy).await;
                sleep_ms(age_ms).await;
                self.call_registry(&RegistryCall::Fault(StoreFault::Refuse(503))).await;
                sleep_ms(RESTORE_MS).await;
                // refused if another restore has used the copy
                self.registry().call(&RegistryCall::Restore).await;
                self.call_registry(&RegistryCall::Fault(StoreFault::None)).await;
            }
            Fault::StorePath(host, faults, ms) => {
                harm(&self.paths[host][1], faults, ms).await;
            }
            Fault::CallerPath(host, faults, ms) => {
                harm(&self.paths[host][0], faults, ms).await;
            }
            Fault::TargetPath(target, faults, ms) => {
                let relay = self.targets[target].boot.lock().relay.clone();
                if let Some(relay) = relay {
                    harm(&relay, faults, ms).await;
                }
            }
            Fault::Brittle(service, ms) => self.make_brittle(service, ms).await,
            Fault::StopHosts(_) | Fault::ReplaceHost(_) | Fault::ReloadHost(_) => {}
        }
        Ok(())
    }

    fn targets_of(&self, service: Service) -> std::ops::Range<usize> {
        match service {
            Service::Engines => 0..self.conf.engines,
            Service::Plain => self.conf.engines..self.targets.len(),
        }
    }

    // brings back the targets that fall over meanwhile
    async fn make_brittle(self: &Arc<Self>, service: Service, ms: u64) {
        let targets = self.targets_of(service);
        let falls_before = self.count_falls(service);
        let from_ms = self.now_ms();
        for target in targets.clone() {
            self.targets[target].is_brittle.store(true, Ordering::Relaxed);
            self.targets[target].slot.signal(Signal::SIGUSR1);
        }
        while self.now_ms() < from_ms + ms {
            for target in targets.clone() {
                if !self.targets[target].slot.is_running() {
                    let fleet = self.clone();
                    tokio::spawn(async move { fleet.bring_back(target, BACK_FROM_FALL).await });
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for target in targets.clone() {
            self.targets[target].is_brittle.store(false, Ordering::Relaxed);
            self.targets[target].slot.signal(Signal::SIGUSR2);
        }
        let falls = self.count_falls(service) - falls_before;
        let time = BrittleTime { from_ms, targets: targets.len(), falls };
        self.history.lock().brittle.push(time);
    }

    fn count_falls(&self, service: Service) -> usize {
        let text = |index| std::fs::read_to_string(self.falls_file(index)).unwrap_or_default();
        self.targets_of(service).map(|index| text(index).lines().count()).sum()
    }

    fn falls_file(&self, index: usize) -> PathBuf {
        self.conf.folder.join(format!("falls-{}", index + 1))
    }

    fn note(&self, text: &str) {
        self.notes.lock().push(format!("{:>7} ms  {text}", self.now_ms()));
    }

    fn registry(&self) -> Registry {
        Registry(address(self.net, 1, 9001))
    }

    // repeats a call until it succeeds; returns false if it does not
    async fn call_registry(&self, call: &RegistryCall) -> bool {
        let since = Instant::now();
        while since.elapsed() < START_MAX {
            if self.registry().call(call).await {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.note(&format!("the store does not answer {call:?}"));
        false
    }

    fn reload_host(&self, index: usize) {
        let host = &self.hosts[index];
        host.debug_logs.fetch_xor(true, Ordering::Relaxed);
        if let Err(e) = self.write_settings(index, false) {
            self.note(&e.to_string());
        }
        host.slot.signal(Signal::SIGHUP);
        let from_ms = self.now_ms();
        let until_ms = from_ms + RELOAD_MS;
        let stop = Stop { host: index, from_ms, until_ms, grace_ends_ms: u64::MAX };
        self.history.lock().stops.push(stop);
    }

    async fn stop_host(self: Arc<Self>, index: usize, replaces: bool) {
        let host = &self.hosts[index];
        let Ok(_restart) = host.slot.restart.try_lock() else {
            return self.note(&format!("host {} is stopping already", index + 1));
        };
        if !host.slot.is_running() {
            return self.note(&format!("host {} is down", index + 1));
        }
        let from_ms = self.now_ms();
        host.slot.signal(Signal::SIGTERM);
        let grace = Duration::from_secs(GRACE_S);
        if !host.slot.wait_for_exit(grace + Duration::from_secs(2)).await {
            self.note(&format!("host {} did not end by itself", index + 1));
            host.slot.wait_for_exit(grace).await;
        }
        let grace_ends_ms = from_ms + GRACE_S * 1000 * 5 / 6;
        let stop = Stop { host: index, from_ms, until_ms: self.now_ms(), grace_ends_ms };
        self.history.lock().stops.push(stop);
        if replaces {
            host.runs_old_build.fetch_xor(true, Ordering::Relaxed);
        }
        if let Err(e) = self.start_host(index, false) {
            self.note(&e.to_string());
        }
        self.wait_for_host(index).await;
    }

    async fn wait_for_host(&self, index: usize) -> bool {
        let since = Instant::now();
        while since.elapsed() < START_MAX {
            if self.answers_ready(index).await {
                self.hosts[index].is_ready.store(true, Ordering::Relaxed);
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.note(&format!("host {} does not get ready", index + 1));
        false
    }

    fn write_settings(&self, index: usize, is_first: bool) -> io::Result<PathBuf> {
        let octet = host_octet(index);
        let debug_logs = self.hosts[index].debug_logs.load(Ordering::Relaxed);
        let settings = format!(
            "host = \"host-{n}\"\ndata_centre = \"dc-{dc}\"\nfirst_start = {is_first}\n\
             [listen]\ncallers = \"{}\"\nready = \"{}\"\nlinks = \"{}\"\nmetrics = \"{}\"\n\
             [store]\naddress = \"{}\"\nlapse_ms = 4000\n\
             [orders]\nfencing = \"checked\"\nlease_ms = 300\nceiling_window_s = 5\n\
             ceiling_over = 1.1\n\
             [retries]\nwindow_s = 2\nratio = 0.2\nfree = 60\n\
             [stop]\nnotice_ms = {NOTICE_MS}\ngrace_s = {GRACE_S}\n\
             [logs]\nto = \"stderr\"\nformat = \"json\"\nlevel = \"{}\"\n",
            address(self.net, octet, 7000),
            address(self.net, octet, 7001),
            address(self.net, octet, 7002),
            address(self.net, octet, 7003),
            address(self.net, octet, 19_000),
            if debug_logs { "debug" } else { "info" },
            n = index + 1,
            dc = index % 2 + 1,
        );
        let file = self.conf.folder.join(format!("host-{}.toml", index + 1));
        std::fs::write(&file, settings)?;
        Ok(file)
    }

    fn start_host(&self, index: usize, is_first: bool) -> io::Result<()> {
        let file = self.write_settings(index, is_first)?;
        let host = &self.hosts[index];
        let old = host.runs_old_build.load(Ordering::Relaxed);
        let edge = if old { &self.conf.old_edge } else { &self.conf.edge };
        let edge = edge.clone().unwrap_or_else(|| self.programs.join("egret-edge"));
        let args = ["--config".to_owned(), file.display().to_string()];
        let name = format!("host-{}", index + 1);
        let process = self.start_process(&name, &edge, &args)?;
        *host.slot.process.lock() = Some(process);
        Ok(())
    }

    fn start_process(&self, name: &str, program: &Path, args: &[String]) -> io::Result<Process> {
        let leader = Some(self.store.id());
        Process::start_in_group(name, program, args, &self.conf.folder, leader)
    }

    async fn bring_back(&self, index: usize, back: Back) -> io::Result<()> {
        let slot = &self.targets[index].slot;
        let Ok(_restart) = slot.restart.try_lock() else {
            return Ok(());
        };
        slot.wait_for_exit(DRAIN_MAX).await;
        tokio::time::sleep(Duration::from_millis(back.after_ms)).await;
        self.start_target(index, Some(back)).await
    }

    fn executed_file(&self, index: usize) -> PathBuf {
        self.conf.folder.join(format!("executed-{}", index + 1))
    }

    async fn start_target(&self, index: usize, back: Option<Back>) -> io::Result<()> {
        let target = &self.targets[index];
        let (mut generation, mut runs_v2, mut relay) = {
            let boot = target.boot.lock();
            (boot.generation, boot.runs_v2, boot.relay.clone())
        };
        if back.is_some_and(|back| back.changes_version) {
            runs_v2 = !runs_v2;
        }
        if back.is_some_and(|back| !back.keeps_id) {
            generation += 1;
            relay = None;
        }
        let octet = u8::try_from(100 + index).unwrap_or(u8::MAX);
        let listen = address(self.net, octet, 8000 + generation);
        // hosts reach every other target through a relay, but not those whose answers end with the
        // connection, since a relay that closes can't be told from them
        let relay_address = address(self.net, octet, 18_000 + generation);
        let is_unframed = index % 3 == 2 && !self.conf.without.contains(&FaultKind::Unframed);
        let is_relayed = index % 2 == 1 && !is_unframed;
        if is_relayed && relay.is_none() {
            relay = Some(Arc::new(Relay::start(relay_address, listen).await?));
        }
        let is_engine = index < self.conf.engines;
        let kind = if is_engine { "engines" } else { "plain" };
        let mut args = vec![
            "target".to_owned(),
            format!("--id={}-{}.{generation}", &kind[..1], index + 1),
            format!("--listen={listen}"),
            format!("--reached-at={}", if is_relayed { relay_address } else { listen }),
            format!("--software-version=v{}", if runs_v2 { 2 } else { 1 }),
            format!("--service={kind}"),
            format!("--data-centre=dc-{}", index % 2 + 1),
            format!("--framing={}", if is_unframed { "until-close" } else { "chunked" }),
            format!("--events={}", if is_engine { 6 } else { 0 }),
            "--pause-ms=25".to_owned(),
            "--adapters=a0,a1,a2,a3".to_owned(),
            format!("--registry={}", self.registry().0),
            format!("--executed={}", self.executed_file(index).display()),
            format!("--work-ms={WORK_MS}"),
            format!("--falls={}", self.falls_file(index).display()),
        ];
        if target.is_brittle.load(Ordering::Relaxed) {
            args.push("--brittle".to_owned());
        }
        let name = format!("target-{}", index + 1);
        let program = Path::new(&self.programs).join("egret-standin");
        let process = self.start_process(&name, &program, &args)?;
        *target.slot.process.lock() = Some(process);
        *target.boot.lock() = Boot { generation, runs_v2, relay };
        Ok(())
    }
}

async fn harm(relay: &Relay, faults: RelayFaults, ms: u64) {
    relay.set_faults(faults);
    tokio::time::sleep(Duration::from_millis(ms)).await;
    relay.set_faults(RelayFaults::default());
}

fn address([a, b]: [u8; 2], octet: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, a, b, octet], port))
}

fn host_octet(index: usize) -> u8 {
    u8::try_from(10 + index).unwrap_or(u8::MAX)
}
