//! Writing an answer to its caller, and recording it for resends of calls that run only once.

use std::io::Result;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{CallOutcome, KeptAnswer, KeptBody, MAX_KEPT_ANSWER_BYTES};
use briartray_model::names::RequestId;
use briartray_web::{EventWriter, JsonReply, reply_json, reply_text};
use tiny_http::Request;

use super::refusal::CallRefusal;
use crate::ClockReader;
use crate::metrics::AdmissionMetrics;

/// Content type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// How a call with an idempotency key ended.
#[derive(Debug)]
pub(super) enum KeyedOutcome {
    /// It ran; `None` when the answer is too large to store.
    Ran(Option<KeptAnswer>),
    /// It did not run and will not run later.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Called with the outcome of a call with an idempotency key, before its caller is answered.
pub(super) type OutcomeHook = Box<dyn FnOnce(KeyedOutcome) + Send>;

/// Collects the answer for resends.
struct AnswerRecord {
    hook: OutcomeHook,
    events: Vec<Vec<u8>>,
    bytes: usize,
}

impl AnswerRecord {
    fn add(&mut self, data: &[u8]) {
        self.bytes += data.len();
        if self.bytes <= MAX_KEPT_ANSWER_BYTES {
            self.events.push(data.to_vec());
        } else {
            self.events = Vec::new();
        }
    }

    fn finish_events(self) {
        let kept = (self.bytes <= MAX_KEPT_ANSWER_BYTES).then_some(KeptAnswer {
            status: 200,
            content_type: EVENT_STREAM.to_owned(),
            body: KeptBody::Events(self.events),
        });
        (self.hook)(KeyedOutcome::Ran(kept));
    }

    fn finish_body(self, status: u16, content_type: &str, body: &[u8]) {
        let kept = (body.len() <= MAX_KEPT_ANSWER_BYTES).then(|| KeptAnswer {
            status,
            content_type: content_type.to_owned(),
            body: KeptBody::Whole(body.to_vec()),
        });
        (self.hook)(KeyedOutcome::Ran(kept));
    }
}

/// Writes the answer of one request to its caller.
pub(super) struct CallerOutput {
    id: RequestId,
    request: Option<Request>,
    events: Option<EventWriter>,
    record: Option<AnswerRecord>,
    may_have_run: bool,
    timer: Option<EventTimer>,
}

/// Measures the time between the events of one stream.
struct EventTimer {
    metrics: AdmissionMetrics,
    clock: ClockReader,
    last_event_at: TimePoint,
    started: bool,
}

impl EventTimer {
    fn observe_event(&mut self) {
        let now = self.clock.now();
        let passed = now.since(std::mem::replace(&mut self.last_event_at, now)).as_secs_f64();
        if std::mem::replace(&mut self.started, true) {
            self.metrics.inter_token_seconds.observe(passed);
        } else {
            self.metrics.first_token_seconds.observe(passed);
        }
    }
}

impl CallerOutput {
    pub(super) fn new(id: RequestId, request: Request) -> Self {
        Self {
            id,
            request: Some(request),
            events: None,
            record: None,
            may_have_run: false,
            timer: None,
        }
    }

    /// Measures the times of stream events; the first one counts from `arrived`.
    pub(super) fn with_timer(
        mut self,
        metrics: &AdmissionMetrics,
        clock: ClockReader,
        arrived: TimePoint,
    ) -> Self {
        let last_event_at = arrived;
        self.timer =
            Some(EventTimer { metrics: metrics.clone(), clock, last_event_at, started: false });
        self
    }

    /// Records the answer and calls `hook` with the outcome before the caller is answered.
    pub(super) fn record(&mut self, hook: OutcomeHook) {
        self.record = Some(AnswerRecord { hook, events: Vec::new(), bytes: 0 });
    }

