//! The runs of one stream: the one whose events the caller gets, and a second one while it is silent.
//!
//! A silent replica has failed or goes on within a second or so, and only time tells. The stream
//! therefore starts a second run at another replica, resumed after the last event that the caller
//! got, and keeps the first one. Whichever delivers the next event goes on, and the other one is
//! dropped. If no second run can start, the first one is kept until the deadline, or until its group
//! is lost.

use std::pin::Pin;
use std::time::Duration;

use briartray_fleet::entry::{AttemptEnd, EventSplitter, NextStep, StreamEvent, TargetId};
use briartray_model::TimePoint;
use tokio::time::Sleep;

use super::attempt::{AttemptReply, LiveAnswer, PreparedAttempt, SendingAttempt};
use super::crash_check;
use super::dispatch::{MoveRefusal, ServedRequest, StartFailure};
use super::refusal::RefusalKind;
use super::target_guard::TargetGuard;
use super::whole_answer::{refusal_of_rejected, start_refusal};

/// Interval between two attempts to start a second run.
const SECOND_RUN_INTERVAL: Duration = Duration::from_millis(200);

/// One run of a stream.
enum StreamRun {
    /// The response head has not arrived.
    Sending(SendingAttempt),
    Reading(Box<ReadingRun>),
}

/// A run whose response is being read.
struct ReadingRun {
    answer: LiveAnswer,
    splitter: EventSplitter,
    /// Whether it has delivered an event.
    has_begun: bool,
}

/// Result of waiting for a run.
enum StreamProgress {
    Replied(Box<AttemptReply>),
    Event(StreamEvent),
    /// The response ended after a complete event.
    Ended,
    /// The connection broke, or what it sends is no event stream.
    Broken,
}

/// Result of waiting for all runs.
enum StreamSignal {
    Current(StreamProgress),
    Second(StreamProgress),
    /// Some target is silent.
    Silence,
    Deadline,
}

/// Next part of a stream.
pub(super) enum StreamStep {
    Event(StreamEvent),
    /// The stream is complete.
    End,
}

/// Reason why a stream does not go on.
pub(super) enum StreamFailure {
    Refused(RefusalKind),
    /// The replica responded with an error instead of a stream.
    Answered(Box<LiveAnswer>),
}

/// The runs of one stream.
pub(super) struct StreamRuns {
    current: StreamRun,
    second: Option<StreamRun>,
    /// Fires at the request's deadline; one timer serves all events of the stream.
    deadline_timer: Pin<Box<Sleep>>,
    /// Earliest time of the next attempt to start a second run.
    second_due_at: TimePoint,
    /// Whether a failure to start one has been logged.
    has_noted_refusal: bool,
    /// Whether a run other than the first one delivers the next event.
    is_moved: bool,
    /// Whether the caller got an event.
    has_delivered: bool,
    /// Error response of a replica, which the caller gets if no run delivers.
    failed_answer: Option<Box<LiveAnswer>>,
}

impl StreamRun {
    fn start(attempt: PreparedAttempt) -> Self {
        Self::Sending(attempt.start())
    }

    fn target(&self) -> &TargetId {
        match self {
            Self::Sending(sending) => sending.target(),
            Self::Reading(reading) => &reading.answer.guard.target,
        }
    }

    /// Waits for the response head or the next event. May be cancelled and called again.
    async fn progress(&mut self) -> StreamProgress {
        match self {
            Self::Sending(sending) => StreamProgress::Replied(Box::new(sending.reply().await)),
            Self::Reading(reading) => reading.progress().await,
        }
    }

    /// Records that the run is given up or has failed, so that its end frees no slot. It counts as a run
    /// of `request` if the replica may run it.
    fn note_lost(&mut self, request: &mut ServedRequest) {
        let may_run = match self {
            Self::Sending(sending) => sending.may_run(),
            Self::Reading(reading) => {
                reading.answer.guard.note_lost();
                true
            }
        };
        if may_run {
            request.count_run();
        }
    }

