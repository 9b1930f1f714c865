//! Keeping an h2 connection honest: a path that swallows data is noticed by pings.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use h2::PingPong;

/// Time between pings on an open connection.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(1000);

/// Time after which an unanswered ping means that the path is dead.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(2000);

/// When the path of one connection last proved to work.
///
/// Data of one connection arrives in order, so whatever arrives now was sent after the moment that
/// is kept here. Without it a message that was held up on the way for minutes looks like a fresh
/// one, and an order could run after its sender was told that it never would.
#[derive(Debug, Clone)]
pub struct PathLiveness {
    sent: Arc<Mutex<Instant>>,
}

impl PathLiveness {
    /// A proof that holds from now.
    ///
    /// The side that accepts may count from accepting, because the side that connects sends
    /// nothing before its first ping was answered.
    pub(crate) fn new() -> Self {
        Self { sent: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Upper bound of the time that a message which arrives now was on its way.
    pub fn age(&self) -> Duration {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    /// Notes that a ping sent at `sent` was answered.
    fn renew(&self, sent: Instant) {
        *self.sent.lock().unwrap_or_else(PoisonError::into_inner) = sent;
    }
}

/// Sends pings until one goes unanswered; notes each answer in `liveness`.
///
/// A middlebox may lose track of a connection: both ends keep it open, nothing arrives and no
/// error is raised. Only an answer from the other end shows that the path still works.
pub(crate) async fn watch_path(mut ping: PingPong, liveness: PathLiveness) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let sent = Instant::now();
        if !is_answered(&mut ping, PING_TIMEOUT).await {
            return;
        }
        liveness.renew(sent);
    }
}

/// Sends one ping and waits for its answer.
pub(crate) async fn is_answered(ping: &mut PingPong, timeout: Duration) -> bool {
    matches!(tokio::time::timeout(timeout, ping.ping(h2::Ping::opaque())).await, Ok(Ok(_)))
}
