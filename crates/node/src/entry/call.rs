//! Running one admitted request: choose a replica, try it, and try another where that is safe.

use std::sync::Arc;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{
    CallOutcome, CallTarget, GroupRecord, LoadReport, RefusalReason, TraceContext,
};
use briartray_model::names::{GroupId, RequestId, RevisionNumber, RuleName, ServiceName, TeamName};
use briartray_model::rules::{AdmitAction, RetryAction, RouteAction};
use briartray_quarantine::{PrintStanding, SUSPECT_CRASHES};
use briartray_routing::admission::{AdmissionRefusal, AdmissionRequest, LimitKey, RefusalCause};
use briartray_routing::choice::{AttemptResult, ChoiceOutcome, ChoiceRequest, PrefixDigest};
use briartray_routing::retry::{
    AttemptEffect, AttemptHistory, RetryDecision, StopReason, decide_retry,
};

use super::attempt::{AttemptEnd, run_attempt};
use super::decide::{CallDecision, CallFacts};
use super::gate::SlotPermit;
use super::output::CallerOutput;
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::{EntryShared, EntryView};

/// One request that was let in.
#[derive(Debug)]
pub(super) struct CallPlan {
    pub(super) id: RequestId,
    pub(super) service: ServiceName,
    pub(super) team: TeamName,
    pub(super) trace: TraceContext,
    /// When the request came.
    pub(super) arrived: TimePoint,
    pub(super) target: CallTarget,
    pub(super) body: Vec<u8>,
    pub(super) stream: bool,
    /// Head of the prompt, for engines.
    pub(super) prefix: Option<PrefixDigest>,
    /// Whether running it twice does no harm.
    pub(super) repeatable: bool,
    /// The rule that decided on admission.
    pub(super) rule: Option<RuleName>,
    pub(super) admit: AdmitAction,
    pub(super) retry: RetryAction,
    /// The caller's `Idempotency-Key`, if any.
    pub(super) key: Option<String>,
    pub(super) route: RouteAction,
    /// The facts that the rules decided on.
    pub(super) facts: CallFacts,
    /// Revision of those rules.
    pub(super) revision: RevisionNumber,
}

/// Longest time added at random to what a refused caller is told, in percent: callers refused at
/// one moment must not come back at one moment.
const RETRY_AFTER_JITTER: u32 = 25;

/// Wait that is named when a replica broke before anything ran.
const NOT_RUN_WAIT: Duration = Duration::from_secs(1);

/// How one request ended without an answer.
enum CallEnd {
    /// Not run; worth another try after this time.
    Later(CallRefusal, Duration),
    /// Ended otherwise.
    Failed(CallRefusal),
}

/// Runs `plan` and answers the caller.
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
    shared.load_metrics.queue_seconds.observe(shared.clock.now().since(arrived).as_secs_f64());
    let permit = match entered {
        Ok(permit) => permit,
        Err(refusal) => return end_call(shared, output, &refuse_entry(&refusal)),
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
        crashes: 0,
    };
    run.run(permit, output);
}

