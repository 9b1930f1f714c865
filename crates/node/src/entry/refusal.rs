//! Refusals: the reply that a caller gets instead of an answer.

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
    /// The path does not accept the method.
    WrongMethod,
    /// The body is too large.
    BodyTooLarge,
    /// The body is not valid for the path.
    BadRequest,
    /// The model is not offered.
    UnknownModel,
    /// The service is not offered.
    UnknownService,
    /// The team is not known.
    UnknownTeam,
    /// A rule forbids the request.
    Forbidden,
    /// The entry cannot confirm that its rules are in force.
    RulesUnconfirmed,
    /// No whole replica can take the request now.
    NoReplica,
    /// The replica failed during the request.
    ReplicaFailed,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry is stopping.
    Stopping,
    /// The `Idempotency-Key` is required and missing, or is invalid.
    BadKey,
    /// The key was used with another method, path or body.
    KeyReused,
    /// The key was claimed before and its outcome is not known.
    InProgress,
    /// The call with this key ran; its answer is not stored.
    AnswerNotKept,
    /// The ledger of claims does not answer.
    LedgerUnavailable,
    /// The ledger has reached its limit of claims.
    LedgerFull,
    /// The team has reached its limit of waiting requests.
    TeamQueueFull,
    /// The entry has reached its limit of requests.
    Overloaded,
    /// The request cannot finish before its deadline.
    TooLate,
    /// Earlier runs of the request crashed their replicas.
    Quarantined,
}

impl RefusalCode {
    /// The stable code in replies and metrics.
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

    /// Whether the refusal depends on the rules or the state of the entry, so that the same request
    /// may have been admitted earlier.
    pub(super) fn depends_on_state(self) -> bool {
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

/// One refusal of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRefusal {
    /// Stable code.
    pub code: RefusalCode,
    /// What happened and what the caller can do.
    pub message: String,
    /// Whether the request ran.
    pub outcome: CallOutcome,
}

impl CallRefusal {
    /// A refusal of a request that was not run.
    pub fn not_run(code: RefusalCode, message: &str) -> Self {
        Self { code, message: message.to_owned(), outcome: CallOutcome::NotRun }
    }

    /// A refusal because the entry cannot confirm that its rules are in force.
    pub fn rules_unconfirmed() -> Self {
        let message = "this entry cannot confirm its rules; try again in a second";
        Self::not_run(RefusalCode::RulesUnconfirmed, message)
    }

    /// A refusal because earlier runs of the request crashed their replicas.
    pub fn quarantined() -> Self {
        let message = "it, or a part of its prompt, crashed the replicas that ran it; change it, or \
                       ask the operators to lift its quarantine";
        Self::not_run(RefusalCode::Quarantined, message)
    }

    /// A failure after which it is unknown whether the request ran.
    pub fn unknown(code: RefusalCode, message: &str) -> Self {
        Self { code, message: message.to_owned(), outcome: CallOutcome::Unknown }
    }

    /// A refusal of a request that ran.
    pub fn ran(code: RefusalCode, message: &str) -> Self {
        Self { code, message: message.to_owned(), outcome: CallOutcome::Ran }
    }

    /// The JSON body of the reply.
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

    /// The reply, with a fixed `Retry-After` where a retry may succeed.
    pub fn reply(&self, request: RequestId) -> JsonReply {
        let reply = JsonReply::new(self.code.status(), self.body(request))
            .with_header("X-Request-Id", request.to_string());
        if self.code == RefusalCode::Quarantined {
            // Only an operator or a new engine version can resolve it; an early retry cannot help.
            reply.with_header("Retry-After", "60".to_owned())
        } else if self.code.status() == 503 || self.code == RefusalCode::InProgress {
            reply.with_header("Retry-After", "1".to_owned())
        } else {
            reply
        }
    }

    /// The reply with `Retry-After` set to `wait`.
    pub fn reply_after(&self, request: RequestId, wait: Duration) -> JsonReply {
        let mut body = self.body(request);
        body["retry_after_ms"] = json!(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        // The header is in whole seconds; rounding down would make callers retry too early.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        JsonReply::new(self.code.status(), body)
            .with_header("X-Request-Id", request.to_string())
            .with_header("Retry-After", seconds.max(1).to_string())
    }
}
