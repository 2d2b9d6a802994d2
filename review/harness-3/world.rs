//! Hosts of the system as processes of their own, and the record of a run.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    pub started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    pub fn write(&self, line: &str) {
        let ms = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} {line}");
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.duration_since(self.started).as_millis()
    }
}

/// A process of the system. Dropping it kills it.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub started: Instant,
    child: Child,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses of a host, on free ports.
#[derive(Clone, Copy)]
pub struct Addresses([SocketAddr; 4]);

impl Addresses {
    pub fn free() -> Self {
        let addresses = Self::free_list(4);
        Self(std::array::from_fn(|index| addresses[index]))
    }

    /// Addresses with free ports. They lie below those that the system gives to outgoing connections, and
    /// none is handed out twice.
    pub fn free_list(count: usize) -> Vec<SocketAddr> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let first = std::process::id().wrapping_mul(97);
        let candidates = std::iter::from_fn(|| {
            let number = first.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
            Some(SocketAddr::from(([127, 0, 0, 1], (20_000 + number % 12_000) as u16)))
        });
        candidates.filter(|address| TcpListener::bind(address).is_ok()).take(count).collect()
    }
}

pub struct HostSettings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub is_first_start: bool,
    pub folder: &'a Path,
}

/// Starts a host with the command of the deploy file.
pub fn start_host(settings: &HostSettings<'_>) -> Host {
    let addresses = Addresses::free();
    let [callers, ready, links, metrics] = addresses.0;
    let HostSettings { name, zone, store, is_first_start, folder } = settings;
    let text = format!(
        "host = \"{name}\"\ndata_centre = \"{zone}\"\nfirst_start = {is_first_start}\n\n\
         [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nlinks = \"{links}\"\n\
         metrics = \"{metrics}\"\n\n[store]\naddress = \"{store}\"\n\n\
         [orders]\nfencing = \"checked\"\nlease_ms = 3000\nceiling_window_s = 5\n\
         ceiling_over = 1.1\n\n[retries]\nwindow_s = 10\nratio = 0.2\nfree = 54\n\n\
         [memory]\nhost_mb = 390\n\n[descriptors]\nprocess_max = 6150\n\n[stop]\ngrace_s = 8\n\n\
         [logs]\nto = \"stdout\"\nformat = \"text\"\nlevel = \"info\"\n"
    );
    let file: PathBuf = folder.join(format!("{name}.toml"));
    fs::write(&file, text).expect("the settings can be written");
    let log = File::create(folder.join(format!("{name}.log"))).expect("the log can be written");
    let child = Command::new("target/release/egret-edge")
        .arg("--config")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log can be written"))
        .stderr(log)
        .spawn();
    let child = match child {
        Ok(child) => child,
        Err(problem) => {
            eprintln!("the host does not start: {problem}");
            std::process::exit(2);
        }
    };
    Host { name: (*name).to_owned(), callers, ready, started: Instant::now(), child }
}

/// Waits until a host says that it is ready.
pub fn wait_until_ready(host: &Host, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let answer =
            crate::http::call(host.ready, "GET", "/v1/ready", &[], b"", Duration::from_secs(1));
        if answer.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Where the record of a run is written.
pub fn record_path(case: &str) -> PathBuf {
    let path = std::env::var("RECORD").unwrap_or_else(|_| format!("review/{case}/record.txt"));
    PathBuf::from(path)
}

/// A folder for the files of one run.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("egretshore-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// True unless the run leaves the disruption out.
pub fn has_trouble() -> bool {
    !std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
