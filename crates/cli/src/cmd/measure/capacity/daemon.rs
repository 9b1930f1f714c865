//! Daemons run as separate processes, so that the system accounts the usage of each role.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::usage::{ProcessUsage, read_usage};
use crate::cmd::CommandError;

/// Longest wait for a daemon to listen.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Wait between two attempts to connect to a starting daemon.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon; dropping it kills the process.
pub(super) struct DaemonProcess {
    child: Child,
}

impl DaemonProcess {
    /// Starts a daemon with `settings`, written to `folder` as `name`, and waits until it listens
    /// on `port`.
    pub(super) fn start(
        folder: &Path,
        name: &str,
        settings: &Value,
        port: SocketAddr,
    ) -> Result<Self, CommandError> {
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings.to_string()).map_err(CommandError::refused)?;
        let child = Command::new(daemon_program()?)
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .map_err(CommandError::refused)?;
        let process = Self { child };
        let started = Instant::now();
        while TcpStream::connect(port).is_err() {
            if started.elapsed() > LISTEN_TIMEOUT {
                return Err(CommandError::refused(format!(
                    "{name} did not start to listen on {port} in time"
                )));
            }
            std::thread::sleep(LISTEN_POLL_INTERVAL);
        }
        Ok(process)
    }

    /// Processor time used so far, and current memory; fails when the daemon has exited.
    pub(super) fn usage(&self) -> Result<ProcessUsage, CommandError> {
        read_usage(self.child.id())
            .ok_or_else(|| CommandError::refused("a measured daemon exited early; check its log"))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of the daemon's program, which is built into the folder of this program.
fn daemon_program() -> Result<PathBuf, CommandError> {
    let own_program = std::env::current_exe().map_err(CommandError::refused)?;
    let program = own_program.with_file_name("briartrayd");
    if program.exists() {
        return Ok(program);
    }
    Err(CommandError::unusable("briartrayd is not built; run cargo build --release first"))
}

/// A loopback address that is currently unused.
pub(super) fn free_address() -> Result<SocketAddr, CommandError> {
    briartray_standin::free_address().map_err(CommandError::refused)
}
