//! Responses that are read completely before anything is sent to the caller.
//!
//! A request that may run twice is sent to a second replica if the first one has not answered in
//! time. The first one is not given up for it: whichever answers first serves the caller.

use std::pin::Pin;
use std::time::Duration;

use briartray_fleet::entry::{AttemptEnd, ChoiceRefusal, NextStep};
use briartray_platform::{ResponseHead, response_headers};
use bytes::Bytes;
use http::Response;
use http::response::Parts;
use tokio::time::{Instant, Sleep};

use super::attempt::{AttemptReply, LiveAnswer, PreparedAttempt, SendingAttempt, SentTo};
use super::crash_check;
use super::dispatch::{MoveRefusal, ServedRequest, StartFailure};
use super::refusal::{RefusalKind, refuse};
use super::target_guard::TargetGuard;
use briartray_http::{EndpointConnection, ResponseBody, SendFailure};

/// Time after which a second replica is tried, as a multiple of the rule's target latency. A hung
/// replica gives no sign; the slowest 10 % of healthy responses take twice the target latency.
const SECOND_RUN_FACTOR: u32 = 3;

/// Lower bound of that time, for rules without a target latency.
const MIN_SECOND_RUN_DELAY: Duration = Duration::from_millis(50);

/// If less time than this is left, a request without a response counts as timed out.
const LATE_MARGIN: Duration = Duration::from_millis(60);

/// A complete response of a replica.
struct WholeAnswer {
    head: Parts,
    body: Bytes,
}

/// One run of the request.
enum WholeRun {
    /// The response head has not arrived.
    Sending(SendingAttempt),
    /// The body is being read.
    Reading(ReadingBody),
}

/// A run whose body is being read.
struct ReadingBody {
    whole: Pin<Box<dyn Future<Output = BodyOutcome>>>,
    framed: bool,
    head: ResponseHead,
    sent_to: SentTo,
    guard: TargetGuard,
}

/// Head, body and connection of a complete response.
type BodyOutcome = Result<(Parts, Bytes, EndpointConnection), SendFailure>;

/// Result of waiting for one run.
enum WholeProgress {
    Replied(Box<AttemptReply>),
    Read(Box<BodyOutcome>),
}

/// Result of waiting for all runs.
enum WholeSignal {
    /// Progress of the run at this position.
    Progress(usize, WholeProgress),
    /// No run has answered in time.
    Overdue,
    Deadline,
}

/// What progress of a run means for the request.
enum WholeStep {
    /// The run goes on.
    Continues,
    Answered(WholeAnswer),
    Ended(AttemptEnd),
}

/// The runs of one request: one, or two while the first one is overdue.
struct WholeRuns {
    runs: Vec<WholeRun>,
    /// Fires when a second replica is to be tried.
    second_timer: Pin<Box<Sleep>>,
    second_delay: Duration,
    deadline_timer: Pin<Box<Sleep>>,
    /// Whether a failure to start a second run has been logged.
    has_noted_refusal: bool,
}

/// Serves `request`, with retries where they are allowed.
pub(super) async fn serve(mut request: ServedRequest) -> Response<ResponseBody> {
    let mut failed_answer = None;
    let mut runs = match WholeRuns::start(&mut request).await {
        Ok(runs) => runs,
        Err(failure) => return request.refuse(start_refusal(&request, failure)),
    };
    loop {
        let step = match runs.wait(&request).await {
            WholeSignal::Progress(position, progress) => {
                runs.advance(&mut request, position, progress).await
            }
            WholeSignal::Overdue => {
                runs.start_second(&mut request);
                WholeStep::Continues
            }
            WholeSignal::Deadline => {
                runs.note_deadline(&mut request);
                return failed_answer.map_or_else(|| refuse(RefusalKind::TimedOut), forward_answer);
            }
        };
        let end = match step {
            WholeStep::Continues => continue,
            WholeStep::Answered(answer) if !answer.head.status.is_server_error() => {
                runs.give_up();
                return forward_answer(answer);
            }
            WholeStep::Answered(answer) => {
                request.count_run();
                failed_answer = Some(answer);
                AttemptEnd::RunFailed
            }
            WholeStep::Ended(end) => end,
        };
        if !runs.is_empty() {
            continue;
        }
        match (request.next_move(end), failed_answer.take()) {
            (NextStep::RetryElsewhere, answer) => match request.prepare(request.head.last_event) {
                Ok(attempt) => {
                    failed_answer = answer;
                    runs.push(attempt);
                }
                Err(failure) => {
                    let refusal = start_refusal(&request, failure);
                    return answer.map_or_else(|| request.refuse(refusal), forward_answer);
                }
            },
            (_, Some(answer)) => return forward_answer(answer),
            (NextStep::Refuse, None) => return refuse(refusal_of_rejected(&request)),
            (_, None) if request.time_left() < LATE_MARGIN => return refuse(RefusalKind::TimedOut),
            (_, None) => return refuse(RefusalKind::Unknown),
        }
    }
}

