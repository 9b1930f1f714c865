//! Evaluates the rules for one request.

use briartray_model::names::{RuleName, ServiceName, TeamName, ZoneName};
use briartray_model::rules::{AdmitAction, DecisionFacts, RetryAction, RouteAction, RuleBook};

use super::refusal::{CallRefusal, RefusalCode};

/// The facts of one request, kept so that the rules can be evaluated again after a change.
#[derive(Debug)]
pub(super) struct CallFacts {
    pub(super) team: TeamName,
    pub(super) service: ServiceName,
    pub(super) model: Option<String>,
    pub(super) path: String,
    pub(super) zone: ZoneName,
    pub(super) stream: bool,
    pub(super) keyed: bool,
}

/// What the rules decided.
#[derive(Debug)]
pub(super) struct CallDecision {
    /// The rule that decided on admission; `None` for the default.
    pub(super) rule: Option<RuleName>,
    pub(super) admit: AdmitAction,
    pub(super) retry: RetryAction,
    pub(super) route: RouteAction,
}

impl CallFacts {
    /// Evaluates the rules of `book`.
    ///
    /// # Errors
    /// A refusal when a rule does not allow the request.
    pub(super) fn decide(&self, book: &RuleBook) -> Result<CallDecision, CallRefusal> {
        let facts = DecisionFacts {
            team: Some(self.team.as_str()),
            service: Some(self.service.as_str()),
            model: self.model.as_deref(),
            path: Some(&self.path),
            zone: Some(self.zone.as_str()),
            provider: None,
            stream: Some(self.stream),
            keyed: Some(self.keyed),
        };
        let (rule, admit) = book.admit(&facts);
        if !admit.allow {
            let by = rule.map_or("the default", |name| name.as_str());
            let message = format!("rule {by:?} does not allow this request; ask your operator");
            return Err(CallRefusal::not_run(RefusalCode::Forbidden, &message));
        }
        let (_, retry) = book.retry(&facts);
        let (_, route) = book.route(&facts);
        Ok(CallDecision { rule: rule.cloned(), admit, retry, route })
    }
}
