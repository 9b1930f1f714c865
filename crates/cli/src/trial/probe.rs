//! Single HTTP calls to the processes of a trial.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use super::process::TrialError;

/// Time limit for one call; generous so that a busy machine does not fail a trial.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// Posts `body` to `path`; returns the status and body of the response.
///
/// # Errors
/// `TrialError::Load` if there is no response or its body is not JSON.
pub fn post_json(
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<(u16, Value), TrialError> {
    let request = attohttpc::post(format!("http://{address}{path}"));
    read_json(request.timeout(CALL_LIMIT).bytes(body.to_string().into_bytes()).send())
}

/// Gets `path`; returns the status and body of the response.
///
/// # Errors
/// `TrialError::Load` if there is no response or its body is not JSON.
pub fn get_json(address: SocketAddr, path: &str) -> Result<(u16, Value), TrialError> {
    read_json(attohttpc::get(format!("http://{address}{path}")).timeout(CALL_LIMIT).send())
}

/// Requests a completion of `tokens` tokens from the service `desk` through an entry; returns the
/// status and body of the response.
///
/// # Errors
/// `TrialError::Load` if there is no response or its body is not JSON.
pub fn request_completion(entry: SocketAddr, tokens: u32) -> Result<(u16, Value), TrialError> {
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