impl WholeRun {
    /// Waits for the response head or the whole body. May be cancelled and called again.
    async fn progress(&mut self) -> WholeProgress {
        match self {
            Self::Sending(sending) => WholeProgress::Replied(Box::new(sending.reply().await)),
            Self::Reading(reading) => WholeProgress::Read(Box::new(reading.whole.as_mut().await)),
        }
    }
}

/// Waits for `run`; forever if there is none.
async fn progress_of_run(run: Option<&mut WholeRun>) -> WholeProgress {
    match run {
        Some(run) => run.progress().await,
        None => std::future::pending().await,
    }
}

impl ReadingBody {
    fn new(answer: LiveAnswer) -> Self {
        let LiveAnswer { exchange, head, sent_to, guard } = answer;
        let framed = exchange.is_framed();
        Self { whole: Box::pin(exchange.whole()), framed, head, sent_to, guard }
    }
}

impl WholeRuns {
    async fn start(request: &mut ServedRequest) -> Result<Self, StartFailure> {
        // A request that waits has not been sent, so its wait is not part of the attempt.
        request.reserve_target().await.map_err(StartFailure::NoTarget)?;
        let attempt = request.prepare(request.head.last_event)?;
        let second_delay =
            (request.rule.target_latency * SECOND_RUN_FACTOR).max(MIN_SECOND_RUN_DELAY);
        Ok(Self {
            runs: vec![WholeRun::Sending(attempt.start())],
            second_timer: Box::pin(tokio::time::sleep(second_delay)),
            second_delay,
            deadline_timer: Box::pin(tokio::time::sleep(request.time_left())),
            has_noted_refusal: false,
        })
    }

    fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn push(&mut self, attempt: PreparedAttempt) {
        self.runs.push(WholeRun::Sending(attempt.start()));
    }

    async fn wait(&mut self, request: &ServedRequest) -> WholeSignal {
        let may_run_beside = self.runs.len() == 1 && request.may_run_beside();
        let (first, second) = match self.runs.as_mut_slice() {
            [first, second, ..] => (Some(first), Some(second)),
            [first] => (Some(first), None),
            [] => (None, None),
        };
        tokio::select! {
            progress = progress_of_run(first) => WholeSignal::Progress(0, progress),
            progress = progress_of_run(second) => WholeSignal::Progress(1, progress),
            () = self.second_timer.as_mut(), if may_run_beside => WholeSignal::Overdue,
            () = self.deadline_timer.as_mut() => WholeSignal::Deadline,
        }
    }

    /// Handles progress of the run at `position`.
    async fn advance(
        &mut self,
        request: &mut ServedRequest,
        position: usize,
        progress: WholeProgress,
    ) -> WholeStep {
        let run = self.runs.remove(position);
        match (run, progress) {
            (_, WholeProgress::Replied(reply)) => match request.accept(*reply) {
                Ok(answer) => {
                    answer.guard.note_progress();
                    answer.guard.note_first_part();
                    let reading = WholeRun::Reading(ReadingBody::new(answer));
                    self.runs.insert(position, reading);
                    WholeStep::Continues
                }
                Err(end) => WholeStep::Ended(end),
            },
            (WholeRun::Reading(reading), WholeProgress::Read(outcome)) => {
                end_of_body(request, reading, *outcome).await
            }
            // Only a run that is being read delivers a body.
            (WholeRun::Sending(sending), WholeProgress::Read(_)) => {
                WholeStep::Ended(request.end_attempt(sending.sent_to(), AttemptEnd::MayHaveRun))
            }
        }
    }

