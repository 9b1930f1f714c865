//! Running one request: waits for admission, chooses a replica, dispatches to it, and retries on
//! another replica where that is safe.

use std::sync::Arc;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{
    CallOutcome, CallTarget, GroupRecord, LoadReport, RefusalReason, TraceContext,
};
use briartray_model::names::{
    GroupId, PartId, RequestId, RevisionNumber, RuleName, ServiceName, TeamName,
};
use briartray_model::rules::{AdmitAction, RetryAction, RouteAction};
use briartray_quarantine::{QuarantineStatus, SUSPECT_CRASHES};
use briartray_routing::admission::{AdmissionRefusal, AdmissionRequest, LimitKey, RefusalCause};
use briartray_routing::choice::{AttemptResult, ChoiceOutcome, ChoiceRequest, PrefixDigest};
use briartray_routing::retry::{
    AttemptEffect, AttemptHistory, RetryDecision, StopReason, decide_retry,
};

use super::attempt::{AttemptEnd, AttemptRun, silent_replica};
use super::decide::{CallDecision, CallFacts};
use super::gate::SlotPermit;
use super::output::CallerOutput;
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::{EntryShared, EntryView};

/// A request that the rules allow, with everything needed to run it.
#[derive(Debug)]
pub(super) struct CallPlan {
    pub(super) id: RequestId,
    pub(super) service: ServiceName,
    pub(super) team: TeamName,
    pub(super) trace: TraceContext,
    /// Arrival time of the request.
    pub(super) arrived: TimePoint,
    pub(super) target: CallTarget,
    pub(super) body: Vec<u8>,
    pub(super) stream: bool,
    /// Digest of the start of the prompt, for prefix affinity; engines only.
    pub(super) prefix: Option<PrefixDigest>,
    /// Parts of the prompt that other requests may share.
    pub(super) parts: Vec<PartId>,
    /// Whether it is safe to run the request more than once.
    pub(super) repeatable: bool,
    /// The rule that decided on admission; `None` for the default.
    pub(super) rule: Option<RuleName>,
    pub(super) admit: AdmitAction,
    pub(super) retry: RetryAction,
    /// The caller's `Idempotency-Key`, if any.
    pub(super) key: Option<String>,
    pub(super) route: RouteAction,
    /// The facts that the rules decided on.
    pub(super) facts: CallFacts,
    /// Revision of the rules that made these decisions.
    pub(super) revision: RevisionNumber,
}

/// Upper bound of the random addition to `Retry-After`, in percent of the wait; without it, callers
/// that were refused together would all retry together.
const MAX_RETRY_AFTER_JITTER_PERCENT: u32 = 25;

/// `Retry-After` of a request that no replica ran.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request ended without an answer.
enum CallFailure {
    /// Not run; the caller may retry after this time.
    Retryable(CallRefusal, Duration),
    /// Any other failure, without a suggested time to retry.
    Other(CallRefusal),
}

/// An attempt that has not ended, and its replica.
struct OpenAttempt<'a> {
    run: AttemptRun<'a>,
    group: GroupId,
    started_at: TimePoint,
    /// Whether its agent was silent, so that its replica no longer counts it as load.
    was_silent: bool,
}

/// What a request does next.
enum CallStep {
    /// It is attempted on a replica.
    Attempt(Arc<GroupRecord>),
    /// It waits for a slot again, because the replicas are full.
    Requeue,
    /// It is refused; `ran` is whether a replica may have run it.
    Refuse { failure: CallFailure, ran: bool },
}

/// Waits for admission, runs `plan` and answers the caller.
pub(super) fn run_call(shared: &EntryShared, plan: &CallPlan, output: CallerOutput) {
    let arrived = shared.clock.now();
    let deadline = arrived.after(Duration::from_millis(plan.admit.deadline_ms.into()));
    let is_limited = plan.admit.concurrency > 0 || plan.admit.rate > 0.0;
    let rule = plan.rule.clone().filter(|_| is_limited);
    let key = rule.map(|rule| LimitKey { rule, team: plan.team.clone() });
    let request = AdmissionRequest {
        service: &plan.service,
        team: &plan.team,
        action: &plan.admit,
        limit: key.as_ref(),
        deadline,
    };
    let entered = shared.gate.enter(&request);
    shared.admission_metrics.queue_seconds.observe(shared.clock.now().since(arrived).as_secs_f64());
    let permit = match entered {
        Ok(permit) => permit,
        Err(refusal) => return refuse_call(shared, output, &admission_failure(&refusal)),
    };
    shared.with_budget(&plan.service, |budget| budget.deposit(plan.retry.budget_percent));
    let run = CallRun {
        shared,
        view: shared.view(),
        plan,
        revision: plan.revision,
        retry: plan.retry.clone(),
        route: plan.route.clone(),
        request,
        deadline,
        crash_count: 0,
        silent: Vec::new(),
    };
    run.run(permit, output);
}