/// One request that holds a slot.
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
    /// Endpoints that crashed under this request.
    crashes: usize,
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
        loop {
            if let Err(end) = self.renew_decision() {
                return self.end(permit, output, end);
            }
            let record = match self.choose(&excluded) {
                ChoiceOutcome::Chosen(record) => record,
                ChoiceOutcome::Absent if history.full_refusals == 0 => {
                    return self.end(permit, output, no_replica(NOT_RUN_WAIT));
                }
                ChoiceOutcome::Down(wait) => return self.end(permit, output, no_replica(wait)),
                ChoiceOutcome::Full | ChoiceOutcome::Absent => {
                    match self.wait_again(permit, &mut excluded, &mut history) {
                        Ok(again) => permit = again,
                        Err(refusal) => {
                            return end_call(self.shared, output, &refuse_entry(&refusal));
                        }
                    }
                    continue;
                }
            };
            let began = self.shared.clock.now();
            let (end, back) =
                run_attempt(self.shared, &self.view, self.plan, &record, self.deadline, output);
            let (effect, refusal) = match self.settle(&record, began, end) {
                None => {
                    permit.finish(true);
                    self.shared.metrics.ended("answered");
                    return;
                }
                Some(settled) => settled,
            };
            let Some(back) = back else { return };
            output = back;
            excluded.push(record.group);
            history.delivered = !output.is_unseen();
            if effect == AttemptEffect::ReplicaFull {
                history.full_refusals += 1;
            } else {
                history.attempts += 1;
            }
            match self.decide(effect, &history) {
                RetryDecision::Retry(wait) => std::thread::sleep(wait),
                RetryDecision::Requeue => {
                    match self.wait_again(permit, &mut excluded, &mut history) {
                        Ok(again) => permit = again,
                        Err(refusal) => {
                            return end_call(self.shared, output, &refuse_entry(&refusal));
                        }
                    }
                }
                RetryDecision::Stop(_) => {
                    permit.finish(effect == AttemptEffect::Unknown);
                    return end_call(self.shared, output, &refusal);
                }
            }
        }
    }

    /// Decides again when the rules have changed since.
    ///
    /// A request may wait in the queue for longer than a change takes to be accepted. Sent on
    /// under the rules of its arrival it would break the promise that these no longer count.
    fn renew_decision(&mut self) -> Result<(), CallEnd> {
        let view = self.shared.view();
        if !self.shared.rules_hold(&view) {
            return Err(CallEnd::Later(CallRefusal::rules_unconfirmed(), NOT_RUN_WAIT));
        }
        if view.book.revision() != self.revision {
            let decision = self.plan.facts.decide(&view.book).map_err(CallEnd::Failed)?;
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

    /// Goes back to the queue; replicas that were full may have room afterwards.
    fn wait_again(
        &self,
        permit: SlotPermit<'a>,
        excluded: &mut Vec<GroupId>,
        history: &mut AttemptHistory,
    ) -> Result<SlotPermit<'a>, AdmissionRefusal> {
        excluded.clear();
        history.full_refusals = 0;
        permit.requeue(&self.request)
    }

    /// Counts an attempt off its replica; `None` when the caller has its answer.
    fn settle(
        &mut self,
        record: &GroupRecord,
        began: TimePoint,
        end: AttemptEnd,
    ) -> Option<(AttemptEffect, CallEnd)> {
        let (name, result, report, rest) = match end {
            AttemptEnd::Answered(load) => {
                // Without a report the caller went away, which says nothing about the replica.
                let whole = load.is_some();
                if whole {
                    self.shared.crashes.ran_whole(self.shared.clock.now(), self.plan);
                }
                let result = if whole { AttemptResult::Answered } else { AttemptResult::Ended };
                ("answered", result, load, None)
            }
            AttemptEnd::AnsweredFailure(load) => {
                ("answered", AttemptResult::Answered, Some(load), None)
            }
            AttemptEnd::Refused(reason, load) => {
                log::debug!(group = record.group.0; "attempt refused: {reason:?}");
                let (effect, end) = describe_refusal(reason, load.as_ref());
                let name = if effect == AttemptEffect::ReplicaFull { "bounced" } else { "not_run" };
                (name, AttemptResult::Refused(reason), load, Some((effect, end)))
            }
            AttemptEnd::Failed { refusal, crashed } => {
                if let Some(endpoint) = crashed {
                    self.crashes += 1;
                    let now = self.shared.clock.now();
                    self.shared.crashes.crashed(now, began, self.plan, endpoint);
                }
                let not_run = refusal.outcome == CallOutcome::NotRun;
                let (name, effect) = if not_run {
                    ("not_run", AttemptEffect::NotRun)
                } else {
                    ("unknown", AttemptEffect::Unknown)
                };
                (name, AttemptResult::Broken, None, Some((effect, CallEnd::Failed(refusal))))
            }
        };
        self.shared.load_metrics.attempted(name);
        let now = self.shared.clock.now();
        let mut replicas = self.shared.replicas();
        replicas.release(now, record.group, result, report.as_ref(), &mut rand::rng());
        rest
    }

    fn decide(&self, effect: AttemptEffect, history: &AttemptHistory) -> RetryDecision {
        let suspect = effect == AttemptEffect::Unknown
            && (self.crashes >= SUSPECT_CRASHES
                || self.shared.crashes.standing_of(self.plan) != PrintStanding::Clear);
        let decision = match suspect {
            true => RetryDecision::Stop(StopReason::Suspect),
            false => self.decide_within_budget(effect, history),
        };
        self.shared.load_metrics.followed(match decision {
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

    /// Gives the slot back, then tells the caller.
    fn end(&self, permit: SlotPermit<'a>, output: CallerOutput, end: CallEnd) {
        permit.finish(false);
        end_call(self.shared, output, &end);
    }
}

fn end_call(shared: &EntryShared, output: CallerOutput, end: &CallEnd) {
    match end {
        CallEnd::Later(refusal, wait) if output.is_unseen() => {
            shared.metrics.ended(refusal.code.as_str());
            let percent = rand::random_range(0..=RETRY_AFTER_JITTER);
            output.refuse_until(refusal, *wait + *wait * percent / 100);
        }
        CallEnd::Later(refusal, _) | CallEnd::Failed(refusal) => {
            shared.metrics.ended(refusal.code.as_str());
            output.refuse(refusal);
        }
    }
}

/// What a refusal of an agent means for the request.
fn describe_refusal(reason: RefusalReason, load: Option<&LoadReport>) -> (AttemptEffect, CallEnd) {
    match reason {
        RefusalReason::DeadlinePassed => {
            let message = "the replica cannot meet the deadline; allow more time";
            let refusal = CallRefusal::not_run(RefusalCode::DeadlinePassed, message);
            (AttemptEffect::NotRun, CallEnd::Failed(refusal))
        }
        // The agent answered, so the way there and back is all that the attempt cost.
        _ if load.is_some() && reason != RefusalReason::EndpointUnreachable => {
            (AttemptEffect::ReplicaFull, no_replica(NOT_RUN_WAIT))
        }
        _ => (AttemptEffect::NotRun, no_replica(NOT_RUN_WAIT)),
    }
}

fn no_replica(wait: Duration) -> CallEnd {
    let message = "no whole replica takes the request now; try again after the time in Retry-After";
    CallEnd::Later(CallRefusal::not_run(RefusalCode::NoReplica, message), wait)
}

fn refuse_entry(refusal: &AdmissionRefusal) -> CallEnd {
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
    CallEnd::Later(CallRefusal::not_run(code, message), refusal.retry_after)
}
