//! Keeping an h2 connection honest: a path that swallows data is noticed by pings.

use std::time::Duration;

use h2::PingPong;

/// Time between pings on an open connection.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(1000);

/// Time after which an unanswered ping means that the path is dead.
pub(crate) const PING_TIMEOUT: Duration = Duration::from_millis(2000);

/// Sends pings until one goes unanswered.
///
/// A middlebox may lose track of a connection: both ends keep it open, nothing arrives and no
/// error is raised. Only an answer from the other end shows that the path still works.
pub(crate) async fn watch_path(mut ping: PingPong) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let answer = tokio::time::timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await;
        match answer {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
