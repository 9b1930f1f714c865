//! Calls of endpoints whose answers have no end, on real sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

use briartray_model::message::{CallTarget, DispatchOrder, TraceContext};
use briartray_model::names::{AttemptId, FencingNumber, GroupId, RequestId};
use briartray_model::settings::{EndpointKind, EndpointSettings};

use super::{EndpointAnswer, EndpointError, MAX_ANSWER_BYTES, StallFlag, call};

/// Time that a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(800);

/// Maximum time that a test waits for the end of a call.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 16 * 1024;

/// Starts an endpoint that answers each request with `begin` and then `repeated` without end, with a pause after
/// each block.
fn endless_endpoint(begin: &'static str, repeated: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || write_without_end(stream, begin, repeated, pause));
        }
    });
    address
}

fn write_without_end(mut stream: TcpStream, begin: &str, repeated: &str, pause: Duration) {
    let mut lines = BufReader::new(stream.try_clone().expect("the socket is open")).lines();
    while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let block = repeated.repeat(if pause.is_zero() { BLOCK_BYTES / repeated.len() } else { 1 });
    let mut written = stream.write_all(begin.as_bytes());
    while written.is_ok() {
        written = stream.write_all(block.as_bytes());
        std::thread::sleep(pause);
    }
}

/// Starts an endpoint that answers each request with `answer` and keeps the connection open.
fn finite_endpoint(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(stream.try_clone().expect("it is open")).lines();
            while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
            stream.write_all(answer.as_bytes()).expect("the agent reads");
            open.push(stream);
        }
    });
    address
}

fn settings(address: SocketAddr, kind: EndpointKind) -> EndpointSettings {
    EndpointSettings { address, service: "desk".into(), kind, checks_fencing: false }
}

fn order(stream: bool) -> DispatchOrder {
    DispatchOrder {
        attempt: AttemptId(7),
        request: RequestId(8),
        trace: TraceContext { trace_id: 1, span_id: 2, sampled: false },
        group: GroupId(3),
        fencing: FencingNumber(4),
        incarnation: 9,
        revision: Default::default(),
        service: "desk".into(),
        team: "traders".into(),
        target: CallTarget {
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            headers: Vec::new(),
        },
        body: b"{}".to_vec(),
        stream,
        priority: 100,
        deadline_ms: u32::try_from(DEADLINE.as_millis()).expect("it is short"),
        once: false,
    }
}

/// Runs `call` on a thread and waits for its end.
fn ended<T: Send + 'static>(call: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, receiver) = channel();
    std::thread::spawn(move || sender.send(call()));
    receiver.recv_timeout(WAIT_TIMEOUT).expect("the call ends")
}

fn call_endpoint(
    address: SocketAddr,
    kind: EndpointKind,
    order: &DispatchOrder,
) -> Result<EndpointAnswer, EndpointError> {
    call(&settings(address, kind), order, &StallFlag::default())
}

/// Guards against a body without end whose first part is taken for the whole answer.
#[test]
fn a_body_without_end_is_no_answer() {
    let bodies = [
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nmore of.\r\n"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 90000000000\r\n\r\n", "more"),
        ("HTTP/1.1 200 OK\r\n\r\n", "more"),
    ];
    for (begin, repeated) in bodies {
        let address = endless_endpoint(begin, repeated, Duration::ZERO);

        let outcome = ended(move || {
            let order = DispatchOrder { deadline_ms: 10_000, ..order(false) };
            call_endpoint(address, EndpointKind::Plain, &order)?.read_body()
        });

        let detail = outcome.map(|body| body.len());
        assert!(matches!(detail, Err(EndpointError::Broken { .. })), "{detail:?}");
    }
}

/// Guards against a complete answer in chunks that counts as one without length, and is lost.
#[test]
fn a_plain_answer_in_chunks_arrives_whole() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let address = finite_endpoint(format!("{chunked}5\r\nwhole\r\n0\r\n\r\n"));

    let received =
        ended(move || call_endpoint(address, EndpointKind::Plain, &order(false))?.read_body());

    assert_eq!(received.ok().as_deref(), Some(b"whole".as_slice()));
}

/// The counterpart: an answer of the largest size arrives whole.
#[test]
fn an_answer_of_the_largest_size_arrives_whole() {
    let length = usize::try_from(MAX_ANSWER_BYTES).expect("it fits");
    let body = "m".repeat(length);
    let address =
        finite_endpoint(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"));

    let received = ended(move || {
        let order = DispatchOrder { deadline_ms: 10_000, ..order(false) };
        call_endpoint(address, EndpointKind::Plain, &order)?.read_body()
    });

    assert_eq!(received.map(|body| body.len()).ok(), Some(length));
}

/// Guards against a thread that an engine keeps beyond the deadline of a stream with a head without end.
#[test]
fn a_head_without_end_ends_with_its_deadline() {
    let heads = [
        ("HTTP/1.1 200 ", "OK"),
        ("HTTP/1.1 200 OK\r\nlong: ", "header"),
        ("HTTP/1.1 200 OK\r\n", "one: more\r\n"),
        ("HTTP/1.1 200 OK\r\n", "no header: at all\r\n"),
    ];
    for (begin, repeated) in heads {
        let address = endless_endpoint(begin, repeated, Duration::from_millis(1));

        let is_broken = ended(move || {
            let outcome = call_endpoint(address, EndpointKind::Engine, &order(true));
            matches!(outcome, Err(EndpointError::Broken { .. }))
        });

        assert!(is_broken, "{begin:?}, {repeated:?}");
    }
}

/// Guards against a stream whose lines have no end, or never are an event, and that goes on beyond its deadline.
#[test]
fn a_stream_without_an_event_ends_with_its_deadline() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    for repeated in ["more", ": no event\n"] {
        let address = endless_endpoint(head, repeated, Duration::from_millis(1));

        let is_broken = ended(move || {
            let answer = call_endpoint(address, EndpointKind::Engine, &order(true));
            let outcome = answer.and_then(|mut answer| answer.next_event());
            matches!(outcome, Err(EndpointError::Broken { .. }))
        });

        assert!(is_broken, "{repeated:?}");
    }
}

/// Guards against the memory of an agent that many events without end take at once.
#[test]
fn an_event_over_the_largest_size_is_no_event() {
    const LARGEST_BYTES: usize = 256 * 1024;
    for (size, is_event) in [(LARGEST_BYTES - 1024, true), (LARGEST_BYTES + 1024, false)] {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        let address = finite_endpoint(format!("{head}data: {}\n\n", "m".repeat(size)));

        let outcome = ended(move || {
            let answer = call_endpoint(address, EndpointKind::Plain, &order(true));
            answer.and_then(|mut answer| answer.next_event())
        });

        let received = outcome.ok().flatten().map(|data| data.len());
        assert_eq!(received, is_event.then_some(size));
    }
}
