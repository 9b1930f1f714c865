//! Requests without end.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use briartray_web::{HttpListener, JsonReply, read_body, reply_json};
use serde_json::json;

/// Limit of a request body.
const MAX_BODY_BYTES: usize = 10_000;

/// Maximum time that a test waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a listener that replies with the length of the body.
fn start_listener() -> HttpListener {
    let handler = Arc::new(|mut request: tiny_http::Request| {
        let reply = match read_body(&mut request, MAX_BODY_BYTES) {
            Ok(body) => JsonReply::new(200, json!({ "length": body.len() })),
            Err(error) => JsonReply::not_run(413, "bad_body", &error.to_string()),
        };
        reply_json(request, &reply);
    });
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    HttpListener::start(address, 1000, handler).expect("the listener starts")
}

fn status_of(listener: &HttpListener, request: &str) -> String {
    let mut stream = TcpStream::connect(listener.address()).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read limit");
    stream.write_all(request.as_bytes()).expect("the listener reads");
    let mut line = [0; 12];
    stream.read_exact(&mut line).expect("an answer");
    String::from_utf8_lossy(&line).into_owned()
}

/// Guards against a process that ends because a request announces a body that is larger than its memory.
#[test]
fn a_huge_announced_body_is_refused() {
    let listener = start_listener();
    let huge = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000000000\r\n\r\nmore";

    let refused = status_of(&listener, huge);
    std::thread::sleep(Duration::from_millis(200));
    let served = status_of(&listener, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");

    assert_eq!((refused.as_str(), served.as_str()), ("HTTP/1.1 413", "HTTP/1.1 200"));
}

/// Guards against memory that grows with a line without end that gives the size of a chunk.
#[test]
fn a_chunk_size_without_end_is_refused() {
    const BLOCK_BYTES: usize = 4 * 1024;
    const MAX_WRITTEN_BYTES: usize = 4 * 1024 * 1024;
    let listener = start_listener();
    for begin in ["5", "5;extension="] {
        let mut stream = TcpStream::connect(listener.address()).expect("a connection");
        let head = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}{begin}").as_bytes()).expect("the listener reads");

        let mut written = 0;
        while written <= MAX_WRITTEN_BYTES && stream.write_all(&[b'5'; BLOCK_BYTES]).is_ok() {
            written += BLOCK_BYTES;
            std::thread::sleep(Duration::from_millis(1));
        }

        assert!(written <= MAX_WRITTEN_BYTES, "{written} bytes after {begin:?}");
    }
    let served = status_of(&listener, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    assert_eq!(served, "HTTP/1.1 200");
}
