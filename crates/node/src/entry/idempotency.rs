//! Calls with an idempotency key: the key is claimed before dispatch and the answer stored after.
//!
//! Failures and what the caller gets:
//! - the ledger does not answer: nothing was dispatched now, but an earlier call with the key may
//!   have run, so `ledger_unavailable` with outcome `unknown`;
//! - the key is claimed and its answer unknown, because the call is running or because the entry
//!   that claimed it died: `in_progress` with outcome `unknown`, and the call is never run again;
//! - the call is proved not to have run: the claim is released, so that the caller may send the
//!   same key again.

use std::sync::Arc;
use std::time::Duration;

use briartray_model::message::{
    CallOutcome, ClaimKey, LedgerReply, LedgerRequest, MAX_KEY_BYTES, call_digest,
};
use briartray_model::names::AttemptId;
use briartray_model::rules::KeyPolicy;
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};

use super::call::{CallPlan, run_call};
use super::claims::ClaimClient;
use super::output::{CallerOutput, KeyedOutcome};
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::EntryShared;
use crate::new_attempt_id;

/// Timeout for a claim, after which the request is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time that an answer is held back until the ledger has recorded it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long an outcome is still sent to the ledger after the caller was answered.
const LATE_REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// Checks the idempotency key of a request; `None` when none is given and none is required.
///
/// # Errors
/// A refusal when a key is required and missing, or is empty or too long.
pub(super) fn check_key(
    given: Option<&str>,
    policy: KeyPolicy,
) -> Result<Option<String>, CallRefusal> {
    let message = match given {
        None if policy == KeyPolicy::Optional => return Ok(None),
        None => "a rule demands an Idempotency-Key for this call; send one".to_owned(),
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            format!("an Idempotency-Key has 1 to {MAX_KEY_BYTES} bytes; choose another")
        }
        Some(key) => return Ok(Some(key.to_owned())),
    };
    Err(CallRefusal::not_run(RefusalCode::BadKey, &message))
}

/// Adjusts the refusal of a request with a key that is refused before its key is claimed.
///
/// The request may be a resend whose first answer was lost. With the outcome `not_run`, its caller
/// would send the call with a new key, and it would run twice.
pub(super) fn refuse_before_claim(mut refusal: CallRefusal) -> CallRefusal {
    if refusal.outcome == CallOutcome::NotRun && refusal.code.depends_on_state() {
        refusal.outcome = CallOutcome::Unknown;
        refusal.message.push_str(
            "; nothing was run now, but an earlier call under this key may have been: send the same \
             key again",
        );
    }
    refusal
}

/// Runs `plan`, only once if it has an idempotency key.
pub(super) fn run(shared: &Arc<EntryShared>, plan: &CallPlan, mut output: CallerOutput) {
    let Some(key) = &plan.key else { return run_call(shared, plan, output) };
    let claim = CallClaim {
        claims: shared.claims.clone(),
        key: ClaimKey { team: plan.team.clone(), key: key.clone() },
        attempt: new_attempt_id(),
    };
    let digest = call_digest(&plan.target, &plan.body);
    let claim_reply = claim.acquire(digest);
    shared.metrics.record_claim(reply_name(&claim_reply));
    match claim_reply {
        LedgerReply::Claimed => {
            output.record(Box::new(move |outcome| claim.report_outcome(outcome)));
            run_call(shared, plan, output);
        }
        LedgerReply::Answered(answer) => {
            shared.metrics.record_outcome("replayed");
            if let Err(error) = output.replay(answer) {
                log::debug!("caller disconnected during its answer: {error}");
            }
        }
        reply => {
            if reply == LedgerReply::Unavailable {
                // The claim may have been recorded even so; nothing was dispatched under it.
                claim.report_outcome_later(KeyedOutcome::NotRun);
            }
            let refusal = refusal_for(&reply);
            shared.metrics.record_outcome(refusal.code.as_str());
            output.refuse(&refusal);
        }
    }
}

fn reply_name(reply: &LedgerReply) -> &'static str {
    match reply {
        LedgerReply::Claimed => "claimed",
        LedgerReply::Answered(_) => "replayed",
        LedgerReply::AnswerNotKept => "answer_not_kept",
        LedgerReply::Pending { .. } => "pending",
        LedgerReply::Mismatch => "mismatch",
        LedgerReply::Full => "full",
        LedgerReply::Recorded | LedgerReply::Unavailable => "unavailable",
    }
}

fn refusal_for(reply: &LedgerReply) -> CallRefusal {
    match reply {
        LedgerReply::Pending { .. } => CallRefusal::unknown(
            RefusalCode::InProgress,
            "a call under this key was begun and its outcome is not known; it is never run \
             again; ask again with the same key for its answer, or look up whether it ran",
        ),
        LedgerReply::AnswerNotKept => CallRefusal::ran(
            RefusalCode::AnswerNotKept,
            "the call under this key ran and its answer is no longer kept; look up its result",
        ),
        LedgerReply::Mismatch => CallRefusal::not_run(
            RefusalCode::KeyReused,
            "this key was used with another method, path or body; choose a new key",
        ),
        LedgerReply::Full => CallRefusal::not_run(
            RefusalCode::LedgerFull,
            "the ledger of keys is full; ask your operator to forget old keys",
        ),
        // Nothing was run now, but only the ledger knows whether an earlier call with the key was.
        _ => CallRefusal::unknown(
            RefusalCode::LedgerUnavailable,
            "nothing was run now, and the ledger of keys does not tell whether an earlier call under \
             this key was; send the same key again in a second",
        ),
    }
}

/// A claim on a key that this entry holds or requests.
#[derive(Clone)]
struct CallClaim {
    claims: ClaimClient,
    key: ClaimKey,
    attempt: AttemptId,
}

impl CallClaim {
    fn acquire(&self, digest: [u8; 32]) -> LedgerReply {
        let (key, attempt) = (self.key.clone(), self.attempt);
        self.claims.submit(&LedgerRequest::Claim { key, digest, attempt }, CLAIM_TIMEOUT)
    }

    /// Reports the outcome to the ledger before the caller is answered.
    ///
    /// The caller can then get the same answer again from any entry. If the ledger does not answer
    /// in time, the caller is answered anyway and the outcome is reported in the background.
    fn report_outcome(self, outcome: KeyedOutcome) {
        let Some(request) = self.request(outcome) else { return };
        if self.claims.submit(&request, REPORT_TIMEOUT) == LedgerReply::Unavailable {
            self.report_later(request);
        }
    }

    fn report_outcome_later(&self, outcome: KeyedOutcome) {
        if let Some(request) = self.request(outcome) {
            self.report_later(request);
        }
    }

    fn report_later(&self, request: LedgerRequest) {
        let claims = self.claims.clone();
        let report = move || {
            if claims.submit(&request, LATE_REPORT_TIMEOUT) == LedgerReply::Unavailable {
                log::warn!("an outcome could not be recorded; its key stays claimed");
            }
        };
        if let Err(error) = spawn_worker("settle", WORKER_STACK_BYTES, report) {
            log::error!("cannot start the settle thread: {error}; raise the thread limit");
        }
    }

    fn request(&self, outcome: KeyedOutcome) -> Option<LedgerRequest> {
        let (key, attempt) = (self.key.clone(), self.attempt);
        match outcome {
            KeyedOutcome::Ran(answer) => Some(LedgerRequest::Complete { key, attempt, answer }),
            KeyedOutcome::NotRun => Some(LedgerRequest::Release { key, attempt }),
            // The key stays claimed, so that the call is not run a second time.
            KeyedOutcome::Unknown => None,
        }
    }
}
