//! A crowd of clients at one host, and what the host holds meanwhile.

use {
    crate::support::{Deployment, EdgeProcess, config, request},
    egret_standin::platform::{ROUTE_HOST, Target, TargetFault},
    futures::stream::{self, StreamExt},
    http::Method,
    std::{
        fs,
        net::SocketAddr,
        os::unix::fs::PermissionsExt,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        sync::{Mutex, MutexGuard},
        task::JoinHandle,
        time::timeout,
    },
};

/// Memory of the machine.
const MACHINE_MB: u64 = 64;

/// The same in the settings of the host.
const SETTINGS: &str = "[memory]\nhost_mb = 64\n";

/// Descriptors of the process.
const DESCRIPTORS: u64 = 1024;

/// Descriptors that are reserved for files, so that sockets may not take them.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Clients that send at the same time. The others have stopped, or have not begun.
const SENDING_MAX: usize = 200;

/// Longest time for which a client tries to send; a host may read no further.
const SENDING_TIME: Duration = Duration::from_secs(20);

/// Time for which a client sends that does not end by itself.
const ENDLESS_TIME: Duration = Duration::from_secs(3);

/// The host has read what it is going to read once it has hardly worked for this time.
const SETTLING: Duration = Duration::from_millis(500);

/// Processor time that an idle host uses in that time, in ticks of the system.
const IDLE_TICKS: u64 = 3;

/// Longest wait for that.
const SETTLING_MAX: Duration = Duration::from_mins(2);

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Crowds come one after another, so that a host has the processor for itself.
static TURN: Mutex<()> = Mutex::const_new(());

/// What one client sends before it stops. It keeps its connection open.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) bytes: Arc<[u8]>,
    /// Bytes of each write.
    pub(crate) write_bytes: usize,
    /// True if the bytes are sent again and again until the host closes the connection.
    pub(crate) is_endless: bool,
}

impl Sent {
    /// Sends `bytes` at once and stops.
    pub(crate) fn whole(bytes: Vec<u8>) -> Self {
        Self { write_bytes: bytes.len(), bytes: bytes.into(), is_endless: false }
    }

    /// Sends in writes of this many bytes.
    pub(crate) fn in_writes(self, write_bytes: usize) -> Self {
        Self { write_bytes, ..self }
    }

    pub(crate) fn without_end(self) -> Self {
        Self { is_endless: true, ..self }
    }
}

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
    peaks: Arc<Peaks>,
    sampler: JoinHandle<()>,
    _d: Deployment,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

/// Highest values so far.
#[derive(Debug, Default)]
struct Peaks {
    // bytes that were received and not read, in kilobytes
    unread_kb: AtomicU64,
    descriptors: AtomicU64,
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
        let peaks = Arc::new(Peaks::default());
        let sampler = tokio::spawn(sample(edge.process.id(), edge.caller_address, peaks.clone()));
        Self { edge, target, peaks, sampler, _d: d, _turn: turn }
    }

    /// Lets `count` clients send to `address`, checks the host while they are connected, and then once they
    /// are gone.
    pub(crate) async fn check(
        mut self,
        address: SocketAddr,
        count: usize,
        sent: impl Fn(usize) -> Sent,
    ) {
        let sends = (0..count).map(|number| send(address, sent(number)));
        let clients: Vec<_> = stream::iter(sends).buffer_unordered(SENDING_MAX).collect().await;
        self.settle().await;
        self.check_host("beside the crowd");
        self.target.set_fault(TargetFault::None);
        self.edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
        drop(clients);
        self.settle().await;
        self.check_host("after the crowd");
        self.edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
    }

    // waits until the host reads no further
    async fn settle(&self) {
        let settled = async {
            let mut before = cpu_ticks(self.edge.process.id());
            loop {
                tokio::time::sleep(SETTLING).await;
                let ticks = cpu_ticks(self.edge.process.id());
                if ticks <= before + IDLE_TICKS {
                    return;
                }
                before = ticks;
            }
        };
        let _ = timeout(SETTLING_MAX, settled).await;
    }

    fn check_host(&mut self, when: &str) {
        assert!(self.edge.process.is_running(), "the process has ended {when}");
        let resident_kb = self.edge.process.peak_memory_kb();
        let unread_kb = self.peaks.unread_kb.load(Ordering::Relaxed);
        let descriptors = self.peaks.descriptors.load(Ordering::Relaxed);
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

// returns the connection, if there is one, to keep it open
async fn send(address: SocketAddr, sent: Sent) -> Option<TcpStream> {
    let mut stream = timeout(SENDING_TIME, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let write = async {
        loop {
            for part in sent.bytes.chunks(sent.write_bytes) {
                if stream.write_all(part).await.is_err() {
                    return;
                }
            }
            if !sent.is_endless {
                return;
            }
        }
    };
    let time = if sent.is_endless { ENDLESS_TIME } else { SENDING_TIME };
    let _ = timeout(time, write).await;
    Some(stream)
}

async fn sample(process: u32, callers: SocketAddr, peaks: Arc<Peaks>) {
    loop {
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        peaks.descriptors.fetch_max(descriptors as u64, Ordering::Relaxed);
        peaks.unread_kb.fetch_max(unread_bytes(callers) / 1024, Ordering::Relaxed);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

// processor time that a process has used so far
fn cpu_ticks(process: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // the name of the program, in parentheses, may contain spaces
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    fields.split_whitespace().skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
}

// bytes that were received and not read, on all connections to the address of a host
fn unread_bytes(host: SocketAddr) -> u64 {
    let SocketAddr::V4(host) = host else {
        return 0;
    };
    // the kernel prints an address as a number in the byte order of the machine
    let prefix = format!("{:08X}:", u32::from_ne_bytes(host.ip().octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let &[_, local, _, state, queues, ..] = &fields[..] else {
            return None;
        };
        // the queue of a listener counts connections
        let is_open = state != "0A" && local.starts_with(&prefix);
        let (_, received) = queues.split_once(':').filter(|_| is_open)?;
        u64::from_str_radix(received, 16).ok()
    });
    unread.sum()
}
