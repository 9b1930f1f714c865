//! Daemons as processes of their own, so that the system counts what each role uses.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::usage::{ProcessUsage, read_usage};
use crate::cmd::CommandError;

/// How long a daemon may take to listen.
const LISTEN_WAIT: Duration = Duration::from_secs(20);

/// How often it is tried.
const LISTEN_CHECK: Duration = Duration::from_millis(20);

/// A daemon that ends with this value.
pub(super) struct RoleProcess {
    child: Child,
}

impl RoleProcess {
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
            if started.elapsed() > LISTEN_WAIT {
                return Err(CommandError::refused(format!("{name} does not listen on {port}")));
            }
            std::thread::sleep(LISTEN_CHECK);
        }
        Ok(process)
    }

    /// What it has used so far.
    pub(super) fn usage(&self) -> Result<ProcessUsage, CommandError> {
        read_usage(self.child.id())
            .ok_or_else(|| CommandError::refused("a measured daemon ended early; look at its log"))
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The daemon's program, which is built beside this one.
fn daemon_program() -> Result<PathBuf, CommandError> {
    let own = std::env::current_exe().map_err(CommandError::refused)?;
    let program = own.with_file_name("briartrayd");
    if program.exists() {
        return Ok(program);
    }
    Err(CommandError::unusable("briartrayd is not built; run cargo build --release first"))
}

/// An address that is free now.
pub(super) fn free_address() -> Result<SocketAddr, CommandError> {
    briartray_standin::free_address().map_err(CommandError::refused)
}
