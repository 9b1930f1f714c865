//! Calling the operators' port.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::CommandError;

/// How long an operator call may take; an accepted change waits for every entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long several control hosts are asked in turn while none of them leads.
const LEADER_WAIT: Duration = Duration::from_secs(10);

/// Wait between two rounds.
const LEADER_CHECK: Duration = Duration::from_millis(200);

/// Codes upon which another control host is asked; with `no_answer` the outcome is unknown, and
/// the change id makes sending it again safe.
const MOVES_ON: [&str; 3] = ["not_leader", "no_answer", "busy"];

/// Address of the operators' port when none is given.
pub(super) const DEFAULT_OPERATOR: &str = "127.0.0.1:8081";

/// Defines the options of a command that calls the operators' port: its own, then where the port
/// is, the token for it and how to print.
///
/// The fields are taken as they stand: the derive looks at how a type is written.
macro_rules! operator_command {
    ($vis:vis struct $name:ident { $($own:tt)* }) => {
        #[derive(Debug, ::gumdrop::Options)]
        $vis struct $name {
            $($own)*
            #[options(
                no_short,
                help = "operators' addresses, separated by commas",
                meta = "ADDRESS",
                default_expr = "crate::cmd::operator::DEFAULT_OPERATOR.to_owned()"
            )]
            operator: String,
            #[options(no_short, help = "operators' token", meta = "TOKEN")]
            token: Option<String>,
            #[options(no_short, help = "text or json", meta = "FORMAT")]
            output: $crate::cmd::OutputFormat,
        }

        impl $name {
            fn port(&self) -> $crate::cmd::operator::OperatorPort<'_> {
                $crate::cmd::operator::OperatorPort {
                    address: &self.operator,
                    token: self.token.as_deref(),
                }
            }
        }
    };
}

/// The operators' ports, separated by commas, and the token for them.
#[derive(Debug, Clone, Copy)]
pub(super) struct OperatorPort<'a> {
    pub(super) address: &'a str,
    pub(super) token: Option<&'a str>,
}

impl OperatorPort<'_> {
    /// Reads `path`.
    pub(super) fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.ask_each(|address| self.send(attohttpc::get(url(address, path)), address, None))
    }

    /// Posts `body` to `path`. Another control host may be sent the same body, so it must say
    /// by an id of its own that it is the same change.
    pub(super) fn post(&self, path: &str, body: &Value) -> Result<Value, CommandError> {
        self.ask_each(|address| self.send(attohttpc::post(url(address, path)), address, Some(body)))
    }

    /// Asks one control host after the other until one answers as the leader.
    fn ask_each(
        &self,
        ask: impl Fn(&str) -> Result<Value, CallFailure>,
    ) -> Result<Value, CommandError> {
        let addresses: Vec<&str> = self.address.split(',').map(str::trim).collect();
        let started = Instant::now();
        loop {
            let mut missed = CommandError::unusable("--operator names no address");
            for address in &addresses {
                match ask(address) {
                    Ok(value) => return Ok(value),
                    Err(CallFailure::Final(error)) => return Err(error),
                    Err(CallFailure::Elsewhere(error)) => missed = error,
                }
            }
            if addresses.len() == 1 || started.elapsed() >= LEADER_WAIT {
                return Err(missed);
            }
            std::thread::sleep(LEADER_CHECK);
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
            CallFailure::Elsewhere(CommandError::refused(message))
        })?;
        let ok = response.is_success();
        let last = |error: &dyn std::fmt::Display| CallFailure::Final(CommandError::refused(error));
        let text = response.text().map_err(|error| last(&error))?;
        let value: Value = serde_json::from_str(&text).map_err(|error| last(&error))?;
        if ok {
            return Ok(value);
        }
        let error = CommandError::refused(describe(&value));
        let moves_on = value["code"].as_str().is_some_and(|code| MOVES_ON.contains(&code));
        Err(if moves_on { CallFailure::Elsewhere(error) } else { CallFailure::Final(error) })
    }
}

/// Why one control host gave no answer that counts.
enum CallFailure {
    /// Another control host may answer.
    Elsewhere(CommandError),
    /// Every control host would say the same.
    Final(CommandError),
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

fn describe(value: &Value) -> String {
    let field = |name: &str| value.get(name).and_then(Value::as_str).unwrap_or_default();
    let details = value.get("details").map(|more| format!(" {more}")).unwrap_or_default();
    format!("{}: {}{details}", field("code"), field("message"))
}
