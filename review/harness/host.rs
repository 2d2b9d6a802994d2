//! The system's own processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Conn;

const PROGRAM: &str = "target/release/egret-edge";

/// Longest wait until a host is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry host. Dropping it kills its process.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    pub started_at: Instant,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .arg("--config")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

impl Host {
    /// Starts a host of the data centre `zone`, with the settings that the template makes of the
    /// figures of the smallest site.
    pub fn start(
        name: &str,
        zone: &str,
        is_first_start: bool,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let (callers, ready) = (free_address()?, free_address()?);
        let (links, metrics) = (free_address()?, free_address()?);
        let text = format!(
            "host = \"{name}\"\ndata_centre = \"{zone}\"\nfirst_start = {is_first_start}\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nlinks = \"{links}\"\n\
             metrics = \"{metrics}\"\n\
             [store]\naddress = \"{store}\"\n\
             [orders]\nfencing = \"checked\"\nlease_ms = 3000\nceiling_window_s = 5\n\
             ceiling_over = 1.1\n\
             [retries]\nwindow_s = 10\nratio = 0.2\nfree = 54\n\
             [accounts]\nrevoke_ms = 5000\nfail_closed = true\n\
             [memory]\nhost_mb = 390\n\
             [stop]\ngrace_s = 8\n\
             [logs]\nto = \"stdout\"\nformat = \"json\"\nlevel = \"info\"\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log)?;
        let name = name.to_owned();
        Ok(Self { name, callers, ready, settings, log, child, started_at: Instant::now() })
    }

    /// True if the host answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::open(self.ready, Duration::from_millis(500))?;
            conn.request("GET", "/v1/ready", &[("Host", "ready")], b"")?;
            Ok(conn.read_answer()?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the host is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Kills the process and starts it again, as the platform does.
    pub fn restart(&mut self) -> io::Result<()> {
        let _ = self.child.kill();
        self.child.wait()?;
        // the settings say that only of the first start of the whole system
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("first_start = true", "first_start = false"))?;
        self.child = spawn(&self.settings, &self.log)?;
        self.started_at = Instant::now();
        Ok(())
    }

    /// Lines of the host's output that hold `text`.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
