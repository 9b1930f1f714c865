//! Sends a request of the load and checks its answer.

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use attohttpc::{RequestBuilder, ResponseReader};
use serde_json::{Value, json};

use super::plan::LoadPlan;
use super::schedule::PlannedCall;
use crate::text::expected_text;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a complete, correct answer.
pub(super) const ANSWERED: &str = "answered";

/// Outcome of an answer that belongs to another request.
pub(super) const CROSSED: &str = "crossed";

/// Outcome of an incomplete answer that was presented as complete.
pub(super) const SHORT: &str = "short";

/// Outcome of an answer with repeated parts.
pub(super) const REPEATED: &str = "repeated";

/// Outcomes without a complete answer and without a refusal.
pub(super) const LOST_OUTCOMES: [&str; 3] = ["no_connection", "cut", "timed_out"];

/// Result of a request.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct CallResult {
    /// `answered`, the code of a refusal, or the kind of failure.
    pub(super) outcome: String,
    /// Whether the answer states that the request was not run.
    pub(super) told_not_run: bool,
    /// Time from the planned start to the first part of the answer.
    pub(super) first_token: Option<Duration>,
    /// Times between consecutive parts of a stream.
    pub(super) gaps: Vec<Duration>,
    /// Time from the planned start to the end of the answer.
    pub(super) whole_answer: Duration,
}

impl CallResult {
    fn with_outcome(outcome: &str) -> Self {
        Self { outcome: outcome.to_owned(), ..Self::default() }
    }
}

/// Runs a request; times are measured from `planned_start`, so that a late start is included.
pub(super) fn run_call(plan: &LoadPlan, call: &PlannedCall, planned_start: Instant) -> CallResult {
    let mut result = match send(plan, call) {
        Ok(response) => read_answer(plan, call, response, planned_start),
        Err(outcome) => CallResult::with_outcome(outcome),
    };
    result.whole_answer = planned_start.elapsed();
    result
}

fn send(plan: &LoadPlan, call: &PlannedCall) -> Result<attohttpc::Response, &'static str> {
    let (path, body) = match &call.service {
        Some(service) => (format!("/services/{service}/confirm"), call.prompt.clone()),
        None => ("/v1/completions".to_owned(), completion_body(plan, call)),
    };
    let mut request: RequestBuilder = attohttpc::post(format!("http://{}{path}", plan.address))
        .connect_timeout(CONNECT_TIMEOUT)
        // A timeout of the whole call would cost a thread per request in this client;
        // `read_stream` limits streams instead.
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
    planned_start: Instant,
) -> CallResult {
    let (status, headers, reader) = response.split();
    let kind = headers.get("content-type").and_then(|value| value.to_str().ok()).unwrap_or("");
    if status.as_u16() == 200 && kind.starts_with("text/event-stream") {
        return read_stream(plan, call, BufReader::new(reader), planned_start);
    }
    let content_length =
        headers.get("content-length").and_then(|value| value.to_str().ok()?.parse().ok());
    let body = match reader.bytes() {
        Ok(body) if content_length.is_none_or(|length: usize| length == body.len()) => body,
        Ok(_) => return CallResult::with_outcome("cut"),
        Err(error) => {
            return CallResult::with_outcome(match error.kind() {
                attohttpc::ErrorKind::Io(cause) => io_outcome(cause),
                _ => "cut",
            });
        }
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status.as_u16() != 200 {
        return refusal(status.as_u16(), &value);
    }
    let (text, expected) = match &call.service {
        Some(_) => (value["text"].as_str(), expected_text(&call.prompt, 1)),
        None => {
            let text = value["choices"][0]["text"].as_str();
            (text, expected_text(&call.prompt, plan.tokens))
        }
    };
    let mut result = CallResult::with_outcome(classify_answer(text.unwrap_or_default(), &expected));
    result.first_token = Some(planned_start.elapsed());
    result
}

/// Compares an answer that was presented as complete with the expected text.
fn classify_answer(text: &str, expected: &str) -> &'static str {
    let known: Vec<&str> = expected.split_whitespace().collect();
    let is_own = text.split_whitespace().all(|piece| known.contains(&piece));
    if text == expected {
        ANSWERED
    } else if !is_own {
        CROSSED
    } else if text.len() > expected.len() {
        REPEATED
    } else {
        SHORT
    }
}

fn refusal(status: u16, body: &Value) -> CallResult {
    let code = body["code"].as_str().map_or_else(|| format!("http_{status}"), str::to_owned);
    let told_not_run = body["outcome"] == "not_run";
    CallResult { outcome: code, told_not_run, ..CallResult::default() }
}

fn read_stream(
    plan: &LoadPlan,
    call: &PlannedCall,
    mut reader: BufReader<ResponseReader>,
    planned_start: Instant,
) -> CallResult {
    let mut result = CallResult::default();
    let mut text = String::new();
    let mut previous: Option<Instant> = None;
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
        if planned_start.elapsed() > plan.timeout {
            return CallResult { outcome: "timed_out".to_owned(), ..result };
        }
        let Some(data) = line.trim_end().strip_prefix("data:") else { continue };
        if data.trim() == "[DONE]" {
            break;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let Some(piece) = event["choices"][0]["text"].as_str() else {
            // An event without text is an error event: the stream cannot be completed.
            let code = event["code"].as_str().unwrap_or("unreadable_event");
            return CallResult { outcome: format!("stream_{code}"), ..result };
        };
        text.push_str(piece);
        let now = Instant::now();
        match previous.replace(now) {
            Some(previous_time) => result.gaps.push(now - previous_time),
            None => result.first_token = Some(now.saturating_duration_since(planned_start)),
        }
    }
    let expected = expected_text(&call.prompt, plan.tokens);
    result.outcome = classify_answer(&text, &expected).to_owned();
    result
}
