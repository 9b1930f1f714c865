//! Answers that are not what they should be, from an endpoint on a real socket.

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

/// A whole answer with a body of five bytes.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";

/// What the endpoint does after it has read a request's head.
#[derive(Debug, Clone, Copy)]
enum EndpointAct {
    /// Writes this and keeps the connection.
    Write(&'static str),
    /// Writes this and closes in order.
    Close(&'static str),
    /// Writes this and resets the connection once the test has read its head.
    Reset(&'static str),
}

/// An endpoint that acts so on each connection's first request.
async fn endpoint(act: EndpointAct) -> SocketAddr {
    endpoint_until(act, Rc::default()).await
}

/// As above; `read` tells that the head of its answer was read.
async fn endpoint_until(act: EndpointAct, read: Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, act, Rc::clone(&read)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, act: EndpointAct, read: Rc<Notify>) {
    read_head(&mut stream).await;
    match act {
        EndpointAct::Write(text) => {
            stream.write_all(text.as_bytes()).await.expect("the entry reads");
            // Kept open until the test ends.
            let mut rest = [0; 64];
            while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
        }
        EndpointAct::Close(text) => {
            stream.write_all(text.as_bytes()).await.expect("the entry reads");
        }
        EndpointAct::Reset(text) => {
            stream.write_all(text.as_bytes()).await.expect("the entry reads");
            if !text.is_empty() {
                read.notified().await;
            }
            stream.set_zero_linger().expect("the socket is open");
        }
    }
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a whole head comes"));
    }
}

async fn ask(address: SocketAddr) -> Result<Exchange, SendFailure> {
    let connection = EndpointConnection::open(address).await?;
    let request = Request::post("/draft/1").header("host", "desk").body(Bytes::new());
    connection.send(request.expect("the request is proper")).await
}

/// An endpoint sends a second answer behind the first one. Its bytes belong to nobody, and the next
/// caller on that connection would get them as its own: the connection is not used again.
#[test]
fn a_connection_with_a_second_answer_is_not_used_again() {
    run(async {
        const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst\
                             HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
        let address = endpoint(EndpointAct::Write(TWICE)).await;
        let exchange = ask(address).await.expect("an answer comes");

        let (_, body, connection) = exchange.whole().await.expect("the first one is whole");
        let mut pool = ConnectionPool::default();
        pool.put(NOW, address, connection, None, 4);
        // The connection's own task sees the bytes that are left over.
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }

        assert_eq!(body, "first");
        assert!(pool.take(NOW, address).is_none());
    });
}

/// An answer with a length ends early, in order or by a reset. It must not look whole to the caller.
#[test]
fn an_answer_that_ends_early_is_broken() {
    run(async {
        const HALF: &str = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf of it";
        for act in [EndpointAct::Close(HALF), EndpointAct::Reset(HALF)] {
            let read = Rc::new(Notify::new());
            let address = endpoint_until(act, Rc::clone(&read)).await;

            let exchange = ask(address).await.expect("a head comes");
            read.notify_one();
            let whole = exchange.whole().await;

            assert_eq!(whole.err(), Some(SendFailure::Broken), "{act:?}");
        }
    });
}

/// An answer without a length ends with its connection. One that is reset on the way has lost an
/// unknown part, and is told from one that ended in order.
#[test]
fn an_answer_without_length_is_whole_only_at_an_ordered_end() {
    run(async {
        const OPEN: &str = "HTTP/1.1 200 OK\r\n\r\nall of it";
        let ordered = endpoint(EndpointAct::Close(OPEN)).await;
        let read = Rc::new(Notify::new());
        let reset = endpoint_until(EndpointAct::Reset(OPEN), Rc::clone(&read)).await;

        let whole = ask(ordered).await.expect("a head comes").whole().await;
        let exchange = ask(reset).await.expect("a head comes");
        read.notify_one();
        let broken = exchange.whole().await;

        assert_eq!(whole.map(|(_, body, _)| body).ok(), Some(Bytes::from("all of it")));
        assert_eq!(broken.err(), Some(SendFailure::Broken));
    });
}

/// A chunked answer breaks off between two chunks. Without its end mark it is not whole, however
/// orderly the connection ends.
#[test]
fn a_chunked_answer_without_its_end_is_broken() {
    run(async {
        const CHUNK: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
        let address = endpoint(EndpointAct::Close(CHUNK)).await;

        let whole = ask(address).await.expect("a head comes").whole().await;

        assert_eq!(whole.err(), Some(SendFailure::Broken));
    });
}

/// The endpoint takes the request and resets the connection before any answer. The request has left,
/// so it may have run: it must not count as not sent.
#[test]
fn a_reset_before_the_answer_leaves_the_outcome_open() {
    run(async {
        let address = endpoint(EndpointAct::Reset("")).await;

        let outcome = ask(address).await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
    });
}

/// Bytes come that are no answer. Nothing of them reaches a caller.
#[test]
fn bytes_that_are_no_answer_are_not_passed_on() {
    run(async {
        let address = endpoint(EndpointAct::Close("\u{1}\u{2} no answer at all\r\n\r\n")).await;

        let outcome = ask(address).await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
    });
}

/// The caller of a request leaves while its answer is on its way. The connection closes at once, which
/// tells the endpoint to stop working for nobody.
#[test]
fn a_dropped_request_closes_its_connection() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let asking = tokio::task::spawn_local(async move { ask(address).await.is_ok() });
        let (mut stream, _) = listener.accept().await.expect("the entry connects");
        read_head(&mut stream).await;

        asking.abort();

        let mut rest = [0; 8];
        let closed = stream.read(&mut rest).await;
        assert!(closed.is_err() || closed.is_ok_and(|read| read == 0));
    });
}

/// A whole answer on a connection that stays open, beside the broken ones above.
#[test]
fn a_whole_answer_leaves_its_connection_to_the_next_request() {
    run(async {
        let address = endpoint(EndpointAct::Write(WHOLE)).await;
        let exchange = ask(address).await.expect("an answer comes");

        let (_, body, connection) = exchange.whole().await.expect("it is whole");
        let mut pool = ConnectionPool::default();
        pool.put(NOW, address, connection, None, 4);

        assert_eq!(body, "first");
        assert!(pool.take(NOW, address).is_some());
    });
}