    /// Whether the end of the response is the end of the stream. An end without framing may be that of
    /// an endpoint that crashed.
    async fn is_complete(&self, request: &ServedRequest) -> bool {
        let Self::Reading(reading) = self else { return false };
        let LiveAnswer { exchange, sent_to, .. } = &reading.answer;
        exchange.is_framed() || !crash_check::ended_in_crash(request, sent_to).await
    }
}

impl ReadingRun {
    fn new(answer: LiveAnswer) -> Self {
        Self { answer, splitter: EventSplitter::default(), has_begun: false }
    }

    async fn progress(&mut self) -> StreamProgress {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamProgress::Event(event);
            }
            match self.answer.exchange.next_bytes().await {
                Ok(Some(bytes)) => {
                    self.answer.guard.note_progress();
                    if !self.splitter.push(&bytes) {
                        return StreamProgress::Broken;
                    }
                }
                Ok(None) if !self.splitter.has_partial_event() => return StreamProgress::Ended,
                Ok(None) | Err(_) => return StreamProgress::Broken,
            }
        }
    }
}

/// Waits for `run`; forever if there is none.
async fn progress_of_run(run: Option<&mut StreamRun>) -> StreamProgress {
    match run {
        Some(run) => run.progress().await,
        None => std::future::pending().await,
    }
}

/// Whether an event with `id` may follow the last event that the caller received.
fn follows(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (Some(last), Some(id)) => last.checked_add(1) == Some(id),
        _ => true,
    }
}

impl StreamRuns {
    /// Starts the first run, after event `last` if the caller resumes its stream.
    ///
    /// # Errors
    /// A `StreamFailure` if no replica can take it.
    pub(super) async fn start(
        request: &mut ServedRequest,
        last: Option<u64>,
    ) -> Result<Self, StreamFailure> {
        // A request that waits has not been sent, so its wait is not part of the attempt.
        let reserved = request.reserve_target().await.map_err(StartFailure::NoTarget);
        let attempt = match reserved.and_then(|()| request.prepare(last)) {
            Ok(attempt) => attempt,
            Err(failure) => return Err(start_failure(request, failure)),
        };
        Ok(Self {
            current: StreamRun::start(attempt),
            second: None,
            deadline_timer: Box::pin(tokio::time::sleep(request.time_left())),
            second_due_at: request.state.now(),
            has_noted_refusal: false,
            is_moved: false,
            has_delivered: false,
            failed_answer: None,
        })
    }

    /// Waits for the event after `last`, the last one that the caller got, or for the end.
    ///
    /// # Errors
    /// A `StreamFailure` if no run can go on.
    pub(super) async fn next(
        &mut self,
        request: &mut ServedRequest,
        last: Option<u64>,
    ) -> Result<StreamStep, StreamFailure> {
        loop {
            let step = match self.wait(request).await {
                StreamSignal::Current(progress) => self.advance(request, last, progress).await?,
                StreamSignal::Second(progress) => {
                    self.advance_second(request, last, progress).await
                }
                StreamSignal::Silence => {
                    self.handle_silence(request, last)?;
                    None
                }
                StreamSignal::Deadline => {
                    if let StreamRun::Sending(sending) = &self.current {
                        request.end_attempt(sending.sent_to(), AttemptEnd::MayHaveRun);
                    }
                    return Err(self.fail(RefusalKind::TimedOut));
                }
            };
            if let Some(step) = step {
                return Ok(step);
            }
        }
    }

    /// The response that the last event came from.
    pub(super) fn answer(&self) -> Option<&LiveAnswer> {
        match &self.current {
            StreamRun::Sending(_) => None,
            StreamRun::Reading(reading) => Some(&reading.answer),
        }
    }

    /// Takes the response that ended the stream.
    pub(super) fn into_answer(self) -> Option<LiveAnswer> {
        match self.current {
            StreamRun::Sending(_) => None,
            StreamRun::Reading(reading) => Some(reading.answer),
        }
    }

    /// Target that the last event came from.
    pub(super) fn target(&self) -> &TargetId {
        self.current.target()
    }

    /// The count of the request at the replica that the last event came from.
    pub(super) fn guard(&self) -> Option<&TargetGuard> {
        self.answer().map(|answer| &answer.guard)
    }

