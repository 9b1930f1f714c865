//! Running one admitted request: choose a replica, try it, and try another where that is safe.

use std::time::Duration;

use briartray_model::message::{CallTarget, TraceContext};
use briartray_model::names::{GroupId, RequestId, ServiceName, TeamName};
use briartray_model::rules::{AdmitAction, RetryAction};

use super::attempt::{AttemptEnd, run_attempt};
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
    pub(super) target: CallTarget,
    pub(super) body: Vec<u8>,
    pub(super) stream: bool,
    pub(super) admit: AdmitAction,
    pub(super) retry: RetryAction,
    /// Whether the call may run a second time.
    pub(super) repeatable: bool,
    /// The caller's `Idempotency-Key`, if any.
    pub(super) key: Option<String>,
}

/// Runs `plan` and answers the caller.
pub(super) fn run_call(
    shared: &EntryShared,
    view: &EntryView,
    plan: &CallPlan,
    mut output: CallerOutput,
) {
    let deadline = shared.clock.now().after(Duration::from_millis(plan.admit.deadline_ms.into()));
    let mut excluded: Vec<GroupId> = Vec::new();
    for _ in 0..plan.retry.attempts.max(1) {
        let chosen = shared.replicas().choose(
            &view.snapshot,
            plan.service.as_str(),
            &excluded,
            &mut rand::rng(),
        );
        let Some(record) = chosen else { break };
        match run_attempt(shared, view, plan, record, deadline, output) {
            (AttemptEnd::Answered(load), _) => {
                shared.metrics.ended("answered");
                shared.replicas().release(record.group, load);
                return;
            }
            (AttemptEnd::Refused(reason, load), back) => {
                log::debug!(group = record.group.0; "attempt refused: {reason:?}");
                shared.replicas().release(record.group, load);
                excluded.push(record.group);
                let Some(back) = back else { return };
                output = back;
            }
            (AttemptEnd::Failed(refusal), back) => {
                shared.replicas().release(record.group, None);
                shared.metrics.ended(refusal.code.as_str());
                if let Some(back) = back {
                    back.refuse(&refusal);
                }
                return;
            }
        }
    }
    let message = "no whole replica takes the request now; try again in a second";
    let refusal = CallRefusal::not_run(RefusalCode::NoReplica, message);
    shared.metrics.ended(refusal.code.as_str());
    output.refuse(&refusal);
}
