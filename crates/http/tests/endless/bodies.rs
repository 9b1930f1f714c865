//! Response bodies without end that are buffered whole.

use std::sync::{Mutex, MutexGuard, PoisonError};

use briartray_http::SendFailure;
use tokio::task::JoinSet;

use crate::common::run;
use crate::endpoint::{EndlessAnswer, Writing, ended};

/// Bytes that an endpoint may get rid of before its body is given up: the largest body, and the buffers of the
/// sockets.
const MAX_BODY_WRITTEN_BYTES: usize = 24 * 1024 * 1024;

/// Bytes of an announced body that an endpoint may get rid of before it is given up: the buffers of the sockets.
const MAX_ANNOUNCED_WRITTEN_BYTES: usize = 16 * 1024 * 1024;

/// Maximum total size of the bodies that a process buffers.
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;

/// Held by tests of large bodies, since all bodies of a process share one bound.
static LARGE_BODIES: Mutex<()> = Mutex::new(());

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn buffer_large_bodies() -> MutexGuard<'static, ()> {
    LARGE_BODIES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guards against memory that grows with a body without end, and a request that waits for its end.
#[test]
fn a_body_without_end_is_given_up_early() {
    let _alone = buffer_large_bodies();
    run(async {
        let bodies = [
            EndlessAnswer { begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: "more" },
            EndlessAnswer { begin: CHUNKED, repeated: "8\r\nmore of.\r\n" },
            EndlessAnswer {
                begin: "HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n",
                repeated: "m",
            },
        ];
        for body in bodies {
            let endpoint = body.serve(Writing::Fast).await;

            let exchange = endpoint.send_request().await.expect("a head arrives");
            let outcome = ended(exchange.whole()).await;
            endpoint.wait_until_closed().await;

            assert_eq!(outcome.err(), Some(SendFailure::Broken), "{body:?}");
            let written = endpoint.written();
            assert!(written <= MAX_BODY_WRITTEN_BYTES, "{written} bytes of {body:?}");
        }
    });
}

/// Guards against the processor time that a body without end in tiny chunks takes up to the largest body.
#[test]
fn tiny_chunks_without_end_are_given_up_early() {
    run(async {
        let answer = EndlessAnswer { begin: CHUNKED, repeated: "1\r\nm\r\n" };
        let endpoint = answer.serve(Writing::Fast).await;

        let exchange = endpoint.send_request().await.expect("a head arrives");
        let outcome = ended(exchange.whole()).await;
        endpoint.wait_until_closed().await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
        let written = endpoint.written();
        assert!(written <= MAX_ANNOUNCED_WRITTEN_BYTES, "{written} bytes");
    });
}

/// Guards against a body that is read up to the largest one although its reader expects a short one.
#[test]
fn a_body_without_end_is_given_up_at_the_bound_of_its_reader() {
    run(async {
        const LIMIT_BYTES: usize = 64 * 1024;
        let answer = EndlessAnswer { begin: "HTTP/1.1 200 OK\r\n\r\n", repeated: "more" };
        let endpoint = answer.serve(Writing::Stepwise).await;

        let exchange = endpoint.send_request().await.expect("a head arrives");
        let outcome = ended(exchange.whole_within(LIMIT_BYTES)).await;
        endpoint.wait_until_closed().await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
        let written = endpoint.written();
        assert!(written <= 2 * LIMIT_BYTES, "{written} bytes");
    });
}

/// Guards against a chunk whose size line or trailers have no end.
#[test]
fn chunks_without_end_are_given_up_early() {
    run(async {
        let texts = ["5;extension=", "0\r\ntrailer: ", "0\r\ntrailer: one\r\n"];
        for begin in texts.map(|text| format!("{CHUNKED}{text}")) {
            let repeated = if begin.ends_with("one\r\n") { "trailer: one\r\n" } else { "more" };
            let answer = EndlessAnswer { begin: begin.leak(), repeated };
            let endpoint = answer.serve(Writing::Stepwise).await;

            let exchange = endpoint.send_request().await.expect("a head arrives");
            let outcome = ended(exchange.whole()).await;
            endpoint.wait_until_closed().await;

            assert_eq!(outcome.err(), Some(SendFailure::Broken), "{answer:?}");
            let written = endpoint.written();
            assert!(written <= MAX_ANNOUNCED_WRITTEN_BYTES, "{written} bytes of {answer:?}");
        }
    });
}

/// Guards against a body that is read although its head announces more than a buffer may hold.
#[test]
fn a_body_that_is_announced_as_too_large_is_not_read() {
    run(async {
        const HUGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 90000000000\r\n\r\n";
        let answer = EndlessAnswer { begin: HUGE, repeated: "" };
        let endpoint = answer.serve(Writing::Stepwise).await;

        let exchange = endpoint.send_request().await.expect("a head arrives");
        let outcome = ended(exchange.whole()).await;
        endpoint.wait_until_closed().await;

        assert_eq!(outcome.err(), Some(SendFailure::Broken));
    });
}

/// Guards against the memory that many large bodies take together: each is below the largest one, and none ends.
/// A small body still arrives.
#[test]
fn all_buffered_bodies_share_one_bound() {
    let _alone = buffer_large_bodies();
    run(async {
        const BODIES: usize = 136;
        const BODY_BYTES: usize = 1024 * 1024;
        const SMALL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsmall";
        const OPEN: &str = "HTTP/1.1 200 OK\r\n\r\n";
        let large = EndlessAnswer { begin: OPEN, repeated: "more" };
        let large = large.serve(Writing::UpTo(BODY_BYTES)).await;
        let small = EndlessAnswer { begin: SMALL, repeated: "" }.serve(Writing::Stepwise).await;

        let mut receiving = JoinSet::new();
        for _ in 0..BODIES {
            let exchange = large.send_request().await.expect("a head arrives");
            receiving.spawn_local(exchange.whole());
        }
        let mut given_up = 0;
        while (BODIES - given_up) * BODY_BYTES > MAX_TOTAL_BYTES {
            let outcome = ended(receiving.join_next()).await.expect("a body is left");
            assert_eq!(outcome.expect("no panic").err(), Some(SendFailure::Broken));
            given_up += 1;
        }
        let exchange = small.send_request().await.expect("a head arrives");
        let (_, body, _) = exchange.whole().await.expect("a small body arrives");

        assert_eq!(body, "small");
    });
}

/// The counterpart of the failures above: a large body arrives whole, as often as it is requested, since what was
/// received no longer counts.
#[test]
fn large_bodies_arrive_one_after_the_other() {
    let _alone = buffer_large_bodies();
    run(async {
        const BODY_BYTES: usize = 8_000_000;
        let begin = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        let answer = EndlessAnswer { begin: begin.leak(), repeated: "m" };
        let endpoint = answer.serve(Writing::UpTo(BODY_BYTES)).await;

        for _ in 0..12 {
            let exchange = endpoint.send_request().await.expect("a head arrives");
            let (_, body, _) = exchange.whole().await.expect("the body arrives");
            assert_eq!(body.len(), BODY_BYTES);
        }
    });
}
