//! Kept connections to endpoints, on real sockets.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use briartray_http::{ConnectionPool, EndpointConnection};
use briartray_model::TimePoint;

use self::common::run;

const NOW: TimePoint = TimePoint(1_000_000);

/// A listener that accepts and keeps every connection.
async fn keeper() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::task::spawn_local(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            kept.push(stream);
        }
    });
    address
}

async fn put(pool: &mut ConnectionPool, address: SocketAddr, limit: Option<Duration>, most: usize) {
    let connection = EndpointConnection::open(address).await.expect("the keeper accepts");
    pool.put(NOW, address, connection, limit, most);
}

/// Eighteen entries keep as many connections as they like before an endpoint that accepts 72 from
/// all of them. New connections are reset there, and callers of requests that must not run twice
/// are told that the outcome is unknown.
#[test]
fn no_more_connections_are_kept_than_the_share_of_an_entry() {
    run(async {
        let mut pool = ConnectionPool::default();
        let address = keeper().await;

        for _ in 0..5 {
            put(&mut pool, address, None, 2).await;
        }

        assert!(pool.take(NOW, address).is_some());
        assert!(pool.take(NOW, address).is_some());
        assert!(pool.take(NOW, address).is_none());
    });
}

/// An endpoint says that it closes idle connections after three seconds. A request that is sent just
/// then crosses the close and may or may not have run; the connection is left alone a second before.
#[test]
fn connections_are_not_used_close_to_their_end() {
    run(async {
        let mut pool = ConnectionPool::default();
        let address = keeper().await;
        put(&mut pool, address, Some(Duration::from_secs(3)), 4).await;
        put(&mut pool, address, Some(Duration::from_secs(3)), 4).await;

        assert!(pool.take(NOW.after(Duration::from_millis(1_900)), address).is_some());
        assert!(pool.take(NOW.after(Duration::from_millis(2_100)), address).is_none());
    });
}
