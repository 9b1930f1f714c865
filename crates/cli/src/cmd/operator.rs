//! Calling the operators' port.

use std::time::Duration;

use serde_json::Value;

use super::CommandError;

/// How long an operator call may take; an accepted change waits for every entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Address of the operators' port when none is given.
pub(super) const DEFAULT_OPERATOR: &str = "127.0.0.1:8081";

/// The operators' port and the token for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct OperatorPort<'a> {
    pub(super) address: &'a str,
    pub(super) token: Option<&'a str>,
}

impl OperatorPort<'_> {
    /// Reads `path`.
    pub(super) fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(attohttpc::get(self.url(path)), None)
    }

    /// Posts `body` to `path`.
    pub(super) fn post(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.send(attohttpc::post(self.url(path)), Some(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn send(
        &self,
        request: attohttpc::RequestBuilder,
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        let mut request = request.timeout(CALL_TIMEOUT);
        if let Some(token) = self.token {
            request = request.bearer_auth(token);
        }
        let bytes = body.map(|body| body.to_string().into_bytes()).unwrap_or_default();
        let response = request.bytes(bytes).send().map_err(|error| {
            let message = format!("cannot reach {}: {error}; check --operator", self.address);
            CommandError::refused(message)
        })?;
        let ok = response.is_success();
        let text = response.text().map_err(CommandError::refused)?;
        let value: Value = serde_json::from_str(&text).map_err(CommandError::refused)?;
        if ok { Ok(value) } else { Err(CommandError::refused(describe(&value))) }
    }
}

fn describe(value: &Value) -> String {
    let field = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default();
    let details = value.get("details").map(|more| format!(" {more}")).unwrap_or_default();
    format!("{}: {}{details}", field("code"), field("message"))
}
