//! A child process of a deployment.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::File,
        io,
        os::unix::process::CommandExt,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// Interval at which a process is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program`. Its output is appended to `folder/NAME.log`.
    ///
    /// # Errors
    ///
    /// The log file can't be opened or the program can't be started.
    pub fn start(name: &str, program: &Path, args: &[String], folder: &Path) -> io::Result<Self> {
        Self::start_in_group(name, program, args, folder, None)
    }

    /// Starts `program` like [`Self::start`] in the process group that the process `leader` leads, or in
    /// a new one if that is 0. Without a leader it is in the group of this process.
    ///
    /// # Errors
    ///
    /// The log file can't be opened or the program can't be started.
    pub fn start_in_group(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
        leader: Option<u32>,
    ) -> io::Result<Self> {
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(program);
        if let Some(leader) = leader {
            command.process_group(leader.cast_signed());
        }
        let child = command
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::other(format!("{}: {e}", program.display())))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Name within the deployment.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Highest resident memory of the process so far, in kilobytes; 0 if it has ended.
    #[must_use]
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        peak.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Waits for the process to exit. Returns none when it is still running after `timeout`.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// True while the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
