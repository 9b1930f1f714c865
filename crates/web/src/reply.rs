//! Complete replies, in JSON or text.

use serde_json::{Value, json};
use tiny_http::{Header, Request, Response, StatusCode};

use crate::front_proxy::send_last_reply;

/// JSON reply with its status and extra headers.
#[derive(Debug, Clone, PartialEq)]
pub struct JsonReply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Value,
    /// Headers besides `Content-Type`.
    pub headers: Vec<(&'static str, String)>,
}

impl JsonReply {
    /// Creates a reply with `status` and `body`.
    pub fn new(status: u16, body: Value) -> Self {
        Self { status, body, headers: Vec::new() }
    }

    /// Creates a refusal of a request that was not examined yet.
    pub fn refusal(status: u16, code: &str) -> Self {
        Self::not_run(status, code, "the request was not looked at; try again in a second")
    }

    /// Creates a refusal of a request that was not run; `message` tells what the caller can do.
    pub fn not_run(status: u16, code: &str, message: &str) -> Self {
        let body = json!({
            "code": code,
            "message": message,
            "request_id": null,
            "outcome": "not_run",
            "error": { "code": code, "message": message, "type": "briartray" },
        });
        let reply = Self::new(status, body);
        if status == 503 { reply.with_header("Retry-After", "1".to_owned()) } else { reply }
    }

    /// Serializes the reply as an HTTP/1.1 response with `Connection: close`.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        let body = self.body.to_string();
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n",
            self.status,
            StatusCode(self.status).default_reason_phrase(),
            body.len()
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        head.push_str(&body);
        head.into_bytes()
    }

    /// Adds a header to the reply.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Largest announced body of a request that the library may drop, in bytes.
const MAX_DROPPED_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Sends `reply` through the front proxy if the announced body is too large to drop the request; returns the
/// request otherwise.
///
/// The library allocates the unread rest of a body when its request is dropped, and a failed
/// allocation ends the process. Such a request is therefore kept, with the library's thread of its connection.
fn keep_huge_request(request: Request, reply: &JsonReply) -> Option<Request> {
    if request.body_length().is_none_or(|length| length <= MAX_DROPPED_BODY_BYTES) {
        return Some(request);
    }
    send_last_reply(reply.to_bytes());
    std::mem::forget(request);
    None
}

/// Sends a JSON reply; a caller that has disconnected is not an error.
pub fn reply_json(request: Request, reply: &JsonReply) {
    let Some(request) = keep_huge_request(request, reply) else { return };
    let mut response = Response::from_string(reply.body.to_string())
        .with_status_code(reply.status)
        .with_header(make_header("Content-Type", "application/json"));
    for (name, value) in &reply.headers {
        response.add_header(make_header(name, value));
    }
    if let Err(error) = request.respond(response) {
        log::debug!("caller disconnected before its reply was sent: {error}");
    }
}

/// Sends a reply of type `content_type`; a caller that has disconnected is not an error.
pub fn reply_text(request: Request, status: u16, content_type: &str, body: Vec<u8>) {
    let refusal = JsonReply::not_run(413, "body_too_large", "the body is too large; send less");
    let Some(request) = keep_huge_request(request, &refusal) else { return };
    let response = Response::from_data(body)
        .with_status_code(status)
        .with_header(make_header("Content-Type", content_type));
    if let Err(error) = request.respond(response) {
        log::debug!("caller disconnected before its reply was sent: {error}");
    }
}

/// Value of the header `name`, compared without regard to case.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).unwrap_or_else(|()| {
        Header::from_bytes(&b"X-Header-Dropped"[..], &b"1"[..]).expect("a constant header is valid")
    })
}
