//! How operators see the quarantine and let requests out of it.

use briartray_http::ResponseBody;
use briartray_model::names::RequestFingerprint;
use briartray_quarantine::QuarantineRecord;
use http::request::Parts;
use http::{Method, Response};
use serde::Deserialize;
use serde_json::json;

use super::api::json_answer;
use super::input::{CoreInput, ReplySender};

/// Where the requests in quarantine are listed.
const LIST_PATH: &str = "/v1/quarantine";

/// Where a request is let out.
const LIFT_PATH: &str = "/v1/quarantine/lift";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LiftCall {
    print: String,
}

/// A call of an operator about the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuarantineCall {
    /// List the requests.
    List,
    /// Let a request out.
    Lift(RequestFingerprint),
}

impl QuarantineCall {
    /// Reads a call; `None` when it is about something else.
    ///
    /// # Errors
    /// What is wrong with the body.
    pub(super) fn read(head: &Parts, body: &[u8]) -> Option<Result<Self, String>> {
        match (&head.method, head.uri.path()) {
            (&Method::GET, LIST_PATH) => Some(Ok(Self::List)),
            (&Method::POST, LIFT_PATH) => Some(read_lift(body)),
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

fn read_lift(body: &[u8]) -> Result<QuarantineCall, String> {
    let call: LiftCall = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let print = RequestFingerprint::parse(&call.print).map(QuarantineCall::Lift);
    print.ok_or_else(|| "send a print as the list of the quarantine shows it".to_owned())
}

/// The answer that lists `records`.
pub(super) fn quarantine_answer(records: &[QuarantineRecord]) -> Response<ResponseBody> {
    let records: Vec<_> = records.iter().map(QuarantineRecord::shown).collect();
    json_answer(json!(records).to_string())
}
