//! Writing one answer to its caller.

use std::io::Result;
use std::time::Duration;

use briartray_model::names::RequestId;
use briartray_web::{EventWriter, reply_json, reply_text};
use tiny_http::Request;

use super::refusal::CallRefusal;

/// The caller's side of one request.
pub(super) struct CallerOutput {
    id: RequestId,
    request: Option<Request>,
    events: Option<EventWriter>,
}

impl CallerOutput {
    pub(super) fn new(id: RequestId, request: Request) -> Self {
        Self { id, request: Some(request), events: None }
    }

    /// Writes one event; the first one writes the head as well.
    pub(super) fn event(&mut self, data: &[u8]) -> Result<()> {
        if let Some(request) = self.request.take() {
            let id = self.id.to_string();
            let headers = [("X-Request-Id", id.as_str())];
            self.events = Some(EventWriter::start(request.into_writer(), &headers)?);
        }
        match &mut self.events {
            Some(events) => events.event(data),
            None => Ok(()),
        }
    }

    /// Ends an event stream that is whole.
    pub(super) fn finish_events(mut self) -> Result<()> {
        self.event(b"[DONE]")?;
        self.events.map_or(Ok(()), EventWriter::finish)
    }

    /// Writes a whole answer.
    pub(super) fn whole(self, status: u16, content_type: &str, body: Vec<u8>) {
        if let Some(request) = self.request {
            reply_text(request, status, content_type, body);
        }
    }

    /// Whether the caller has seen no part of an answer.
    pub(super) fn is_unseen(&self) -> bool {
        self.request.is_some()
    }

    /// Tells the caller, which has seen nothing yet, to come back after `wait`.
    pub(super) fn refuse_until(self, refusal: &CallRefusal, wait: Duration) {
        if let Some(request) = self.request {
            reply_json(request, &refusal.reply_after(self.id, wait));
        }
    }

    /// Tells the caller that there is no answer, or that the one it reads is not whole.
    pub(super) fn refuse(mut self, refusal: &CallRefusal) {
        if let Some(request) = self.request.take() {
            reply_json(request, &refusal.reply(self.id));
            return;
        }
        // The stream has begun: it ends with an error event and without its end mark.
        let body = refusal.body(self.id).to_string();
        if let Some(mut events) = self.events.take() {
            let ended = events.event(body.as_bytes()).and_then(|()| events.finish());
            if let Err(error) = ended {
                log::debug!("caller went before its error event: {error}");
            }
        }
    }
}
