//! The engine's HTTP calls.

use briartray_web::{EventWriter, JsonReply, header_value, read_body, reply_json};
use serde::Deserialize;
use serde_json::{Value, json};
use tiny_http::Request;

use super::EngineSettings;
use crate::text::token_text;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Tokens generated when a request names no number.
const DEFAULT_TOKENS: u32 = 16;

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
}

/// Answers one request.
pub(super) fn handle(mut request: Request, settings: &EngineSettings) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    match path.as_str() {
        "/health" => reply_json(request, &JsonReply::new(200, json!({ "ready": true }))),
        "/v1/completions" | "/v1/chat/completions" => {
            let chat = path.ends_with("/chat/completions");
            let body = match read_body(&mut request, MAX_BODY) {
                Ok(body) => body,
                Err(error) => return refuse(request, 400, &error.to_string()),
            };
            match serde_json::from_slice(&body) {
                Ok(call) => generate(request, settings, &call, chat),
                Err(error) => refuse(request, 400, &error.to_string()),
            }
        }
        _ => refuse(request, 404, "no such call"),
    }
}

fn refuse(request: Request, status: u16, message: &str) {
    reply_json(request, &JsonReply::new(status, json!({ "error": { "message": message } })));
}

fn generate(request: Request, settings: &EngineSettings, call: &GenerateCall, chat: bool) {
    let id = header_value(&request, "x-request-id").unwrap_or("none").to_owned();
    let prompt = call.prompt_text();
    let tokens = call.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if call.stream {
        if let Err(error) = stream_tokens(request, settings, call, &id, &prompt, tokens, chat) {
            log::debug!("engine stream {id} ended early: {error}");
        }
        return;
    }
    let mut text = String::new();
    for index in 0..tokens {
        std::thread::sleep(settings.step);
        text.push_str(&token_text(&prompt, index));
    }
    let body = json!({
        "id": id,
        "object": if chat { "chat.completion" } else { "text_completion" },
        "model": call.model,
        "choices": [choice(chat, "message", &text, Some("stop"))],
        "usage": { "completion_tokens": tokens },
    });
    reply_json(request, &JsonReply::new(200, body));
}

fn stream_tokens(
    request: Request,
    settings: &EngineSettings,
    call: &GenerateCall,
    id: &str,
    prompt: &str,
    tokens: u32,
    chat: bool,
) -> std::io::Result<()> {
    let mut events = EventWriter::start(request.into_writer(), &[])?;
    for index in 0..tokens {
        std::thread::sleep(settings.step);
        let finish = (index + 1 == tokens).then_some("stop");
        let event = json!({
            "id": id,
            "object": if chat { "chat.completion.chunk" } else { "text_completion" },
            "model": call.model,
            "choices": [choice(chat, "delta", &token_text(prompt, index), finish)],
        });
        events.event(event.to_string().as_bytes())?;
    }
    events.event(b"[DONE]")?;
    events.finish()
}

fn choice(chat: bool, field: &str, text: &str, finish: Option<&str>) -> Value {
    if chat {
        json!({ "index": 0, field: { "role": "assistant", "content": text }, "finish_reason": finish })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish })
    }
}
