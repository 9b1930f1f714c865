//! Requests that arrive whole get a response, also beside failures and stops of the server.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use briartray_http::{HttpServer, ResponseBody, ServerLimits, TruncatedStream};
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use self::common::run;

const REQUEST: &[u8] = b"GET /whole HTTP/1.1\r\nhost: a\r\n\r\n";

/// Time after which the second part of a request is sent.
const PART_DELAY: Duration = Duration::from_millis(60);

/// Serves `/whole`, a stream that fails at once on `/cut`, and panics on the other paths.
async fn answer(request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    if path == "/whole" {
        return Response::new(ResponseBody::whole("served"));
    }
    if path == "/panic" {
        panic!("a request task panics in a test");
    }
    let (sender, body) = ResponseBody::parts();
    let stream = async move {
        let _ = sender.send(Ok(Bytes::from_static(b"first"))).await;
        match path.as_str() {
            "/cut" => drop(sender.send(Err(TruncatedStream)).await),
            _ => panic!("a stream task panics in a test"),
        }
    };
    tokio::task::spawn_local(stream);
    Response::new(body)
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

fn start(listener: TcpListener) -> HttpServer {
    let limits = ServerLimits { connections: 64, idle: Duration::from_secs(10) };
    HttpServer::start(listener, limits, answer)
}

async fn serving() -> (HttpServer, TcpStream) {
    let (listener, address) = listener().await;
    let server = start(listener);
    (server, TcpStream::connect(address).await.expect("the server listens"))
}

/// Everything that the server sends until it closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset ends the answer too.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn answer_to(request: &[u8]) -> String {
    let (_server, mut stream) = serving().await;
    stream.write_all(request).await.expect("the server reads");
    read_all(&mut stream).await
}

/// Sends a request on a kept connection and reads its response.
async fn exchange(stream: &mut TcpStream) {
    stream.write_all(REQUEST).await.expect("the server reads");
    let mut answer = Vec::new();
    while !answer.ends_with(b"served") {
        answer.push(stream.read_u8().await.expect("the server answers"));
    }
}

/// Opens a connection and sends `bytes` without giving the server a turn.
fn send_unnoticed(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = std::net::TcpStream::connect(address).expect("the server listens");
    stream.write_all(bytes).expect("the bytes fit into the socket");
    stream.set_nonblocking(true).expect("the socket is open");
    TcpStream::from_std(stream).expect("the socket is open")
}

/// Guards against a caller whose connection is closed because its request's task panicked.
#[test]
fn a_request_whose_task_panics_is_answered() {
    run(async {
        let (server, mut stream) = serving().await;

        stream
            .write_all(b"GET /panic HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .await
            .expect("sent");
        let failed = read_all(&mut stream).await;
        tokio::time::sleep(PART_DELAY).await;

        assert!(failed.starts_with("HTTP/1.1 500 "), "{failed:?}");
        assert_eq!(server.open(), 0, "a closed connection counts as open");
    });
}

/// Guards against a stream that looks complete although its task panicked.
#[test]
fn a_stream_whose_task_panics_does_not_look_complete() {
    run(async {
        let stream = answer_to(b"GET /panic-later HTTP/1.1\r\nhost: a\r\n\r\n").await;

        assert!(stream.contains("first"), "{stream:?}");
        assert!(!stream.ends_with("0\r\n\r\n"), "{stream:?}");
    });
}

/// Guards against a stream that is cut off together with the events before the cut.
#[test]
fn a_stream_that_fails_at_once_delivers_what_came_before() {
    run(async {
        let stream = answer_to(b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n").await;

        assert!(stream.starts_with("HTTP/1.1 200 ") && stream.contains("first"), "{stream:?}");
        assert!(!stream.ends_with("0\r\n\r\n"), "{stream:?}");
    });
}

/// Guards against a stream to an HTTP/1.0 caller, which ends with its connection, that looks complete
/// although it was cut off.
#[test]
fn a_stream_without_chunks_that_fails_is_reset() {
    run(async {
        let (_server, mut stream) = serving().await;
        stream.write_all(b"GET /cut HTTP/1.0\r\nhost: a\r\n\r\n").await.expect("the server reads");

        let mut answer = Vec::new();
        let end = stream.read_to_end(&mut answer).await;

        assert!(end.is_err(), "{:?}", String::from_utf8_lossy(&answer));
        assert!(answer.ends_with(b"first"), "{:?}", String::from_utf8_lossy(&answer));
    });
}

/// Guards against connections that wait to be accepted when the server stops, and are reset.
#[test]
fn requests_that_wait_for_acceptance_at_a_stop_are_answered() {
    run(async {
        let (listener, address) = listener().await;
        let mut callers: Vec<_> = (0..8).map(|_| send_unnoticed(address, REQUEST)).collect();
        let server = start(listener);

        server.stop();

        for caller in &mut callers {
            let answer = read_all(caller).await;
            assert!(answer.ends_with("served"), "{answer:?}");
        }
    });
}

/// Guards against a new connection that is closed at a stop before its first request arrives.
#[test]
fn the_first_request_of_a_new_connection_is_answered_after_a_stop() {
    run(async {
        let (server, mut stream) = serving().await;
        tokio::time::sleep(PART_DELAY).await;

        server.stop();
        tokio::time::sleep(PART_DELAY).await;
        let sent = stream.write_all(REQUEST).await;
        let answer = read_all(&mut stream).await;

        assert!(sent.is_ok() && answer.ends_with("served"), "{answer:?}");
    });
}

/// Guards against a request on a kept connection that has arrived in part when the server stops.
#[test]
fn a_request_that_arrives_in_parts_around_a_stop_is_answered() {
    run(async {
        let (server, mut stream) = serving().await;
        exchange(&mut stream).await;
        let (begin, rest) = REQUEST.split_at(10);
        stream.write_all(begin).await.expect("the server reads");
        tokio::time::sleep(PART_DELAY).await;

        server.stop();
        tokio::time::sleep(PART_DELAY).await;
        let sent = stream.write_all(rest).await;
        let answer = read_all(&mut stream).await;

        assert!(sent.is_ok() && answer.ends_with("served"), "{answer:?}");
    });
}

/// Guards against a request on a kept connection that has arrived, but has not been read when a busy
/// server stops.
#[test]
fn a_request_that_is_still_unread_at_a_stop_is_answered() {
    run(async {
        let (server, mut stream) = serving().await;
        exchange(&mut stream).await;

        stream.try_write(REQUEST).expect("the request fits into the socket");
        server.stop();
        let answer = read_all(&mut stream).await;

        assert!(answer.ends_with("served"), "{answer:?}");
    });
}

/// Guards against a stop that waits for kept connections without a request.
#[test]
fn a_stop_closes_idle_connections() {
    run(async {
        let (server, mut stream) = serving().await;
        exchange(&mut stream).await;

        server.stop();
        let rest = read_all(&mut stream).await;
        tokio::time::sleep(PART_DELAY).await;

        assert_eq!((rest.as_str(), server.open()), ("", 0));
    });
}

/// Guards against pipelined requests of which only the first is answered.
#[test]
fn pipelined_requests_are_answered_in_turn() {
    run(async {
        let (_server, mut stream) = serving().await;

        stream.write_all(&REQUEST.repeat(3)).await.expect("the server reads");
        let last = b"GET /whole HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(last).await.expect("the server reads");
        let answers = read_all(&mut stream).await;

        assert_eq!(answers.matches("HTTP/1.1 200 ").count(), 4, "{answers:?}");
    });
}
