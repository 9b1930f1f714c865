//! Operator calls to list quarantined requests and prompt parts, and to lift their quarantine.

use briartray_http::ResponseBody;
use briartray_model::names::RequestFingerprint;
use briartray_quarantine::ShownRecord;
use http::request::Parts;
use http::{Method, Response};
use serde::Deserialize;
use serde_json::json;

use super::api::json_answer;
use super::input::{CoreInput, ReplySender};

/// Path that lists the quarantined requests.
const LIST_PATH: &str = "/v1/quarantine";

/// Path that lifts the quarantine of a request.
const LIFT_PATH: &str = "/v1/quarantine/lift";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LiftCall {
    print: String,
}

/// An operator call about the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QuarantineCall {
    /// List the quarantined requests.
    List,
    /// Lift the quarantine of the request with this fingerprint.
    Lift(RequestFingerprint),
}

impl QuarantineCall {
    /// Parses a call; `None` if the path belongs to another API.
    ///
    /// # Errors
    /// A message that describes what is wrong with the body.
    pub(super) fn read(head: &Parts, body: &[u8]) -> Option<Result<Self, String>> {
        match (&head.method, head.uri.path()) {
            (&Method::GET, LIST_PATH) => Some(Ok(Self::List)),
            (&Method::POST, LIFT_PATH) => Some(read_lift(body)),
            _ => None,
        }
    }

    /// The input to the control thread for this call.
    pub(super) fn input(self, reply: ReplySender) -> CoreInput {
        match self {
            Self::List => CoreInput::ListQuarantine { reply },
            Self::Lift(fingerprint) => CoreInput::LiftQuarantine { fingerprint, reply },
        }
    }
}

fn read_lift(body: &[u8]) -> Result<QuarantineCall, String> {
    let call: LiftCall = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let lift = RequestFingerprint::parse(&call.print).map(QuarantineCall::Lift);
    lift.ok_or_else(|| "send a print as the list of the quarantine shows it".to_owned())
}

/// The response that lists `records`.
pub(super) fn quarantine_answer(records: &[ShownRecord]) -> Response<ResponseBody> {
    json_answer(json!(records).to_string())
}
