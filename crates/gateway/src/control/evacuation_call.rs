//! How operators see and change the evacuation of zones on the product's own paths.

use briartray_http::ResponseBody;
use briartray_model::names::ZoneName;
use http::request::Parts;
use http::{Method, Response};
use serde::Deserialize;
use serde_json::json;

use super::api::json_answer;
use super::evacuation::ZoneWish;
use super::input::{CoreInput, ReplySender};

/// Where the evacuated zones are listed.
const LIST_PATH: &str = "/v1/evacuations";

/// Where a zone is evacuated.
const START_PATH: &str = "/v1/evacuations/start";

/// Where a zone is readmitted.
const END_PATH: &str = "/v1/evacuations/end";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneCall {
    zone: ZoneName,
}

/// A call of an operator about the evacuation of zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum EvacuationCall {
    /// List the evacuated zones.
    List,
    /// Evacuate or readmit a zone.
    Change(ZoneName, ZoneWish),
}

impl EvacuationCall {
    /// Reads a call; `None` when it is about something else.
    ///
    /// # Errors
    /// What is wrong with the body.
    pub(super) fn read(head: &Parts, body: &[u8]) -> Option<Result<Self, String>> {
        match (&head.method, head.uri.path()) {
            (&Method::GET, LIST_PATH) => Some(Ok(Self::List)),
            (&Method::POST, START_PATH) => Some(read_change(body, ZoneWish::Evacuate)),
            (&Method::POST, END_PATH) => Some(read_change(body, ZoneWish::Readmit)),
            _ => None,
        }
    }

    /// What the control thread is asked.
    pub(super) fn input(self, reply: ReplySender) -> CoreInput {
        match self {
            Self::List => CoreInput::Evacuated { reply },
            Self::Change(zone, wish) => CoreInput::Zone { zone, wish, reply },
        }
    }
}

fn read_change(body: &[u8], wish: ZoneWish) -> Result<EvacuationCall, String> {
    let call: ZoneCall = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(EvacuationCall::Change(call.zone, wish))
}

/// The answer that lists `zones`.
pub(super) fn evacuation_answer(zones: &[ZoneName]) -> Response<ResponseBody> {
    let zones: Vec<_> = zones.iter().map(|zone| json!({ "zone": zone.as_str() })).collect();
    json_answer(json!(zones).to_string())
}