/// The state of one admitted request, which holds a slot.
struct CallRun<'a> {
    shared: &'a EntryShared,
    view: Arc<EntryView>,
    plan: &'a CallPlan,
    /// Revision under which `retry` and `route` were decided.
    revision: RevisionNumber,
    retry: RetryAction,
    route: RouteAction,
    request: AdmissionRequest<'a>,
    deadline: TimePoint,
    /// Number of endpoints that crashed while running this request.
    crash_count: usize,
    /// Attempts whose agents are silent. One of them continues if no other replica answers.
    silent: Vec<OpenAttempt<'a>>,
}

impl<'a> CallRun<'a> {
    fn run(mut self, mut permit: SlotPermit<'a>, mut output: CallerOutput) {
        let mut excluded: Vec<GroupId> = Vec::new();
        let mut history = AttemptHistory {
            attempts: 0,
            full_refusals: 0,
            repeatable: self.plan.repeatable,
            delivered: false,
        };
        let mut decided: Option<CallStep> = None;
        loop {
            let step = decided.take().unwrap_or_else(|| self.next_step(&excluded, &history));
            let (mut attempt, (end, returned)) = match step {
                CallStep::Attempt(record) => {
                    let mut attempt = self.start_attempt(&record);
                    let ended = attempt.run.follow(output);
                    (attempt, ended)
                }
                _ if !self.silent.is_empty() => {
                    let mut attempt = self.silent.remove(0);
                    let ended = attempt.run.keep(output);
                    (attempt, ended)
                }
                CallStep::Requeue => {
                    match self.requeue_request(permit, &mut excluded, &mut history) {
                        Ok(new_permit) => permit = new_permit,
                        Err(refusal) => {
                            return refuse_call(self.shared, output, &admission_failure(&refusal));
                        }
                    }
                    continue;
                }
                CallStep::Refuse { failure, ran } => {
                    permit.finish(ran);
                    return refuse_call(self.shared, output, &failure);
                }
            };
            let is_silent = matches!(end, AttemptEnd::Silent);
            let (effect, failure) = match self.finish_attempt(&attempt, end) {
                None => {
                    self.cancel_silent();
                    permit.finish(true);
                    self.shared.metrics.record_outcome("answered");
                    return;
                }
                Some(unanswered) => unanswered,
            };
            let Some(returned) = returned else { return };
            output = returned;
            history.delivered = !output.is_unsent();
            if history.delivered {
                // The caller has the start of another answer, so none of these can follow it.
                self.cancel_silent();
            }
            excluded.push(attempt.group);
            match effect {
                AttemptEffect::ReplicaFull => history.full_refusals += 1,
                // It was counted when its agent was found to be silent.
                AttemptEffect::NotRun | AttemptEffect::Unknown if attempt.was_silent => {}
                AttemptEffect::NotRun | AttemptEffect::Unknown => history.attempts += 1,
            }
            if is_silent {
                attempt.was_silent = true;
                self.silent.push(attempt);
            }
            match self.decide(effect, &history) {
                RetryDecision::Retry(wait) => std::thread::sleep(wait),
                RetryDecision::Requeue => decided = Some(CallStep::Requeue),
                RetryDecision::Stop(_) => {
                    let ran = effect == AttemptEffect::Unknown;
                    decided = Some(CallStep::Refuse { failure, ran });
                }
            }
        }
    }

    /// Chooses a replica, unless the rules or the state of the replicas forbid it.
    fn next_step(&mut self, excluded: &[GroupId], history: &AttemptHistory) -> CallStep {
        let refuse = |failure| CallStep::Refuse { failure, ran: false };
        if let Err(failure) = self.refresh_decision() {
            return refuse(failure);
        }
        // It may have waited for a slot meanwhile.
        if history.attempts == 0 && self.status() == QuarantineStatus::Quarantined {
            return refuse(CallFailure::Other(CallRefusal::quarantined()));
        }
        match self.choose(excluded) {
            ChoiceOutcome::Chosen(record) => CallStep::Attempt(record),
            ChoiceOutcome::Absent if history.full_refusals == 0 => {
                refuse(no_replica(DEFAULT_RETRY_AFTER))
            }
            ChoiceOutcome::Down(wait) => refuse(no_replica(wait)),
            ChoiceOutcome::Full | ChoiceOutcome::Absent => CallStep::Requeue,
        }
    }

