//! Pooled connections to endpoints, on real sockets.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use briartray_http::{ConnectionPool, EndpointConnection};
use briartray_model::TimePoint;

use self::common::run;

const NOW: TimePoint = TimePoint(1_000_000);

/// Starts a listener that accepts every connection and keeps it open.
async fn start_listener() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::task::spawn_local(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            kept.push(stream);
        }
    });
    address
}

async fn put(
    pool: &mut ConnectionPool,
    address: SocketAddr,
    idle_limit: Option<Duration>,
    max_idle: usize,
) {
    let connection = EndpointConnection::open(address).await.expect("the listener accepts");
    pool.put(NOW, address, connection, idle_limit, max_idle);
}

/// Guards against pools that exhaust an endpoint: 18 entries share one that accepts 72 connections in
/// total. It resets further ones, which leaves the outcome of non-idempotent requests unknown.
#[test]
fn the_pool_keeps_no_more_idle_connections_than_allowed() {
    run(async {
        let mut pool = ConnectionPool::default();
        let address = start_listener().await;

        for _ in 0..5 {
            put(&mut pool, address, None, 2).await;
        }

        assert!(pool.take(NOW, address).is_some());
        assert!(pool.take(NOW, address).is_some());
        assert!(pool.take(NOW, address).is_none());
    });
}

/// An endpoint announces that it closes idle connections after three seconds. A request sent at that
/// moment may or may not have run, so the connection is not reused in the last second.
#[test]
fn connections_are_not_reused_near_their_idle_timeout() {
    run(async {
        let mut pool = ConnectionPool::default();
        let address = start_listener().await;
        put(&mut pool, address, Some(Duration::from_secs(3)), 4).await;
        put(&mut pool, address, Some(Duration::from_secs(3)), 4).await;

        assert!(pool.take(NOW.after(Duration::from_millis(1_900)), address).is_some());
        assert!(pool.take(NOW.after(Duration::from_millis(2_100)), address).is_none());
    });
}