    /// Waits for either run, or a notification that a target is silent.
    ///
    /// Polling with a timer for each stream would use a large share of the processor time that an
    /// entry spends on streams.
    async fn wait(&mut self, request: &ServedRequest) -> StreamSignal {
        let Self { current, second, deadline_timer, .. } = self;
        let may_move = second.is_none() && request.rule.kind.may_repeat();
        tokio::select! {
            progress = current.progress() => StreamSignal::Current(progress),
            progress = progress_of_run(second.as_mut()) => StreamSignal::Second(progress),
            () = request.state.silence_notify.notified(), if may_move => StreamSignal::Silence,
            () = deadline_timer.as_mut() => StreamSignal::Deadline,
        }
    }

    /// Handles progress of the current run.
    async fn advance(
        &mut self,
        request: &mut ServedRequest,
        last: Option<u64>,
        progress: StreamProgress,
    ) -> Result<Option<StreamStep>, StreamFailure> {
        match progress {
            StreamProgress::Replied(reply) => match request.accept(*reply) {
                Ok(answer) if answer.exchange.head.status.is_success() => {
                    self.current = StreamRun::Reading(Box::new(ReadingRun::new(answer)));
                }
                Ok(answer) => {
                    request.count_run();
                    self.failed_answer = Some(Box::new(answer));
                    self.replace(request, last, AttemptEnd::RunFailed)?;
                }
                Err(end) => self.replace(request, last, end)?,
            },
            StreamProgress::Event(event) if follows(last, event.id) => {
                self.drop_second(request);
                self.note_event(request, last);
                return Ok(Some(StreamStep::Event(event)));
            }
            StreamProgress::Ended if self.current.is_complete(request).await => {
                self.drop_second(request);
                return Ok(Some(StreamStep::End));
            }
            StreamProgress::Event(_) | StreamProgress::Ended | StreamProgress::Broken => {
                lose(request, &mut self.current);
                self.replace(request, last, AttemptEnd::MayHaveRun)?;
            }
        }
        Ok(None)
    }

    /// Handles progress of the second run. It becomes the current one with its first event.
    async fn advance_second(
        &mut self,
        request: &mut ServedRequest,
        last: Option<u64>,
        progress: StreamProgress,
    ) -> Option<StreamStep> {
        let mut run = self.second.take()?;
        match progress {
            StreamProgress::Replied(reply) => match request.accept(*reply) {
                Ok(answer) if answer.exchange.head.status.is_success() => {
                    self.second = Some(StreamRun::Reading(Box::new(ReadingRun::new(answer))));
                }
                Ok(answer) => {
                    request.count_run();
                    request.state.metrics.count_second_run("failed");
                    self.failed_answer = Some(Box::new(answer));
                }
                Err(_) => request.state.metrics.count_second_run("failed"),
            },
            StreamProgress::Event(event) if follows(last, event.id) => {
                self.switch_to(request, run);
                self.note_event(request, last);
                return Some(StreamStep::Event(event));
            }
            StreamProgress::Ended if run.is_complete(request).await => {
                self.switch_to(request, run);
                return Some(StreamStep::End);
            }
            StreamProgress::Event(_) | StreamProgress::Ended | StreamProgress::Broken => {
                request.state.metrics.count_second_run("failed");
                lose(request, &mut run);
            }
        }
        None
    }

    /// Starts a second run if the current one is at a silent target. Gives the current one up only if
    /// its group is lost, so that its caller may come back elsewhere.
    fn handle_silence(
        &mut self,
        request: &mut ServedRequest,
        last: Option<u64>,
    ) -> Result<(), StreamFailure> {
        let now = request.state.now();
        let is_silent = request.state.table.borrow().is_silent(now, self.current.target());
        if !is_silent || now < self.second_due_at {
            return Ok(());
        }
        self.second_due_at = now.after(SECOND_RUN_INTERVAL);
        let Err(refusal) = self.start_second(request, last) else { return Ok(()) };
        if !std::mem::replace(&mut self.has_noted_refusal, true) {
            request.note_move_refusal(refusal);
        }
        if request.state.table.borrow().is_lost(now, self.current.target()) {
            lose(request, &mut self.current);
            return Err(self.fail(RefusalKind::Unknown));
        }
        Ok(())
    }