    fn start_attempt(&self, record: &GroupRecord) -> OpenAttempt<'a> {
        let started_at = self.shared.clock.now();
        let run = AttemptRun::start(self.shared, &self.view, self.plan, record, self.deadline);
        OpenAttempt { run, group: record.group, started_at, was_silent: false }
    }

    /// Cancels the attempts whose agents are silent, because another one has answered.
    fn cancel_silent(&mut self) {
        for attempt in self.silent.drain(..) {
            attempt.run.cancel();
            self.shared.admission_metrics.record_attempt("unknown");
        }
    }
    /// Evaluates the rules again if their revision has changed.
    ///
    /// A request may wait in the queue for longer than a rule change takes to be accepted. Once a
    /// change is accepted, no request may be dispatched under the previous rules.
    fn refresh_decision(&mut self) -> Result<(), CallFailure> {
        let view = self.shared.view();
        if !self.shared.rules_usable(&view) {
            return Err(CallFailure::Retryable(
                CallRefusal::rules_unconfirmed(),
                DEFAULT_RETRY_AFTER,
            ));
        }
        if view.book.revision() != self.revision {
            let decision = self.plan.facts.decide(&view.book).map_err(CallFailure::Other)?;
            let CallDecision { retry, route, .. } = decision;
            self.retry = retry;
            self.route = route;
            self.revision = view.book.revision();
        }
        self.view = view;
        Ok(())
    }

    fn choose(&self, excluded: &[GroupId]) -> ChoiceOutcome {
        let request = ChoiceRequest {
            service: self.plan.service.as_str(),
            route: &self.route,
            prefix: self.plan.prefix,
            excluded,
        };
        self.shared.replicas().choose(self.shared.clock.now(), &request, &mut rand::rng())
    }

    /// Returns the request to the queue and clears the excluded replicas, since those that were
    /// full may have free slots afterwards.
    fn requeue_request(
        &self,
        permit: SlotPermit<'a>,
        excluded: &mut Vec<GroupId>,
        history: &mut AttemptHistory,
    ) -> Result<SlotPermit<'a>, AdmissionRefusal> {
        excluded.clear();
        history.full_refusals = 0;
        permit.requeue(&self.request)
    }

    /// Records the end of an attempt in metrics, replica load and crash evidence.
    ///
    /// `None` when the caller was answered or has disconnected.
    fn finish_attempt(
        &mut self,
        attempt: &OpenAttempt<'a>,
        end: AttemptEnd,
    ) -> Option<(AttemptEffect, CallFailure)> {
        let (name, result, report, failure) = match end {
            AttemptEnd::Answered(load) => {
                // Without a load report the caller disconnected: no evidence on the replica.
                let whole = load.is_some();
                if whole {
                    self.shared.quarantine.record_completion(self.shared.clock.now(), self.plan);
                }
                let result = if whole { AttemptResult::Answered } else { AttemptResult::Ended };
                ("answered", result, load, None)
            }
            AttemptEnd::AnsweredFailure(load) => {
                ("answered", AttemptResult::Answered, Some(load), None)
            }
            AttemptEnd::Silent => {
                self.release(attempt, AttemptResult::Broken, None);
                return Some((AttemptEffect::Unknown, CallFailure::Other(silent_replica())));
            }
            AttemptEnd::Refused(reason, load) => {
                log::debug!(group = attempt.group.0; "attempt refused: {reason:?}");
                let (effect, failure) = classify_refusal(reason, load.as_ref());
                let name = if effect == AttemptEffect::ReplicaFull { "bounced" } else { "not_run" };
                (name, AttemptResult::Refused(reason), load, Some((effect, failure)))
            }
            AttemptEnd::Failed { refusal, crashed } => {
                if let Some(endpoint) = crashed {
                    self.crash_count += 1;
                    let now = self.shared.clock.now();
                    self.shared.quarantine.record_crash(
                        now,
                        attempt.started_at,
                        self.plan,
                        endpoint,
                    );
                }
                let not_run = refusal.outcome == CallOutcome::NotRun;
                let (name, effect) = if not_run {
                    ("not_run", AttemptEffect::NotRun)
                } else {
                    ("unknown", AttemptEffect::Unknown)
                };
                (name, AttemptResult::Broken, None, Some((effect, CallFailure::Other(refusal))))
            }
        };
        self.shared.admission_metrics.record_attempt(name);
        if !attempt.was_silent {
            self.release(attempt, result, report.as_ref());
        }
        failure
    }

    fn release(
        &self,
        attempt: &OpenAttempt<'a>,
        result: AttemptResult,
        report: Option<&LoadReport>,
    ) {
        let now = self.shared.clock.now();
        let mut replicas = self.shared.replicas();
        replicas.release(now, attempt.group, result, report, &mut rand::rng());
    }

    fn decide(&self, effect: AttemptEffect, history: &AttemptHistory) -> RetryDecision {
        let suspect = effect == AttemptEffect::Unknown
            && (self.crash_count >= SUSPECT_CRASHES || self.status() != QuarantineStatus::Clear);
        let decision = match suspect {
            true => RetryDecision::Stop(StopReason::Suspect),
            false => self.decide_within_budget(effect, history),
        };
        self.shared.admission_metrics.record_retry_decision(match decision {
            RetryDecision::Retry(_) => "retried",
            RetryDecision::Requeue => "requeued",
            RetryDecision::Stop(StopReason::Unsafe) => "unsafe",
            RetryDecision::Stop(StopReason::Attempts) => "attempts",
            RetryDecision::Stop(StopReason::Budget) => "budget",
            RetryDecision::Stop(StopReason::Deadline) => "deadline",
            RetryDecision::Stop(StopReason::Suspect) => "suspect",
        });
        decision
    }

    fn status(&self) -> QuarantineStatus {
        self.shared.quarantine.status_of(self.shared.clock.now(), self.plan)
    }

    fn decide_within_budget(
        &self,
        effect: AttemptEffect,
        history: &AttemptHistory,
    ) -> RetryDecision {
        let (now, retry) = (self.shared.clock.now(), &self.retry);
        self.shared.with_budget(&self.plan.service, |budget| {
            decide_retry(now, self.deadline, effect, history, retry, budget, &mut rand::rng())
        })
    }
}

