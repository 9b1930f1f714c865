//! Operator calls to list and change evacuated zones on the gateway's own paths.

use briartray_http::ResponseBody;
use briartray_model::names::ZoneName;
use http::request::Parts;
use http::{Method, Response};
use serde::Deserialize;
use serde_json::json;

use super::api::json_answer;
use super::evacuation::ZoneChange;
use super::input::{CoreInput, ReplySender};

/// Path that lists the evacuated zones.
const LIST_PATH: &str = "/v1/evacuations";

/// Path that evacuates a zone.
const START_PATH: &str = "/v1/evacuations/start";

/// Path that readmits a zone.
const END_PATH: &str = "/v1/evacuations/end";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneCall {
    zone: ZoneName,
}

/// An operator call about zone evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum EvacuationCall {
    /// List the evacuated zones.
    List,
    /// Evacuate or readmit a zone.
    Change(ZoneName, ZoneChange),
}

impl EvacuationCall {
    /// Parses a call; `None` if the path belongs to another API.
    ///
    /// # Errors
    /// A message that describes what is wrong with the body.
    pub(super) fn read(head: &Parts, body: &[u8]) -> Option<Result<Self, String>> {
        match (&head.method, head.uri.path()) {
            (&Method::GET, LIST_PATH) => Some(Ok(Self::List)),
            (&Method::POST, START_PATH) => Some(read_change(body, ZoneChange::Evacuate)),
            (&Method::POST, END_PATH) => Some(read_change(body, ZoneChange::Readmit)),
            _ => None,
        }
    }

    /// The input to the control thread for this call.
    pub(super) fn input(self, reply: ReplySender) -> CoreInput {
        match self {
            Self::List => CoreInput::ListEvacuated { reply },
            Self::Change(zone, change) => CoreInput::ChangeZone { zone, change, reply },
        }
    }
}

fn read_change(body: &[u8], change: ZoneChange) -> Result<EvacuationCall, String> {
    let call: ZoneCall = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(EvacuationCall::Change(call.zone, change))
}

/// The response that lists `zones`.
pub(super) fn evacuation_answer(zones: &[ZoneName]) -> Response<ResponseBody> {
    let zones: Vec<_> = zones.iter().map(|zone| json!({ "zone": zone.as_str() })).collect();
    json_answer(json!(zones).to_string())
}
