//! Writing one answer to its caller, and keeping it where the call runs only once.

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

/// How a call that runs once ended.
#[derive(Debug)]
pub(super) enum OnceEnd {
    /// It ran; the answer is missing when it is too large to keep.
    Ran(Option<KeptAnswer>),
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What is told of the end of a call that runs once, before its caller learns of it.
pub(super) type OnceHook = Box<dyn FnOnce(OnceEnd) + Send>;

/// The answer as it is collected for resends.
struct AnswerRecord {
    hook: OnceHook,
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
        (self.hook)(OnceEnd::Ran(kept));
    }

    fn whole(self, status: u16, content_type: &str, body: &[u8]) {
        let kept = (body.len() <= MAX_KEPT_ANSWER_BYTES).then(|| KeptAnswer {
            status,
            content_type: content_type.to_owned(),
            body: KeptBody::Whole(body.to_vec()),
        });
        (self.hook)(OnceEnd::Ran(kept));
    }
}

/// The caller's side of one request.
pub(super) struct CallerOutput {
    id: RequestId,
    request: Option<Request>,
    events: Option<EventWriter>,
    record: Option<AnswerRecord>,
    may_have_run: bool,
    timer: Option<EventTimer>,
}

/// Times the events of one stream.
struct EventTimer {
    metrics: AdmissionMetrics,
    clock: ClockReader,
    last: TimePoint,
    begun: bool,
}

impl EventTimer {
    fn note(&mut self) {
        let now = self.clock.now();
        let passed = now.since(std::mem::replace(&mut self.last, now)).as_secs_f64();
        if std::mem::replace(&mut self.begun, true) {
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

    /// Times the events of a stream, the first one from `arrived` on.
    pub(super) fn timed(
        mut self,
        metrics: &AdmissionMetrics,
        clock: ClockReader,
        arrived: TimePoint,
    ) -> Self {
        let last = arrived;
        self.timer = Some(EventTimer { metrics: metrics.clone(), clock, last, begun: false });
        self
    }

    /// Collects the answer and tells `hook` how the call ended, before the caller learns of it.
    pub(super) fn record(&mut self, hook: OnceHook) {
        self.record = Some(AnswerRecord { hook, events: Vec::new(), bytes: 0 });
    }

    /// Notes that an attempt ended without a known effect.
    ///
    /// Another replica may be asked after it and refuse. That replica did not run the request, but
    /// the first one may have, so nothing said later may call it not run.
    pub(super) fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Writes one event; the first one writes the head as well.
    ///
    /// # Errors
    /// The caller has gone and nobody else needs the rest of the answer.
    pub(super) fn event(&mut self, data: &[u8]) -> Result<()> {
        if let Some(record) = &mut self.record {
            record.add(data);
        }
        if let Some(timer) = &mut self.timer {
            timer.note();
        }
        let written = self.write_event(data);
        self.or_recorded(written)
    }

    /// Shows whether the caller of a stream that has begun is still there.
    ///
    /// # Errors
    /// As [`CallerOutput::event`].
    pub(super) fn check_caller(&mut self) -> Result<()> {
        let written = self.events.as_mut().map_or(Ok(()), |events| events.comment("waiting"));
        self.or_recorded(written)
    }

    /// Ends an event stream that is whole.
    pub(super) fn finish_events(mut self) -> Result<()> {
        if let Some(record) = self.record.take() {
            record.finish_events();
        }
        self.write_event(b"[DONE]")?;
        self.events.map_or(Ok(()), EventWriter::finish)
    }

    /// Writes a whole answer.
    pub(super) fn whole(mut self, status: u16, content_type: &str, body: Vec<u8>) {
        if let Some(record) = self.record.take() {
            record.whole(status, content_type, &body);
        }
        if let Some(request) = self.request {
            reply_text(request, status, content_type, body);
        }
    }

    /// Writes an answer that was kept from an earlier run.
    pub(super) fn replay(mut self, answer: KeptAnswer) -> Result<()> {
        match answer.body {
            KeptBody::Whole(body) => self.whole(answer.status, &answer.content_type, body),
            KeptBody::Events(events) => {
                for event in events {
                    self.write_event(&event)?;
                }
                self.finish_events()?;
            }
        }
        Ok(())
    }

    /// Whether the caller has seen no part of an answer.
    pub(super) fn is_unseen(&self) -> bool {
        self.request.is_some()
    }

    /// Tells the caller, which has seen nothing yet, to come back after `wait`.
    pub(super) fn refuse_until(mut self, refusal: &CallRefusal, wait: Duration) {
        let refusal = self.settle_refusal(refusal);
        if let Some(request) = self.request {
            reply_json(request, &refusal.reply_after(self.id, wait));
        }
    }

    /// Tells the caller that there is no answer, or that the one it reads is not whole.
    pub(super) fn refuse(mut self, refusal: &CallRefusal) {
        let refusal = self.settle_refusal(refusal);
        if let Some(request) = self.request.take() {
            let reply: JsonReply = refusal.reply(self.id);
            reply_json(request, &reply);
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

    /// The refusal as it may be said, after the ledger was told of it.
    fn settle_refusal(&mut self, refusal: &CallRefusal) -> CallRefusal {
        let mut refusal = refusal.clone();
        if self.may_have_run && refusal.outcome == CallOutcome::NotRun {
            refusal.outcome = CallOutcome::Unknown;
        }
        if let Some(record) = self.record.take() {
            (record.hook)(match refusal.outcome {
                CallOutcome::NotRun => OnceEnd::NotRun,
                CallOutcome::Ran => OnceEnd::Ran(None),
                CallOutcome::Unknown => OnceEnd::Unknown,
            });
        }
        refusal
    }

    /// A call that runs once goes on without its caller, for the resend.
    fn or_recorded(&mut self, written: Result<()>) -> Result<()> {
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
