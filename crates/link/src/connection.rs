//! Ping checks on an h2 connection, which detect a network path that silently drops data.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use h2::PingPong;

/// Interval between pings on an open connection.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(1000);

/// Time without an answer to a ping after which the connection is given up.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(2000);

/// Send time of the last ping on one connection that was answered.
///
/// Data on one connection arrives in order, so a message that arrives now was sent after that
/// ping. Without this bound, a message that was delayed for minutes would look recent, and
/// an order could run after its sender was informed that it never would.
#[derive(Debug, Clone)]
pub struct PathLiveness {
    sent: Arc<Mutex<Instant>>,
}

impl PathLiveness {
    /// Starts with the current time.
    ///
    /// The accepting side may count from the time it accepted, because the connecting side
    /// sends nothing before its first ping is answered.
    pub(crate) fn new() -> Self {
        Self { sent: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Upper bound of the time that a message arriving now was in transit.
    pub fn age(&self) -> Duration {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    /// Records that a ping sent at `sent` was answered.
    fn renew(&self, sent: Instant) {
        *self.sent.lock().unwrap_or_else(PoisonError::into_inner) = sent;
    }
}

/// Sends pings until one is not answered in time; records each answer in `liveness`.
///
/// When a middlebox drops its state of a connection, both ends keep the connection open, nothing
/// arrives and no error is raised. Only an answer from the other end shows that the path works.
pub(crate) async fn monitor_path(mut ping: PingPong, liveness: PathLiveness) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let sent = Instant::now();
        if !ping_answered(&mut ping, PING_TIMEOUT).await {
            return;
        }
        liveness.renew(sent);
    }
}

/// Sends one ping and waits for its answer.
pub(crate) async fn ping_answered(ping: &mut PingPong, timeout: Duration) -> bool {
    matches!(tokio::time::timeout(timeout, ping.ping(h2::Ping::opaque())).await, Ok(Ok(_)))
}
