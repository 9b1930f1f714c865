//! Child processes of a trial.

use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use snafu::Snafu;

/// Interval between checks whether a child has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a trial could not be run.
#[derive(Debug, Snafu)]
pub enum TrialError {
    /// A program could not be started.
    #[snafu(display("cannot start {program}: {source}; build the workspace first"))]
    Start {
        /// Path of the program.
        program: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file, port or thread was unavailable.
    #[snafu(display("{source}; free a port or a folder"), context(false))]
    System {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The fleet did not become ready in time.
    #[snafu(display(
        "the fleet is not ready after {seconds} s; look for the process that ended or waits in the \
         last lines of the logs:\n{logs}"
    ))]
    NotReady {
        /// Time limit that has passed, in seconds.
        seconds: u64,
        /// Name and last line of each process's log; the logs go with the fleet.
        logs: String,
    },
    /// The load failed, or its result could not be compared with the run logs.
    #[snafu(display("{detail}"))]
    Load {
        /// Reason.
        detail: String,
    },
}

/// Signal that a trial sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// `SIGKILL`: ends the process at once, without cleanup.
    Kill,
    /// `SIGTERM`: asks for a graceful shutdown.
    Terminate,
    /// `SIGSTOP`: pauses the process.
    Stop,
    /// `SIGCONT`: resumes a paused process.
    Continue,
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with its standard output and standard error redirected to the file `log`.
    ///
    /// # Errors
    /// `TrialError::Start` if the program cannot be started, `TrialError::System` if the log file
    /// cannot be created.
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

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`; a child that has already exited is not an error.
    pub fn signal(&self, signal: ProcessSignal) {
        let name = match signal {
            ProcessSignal::Kill => "-KILL",
            ProcessSignal::Terminate => "-TERM",
            ProcessSignal::Stop => "-STOP",
            ProcessSignal::Continue => "-CONT",
        };
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        if let Err(error) = sent {
            log::error!("cannot send signal {name}: {error}; install the kill program");
        }
    }

    /// Waits until the child exits; `None` if it is still running after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if started.elapsed() >= limit => return None,
                _ => std::thread::sleep(EXIT_POLL_INTERVAL),
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
