//! Client of the operators' port of the control hosts.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::CommandError;

/// Time limit for one call; long because a change waits until every entry has adopted it.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the control hosts are tried in turn before giving up, if there are several.
const LEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the control hosts are tried again.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Error codes after which the next control host is tried.
///
/// After `no_answer` the outcome of a change is unknown; its change id makes a retry safe.
const RETRY_ELSEWHERE_CODES: [&str; 3] = ["not_leader", "no_answer", "busy"];

/// Default address of the operators' port.
pub(super) const DEFAULT_OPERATOR: &str = "127.0.0.1:8081";

/// Defines the options of a command that calls the operators' port: the options of the command
/// itself, followed by the addresses of the port, its token and the output format.
///
/// The fields are matched as raw tokens because the derive depends on how their types are written.
macro_rules! operator_command {
    ($vis:vis struct $name:ident { $($own:tt)* }) => {
        #[derive(Debug, ::gumdrop::Options)]
        $vis struct $name {
            $($own)*
            #[options(
                no_short,
                help = "addresses of the operators' ports, separated by commas",
                meta = "ADDRESS",
                default_expr = "crate::cmd::operator::DEFAULT_OPERATOR.to_owned()"
            )]
            operator: String,
            #[options(no_short, help = "token for the operators' port", meta = "TOKEN")]
            token: Option<String>,
            #[options(no_short, help = "output format: text or json", meta = "FORMAT")]
            output: $crate::cmd::OutputFormat,
        }

        impl $name {
            fn client(&self) -> $crate::cmd::operator::OperatorClient<'_> {
                $crate::cmd::operator::OperatorClient {
                    address: &self.operator,
                    token: self.token.as_deref(),
                }
            }
        }
    };
}

/// Client of the operators' ports of one or more control hosts.
#[derive(Debug, Clone, Copy)]
pub(super) struct OperatorClient<'a> {
    /// Addresses, separated by commas.
    pub(super) address: &'a str,
    /// Bearer token, the same for all control hosts.
    pub(super) token: Option<&'a str>,
}

impl OperatorClient<'_> {
    /// Gets `path` and returns the body of the response.
    pub(super) fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.try_each_host(|address| self.send(attohttpc::get(url(address, path)), address, None))
    }

    /// Posts `body` to `path` and returns the body of the response.
    ///
    /// The same body may be sent to several control hosts, so it has to be idempotent or carry a
    /// change id.
    pub(super) fn post(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.try_each_host(|address| {
            self.send(attohttpc::post(url(address, path)), address, Some(body))
        })
    }

    /// Tries the control hosts in turn until one of them gives a final answer.
    fn try_each_host(
        &self,
        call: impl Fn(&str) -> Result<Value, CallFailure>,
    ) -> Result<Value, CommandError> {
        let addresses: Vec<&str> = self.address.split(',').map(str::trim).collect();
        let started = Instant::now();
        loop {
            let mut last_error = CommandError::unusable("--operator has no address");
            for address in &addresses {
                match call(address) {
                    Ok(value) => return Ok(value),
                    Err(CallFailure::Final(error)) => return Err(error),
                    Err(CallFailure::TryNextHost(error)) => last_error = error,
                }
            }
            if addresses.len() == 1 || started.elapsed() >= LEADER_TIMEOUT {
                return Err(last_error);
            }
            std::thread::sleep(LEADER_RETRY_DELAY);
        }
    }

    fn send(
        &self,
        request: attohttpc::RequestBuilder,
        address: &str,
        body: Option<&Value>,
    ) -> Result<Value, CallFailure> {
        let mut request = request.timeout(CALL_TIMEOUT).connect_timeout(CONNECT_TIMEOUT);
        if let Some(token) = self.token {
            request = request.bearer_auth(token);
        }
        let bytes = body.map(|body| body.to_string().into_bytes()).unwrap_or_default();
        let response = request.bytes(bytes).send().map_err(|error| {
            let message = format!("cannot reach {address}: {error}; check --operator");
            CallFailure::TryNextHost(CommandError::refused(message))
        })?;
        let succeeded = response.is_success();
        let final_error =
            |error: &dyn std::fmt::Display| CallFailure::Final(CommandError::refused(error));
        let text = response.text().map_err(|error| final_error(&error))?;
        let value: Value = serde_json::from_str(&text).map_err(|error| final_error(&error))?;
        if succeeded {
            return Ok(value);
        }
        let error = CommandError::refused(format_error(&value));
        let retry_elsewhere =
            value["code"].as_str().is_some_and(|code| RETRY_ELSEWHERE_CODES.contains(&code));
        Err(if retry_elsewhere {
            CallFailure::TryNextHost(error)
        } else {
            CallFailure::Final(error)
        })
    }
}

/// Failure of a call to one control host.
enum CallFailure {
    /// Another control host may succeed.
    TryNextHost(CommandError),
    /// Every control host would give the same answer.
    Final(CommandError),
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

fn format_error(value: &Value) -> String {
    let field = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default();
    let details = value.get("details").map(|more| format!(" {more}")).unwrap_or_default();
    format!("{}: {}{details}", field("code"), field("message"))
}
