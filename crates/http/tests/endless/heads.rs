//! Response heads without end, and bytes without end after a response, on real sockets.

use briartray_http::{ConnectionPool, SendFailure};
use briartray_model::TimePoint;

use crate::common::run;
use crate::endpoint::{EndlessAnswer, Writing};

const NOW: TimePoint = TimePoint(1_000_000);

/// Bytes that an endpoint may get rid of before its endless head is given up: the largest head, and some
/// that are on their way meanwhile.
const MAX_HEAD_WRITTEN_BYTES: usize = 96 * 1024;

/// As [`MAX_HEAD_WRITTEN_BYTES`], for interim responses before the head.
const MAX_INTERIM_WRITTEN_BYTES: usize = 256 * 1024;

/// Guards against memory that grows with a response head without end, and a request that waits for its end.
#[test]
fn a_head_without_end_is_given_up_early() {
    run(async {
        let heads = [
            EndlessAnswer { begin: "HTTP/1.1 200 ", repeated: "OK" },
            EndlessAnswer { begin: "HTTP/1.1 200 OK\r\nlong: ", repeated: "header" },
            EndlessAnswer { begin: "HTTP/1.1 200 OK\r\n", repeated: "one: more\r\n" },
            EndlessAnswer { begin: "", repeated: "\r\n" },
            EndlessAnswer { begin: "", repeated: "no response" },
        ];
        for head in heads {
            let endpoint = head.serve(Writing::Stepwise).await;

            let outcome = endpoint.send_request().await;
            endpoint.wait_until_closed().await;

            assert_eq!(outcome.err(), Some(SendFailure::Broken), "{head:?}");
            let written = endpoint.written();
            assert!(written <= MAX_HEAD_WRITTEN_BYTES, "{written} bytes of {head:?}");
        }
    });
}

/// Guards against a request that waits until its deadline for the response after interim ones without end.
#[test]
fn interim_responses_without_end_are_given_up_early() {
    run(async {
        let interim = ["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"];
        for repeated in interim {
            let endpoint = EndlessAnswer { begin: "", repeated }.serve(Writing::Stepwise).await;

            let outcome = endpoint.send_request().await;
            endpoint.wait_until_closed().await;

            assert_eq!(outcome.err(), Some(SendFailure::Broken), "{repeated:?}");
            let written = endpoint.written();
            assert!(written <= MAX_INTERIM_WRITTEN_BYTES, "{written} bytes of {repeated:?}");
        }
    });
}

/// The counterpart of the failure above: a response after an interim one arrives.
#[test]
fn a_response_after_interim_ones_arrives() {
    run(async {
        const ANSWER: &str =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
        let endpoint = EndlessAnswer { begin: ANSWER, repeated: "" }.serve(Writing::Stepwise).await;

        let exchange = endpoint.send_request().await.expect("a head arrives");
        let (_, body, _) = exchange.whole().await.expect("the response is complete");

        assert_eq!(body, "first");
    });
}

/// Guards against bytes without end after a complete response that grow memory or reach the next request.
#[test]
fn bytes_without_end_after_a_response_close_its_connection() {
    run(async {
        const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
        for repeated in [WHOLE, "no response"] {
            let endpoint = EndlessAnswer { begin: WHOLE, repeated }.serve(Writing::Stepwise).await;

            let exchange = endpoint.send_request().await.expect("a head arrives");
            let (_, body, connection) = exchange.whole().await.expect("it is complete");
            let mut pool = ConnectionPool::default();
            pool.put(NOW, endpoint.address, connection, None, 4);
            endpoint.wait_until_closed().await;

            assert_eq!(body, "first");
            assert!(pool.take(NOW, endpoint.address).is_none(), "{repeated:?}");
            let written = endpoint.written();
            assert!(written <= MAX_HEAD_WRITTEN_BYTES, "{written} bytes of {repeated:?}");
        }
    });
}
