//! A crowd of clients at one host, and what the host holds meanwhile.

use {
    crate::support::{Deployment, EdgeProcess, config, request},
    egret_scenarios::{Holdings, Sent, send_crowd},
    egret_standin::platform::{ROUTE_HOST, Target, TargetFault},
    http::{Method, header},
    std::{
        fs,
        net::SocketAddr,
        os::unix::fs::PermissionsExt,
        sync::atomic::{AtomicU64, Ordering},
    },
    tokio::sync::{Mutex, MutexGuard},
};

/// Memory of the machine.
const MACHINE_MB: u64 = 64;

/// The same in the settings of the host.
const SETTINGS: &str = "[memory]\nhost_mb = 64\n";

/// Descriptors of the process.
const DESCRIPTORS: u64 = 1024;

/// Descriptors that are reserved for files, so that sockets may not take them.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Crowds come one after another, so that a host has the processor for itself.
static TURN: Mutex<()> = Mutex::const_new(());

/// A request without its body, whose length or coding is in `framing`.
pub(crate) fn request_head(framing: &str) -> Vec<u8> {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    format!(
        "POST /once/a HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: crowd-{id:06x}\r\n\
         Deadline-Ms: 60000\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

/// The host, one target, and the memory that clients make the host hold.
pub(crate) struct Scene {
    pub(crate) edge: EdgeProcess,
    pub(crate) target: Target,
    holdings: Holdings,
    pub(crate) d: Deployment,
    _turn: MutexGuard<'static, ()>,
}

impl Scene {
    /// Starts a host whose callers may send bodies of `body_bytes`.
    pub(crate) async fn new(body_bytes: usize) -> Self {
        let turn = TURN.lock().await;
        let mut d = Deployment::new().await;
        d.more_settings = SETTINGS;
        let mut routes = config(7, 60_000);
        routes["limits"]["max_body_bytes"] = body_bytes.into();
        d.store.write("keyed.op", "config", Some(&routes.to_string()));
        let target = d.start_plain_target("p-1").await;
        let folder = tempfile::tempdir().unwrap();
        let program = folder.path().join("limited");
        let text = format!(
            "#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec {} \"$@\"\n",
            env!("CARGO_BIN_EXE_egret-edge")
        );
        fs::write(&program, text).unwrap();
        fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
        let edge = d.start_edge_of(1, &program);
        edge.wait_until_ready().await;
        edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
        let holdings = Holdings::watch(edge.process.id(), edge.caller_address);
        Self { edge, target, holdings, d, _turn: turn }
    }

    /// Lets `count` clients send to `address`, checks the host while they are connected, and then once they
    /// are gone.
    pub(crate) async fn check(
        self,
        address: SocketAddr,
        count: usize,
        sent: impl Fn(usize) -> Sent,
    ) {
        self.check_answered(200, address, count, sent).await;
    }

    /// The same, where an ordinary request gets `status` while the clients are connected.
    pub(crate) async fn check_answered(
        mut self,
        status: u16,
        address: SocketAddr,
        count: usize,
        sent: impl Fn(usize) -> Sent,
    ) {
        let clients = send_crowd(address, count, sent).await;
        self.holdings.settle().await;
        self.check_host("beside the crowd");
        if status == 200 {
            self.target.set_fault(TargetFault::None);
        }
        let answer = self.edge.call_until(status, || request(Method::POST, "/once/a", &[])).await;
        let may_retry = answer.headers.contains_key(header::RETRY_AFTER);
        assert_eq!(may_retry, status == 503, "{:?}", answer.headers);
        drop(clients);
        self.target.set_fault(TargetFault::None);
        self.holdings.settle().await;
        self.check_host("after the crowd");
        self.edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
    }

    fn check_host(&mut self, when: &str) {
        assert!(self.edge.process.is_running(), "the process has ended {when}");
        let resident_kb = self.edge.process.peak_memory_kb();
        let unread_kb = self.holdings.unread_kb();
        let descriptors = self.holdings.descriptors();
        println!("{when}: {resident_kb} KB, {unread_kb} KB unread, {descriptors} descriptors");
        assert!(
            resident_kb + unread_kb <= MACHINE_MB * 1024,
            "{resident_kb} KB of memory and {unread_kb} KB unread {when}"
        );
        assert!(
            descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS,
            "{descriptors} descriptors {when}"
        );
    }
}
