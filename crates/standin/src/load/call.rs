//! One request of a run, and the check of its answer.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use attohttpc::{RequestBuilder, ResponseReader};
use serde_json::{Value, json};

use super::plan::LoadPlan;
use super::schedule::PlannedCall;
use crate::text::expected_text;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a whole answer that belongs to its request.
pub(super) const ANSWERED: &str = "answered";

/// Outcome of an answer to another request.
pub(super) const CROSSED: &str = "crossed";

/// Outcome of an answer that looks whole and is not.
pub(super) const SHORT: &str = "short";

/// Outcome of an answer with pieces that came twice.
pub(super) const REPEATED: &str = "repeated";

/// Outcomes that leave the caller without an answer and without a refusal.
pub(super) const LOST: [&str; 3] = ["no_connection", "cut", "timed_out"];

/// What one request came to.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct CallResult {
    /// `answered`, the code of a refusal, or what is wrong with the answer.
    pub(super) outcome: String,
    /// Whether the caller was told that the request was not run.
    pub(super) told_not_run: bool,
    /// From the planned start to the first piece of the answer.
    pub(super) first: Option<Duration>,
    /// Between two pieces of a stream.
    pub(super) gaps: Vec<Duration>,
    /// From the planned start to the end of the answer.
    pub(super) whole: Duration,
}

impl CallResult {
    fn ended(outcome: &str) -> Self {
        Self { outcome: outcome.to_owned(), ..Self::default() }
    }
}

/// Sends one request; times count from `planned`, so that a late start counts as well.
pub(super) fn run_call(plan: &LoadPlan, call: &PlannedCall, planned: Instant) -> CallResult {
    let mut result = match send(plan, call) {
        Ok(response) => read_answer(plan, call, response, planned),
        Err(outcome) => CallResult::ended(outcome),
    };
    result.whole = planned.elapsed();
    result
}

fn send(plan: &LoadPlan, call: &PlannedCall) -> Result<attohttpc::Response, &'static str> {
    let (path, body) = match &call.service {
        Some(service) => (format!("/services/{service}/confirm"), call.prompt.clone()),
        None => ("/v1/completions".to_owned(), completion_body(plan, call)),
    };
    let mut request: RequestBuilder = attohttpc::post(format!("http://{}{path}", plan.address))
        .connect_timeout(CONNECT_TIMEOUT)
        // The client keeps a thread for a bound on the whole call; streams are bounded below.
        .read_timeout(plan.timeout)
        .header("content-type", "application/json");
    if let Some(team) = &call.team {
        request = request.header("x-briartray-team", team);
    }
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    request.bytes(body.into_bytes()).send().map_err(|error| match error.kind() {
        attohttpc::ErrorKind::Io(cause) => io_outcome(cause),
        attohttpc::ErrorKind::ConnectError { .. } => "no_connection",
        _ => "cut",
    })
}

fn completion_body(plan: &LoadPlan, call: &PlannedCall) -> String {
    let body = json!({
        "model": plan.model,
        "prompt": call.prompt,
        "max_tokens": plan.tokens,
        "stream": call.stream,
    });
    body.to_string()
}

fn io_outcome(error: &std::io::Error) -> &'static str {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused => "no_connection",
        std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => "timed_out",
        _ => "cut",
    }
}

fn read_answer(
    plan: &LoadPlan,
    call: &PlannedCall,
    response: attohttpc::Response,
    planned: Instant,
) -> CallResult {
    let (status, headers, reader) = response.split();
    let kind = headers.get("content-type").and_then(|value| value.to_str().ok()).unwrap_or("");
    if status.as_u16() == 200 && kind.starts_with("text/event-stream") {
        return read_stream(plan, call, BufReader::new(reader), planned);
    }
    let announced =
        headers.get("content-length").and_then(|value| value.to_str().ok()?.parse().ok());
    let body = match reader.bytes() {
        Ok(body) if announced.is_none_or(|length: usize| length == body.len()) => body,
        Ok(_) => return CallResult::ended("cut"),
        Err(error) => {
            return CallResult::ended(match error.kind() {
                attohttpc::ErrorKind::Io(cause) => io_outcome(cause),
                _ => "cut",
            });
        }
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status.as_u16() != 200 {
        return refused(status.as_u16(), &value);
    }
    let (text, expected) = match &call.service {
        Some(_) => (value["text"].as_str(), expected_text(&call.prompt, 1)),
        None => {
            let text = value["choices"][0]["text"].as_str();
            (text, expected_text(&call.prompt, plan.tokens))
        }
    };
    let mut result = CallResult::ended(judge(text.unwrap_or_default(), &expected));
    result.first = Some(planned.elapsed());
    result
}

/// Compares an answer that looks whole with the one that belongs to the request.
fn judge(text: &str, expected: &str) -> &'static str {
    let known: Vec<&str> = expected.split_whitespace().collect();
    let own = text.split_whitespace().all(|piece| known.contains(&piece));
    if text == expected {
        ANSWERED
    } else if !own {
        CROSSED
    } else if text.len() > expected.len() {
        REPEATED
    } else {
        SHORT
    }
}

fn refused(status: u16, body: &Value) -> CallResult {
    let code = body["code"].as_str().map_or_else(|| format!("http_{status}"), str::to_owned);
    let told_not_run = body["outcome"] == "not_run";
    CallResult { outcome: code, told_not_run, ..CallResult::default() }
}

fn read_stream(
    plan: &LoadPlan,
    call: &PlannedCall,
    mut reader: BufReader<ResponseReader>,
    planned: Instant,
) -> CallResult {
    let mut result = CallResult::default();
    let mut text = String::new();
    let mut last: Option<Instant> = None;
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => return CallResult { outcome: "cut".to_owned(), ..result },
            Ok(_) => {}
            Err(error) => {
                return CallResult { outcome: io_outcome(&error).to_owned(), ..result };
            }
        }
        if planned.elapsed() > plan.timeout {
            return CallResult { outcome: "timed_out".to_owned(), ..result };
        }
        let Some(data) = line.trim_end().strip_prefix("data:") else { continue };
        if data.trim() == "[DONE]" {
            break;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let Some(piece) = event["choices"][0]["text"].as_str() else {
            // The stream was ended by an error event, as it should be when it cannot be whole.
            let code = event["code"].as_str().unwrap_or("unreadable_event");
            return CallResult { outcome: format!("stream_{code}"), ..result };
        };
        text.push_str(piece);
        let now = Instant::now();
        match last.replace(now) {
            Some(before) => result.gaps.push(now - before),
            None => result.first = Some(now.saturating_duration_since(planned)),
        }
    }
    let expected = expected_text(&call.prompt, plan.tokens);
    result.outcome = judge(&text, &expected).to_owned();
    result
}
