//! One process of a deployment.

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs::File,
        io,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// How often is looked whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that this one started. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program` with its output in `folder`.
    ///
    /// # Errors
    ///
    /// When it can't be started.
    pub fn start(name: &str, program: &Path, args: &[String], folder: &Path) -> io::Result<Self> {
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::other(format!("{}: {e}", program.display())))?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Its name within the deployment.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this very process.
    pub fn send_signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Waits for its end; none when it still runs after `most`.
    pub fn wait_for_exit(&mut self, most: Duration) -> Option<ExitStatus> {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// True while it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it and waits until it is gone.
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
