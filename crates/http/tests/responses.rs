//! Malformed and incomplete responses from an endpoint, on real sockets.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;

use briartray_http::{ConnectionPool, EndpointConnection, Exchange, SendFailure};
use briartray_model::TimePoint;
use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use self::common::run;

const NOW: TimePoint = TimePoint(1_000_000);

/// A complete response with a body of five bytes.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";

/// What the endpoint does after it has read a request head.
#[derive(Debug, Clone, Copy)]
enum EndpointAction {
    /// Writes the text and keeps the connection open.
    Write(&'static str),
    /// Writes the text and closes the connection with FIN.
    Close(&'static str),
    /// Writes the text and resets the connection once the test has read the response head.
    Reset(&'static str),
}

/// Starts an endpoint that performs `action` on the first request of each connection.
async fn endpoint(action: EndpointAction) -> SocketAddr {
    endpoint_with_signal(action, Rc::default()).await
}

/// As [`endpoint`]; `head_read` is notified once the response head was read.
async fn endpoint_with_signal(action: EndpointAction, head_read: Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, action, Rc::clone(&head_read)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, action: EndpointAction, head_read: Rc<Notify>) {
    read_head(&mut stream).await;
    match action {
        EndpointAction::Write(text) => {
            stream.write_all(text.as_bytes()).await.expect("the client reads");
            // Stays open until the client closes it.
            let mut rest = [0; 64];
            while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
        }
        EndpointAction::Close(text) => {
            stream.write_all(text.as_bytes()).await.expect("the client reads");
        }
        EndpointAction::Reset(text) => {
            stream.write_all(text.as_bytes()).await.expect("the client reads");
            if !text.is_empty() {
                head_read.notified().await;
            }
            stream.set_zero_linger().expect("the socket is open");
        }
    }
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a complete request head arrives"));
    }
}

async fn send_request(address: SocketAddr) -> Result<Exchange, SendFailure> {
    let connection = EndpointConnection::open(address).await?;
    let request = Request::post("/draft/1").header("host", "desk").body(Bytes::new());
    connection.send(request.expect("the request is valid")).await
}

/// Guards against response mix-up: an endpoint sends a second response after the first one, and the
/// next request on the connection would take those bytes as its own response.
#[test]
fn a_connection_with_extra_response_bytes_is_not_reused() {
    run(async {
        const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst\
                             HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
        let address = endpoint(EndpointAction::Write(TWICE)).await;
        let exchange = send_request(address).await.expect("a response arrives");

        let (_, body, connection) = exchange.whole().await.expect("the first response is complete");
        let mut pool = ConnectionPool::default();
        pool.put(NOW, address, connection, None, 4);
        // Lets the connection's driver task read the surplus bytes.
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }

        assert_eq!(body, "first");
        assert!(pool.take(NOW, address).is_none());
    });
}

/// Guards against a truncated response that looks complete: one with a content length ends early, by a
/// close or a reset.
#[test]
fn a_response_that_ends_early_is_broken() {
    run(async {
        const HALF: &str = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf of it";
        for action in [EndpointAction::Close(HALF), EndpointAction::Reset(HALF)] {
            let head_read = Rc::new(Notify::new());
            let address = endpoint_with_signal(action, Rc::clone(&head_read)).await;

            let exchange = send_request(address).await.expect("a response head arrives");
            head_read.notify_one();
            let whole = exchange.whole().await;

            assert_eq!(whole.err(), Some(SendFailure::Broken), "{action:?}");
        }
    });
}

/// A response without a content length ends when its connection closes. After a reset an unknown part is
/// missing, so it must be distinguished from one that ended with an orderly close.
#[test]
fn a_response_without_length_is_complete_only_after_an_orderly_close() {
    run(async {
        const OPEN: &str = "HTTP/1.1 200 OK\r\n\r\nall of it";
        let ordered = endpoint(EndpointAction::Close(OPEN)).await;
        let head_read = Rc::new(Notify::new());
        let reset = endpoint_with_signal(EndpointAction::Reset(OPEN), Rc::clone(&head_read)).await;

        let whole = send_request(ordered).await.expect("a response head arrives").whole().await;
        let exchange = send_request(reset).await.expect("a response head arrives");
        head_read.notify_one();
        let broken = exchange.whole().await;

        assert_eq!(whole.map(|(_, body, _)| body).ok(), Some(Bytes::from("all of it")));
        assert_eq!(broken.err(), Some(SendFailure::Broken));
    });
}

/// Guards against a truncated chunked response that looks complete: the connection closes in order
/// between two chunks, without the final chunk.
#[test]
fn a_chunked_response_without_its_final_chunk_is_broken() {
    run(async {
        const CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
        let address = endpoint(EndpointAction::Close(CHUNK)).await;

        let whole = send_request(address).await.expect("a response head arrives").whole().await;

        assert_eq!(whole.err(), Some(SendFailure::Broken));
    });
}

/// The endpoint reads the request and resets the connection before any response. The request was sent
/// and may have run, so it must not be reported as not sent.
#[test]
fn a_reset_before_the_response_leaves_the_outcome_unknown() {
    run(async {
        let address = endpoint(EndpointAction::Reset("")).await;

        let outcome = send_request(address).await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
    });
}

/// Bytes that are not an HTTP response must not reach a caller.
#[test]
fn bytes_that_are_no_response_are_not_forwarded() {
    run(async {
        let address = endpoint(EndpointAction::Close("\u{1}\u{2} no answer at all\r\n\r\n")).await;

        let outcome = send_request(address).await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
    });
}

/// The caller disconnects before the response arrives. The connection must close at once, so that the
/// endpoint stops work on the request.
#[test]
fn a_dropped_request_closes_its_connection() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let sending = tokio::task::spawn_local(async move { send_request(address).await.is_ok() });
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        read_head(&mut stream).await;

        sending.abort();

        let mut rest = [0; 8];
        let closed = stream.read(&mut rest).await;
        assert!(closed.is_err() || closed.is_ok_and(|read| read == 0));
    });
}

/// The counterpart of the failures above: after a complete response the connection is reused.
#[test]
fn a_complete_response_leaves_its_connection_reusable() {
    run(async {
        let address = endpoint(EndpointAction::Write(WHOLE)).await;
        let exchange = send_request(address).await.expect("a response arrives");

        let (_, body, connection) = exchange.whole().await.expect("the response is complete");
        let mut pool = ConnectionPool::default();
        pool.put(NOW, address, connection, None, 4);

        assert_eq!(body, "first");
        assert!(pool.take(NOW, address).is_some());
    });
}
