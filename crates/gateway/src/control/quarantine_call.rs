//! How operators see the quarantine and let requests out of it.

use briartray_http::AnswerBody;
use briartray_model::names::{IncarnationId, RequestPrint, TeamName};
use briartray_quarantine::QuarantineRecord;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response};
use serde_json::{Value, json};

use super::input::{CoreInput, ReplySender};

/// Where the requests in quarantine are listed; one of them has its print behind it.
const QUARANTINE_PATH: &str = "/v1/quarantine";

/// A call of an operator about the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuarantineCall {
    /// List the requests.
    List,
    /// Let a request out.
    Lift(RequestPrint),
}

impl QuarantineCall {
    /// Reads the head of a call; `None` when it is about something else.
    pub(super) fn read<B>(request: &Request<B>) -> Option<Self> {
        let rest = request.uri().path().strip_prefix(QUARANTINE_PATH)?;
        match (request.method(), rest.strip_prefix('/')) {
            (&Method::GET, None) if rest.is_empty() => Some(Self::List),
            (&Method::DELETE, Some(print)) => RequestPrint::parse(print).map(Self::Lift),
            _ => None,
        }
    }

    /// What the control thread is asked.
    pub(super) fn input(self, reply: ReplySender) -> CoreInput {
        match self {
            Self::List => CoreInput::Quarantine { reply },
            Self::Lift(print) => CoreInput::Lift { print, reply },
        }
    }
}

/// The answer that lists `records`.
pub(super) fn quarantine_answer(records: &[QuarantineRecord]) -> Response<AnswerBody> {
    let record = |record: &QuarantineRecord| {
        json!({
            "print": record.print.to_string(),
            "rule": record.rule,
            "team": record.team.as_ref().map(TeamName::as_str),
            "crashed": record.endpoints.iter().map(IncarnationId::to_string).collect::<Vec<_>>(),
        })
    };
    let records: Vec<Value> = records.iter().map(record).collect();
    let mut answer =
        Response::new(AnswerBody::whole(json!({ "quarantined": records }).to_string()));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
