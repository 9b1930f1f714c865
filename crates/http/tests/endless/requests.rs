//! Requests without end from callers.

use std::time::Duration;

use briartray_http::{HttpServer, ResponseBody, ServerLimits, read_request_body};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::common::run;
use crate::endpoint::{STEP_PAUSE, ended};

/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 4 * 1024;

/// Bytes that a caller may get rid of before its endless request is given up: the largest head, and some that are
/// on their way meanwhile.
const MAX_WRITTEN_BYTES: usize = 160 * 1024;

/// Limit of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

async fn answer(_request: Request<Incoming>) -> Response<ResponseBody> {
    Response::new(ResponseBody::whole("done"))
}

/// Answers a request once its body has been read.
async fn answer_body(request: Request<Incoming>) -> Response<ResponseBody> {
    let read = read_request_body(&mut request.into_body(), MAX_BODY_BYTES).await;
    let failure = read.err().map(|failure| failure.to_string());
    Response::new(ResponseBody::whole(failure.unwrap_or_default()))
}

/// Writes `begin` and then `repeated` to a server until it closes the connection; returns the number of bytes.
async fn write_without_end(begin: &str, repeated: &str) -> usize {
    write_to(answer, begin, repeated).await
}

/// As [`write_without_end`] to a server that answers with `handle`.
async fn write_to<F: Future<Output = Response<ResponseBody>> + 'static>(
    handle: impl Fn(Request<Incoming>) -> F + Clone + 'static,
    begin: &str,
    repeated: &str,
) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let limits = ServerLimits { connections: 8, idle: Duration::from_secs(60) };
    let _server = HttpServer::start(listener, limits, handle);
    let mut stream = TcpStream::connect(address).await.expect("the server listens");

    stream.write_all(begin.as_bytes()).await.expect("the server reads");
    let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
    let mut written = 0;
    while stream.write_all(block.as_bytes()).await.is_ok() {
        written += block.len();
        tokio::time::sleep(STEP_PAUSE).await;
    }
    written
}

/// Guards against memory that grows with request heads without end, of as many callers as there are connections.
#[test]
fn a_request_head_without_end_is_given_up_early() {
    run(async {
        let heads = [
            ("GET /", "path"),
            ("GET / HTTP/1.1\r\nlong: ", "header"),
            ("GET / HTTP/1.1\r\n", "one: more\r\n"),
            ("", "\r\n"),
        ];
        for (begin, repeated) in heads {
            let written = ended(write_without_end(begin, repeated)).await;

            assert!(written <= MAX_WRITTEN_BYTES, "{written} bytes of {begin:?}, {repeated:?}");
        }
    });
}

/// Guards against a body without end that is read on after its request was answered.
#[test]
fn a_request_body_without_end_is_not_read_after_its_answer() {
    run(async {
        let bodies = [
            ("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nmore of.\r\n"),
            ("POST / HTTP/1.1\r\ncontent-length: 90000000000\r\n\r\n", "more"),
        ];
        for (begin, repeated) in bodies {
            let written = ended(write_without_end(begin, repeated)).await;

            assert!(written <= MAX_WRITTEN_BYTES, "{written} bytes of {begin:?}");
        }
    });
}

/// Guards against the memory and processor time that a body without end in tiny chunks takes up to its limit.
#[test]
fn a_request_body_in_tiny_chunks_is_given_up_early() {
    run(async {
        const MAX_TINY_WRITTEN_BYTES: usize = 1024 * 1024;
        let begin = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";

        let written = ended(write_to(answer_body, begin, "1\r\nm\r\n")).await;

        assert!(written <= MAX_TINY_WRITTEN_BYTES, "{written} bytes");
    });
}
