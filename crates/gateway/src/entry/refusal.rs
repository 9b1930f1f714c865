//! Answers of the entry's own, which always tell the truth about whether a request has run.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use rand::RngExt;
use serde_json::json;

use briartray_http::ResponseBody;

/// Longest time that callers are asked to wait for a replica with a limit.
const LONGEST_LIMIT_WAIT: Duration = Duration::from_secs(5);

/// Shortest such time: callers who were refused together come back spread over as much again.
const SHORTEST_LIMIT_WAIT: Duration = Duration::from_millis(250);

/// Why a request gets no answer of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RefusalKind {
    /// The rules in force are not known here at the moment.
    NotInTouch,
    /// No rule matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// Request line and headers are larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive.
    BadBody,
    /// No replica serves what was asked for at the moment.
    NoReplica,
    /// All replicas are full.
    Full,
    /// Replicas with room name limits under which it does not fit.
    EndpointLimit {
        /// Time until one of them takes a request.
        wait: Duration,
    },
    /// The replicas that were asked have not run it.
    NotRun,
    /// Copies of it crashed the endpoints that ran them.
    Quarantined,
    /// It may have run; no answer came in time.
    LateUnknown,
    /// It may have run; its answer was lost.
    Unknown,
}

impl RefusalKind {
    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::NotInTouch
            | Self::NoReplica
            | Self::Full
            | Self::EndpointLimit { .. }
            | Self::NotRun
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::LateUnknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// A stable word for scripts.
    pub(super) fn code(self) -> &'static str {
        match self {
            Self::NotInTouch => "not_in_touch",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::HeadTooLarge => "head_too_large",
            Self::TooLarge => "too_large",
            Self::BadBody => "bad_body",
            Self::NoReplica => "no_replica",
            Self::Full => "full",
            Self::EndpointLimit { .. } => "endpoint_limit",
            Self::NotRun => "not_run",
            Self::Quarantined => "quarantined",
            Self::LateUnknown => "late_unknown",
            Self::Unknown => "unknown",
        }
    }

    fn remedy(self) -> &'static str {
        match self {
            Self::NotInTouch => "this entry has lost the control hosts; come back in a moment",
            Self::NoRoute => "no route matches; check host name and path",
            Self::NoKey => "present a key of a team that is in force",
            Self::HeadTooLarge => "send fewer or shorter headers",
            Self::TooLarge => "send a smaller body",
            Self::BadBody => "send the whole body",
            Self::NoReplica => "replicas are being set up; come back in a moment",
            Self::Full => "all replicas are busy; come back in a moment",
            Self::EndpointLimit { .. } => {
                "the replicas that are left take only so many requests a second; come back in a moment"
            }
            Self::NotRun => "the replicas that were asked did not take it; come back in a moment",
            Self::Quarantined => {
                "it crashed the replicas that ran it; change it, or ask the operators to lift its quarantine"
            }
            Self::LateUnknown => "it may have run; look before you send it again",
            Self::Unknown => {
                "it may have run and its answer is lost; look before you send it again"
            }
        }
    }

    /// When to come back, for requests that have not run.
    fn retry_after(self) -> Option<Duration> {
        let (least, most) = match self {
            // A lease is renewed four times a second; an election takes up to two seconds.
            Self::NotInTouch => (500, 1_000),
            // A group is mended in one to two seconds.
            Self::NoReplica => (900, 1_900),
            // Some request ends on every group within a tenth of a second; spread over several
            // pauses, so that those who were refused together do not come back together.
            Self::Full => (700, 1_900),
            Self::NotRun => (300, 800),
            Self::EndpointLimit { wait } => {
                let wait = wait.clamp(SHORTEST_LIMIT_WAIT, LONGEST_LIMIT_WAIT).as_millis();
                let wait = u64::try_from(wait).unwrap_or(u64::MAX);
                (wait, 2 * wait)
            }
            // Only an operator or a new version of the engine helps.
            Self::Quarantined => (60_000, 120_000),
            _ => return None,
        };
        Some(Duration::from_millis(rand::rng().random_range(least..most)))
    }
}

/// The answer for `kind`.
pub(super) fn refuse(kind: RefusalKind) -> Response<ResponseBody> {
    let outcome = match kind {
        RefusalKind::LateUnknown | RefusalKind::Unknown => "unknown",
        _ => "not_run",
    };
    let body = json!({ "code": kind.code(), "message": kind.remedy(), "outcome": outcome });
    let mut answer = Response::new(ResponseBody::whole(body.to_string()));
    *answer.status_mut() = kind.status();
    // Told to whoever counts and writes about the request.
    answer.extensions_mut().insert(kind);
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = kind.retry_after() {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