    fn start_second(
        &mut self,
        request: &mut ServedRequest,
        last: Option<u64>,
    ) -> Result<(), MoveRefusal> {
        if !self.can_resume(last) {
            return Err(MoveRefusal::NoPosition);
        }
        self.second = Some(StreamRun::start(request.prepare_second(last)?));
        request.state.metrics.count_second_run("started");
        Ok(())
    }

    /// Whether another run can go on after `last`: without the ID of an event it would begin anew.
    fn can_resume(&self, last: Option<u64>) -> bool {
        last.is_some() || !self.has_delivered
    }

    /// Goes on with `run` instead of the current run, which is given up.
    fn switch_to(&mut self, request: &mut ServedRequest, run: StreamRun) {
        let mut silent = std::mem::replace(&mut self.current, run);
        silent.note_lost(request);
        request.state.metrics.count_second_run("delivered");
        self.is_moved = true;
    }

    /// Gives up the second run, since the current one goes on.
    fn drop_second(&mut self, request: &mut ServedRequest) {
        if let Some(mut run) = self.second.take() {
            run.note_lost(request);
            request.state.metrics.count_second_run("dropped");
        }
    }

    /// Replaces the current run, which ended with `end`, by the second one or a new one.
    fn replace(
        &mut self,
        request: &mut ServedRequest,
        last: Option<u64>,
        end: AttemptEnd,
    ) -> Result<(), StreamFailure> {
        self.is_moved = true;
        if let Some(second) = self.second.take() {
            self.current = second;
            return Ok(());
        }
        if self.failed_answer.is_some() {
            return Err(self.fail(RefusalKind::Unknown));
        }
        if !self.can_resume(last) {
            request.note_move_refusal(MoveRefusal::NoPosition);
            return Err(self.fail(RefusalKind::Unknown));
        }
        match request.next_move(end) {
            NextStep::RetryElsewhere => {
                let attempt =
                    request.prepare(last).map_err(|failure| start_failure(request, failure))?;
                self.current = StreamRun::start(attempt);
                Ok(())
            }
            NextStep::Refuse => Err(StreamFailure::Refused(refusal_of_rejected(request))),
            NextStep::Unknown | NextStep::ForwardFailure => {
                let late = request.time_left().is_zero();
                Err(self.fail(if late { RefusalKind::TimedOut } else { RefusalKind::Unknown }))
            }
        }
    }

    /// How the stream fails: with the error response of a replica, or else with `kind`.
    fn fail(&mut self, kind: RefusalKind) -> StreamFailure {
        self.failed_answer.take().map_or(StreamFailure::Refused(kind), StreamFailure::Answered)
    }

    /// Records that the current run delivers the event after `last`.
    fn note_event(&mut self, request: &ServedRequest, last: Option<u64>) {
        self.has_delivered = true;
        let StreamRun::Reading(reading) = &mut self.current else { return };
        if !std::mem::replace(&mut reading.has_begun, true) {
            reading.answer.guard.note_first_part();
        }
        let is_resumed = last != request.head.last_event;
        if !std::mem::take(&mut self.is_moved) || !is_resumed {
            return;
        }
        request.state.metrics.resumed.inc();
        if request.state.log_budget.allows(request.state.now()) {
            log::info!(request = request.request_id(), after = last.unwrap_or(0);
                "resumed stream at another replica");
        }
    }
}

/// Records that `run` was lost, and checks whether its endpoint has crashed.
fn lose(request: &mut ServedRequest, run: &mut StreamRun) {
    run.note_lost(request);
    if let StreamRun::Reading(reading) = run {
        crash_check::check(request, &reading.answer.sent_to);
    }
}

/// How the stream fails if a run cannot start.
fn start_failure(request: &ServedRequest, failure: StartFailure) -> StreamFailure {
    StreamFailure::Refused(start_refusal(request, failure))
}
