//! Listener behaviour with slow callers, oversized requests and malformed input.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use briartray_web::{EventWriter, HttpListener, JsonReply, ListenerLimits, read_body, reply_json};
use serde_json::json;

const MAX_BODY: usize = 10_000;

/// Longer than any limit set by the tests, so that only a hang reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn tight_limits() -> ListenerLimits {
    ListenerLimits {
        max_connections: 40,
        max_head_bytes: 8 * 1024,
        receive_timeout: Duration::from_millis(2500),
        idle_timeout: Duration::from_millis(800),
        write_timeout: Duration::from_secs(2),
    }
}

/// Starts a listener that replies with the length of the body; `/stream` sends events until the caller
/// disconnects, `/ten` sends ten.
fn start_listener(limits: ListenerLimits) -> HttpListener {
    let handler = Arc::new(|mut request: tiny_http::Request| {
        if request.url() == "/stream" {
            let Ok(mut events) = EventWriter::start(request.into_writer(), &[]) else { return };
            while events.event(b"tick").is_ok() {
                std::thread::sleep(Duration::from_millis(50));
            }
            return;
        }
        if request.url() == "/ten" {
            let Ok(mut events) = EventWriter::start(request.into_writer(), &[]) else { return };
            for number in 0..10 {
                std::thread::sleep(Duration::from_millis(30));
                let _ = events.event(format!("event {number}").as_bytes());
            }
            let _ = events.finish();
            return;
        }
        let reply = match read_body(&mut request, MAX_BODY) {
            Ok(body) => JsonReply::new(200, json!({ "length": body.len() })),
            Err(error) => JsonReply::not_run(400, "bad_body", &error.to_string()),
        };
        reply_json(request, &reply);
    });
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    HttpListener::start_with_limits(address, 1000, limits, handler).expect("the listener starts")
}

fn connect(listener: &HttpListener) -> TcpStream {
    let stream = TcpStream::connect(listener.address()).expect("a connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read limit");
    stream
}

/// Reads until the listener closes the connection.
fn read_rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset after the response counts as its end.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn send_request(listener: &HttpListener, text: &str) -> String {
    let mut stream = connect(listener);
    stream.write_all(text.as_bytes()).expect("the listener reads");
    read_rest(&mut stream)
}

fn valid_request() -> &'static str {
    "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
}

#[test]
fn valid_requests_are_answered_on_one_connection() {
    let listener = start_listener(tight_limits());
    let mut stream = connect(&listener);
    let request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

    let answers: Vec<String> = (0..2)
        .map(|_| {
            stream.write_all(request.as_bytes()).expect("the listener reads");
            let mut answer = vec![0_u8; 4096];
            let count = stream.read(&mut answer).expect("an answer");
            String::from_utf8_lossy(&answer[..count]).into_owned()
        })
        .collect();

    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 200")), "{answers:?}");
    listener.stop();
}

#[test]
fn slow_head_is_refused_without_blocking_other_callers() {
    // Guards against callers that never finish a request head: each would occupy a thread for ever, until
    // other callers cannot connect.
    let listener = start_listener(tight_limits());
    let mut slow: Vec<TcpStream> = (0..20).map(|_| connect(&listener)).collect();
    for stream in &mut slow {
        stream.write_all(b"POST /x HTTP/1.1\r\nHo").expect("the listener reads");
    }

    let other_response = send_request(&listener, valid_request());
    let answers: Vec<String> = slow.iter_mut().map(read_rest).collect();

    assert!(other_response.starts_with("HTTP/1.1 200"), "{other_response}");
    assert!(answers.iter().all(|answer| answer.contains("request_too_slow")), "{answers:?}");
    listener.stop();
}

