//! Distinguishes a crash of the endpoint from an answer that merely broke off.
//!
//! After a crash, nothing listens at the endpoint's address until it is started again, so a new
//! connection is refused. All calls that break off in one crash are given the same incarnation of
//! the endpoint.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;

/// Timeout for connecting to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before the second connection attempt; a crashing endpoint may close its connections
/// before it stops listening.
const RECHECK_DELAY: Duration = Duration::from_millis(40);

/// Detects and counts the crashes of one endpoint.
#[derive(Debug, Default)]
pub(super) struct CrashDetector {
    count: Mutex<CrashCount>,
}

#[derive(Debug, Default)]
struct CrashCount {
    crashes: u64,
    /// Time when the latest crash was detected.
    last_detected: Option<TimePoint>,
}

impl CrashCount {
    /// Returns the number of the crash that broke a call that began at `began`. A call that began
    /// after the latest known crash was broken by a new one, which is recorded.
    fn record_crash(&mut self, now: TimePoint, began: TimePoint) -> u64 {
        if self.last_detected.is_none_or(|last_detected| began > last_detected) {
            self.crashes += 1;
            self.last_detected = Some(now);
        }
        self.crashes
    }
}

impl CrashDetector {
    /// The incarnation of the endpoint of `host` that crashed during a call that began at `began`
    /// and broke off; `None` unless connections to the endpoint are refused.
    pub(super) fn detect_crash(
        &self,
        address: SocketAddr,
        host: &str,
        began: TimePoint,
        now: impl Fn() -> TimePoint,
    ) -> Option<IncarnationId> {
        if !refuses_connections(address) {
            std::thread::sleep(RECHECK_DELAY);
            if !refuses_connections(address) {
                return None;
            }
        }
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        Some(IncarnationId::started(host, Some(count.record_crash(now(), began))))
    }
}

fn refuses_connections(address: SocketAddr) -> bool {
    let connected = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

#[cfg(test)]
mod tests;
