//! A server that does not accept all connections.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_http::{HttpServer, ResponseBody, ServerLimits};
use http::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use self::common::run;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Bytes that the server answers to a request on a new connection.
async fn answer_of(address: SocketAddr) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    let mut answer = Vec::new();
    // The server may reset the connection at any time.
    let _ = stream.write_all(REQUEST).await;
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

/// Guards against an overloaded server that reads requests it does not serve, so that their callers
/// cannot tell whether they ran.
#[test]
fn connections_that_are_not_admitted_are_closed_unread() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let (admits, read) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
        let (gate, counted) = (Rc::clone(&admits), Rc::clone(&read));
        let limits = ServerLimits { connections: 8, idle: Duration::from_secs(10) };
        let _server = HttpServer::start_gated(
            listener,
            limits,
            move || gate.get(),
            move |_| {
                counted.set(counted.get() + 1);
                async { Response::new(ResponseBody::whole("served")) }
            },
        );

        let refused = answer_of(address).await;
        let read_while_closed = read.get();
        admits.set(true);
        let served = answer_of(address).await;

        assert!(refused.is_empty(), "{refused:?}");
        assert_eq!((read_while_closed, read.get()), (0, 1));
        assert!(served.ends_with(b"served"), "{served:?}");
    });
}