    /// Notes that an attempt ended with an unknown effect.
    ///
    /// A retry on another replica may then be refused there. That replica did not run the request,
    /// but the first one may have, so a later refusal must not report the request as not run.
    pub(super) fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Writes one event; the first one also writes the response head.
    ///
    /// # Errors
    /// The caller has disconnected and the answer is not recorded for resends.
    pub(super) fn event(&mut self, data: &[u8]) -> Result<()> {
        if let Some(record) = &mut self.record {
            record.add(data);
        }
        if let Some(timer) = &mut self.timer {
            timer.observe_event();
        }
        let written = self.write_event(data);
        self.ignore_if_recorded(written)
    }

    /// Checks the connection of a caller whose stream has begun by writing a comment to it.
    ///
    /// # Errors
    /// As [`CallerOutput::event`].
    pub(super) fn check_caller(&mut self) -> Result<()> {
        let written = self.events.as_mut().map_or(Ok(()), |events| events.comment("waiting"));
        self.ignore_if_recorded(written)
    }

    /// Ends a complete event stream with its end mark.
    pub(super) fn finish_events(mut self) -> Result<()> {
        if let Some(record) = self.record.take() {
            record.finish_events();
        }
        self.write_event(b"[DONE]")?;
        self.events.map_or(Ok(()), EventWriter::finish)
    }

    /// Writes a complete answer that is not a stream.
    pub(super) fn finish_body(mut self, status: u16, content_type: &str, body: Vec<u8>) {
        if let Some(record) = self.record.take() {
            record.finish_body(status, content_type, &body);
        }
        if let Some(request) = self.request {
            reply_text(request, status, content_type, body);
        }
    }

    /// Writes the stored answer of an earlier run.
    pub(super) fn replay(mut self, answer: KeptAnswer) -> Result<()> {
        match answer.body {
            KeptBody::Whole(body) => self.finish_body(answer.status, &answer.content_type, body),
            KeptBody::Events(events) => {
                for event in events {
                    self.write_event(&event)?;
                }
                self.finish_events()?;
            }
        }
        Ok(())
    }

    /// Whether no part of an answer has been sent to the caller.
    pub(super) fn is_unsent(&self) -> bool {
        self.request.is_some()
    }

    /// Refuses the request with `Retry-After` set to `wait`; nothing must have been sent yet.
    pub(super) fn refuse_with_retry_after(mut self, refusal: &CallRefusal, wait: Duration) {
        let refusal = self.finalize_refusal(refusal);
        if let Some(request) = self.request {
            reply_json(request, &refusal.reply_after(self.id, wait));
        }
    }

    /// Refuses the request; a stream that has begun ends with an error event instead.
    pub(super) fn refuse(mut self, refusal: &CallRefusal) {
        let refusal = self.finalize_refusal(refusal);
        if let Some(request) = self.request.take() {
            let reply: JsonReply = refusal.reply(self.id);
            reply_json(request, &reply);
            return;
        }
        // The stream has begun, so it ends with an error event and without its end mark.
        let body = refusal.body(self.id).to_string();
        if let Some(mut events) = self.events.take() {
            let ended = events.event(body.as_bytes()).and_then(|()| events.finish());
            if let Err(error) = ended {
                log::debug!("caller disconnected before its error event: {error}");
            }
        }
    }

    /// Adjusts the outcome of a refusal to all attempts and reports it to the recording hook.
    fn finalize_refusal(&mut self, refusal: &CallRefusal) -> CallRefusal {
        let mut refusal = refusal.clone();
        if self.may_have_run && refusal.outcome == CallOutcome::NotRun {
            refusal.outcome = CallOutcome::Unknown;
        }
        if let Some(record) = self.record.take() {
            (record.hook)(match refusal.outcome {
                CallOutcome::NotRun => KeyedOutcome::NotRun,
                CallOutcome::Ran => KeyedOutcome::Ran(None),
                CallOutcome::Unknown => KeyedOutcome::Unknown,
            });
        }
        refusal
    }

    /// Ignores a write error if the answer is recorded: the call continues without its caller, so
    /// that a resend gets the whole answer.
    fn ignore_if_recorded(&mut self, written: Result<()>) -> Result<()> {
        if self.record.is_some() { Ok(()) } else { written }
    }

    fn write_event(&mut self, data: &[u8]) -> Result<()> {
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
}
