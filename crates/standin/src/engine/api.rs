//! HTTP API of the engine: dispatch by path, and completions.

use std::time::Duration;

use briartray_web::{
    JsonReply, WORKER_STACK_BYTES, header_value, read_body, reply_json, spawn_worker,
};
use serde::Deserialize;
use serde_json::json;
use tiny_http::{Method, Request};

use super::answer;
use super::core::EngineShared;
use super::manage;
use crate::fault::FaultKind;
use crate::runs::handle_common;
use crate::text::prompt_digest;

/// Maximum size of a request body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Tokens to generate for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Priority of a request without `x-priority`.
const DEFAULT_PRIORITY: u8 = 100;

/// Time from the submission of a fatal request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Exit status after a crash, which is that of an abort signal (128 + 6).
const CRASH_STATUS: i32 = 134;

#[derive(Debug, Deserialize)]
struct GenerateCall {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

impl GenerateCall {
    fn prompt_text(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let lines: Vec<&str> = self.messages.iter().map(|line| line.content.as_str()).collect();
        lines.join("\n")
    }

    /// Whether `text` is the whole prompt or one of the messages.
    fn contains(&self, text: &str) -> bool {
        let is_message = self.messages.iter().any(|message| message.content == text);
        is_message || self.prompt_text() == text
    }
}

/// Dispatches a request.
pub(super) fn handle(request: Request, shared: &EngineShared) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let Some(request) = handle_common(request, &path, &shared.runs, &shared.faults) else { return };
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (_, ["health"]) => {
            let ready = shared.orders().is_idle();
            let status = if ready { 200 } else { 503 };
            reply_json(request, &JsonReply::new(status, json!({ "ready": ready })));
        }
        (Method::Post, ["v1", "completions"]) => complete(request, shared, &path, false),
        (Method::Post, ["v1", "chat", "completions"]) => complete(request, shared, &path, true),
        (Method::Get, ["load"]) => {
            reply_json(request, &JsonReply::new(200, json!(shared.load())));
        }
        (Method::Get, ["cache", "events"]) => manage::cache_events(request, shared),
        (Method::Get, ["requests", id]) => answer::resume_stream(request, shared, id),
        (Method::Post, ["requests", id, "cancel"]) => manage::cancel(request, shared, id),
        (Method::Get, ["kv", prefix]) => manage::export_blob(request, shared, prefix),
        (Method::Put, ["kv", prefix]) => manage::import_blob(request, shared, prefix),
        (Method::Get, ["orders"]) => manage::list_orders(request, shared),
        (Method::Post, ["orders"]) => manage::apply_order(request, shared),
        _ => refuse(request, 404, "no such call"),
    }
}

/// Replies with an error message.
pub(super) fn refuse(request: Request, status: u16, message: &str) {
    reply_json(request, &JsonReply::new(status, json!({ "error": { "message": message } })));
}

/// Exits the whole process after `CRASH_DELAY`, to simulate a crash of the engine.
fn crash_process() {
    let end = || {
        std::thread::sleep(CRASH_DELAY);
        std::process::exit(CRASH_STATUS);
    };
    if let Err(error) = spawn_worker("crash", WORKER_STACK_BYTES, end) {
        log::error!(
            "cannot start the thread that simulates a crash: {error}; raise the thread limit"
        );
    }
}

fn complete(mut request: Request, shared: &EngineShared, path: &str, chat: bool) {
    let body = match read_body(&mut request, MAX_BODY_BYTES) {
        Ok(body) => body,
        Err(error) => return refuse(request, 400, &error.to_string()),
    };
    let call: GenerateCall = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(error) => return refuse(request, 400, &error.to_string()),
    };
    let faults = shared.faults.draw();
    if let Some(refusal) = faults.refusal() {
        return reply_json(request, &refusal);
    }
    std::thread::sleep(faults.duration(FaultKind::Late));
    let id = header_value(&request, "x-request-id").unwrap_or("none").to_owned();
    let key = header_value(&request, "idempotency-key").map(str::to_owned);
    let priority = header_value(&request, "x-priority").and_then(|value| value.parse().ok());
    let prompt = call.prompt_text();
    let run = shared.runs.begin(&id, key.as_deref(), path, &prompt_digest(&prompt));
    let tracked = shared.submit(&id, &prompt, run, |tracked| {
        tracked.model.clone_from(&call.model);
        tracked.tokens = call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        tracked.priority = priority.unwrap_or(DEFAULT_PRIORITY);
        tracked.chat = chat;
    });
    let fatal = shared.settings.fatal_prompt.as_ref();
    if fatal.is_some_and(|fatal| call.contains(fatal)) {
        crash_process();
    }
    if call.stream {
        answer::send_stream(request, &tracked, 0, &faults);
    } else {
        answer::send_json(request, &tracked, &faults);
    }
}