#[test]
fn slow_body_is_refused() {
    // Guards against a caller that sends its body byte by byte and occupies a request thread for ever.
    let listener = start_listener(tight_limits());
    let mut stream = connect(&listener);
    let head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("the listener reads");
    let mut writer = stream.try_clone().expect("a second handle");

    let trickle = std::thread::spawn(move || {
        while writer.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let answer = read_rest(&mut stream);

    assert!(answer.contains("408") && answer.contains("\"outcome\":\"not_run\""), "{answer}");
    drop(stream);
    trickle.join().expect("the listener closed the connection");
    listener.stop();
}

#[test]
fn oversized_head_is_refused() {
    // Guards against a head of megabytes that the library would buffer completely.
    let listener = start_listener(tight_limits());
    let head = format!("GET /x HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(200 * 1024));

    let answer = send_request(&listener, &head);

    assert!(answer.contains("431") && answer.contains("head_too_large"), "{answer}");
    listener.stop();
}

#[test]
fn oversized_body_is_refused_before_it_is_sent() {
    // A caller announces a body of gigabytes. No memory may be allocated for it, and the response must not
    // wait for the body.
    let listener = start_listener(tight_limits());

    let answer = send_request(
        &listener,
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000000\r\n\r\nstart",
    );

    assert!(answer.contains("bad_body") && answer.contains("not_run"), "{answer}");
    listener.stop();
}

#[test]
fn endless_chunked_body_is_refused() {
    let listener = start_listener(tight_limits());
    let chunk = format!("4000\r\n{}\r\n", "a".repeat(0x4000));
    let text = format!("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");

    let answer = send_request(&listener, &text);

    assert!(answer.contains("bad_body"), "{answer}");
    listener.stop();
}

#[test]
fn malformed_input_is_refused_with_json() {
    // Text that is not HTTP, a head with non-ASCII bytes, and a chunk without a valid length.
    let listener = start_listener(tight_limits());
    let chunked = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n";

    let answers = [
        send_request(&listener, "hello there\r\n\r\n"),
        send_request(&listener, "GET /x HTTP/1.1\r\nX: \u{e9}\r\n\r\n"),
        send_request(&listener, chunked),
    ];

    let is_refusal = |answer: &String| answer.contains("400") && answer.contains("\"not_run\"");
    assert!(answers.iter().all(is_refusal), "{answers:?}");
    listener.stop();
}

#[test]
fn too_many_connections_are_refused_until_others_close() {
    // More connections than the limit, as when a load balancer reconnects all at once.
    let listener = start_listener(tight_limits());
    let held: Vec<TcpStream> = (0..40).map(|_| connect(&listener)).collect();
    wait_until(|| listener.open_connections() == 40);

    let refused = send_request(&listener, valid_request());
    drop(held);
    wait_until(|| listener.open_connections() == 0);
    let accepted = send_request(&listener, valid_request());

    assert!(refused.contains("too_many_connections"), "{refused}");
    assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
    listener.stop();
}

#[test]
fn caller_that_closes_its_write_side_gets_its_response() {
    let listener = start_listener(tight_limits());
    let mut stream = connect(&listener);
    stream.write_all(valid_request().as_bytes()).expect("the listener reads");
    stream.shutdown(Shutdown::Write).expect("one side closes");

    let answer = read_rest(&mut stream);

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    listener.stop();
}

#[test]
fn idle_connection_is_closed() {
    let listener = start_listener(tight_limits());
    let mut stream = connect(&listener);

    let rest = read_rest(&mut stream);

    assert_eq!(rest, "");
    wait_until(|| listener.open_connections() == 0);
    listener.stop();
}

#[test]
fn stop_waits_for_streams_in_progress() {
    // The listener stops while a stream is in progress. The caller must get all of it, and the listener
    // must report open requests until the last bytes are sent.
    let listener = start_listener(tight_limits());
    let mut stream = connect(&listener);
    stream.write_all(b"GET /ten HTTP/1.1\r\nHost: a\r\n\r\n").expect("the listener reads");
    stream.read_exact(&mut [0_u8; 64]).expect("the stream began");

    listener.stop();
    wait_until(|| listener.open_requests() == 0);
    let rest = read_rest(&mut stream);

    assert!(rest.contains("event 9") && rest.ends_with("0\r\n\r\n"), "{rest}");
}

#[test]
fn bursts_of_streams_start_immediately() {
    // Guards against streams that hang when many start at once: the HTTP library may queue a connection
    // behind a thread that serves another one, and nothing arrives until a stream ends.
    let limits = ListenerLimits { max_connections: 500, ..tight_limits() };
    let listener = start_listener(limits);

    let waiting: Vec<usize> = (1..20).map(|round| run_burst(&listener, 3 * round)).collect();

    assert_eq!(waiting, vec![0; 19]);
    listener.stop();
}

/// Opens `count` streams at once; returns how many of them receive nothing.
fn run_burst(listener: &HttpListener, count: usize) -> usize {
    let mut streams: Vec<TcpStream> = (0..count).map(|_| connect(listener)).collect();
    for stream in &mut streams {
        stream.write_all(b"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n").expect("it reads");
    }
    let started = |stream: &mut TcpStream| stream.read(&mut [0_u8; 64]).is_ok_and(|n| n > 0);
    let waiting = streams.iter_mut().filter_map(|stream| (!started(stream)).then_some(())).count();
    drop(streams);
    wait_until(|| listener.open_requests() == 0);
    waiting
}

/// Waits for `condition`; the timeout is generous so that a busy machine causes no failure.
fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the condition never held");
        std::thread::sleep(Duration::from_millis(10));
    }
}
