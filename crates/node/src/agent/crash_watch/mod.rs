//! Telling a crash of the endpoint from an answer that merely broke off.
//!
//! When an endpoint has crashed nothing listens at its address until it is started again, so a new connection is
//! refused. All calls that break in one crash name the same start of the endpoint.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;

/// Time to connect to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between the two looks at an endpoint: it may close its connections before it stops listening.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// The crashes of one endpoint.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    seen: Mutex<CrashCount>,
}

#[derive(Debug, Default)]
struct CrashCount {
    crashes: u64,
    /// When the newest one was found.
    found: Option<TimePoint>,
}

impl CrashCount {
    /// Number of the crash under a call that began at `began`: a later call than the newest crash met another
    /// start of the endpoint.
    fn take(&mut self, now: TimePoint, began: TimePoint) -> u64 {
        if self.found.is_none_or(|found| began > found) {
            self.crashes += 1;
            self.found = Some(now);
        }
        self.crashes
    }
}

impl CrashWatch {
    /// Which start of the endpoint of `host` crashed under a call that began at `began` and has broken off; `None`
    /// when it listens, or nothing can be told.
    pub(super) fn crashed(
        &self,
        address: SocketAddr,
        host: &str,
        began: TimePoint,
        now: impl Fn() -> TimePoint,
    ) -> Option<IncarnationId> {
        if !is_refused(address) {
            std::thread::sleep(LOOK_AGAIN);
            if !is_refused(address) {
                return None;
            }
        }
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        Some(IncarnationId::started(host, Some(seen.take(now(), began))))
    }
}

fn is_refused(address: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

#[cfg(test)]
mod tests;