fn refuse_call(shared: &EntryShared, output: CallerOutput, failure: &CallFailure) {
    match failure {
        CallFailure::Retryable(refusal, wait) if output.is_unsent() => {
            shared.metrics.record_outcome(refusal.code.as_str());
            let percent = rand::random_range(0..=MAX_RETRY_AFTER_JITTER_PERCENT);
            output.refuse_with_retry_after(refusal, *wait + *wait * percent / 100);
        }
        CallFailure::Retryable(refusal, _) | CallFailure::Other(refusal) => {
            shared.metrics.record_outcome(refusal.code.as_str());
            output.refuse(refusal);
        }
    }
}

/// Maps an agent's refusal to its effect on the attempt and to what the caller gets.
fn classify_refusal(
    reason: RefusalReason,
    load: Option<&LoadReport>,
) -> (AttemptEffect, CallFailure) {
    match reason {
        RefusalReason::DeadlinePassed => {
            let message = "the replica cannot meet the deadline; allow more time";
            let refusal = CallRefusal::not_run(RefusalCode::DeadlinePassed, message);
            (AttemptEffect::NotRun, CallFailure::Other(refusal))
        }
        // The agent did no work for the attempt.
        RefusalReason::Tombstoned => (AttemptEffect::ReplicaFull, no_replica(DEFAULT_RETRY_AFTER)),
        RefusalReason::EndpointBackoff { left_ms } => {
            let wait = Duration::from_millis(u64::from(left_ms));
            (AttemptEffect::ReplicaFull, no_replica(wait))
        }
        // The agent answered, so the attempt cost only a round trip.
        _ if load.is_some() && reason != RefusalReason::EndpointUnreachable => {
            (AttemptEffect::ReplicaFull, no_replica(DEFAULT_RETRY_AFTER))
        }
        _ => (AttemptEffect::NotRun, no_replica(DEFAULT_RETRY_AFTER)),
    }
}

fn no_replica(wait: Duration) -> CallFailure {
    let message = "no whole replica takes the request now; try again after the time in Retry-After";
    CallFailure::Retryable(CallRefusal::not_run(RefusalCode::NoReplica, message), wait)
}

fn admission_failure(refusal: &AdmissionRefusal) -> CallFailure {
    let (code, message) = match refusal.cause {
        RefusalCause::TeamQueueFull => (
            RefusalCode::TeamQueueFull,
            "your team has as many requests waiting as its rule allows; slow down, or come back \
             after the time in Retry-After",
        ),
        RefusalCause::EntryFull => (
            RefusalCode::Overloaded,
            "the entry holds as many requests as it can; come back after the time in Retry-After",
        ),
        RefusalCause::TooLate => (
            RefusalCode::TooLate,
            "the request would not be done before its deadline; come back after the time in \
             Retry-After, or allow more time",
        ),
        RefusalCause::NoReplica => return no_replica(refusal.retry_after),
    };
    CallFailure::Retryable(CallRefusal::not_run(code, message), refusal.retry_after)
}
