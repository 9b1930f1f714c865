//! Single calls to the processes of a trial.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use super::process::TrialError;

/// How long one call may take; generous, because a busy machine is no failure.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// Posts `body` to `path`; returns status and body of the answer.
///
/// # Errors
/// `TrialError::Load` when nothing answers, or no JSON.
pub fn post_json(
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<(u16, Value), TrialError> {
    let request = attohttpc::post(format!("http://{address}{path}"));
    read_json(request.timeout(CALL_LIMIT).bytes(body.to_string().into_bytes()).send())
}

/// Reads `path`; returns status and body of the answer.
///
/// # Errors
/// `TrialError::Load` when nothing answers, or no JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<(u16, Value), TrialError> {
    read_json(attohttpc::get(format!("http://{address}{path}")).timeout(CALL_LIMIT).send())
}

/// Asks an entry for `tokens` tokens of its service `desk`.
///
/// # Errors
/// `TrialError::Load` when the entry does not answer.
pub fn ask_desk(entry: SocketAddr, tokens: u32) -> Result<(u16, Value), TrialError> {
    let body = json!({ "model": "desk", "prompt": "status of lot 7", "max_tokens": tokens });
    post_json(entry, "/v1/completions", &body)
}

fn read_json(response: attohttpc::Result<attohttpc::Response>) -> Result<(u16, Value), TrialError> {
    let failed = |detail: String| TrialError::Load { detail };
    let response = response.map_err(|error| failed(error.to_string()))?;
    let status = response.status().as_u16();
    let text = response.text().map_err(|error| failed(error.to_string()))?;
    let body = serde_json::from_str(&text).map_err(|error| failed(error.to_string()))?;
    Ok((status, body))
}
