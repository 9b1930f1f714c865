//! What a caller is told when it gets no answer.

use std::time::Duration;

use briartray_model::message::CallOutcome;
use briartray_model::names::RequestId;
use briartray_web::JsonReply;
use serde_json::{Value, json};

/// Stable codes of refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCode {
    /// The path is not served.
    UnknownPath,
    /// The method does not fit the path.
    WrongMethod,
    /// The body is too large.
    BodyTooLarge,
    /// The body is not what the call needs.
    BadRequest,
    /// The model is not offered.
    UnknownModel,
    /// The service is not offered.
    UnknownService,
    /// The team is not known.
    UnknownTeam,
    /// A rule forbids the request.
    Forbidden,
    /// The entry's rules are not confirmed.
    RulesUnconfirmed,
    /// No whole replica takes the request now.
    NoReplica,
    /// The replica broke off.
    ReplicaFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry is stopping.
    Stopping,
    /// The call needs an `Idempotency-Key`, or the one it has cannot be used.
    BadKey,
    /// The key was used with another body.
    KeyReused,
    /// The key was claimed before and its outcome is not known.
    InProgress,
    /// The call under this key ran; its answer is not kept.
    AnswerNotKept,
    /// The ledger of claims does not answer.
    LedgerUnavailable,
    /// The ledger holds as many claims as it may.
    LedgerFull,
    /// As many requests of the team wait as its rule allows.
    TeamQueueFull,
    /// The entry holds as many requests as it can.
    Overloaded,
    /// The request would not be done before its deadline.
    TooLate,
    /// Copies of the request crashed the replicas that ran them.
    Quarantined,
}

impl RefusalCode {
    /// The code as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownPath => "unknown_path",
            Self::WrongMethod => "wrong_method",
            Self::BodyTooLarge => "body_too_large",
            Self::BadRequest => "bad_request",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::UnknownTeam => "unknown_team",
            Self::Forbidden => "forbidden",
            Self::RulesUnconfirmed => "rules_unconfirmed",
            Self::NoReplica => "no_replica",
            Self::ReplicaFailed => "replica_failed",
            Self::DeadlinePassed => "deadline_passed",
            Self::Stopping => "stopping",
            Self::BadKey => "bad_key",
            Self::KeyReused => "key_reused",
            Self::InProgress => "in_progress",
            Self::AnswerNotKept => "answer_not_kept",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::LedgerFull => "ledger_full",
            Self::TeamQueueFull => "team_queue_full",
            Self::Overloaded => "overloaded",
            Self::TooLate => "too_late",
            Self::Quarantined => "quarantined",
        }
    }

    /// Whether the same request might have been let in at another time.
    pub(super) fn may_pass(self) -> bool {
        matches!(
            self,
            Self::UnknownModel
                | Self::UnknownService
                | Self::UnknownTeam
                | Self::Forbidden
                | Self::RulesUnconfirmed
                | Self::Stopping
                | Self::Quarantined
        )
    }

    fn status(self) -> u16 {
        match self {
            Self::UnknownPath | Self::UnknownModel | Self::UnknownService => 404,
            Self::WrongMethod => 405,
            Self::BodyTooLarge => 413,
            Self::BadRequest | Self::BadKey => 400,
            Self::InProgress | Self::AnswerNotKept => 409,
            Self::KeyReused => 422,
            Self::UnknownTeam => 401,
            Self::Forbidden => 403,
            Self::RulesUnconfirmed
            | Self::NoReplica
            | Self::Stopping
            | Self::LedgerUnavailable
            | Self::LedgerFull => 503,
            Self::TeamQueueFull => 429,
            Self::Overloaded | Self::TooLate | Self::Quarantined => 503,
            Self::ReplicaFailed => 502,
            Self::DeadlinePassed => 504,
        }
    }
}

/// One refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRefusal {
    /// Stable code.
    pub code: RefusalCode,
    /// What to do about it.
    pub message: String,
    /// Effect of the request.
    pub outcome: CallOutcome,
}

impl CallRefusal {
    /// A refusal of a request that was not run.
    pub fn not_run(code: RefusalCode, message: &str) -> Self {
        Self { code, message: message.to_owned(), outcome: CallOutcome::NotRun }
    }

    /// A refusal because the entry's rules are not confirmed.
    pub fn rules_unconfirmed() -> Self {
        let message = "this entry cannot confirm its rules; try again in a second";
        Self::not_run(RefusalCode::RulesUnconfirmed, message)
    }

    /// A refusal because the request crashes replicas.
    pub fn quarantined() -> Self {
        let message = "it crashed the replicas that ran it; change it, or ask the operators to lift \
                       its quarantine";
        Self::not_run(RefusalCode::Quarantined, message)
    }

    /// A failure whose effect is not known.
    pub fn unknown(code: RefusalCode, message: &str) -> Self {
        Self { code, message: message.to_owned(), outcome: CallOutcome::Unknown }
    }

    /// A refusal of a request that ran.
    pub fn ran(code: RefusalCode, message: &str) -> Self {
        Self { code, message: message.to_owned(), outcome: CallOutcome::Ran }
    }

    /// The body of the refusal.
    pub fn body(&self, request: RequestId) -> Value {
        json!({
            "code": self.code.as_str(),
            "message": self.message,
            "request_id": request.to_string(),
            "outcome": self.outcome,
            "error": {
                "code": self.code.as_str(),
                "message": self.message,
                "type": "briartray",
            },
        })
    }

    /// The whole reply, with `Retry-After` where trying again makes sense.
    pub fn reply(&self, request: RequestId) -> JsonReply {
        let reply = JsonReply::new(self.code.status(), self.body(request))
            .with_header("X-Request-Id", request.to_string());
        if self.code == RefusalCode::Quarantined {
            // Only an operator or a new version of the engine helps.
            reply.with_header("Retry-After", "60".to_owned())
        } else if self.code.status() == 503 || self.code == RefusalCode::InProgress {
            reply.with_header("Retry-After", "1".to_owned())
        } else {
            reply
        }
    }

    /// The whole reply, which asks the caller to come back after `wait`.
    pub fn reply_after(&self, request: RequestId, wait: Duration) -> JsonReply {
        let mut body = self.body(request);
        body["retry_after_ms"] = json!(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        // The header knows whole seconds only; rounding down would bring callers back too early.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        JsonReply::new(self.code.status(), body)
            .with_header("X-Request-Id", request.to_string())
            .with_header("Retry-After", seconds.max(1).to_string())
    }
}
