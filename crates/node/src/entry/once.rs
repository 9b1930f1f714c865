//! Calls that may not be repeated: the key is claimed before dispatch, the answer kept after.
//!
//! What may go wrong and what the caller is told:
//! - the ledger does not answer: nothing was dispatched, so `not_run`;
//! - the key is claimed and its answer unknown, because it runs now or because the entry that
//!   claimed it died: `in_progress`, outcome `unknown`, and it is never run again;
//! - the call was proved not to have run: the claim is given back, so that the caller may send the
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
use super::output::{CallerOutput, OnceEnd};
use super::refusal::{CallRefusal, RefusalCode};
use super::shared::EntryShared;
use crate::new_attempt_id;

/// How long a claim may take before the request is refused.
const CLAIM_LIMIT: Duration = Duration::from_secs(3);

/// How long an answer is held back until the ledger has it.
const SETTLE_LIMIT: Duration = Duration::from_millis(1000);

/// How long the ledger is told of an outcome after the caller was answered.
const SETTLE_LATE_LIMIT: Duration = Duration::from_secs(60);

/// The key of a request under the rules, if it has one.
///
/// # Errors
/// A refusal when a key is required and missing, or cannot be used.
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

/// What a caller with a key is told when its request was refused before the ledger was asked.
///
/// It may be a resend whose first answer was lost. Told `not_run`, its caller would send the call
/// under a new key, and it would run twice.
pub(super) fn refuse_unasked(mut refusal: CallRefusal) -> CallRefusal {
    if refusal.outcome == CallOutcome::NotRun && refusal.code.may_pass() {
        refusal.outcome = CallOutcome::Unknown;
        refusal.message.push_str(
            "; nothing was run now, but an earlier call under this key may have been: send the same \
             key again",
        );
    }
    refusal
}

/// Runs `plan`, once for each key.
pub(super) fn run(shared: &Arc<EntryShared>, plan: &CallPlan, mut output: CallerOutput) {
    let Some(key) = &plan.key else { return run_call(shared, plan, output) };
    let claim = CallClaim {
        claims: shared.claims.clone(),
        key: ClaimKey { team: plan.team.clone(), key: key.clone() },
        attempt: new_attempt_id(),
    };
    let digest = call_digest(&plan.target, &plan.body);
    let taken = claim.take(digest);
    shared.metrics.claimed(reply_name(&taken));
    match taken {
        LedgerReply::Claimed => {
            output.record(Box::new(move |end| claim.settle(end)));
            run_call(shared, plan, output);
        }
        LedgerReply::Answered(answer) => {
            shared.metrics.ended("replayed");
            if let Err(error) = output.replay(answer) {
                log::debug!("caller went away: {error}");
            }
        }
        reply => {
            if reply == LedgerReply::Unavailable {
                // Perhaps the claim was recorded all the same. Nothing was dispatched under it.
                claim.settle_later(OnceEnd::NotRun);
            }
            let refusal = refusal_for(&reply);
            shared.metrics.ended(refusal.code.as_str());
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
        // Nothing was run now. Whether an earlier call under the key was, only the ledger knows.
        _ => CallRefusal::unknown(
            RefusalCode::LedgerUnavailable,
            "nothing was run now, and the ledger of keys does not tell whether an earlier call under \
             this key was; send the same key again in a second",
        ),
    }
}

/// One claim that this entry holds, or asks for.
#[derive(Clone)]
struct CallClaim {
    claims: ClaimClient,
    key: ClaimKey,
    attempt: AttemptId,
}

impl CallClaim {
    fn take(&self, digest: [u8; 32]) -> LedgerReply {
        let (key, attempt) = (self.key.clone(), self.attempt);
        self.claims.ask(&LedgerRequest::Claim { key, digest, attempt }, CLAIM_LIMIT)
    }

    /// Tells the ledger how the call ended, before the caller is told.
    ///
    /// A caller that has its answer can then get it again from any entry. When the ledger does not
    /// answer in time the caller is not kept waiting; the ledger is told later.
    fn settle(self, end: OnceEnd) {
        let Some(request) = self.request(end) else { return };
        if self.claims.ask(&request, SETTLE_LIMIT) == LedgerReply::Unavailable {
            self.tell_later(request);
        }
    }

    fn settle_later(&self, end: OnceEnd) {
        if let Some(request) = self.request(end) {
            self.tell_later(request);
        }
    }

    fn tell_later(&self, request: LedgerRequest) {
        let claims = self.claims.clone();
        let tell = move || {
            if claims.ask(&request, SETTLE_LATE_LIMIT) == LedgerReply::Unavailable {
                log::warn!("an outcome was not recorded; its key stays claimed");
            }
        };
        if let Err(error) = spawn_worker("settle", WORKER_STACK_BYTES, tell) {
            log::error!("cannot settle a claim: {error}; raise the thread limit");
        }
    }

    fn request(&self, end: OnceEnd) -> Option<LedgerRequest> {
        let (key, attempt) = (self.key.clone(), self.attempt);
        match end {
            OnceEnd::Ran(answer) => Some(LedgerRequest::Complete { key, attempt, answer }),
            OnceEnd::NotRun => Some(LedgerRequest::Release { key, attempt }),
            // The key stays claimed, so that nobody runs the call a second time.
            OnceEnd::Unknown => None,
        }
    }
}
