//! Requests without end from callers.

use std::time::Duration;

use briartray_http::{HttpServer, ResponseBody, ServerLimits};
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

async fn answer(_request: Request<Incoming>) -> Response<ResponseBody> {
    Response::new(ResponseBody::whole("done"))
}

/// Writes `begin` and then `repeated` to a server until it closes the connection; returns the number of bytes.
async fn write_without_end(begin: &str, repeated: &str) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let limits = ServerLimits { connections: 8, idle: Duration::from_secs(60) };
    let _server = HttpServer::start(listener, limits, answer);
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