    /// Starts a second run if the request may have one.
    fn start_second(&mut self, request: &mut ServedRequest) {
        self.second_timer.as_mut().reset(Instant::now() + self.second_delay);
        match request.prepare_second(request.head.last_event) {
            Ok(attempt) => {
                self.push(attempt);
                request.state.metrics.count_second_run("started");
            }
            Err(refusal) => {
                if !std::mem::replace(&mut self.has_noted_refusal, true) {
                    request.note_move_refusal(refusal);
                }
            }
        }
    }

    /// Gives up the runs that are left, since another one has answered. Their ends free no slots.
    fn give_up(self) {
        for run in self.runs {
            if let WholeRun::Reading(mut reading) = run {
                reading.guard.note_lost();
            }
        }
    }

    /// Records that the deadline ended the runs.
    fn note_deadline(&self, request: &mut ServedRequest) {
        for run in &self.runs {
            let sent_to = match run {
                WholeRun::Sending(sending) => sending.sent_to(),
                WholeRun::Reading(reading) => &reading.sent_to,
            };
            request.end_attempt(sent_to, AttemptEnd::MayHaveRun);
        }
    }
}

/// Handles the end of a body. An end without framing may be that of an endpoint that crashed.
async fn end_of_body(
    request: &mut ServedRequest,
    reading: ReadingBody,
    outcome: BodyOutcome,
) -> WholeStep {
    let ReadingBody { framed, head: answer_head, sent_to, .. } = &reading;
    let Ok((head, body, connection)) = outcome else {
        crash_check::check(request, sent_to);
        return WholeStep::Ended(request.end_attempt(sent_to, AttemptEnd::MayHaveRun));
    };
    if !framed && has_crashed(request, sent_to).await {
        return WholeStep::Ended(request.end_attempt(sent_to, AttemptEnd::MayHaveRun));
    }
    request.record_complete_run(head.status, *framed);
    if !answer_head.closes_connection {
        let (now, limit) = (request.state.now(), answer_head.idle_limit);
        let mut pool = request.state.pool.borrow_mut();
        pool.put(now, sent_to.address, connection, limit, request.idle_connections);
    }
    WholeStep::Answered(WholeAnswer { head, body })
}

/// Whether a crash ended an answer without framing. At the deadline it counts as one, since a part of an
/// answer must not look complete.
async fn has_crashed(request: &ServedRequest, sent_to: &SentTo) -> bool {
    let check = crash_check::ended_in_crash(request, sent_to);
    tokio::time::timeout(request.time_left(), check).await.unwrap_or(true)
}

/// The refusal for a request whose next attempt did not begin.
pub(super) fn start_refusal(request: &ServedRequest, failure: StartFailure) -> RefusalKind {
    match failure {
        StartFailure::NoTarget(refusal) => {
            if request.runs > 0 {
                request.note_move_refusal(MoveRefusal::NoTarget);
            }
            refusal_without_target(request, refusal)
        }
        StartFailure::Quarantined => quarantine_refusal(request),
    }
}

/// The refusal for a request without an available target. It depends on whether the request may
/// have run.
fn refusal_without_target(request: &ServedRequest, refusal: ChoiceRefusal) -> RefusalKind {
    match refusal {
        _ if request.runs > 0 => RefusalKind::Unknown,
        ChoiceRefusal::Full | ChoiceRefusal::Late { .. } => RefusalKind::ReplicasFull,
        ChoiceRefusal::Limited { wait } => RefusalKind::EndpointLimit { wait },
        ChoiceRefusal::Backoff { wait } => RefusalKind::EndpointBackoff { wait },
        ChoiceRefusal::NoReplica => RefusalKind::NoReplica,
    }
}

/// The refusal for a request that was quarantined while it was in progress.
fn quarantine_refusal(request: &ServedRequest) -> RefusalKind {
    if request.runs > 0 { RefusalKind::Unknown } else { RefusalKind::Quarantined }
}

/// The refusal for a request that the endpoints rejected and that is not sent again. It names the
/// end of their backoff if no other target is left for the caller's next attempt.
pub(super) fn refusal_of_rejected(request: &ServedRequest) -> RefusalKind {
    match request.choose_target() {
        Err(ChoiceRefusal::Backoff { wait }) => RefusalKind::EndpointBackoff { wait },
        _ => RefusalKind::NotRun,
    }
}

fn forward_answer(answer: WholeAnswer) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = response_headers(&answer.head.headers);
    response
}
