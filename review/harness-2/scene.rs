//! A small deployment on loopback addresses: the project's entry hosts, with stand-ins around them.

use {
    crate::{
        http::{Answer, call},
        store::Store,
        util::{Record, free_address},
    },
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Interval of the heartbeats of servers.
pub const HEARTBEAT_MS: u64 = 1200;

/// A host's program, started with the command of the deploy file.
pub struct Edge {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub edges: Vec<Edge>,
    folder: PathBuf,
    servers: Vec<(String, Child)>,
}

impl Drop for Scene {
    fn drop(&mut self) {
        let edges = self.edges.iter_mut().map(|edge| &mut edge.child);
        for child in edges.chain(self.servers.iter_mut().map(|(_, child)| child)) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Scene {
    /// Starts the store. `folder` is for settings and logs.
    pub fn start(record: Record, folder: &Path) -> Self {
        let store = Store::start(free_address("127.0.0.1"), HEARTBEAT_MS, &record);
        let folder = folder.to_owned();
        Self { record, store, edges: Vec::new(), folder, servers: Vec::new() }
    }

    /// Starts a host with the settings of the template, as the platform fills it in.
    pub fn start_edge(&mut self, number: usize) {
        let name = format!("front-port-louis-{number}");
        let ip = format!("127.0.1.{number}");
        let [callers, ready, links, metrics] = std::array::from_fn(|_| free_address(&ip));
        let text = format!(
            "host = \"{name}\"\ndata_centre = \"port-louis\"\nfirst_start = true\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nlinks = \"{links}\"\n\
             metrics = \"{metrics}\"\n[store]\naddress = \"{}\"\n\
             [orders]\nfencing = \"checked\"\nlease_ms = 3000\nceiling_window_s = 5\n\
             ceiling_over = 1.1\n[retries]\nwindow_s = 10\nratio = 0.2\nfree = 174\n\
             [accounts]\nrevoke_ms = 5000\nfail_closed = true\n\
             [allowances]\nwindow_s = 8\noverage = 0.1\nslack = 17000\n\
             [memory]\nhost_mb = 400\n[descriptors]\nprocess_max = 8192\n[stop]\ngrace_s = 8\n\
             [logs]\nto = \"stdout\"\nformat = \"json\"\nlevel = \"info\"\n",
            self.store.address
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings are written");
        let child = start_program(&settings, &self.folder.join(format!("{name}.log")));
        self.edges.push(Edge { name, callers, ready, settings, child });
    }

    /// Kills the program of a host and starts it again.
    pub fn restart_edge(&mut self, index: usize) {
        let log = self.folder.join(format!("{}.log", self.edges[index].name));
        let edge = &mut self.edges[index];
        let _ = edge.child.kill();
        let _ = edge.child.wait();
        edge.child = start_program(&edge.settings, &log);
    }

    /// Stops the program of a host as the platform does, and starts it again.
    pub fn stop_edge(&mut self, index: usize) {
        self.signal_edge(index, "-TERM");
        let stopped_at = Instant::now();
        let child = &mut self.edges[index].child;
        while matches!(child.try_wait(), Ok(None)) && stopped_at.elapsed().as_secs() < 8 {
            thread::sleep(Duration::from_millis(50));
        }
        self.restart_edge(index);
    }

    /// Sends a signal to the program of a host.
    pub fn signal_edge(&self, index: usize, signal: &str) {
        let pid = self.edges[index].child.id();
        let sent = Command::new("bash").args(["-c", &format!("kill {signal} {pid}")]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Waits until all hosts say that they are ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let is_ready = |edge: &Edge| {
            let head = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n";
            let answer = call(edge.ready, head, b"", Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status == 200)
        };
        while Instant::now() < deadline {
            if self.edges.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Starts a server as a process of its own.
    pub fn start_server(&mut self, id: &str, listen: SocketAddr, args: &[&str]) {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        command.args(["server", "--id", id, "--listen", &listen.to_string()]);
        command.args(["--store", &self.store.address.to_string()]);
        command.args(["--heartbeat-ms", &HEARTBEAT_MS.to_string()]);
        command.arg("--record").arg(&self.record.path).args(args);
        let child = command.stdin(Stdio::null()).stderr(Stdio::null()).spawn();
        self.servers.push((id.to_owned(), child.expect("a server starts")));
    }

    /// Waits until these servers are registered.
    pub fn wait_for_servers(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.servers.iter().all(|(id, _)| self.store.has_server(id)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills a server.
    pub fn kill_server(&mut self, id: &str) {
        if let Some(at) = self.servers.iter().position(|(known, _)| known == id) {
            let (_, mut child) = self.servers.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Servers that have ended by themselves since the last call.
    pub fn take_ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        self.servers.retain_mut(|(id, child)| {
            let has_ended = matches!(child.try_wait(), Ok(Some(_)));
            if has_ended {
                ended.push(id.clone());
            }
            !has_ended
        });
        ended
    }
}

fn start_program(settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new("target/release/egret-edge");
    command.arg("--config").arg(settings).stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
    command.spawn().expect("egret-edge starts; is it built?")
}

/// Sends a client's request to a host, and records it and its answer.
pub fn send(
    record: &Record,
    host: SocketAddr,
    id: &str,
    head: &str,
    body: &[u8],
    timeout_ms: u64,
) -> Result<Answer, String> {
    record.line(&format!("client: sends {id} to {host}"));
    let head = format!("{head}Request-Id: {id}\r\nDeadline-Ms: {timeout_ms}\r\n");
    let answer = call(host, &head, body, Duration::from_millis(timeout_ms));
    match &answer {
        Ok(answer) => record.line(&format!(
            "client: {id} is answered {} seal={} bytes={} whole={}",
            answer.status,
            answer.header("server-seal").unwrap_or("-"),
            answer.body.len(),
            answer.is_whole
        )),
        Err(problem) => record.line(&format!("client: {id} gets no answer: {problem}")),
    }
    answer
}
