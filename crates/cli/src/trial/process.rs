//! Child processes of a trial.

use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use snafu::Snafu;

/// Time between two looks at a child.
const EXIT_CHECK: Duration = Duration::from_millis(20);

/// Why a trial could not be run.
#[derive(Debug, Snafu)]
pub enum TrialError {
    /// A program cannot be started.
    #[snafu(display("cannot start {program}: {source}; build the workspace first"))]
    Start {
        /// The program.
        program: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Files, ports or signals are not to be had.
    #[snafu(display("{source}; free a port or a folder"), context(false))]
    System {
        /// What the system said.
        source: std::io::Error,
    },
    /// The fleet did not become ready.
    #[snafu(display("the fleet is not ready after {seconds} s; look at the logs in {folder}"))]
    NotReady {
        /// How long it was waited for.
        seconds: u64,
        /// Folder with settings and logs.
        folder: String,
    },
    /// The load could not be compared with the run logs.
    #[snafu(display("{detail}"))]
    Load {
        /// Why.
        detail: String,
    },
}

/// Signals that trials send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// End at once, without a chance to do anything.
    Kill,
    /// End in order.
    Terminate,
    /// Stand still.
    Stop,
    /// Go on.
    Continue,
}

/// One child process; it is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program`; its log goes to `log`.
    ///
    /// # Errors
    /// `TrialError::Start` when the program is not there.
    pub fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self, TrialError> {
        let output = std::fs::File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|source| TrialError::Start {
                program: program.display().to_string(),
                source,
            })?;
        Ok(Self { child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`; a child that has ended is no error.
    pub fn signal(&self, signal: ProcessSignal) {
        let name = match signal {
            ProcessSignal::Kill => "-KILL",
            ProcessSignal::Terminate => "-TERM",
            ProcessSignal::Stop => "-STOP",
            ProcessSignal::Continue => "-CONT",
        };
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        if let Err(error) = sent {
            log::error!("cannot send {name}: {error}; install the kill program");
        }
    }

    /// Waits for the end; `None` when `limit` passes first.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if started.elapsed() >= limit => return None,
                _ => std::thread::sleep(EXIT_CHECK),
            }
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
