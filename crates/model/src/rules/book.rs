//! The rule book: finds the rule that applies to a decision.

use super::index::RuleIndex;
use super::{
    AdmitAction, PlaceAction, RetryAction, RouteAction, RuleAction, RuleCondition, RuleDocument,
    RuleError, StopAction,
};
use crate::names::{RevisionNumber, RuleName};

plain_choice! {
    /// Kinds of decision that rules make.
    pub enum DecisionKind {
        /// Whether and how a request is admitted.
        Admit,
        /// Which replica serves a request.
        Route,
        /// Whether a failed attempt is retried.
        Retry,
        /// How groups are formed and repaired.
        Place,
        /// Whether a planned stop is allowed.
        Stop,
    }
}

impl DecisionKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 5] = [Self::Admit, Self::Route, Self::Retry, Self::Place, Self::Stop];

    /// The name of the kind in rule documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Route => "route",
            Self::Retry => "retry",
            Self::Place => "place",
            Self::Stop => "stop",
        }
    }

    /// The kind named `text` in rule documents; `None` when there is none.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// The input of a decision; a fact that does not apply to it is `None`.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecisionFacts<'a> {
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Service that the decision concerns.
    pub service: Option<&'a str>,
    /// Model named by the caller.
    pub model: Option<&'a str>,
    /// Request path.
    pub path: Option<&'a str>,
    /// Availability zone of the deciding process, or of the host that the decision concerns.
    pub zone: Option<&'a str>,
    /// Provider of the host that the decision concerns.
    pub provider: Option<&'a str>,
    /// Whether the answer is a stream.
    pub stream: Option<bool>,
    /// Whether the call carries an `Idempotency-Key`.
    pub keyed: Option<bool>,
}

/// A rule document with its revision and an index for finding rules.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RuleBook {
    revision: RevisionNumber,
    document: RuleDocument,
    index: RuleIndex,
}

impl RuleBook {
    /// Builds a rule book from the YAML text of a rule document.
    ///
    /// # Errors
    /// As [`RuleDocument::parse`].
    pub fn build(revision: RevisionNumber, text: &str) -> Result<Self, RuleError> {
        let document = RuleDocument::parse(text)?;
        let index = RuleIndex::build(&document);
        Ok(Self { revision, document, index })
    }

    /// Revision of the document.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// The document.
    pub fn document(&self) -> &RuleDocument {
        &self.document
    }

    /// The admission action for `facts`, with the rule that decided; the default action without a
    /// rule when none matches.
    pub fn admit(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, AdmitAction) {
        self.first(DecisionKind::Admit, facts, |then| then.admit.as_ref())
    }

    /// The routing action for `facts`; see [`RuleBook::admit`].
    pub fn route(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, RouteAction) {
        self.first(DecisionKind::Route, facts, |then| then.route.as_ref())
    }

    /// The retry action for `facts`; see [`RuleBook::admit`].
    pub fn retry(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, RetryAction) {
        self.first(DecisionKind::Retry, facts, |then| then.retry.as_ref())
    }

    /// The placement action for `facts`; see [`RuleBook::admit`].
    pub fn place(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, PlaceAction) {
        self.first(DecisionKind::Place, facts, |then| then.place.as_ref())
    }

    /// The action on planned stops for `facts`; see [`RuleBook::admit`].
    pub fn stop(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, StopAction) {
        self.first(DecisionKind::Stop, facts, |then| then.stop.as_ref())
    }

    fn first<A: Clone + Default>(
        &self,
        kind: DecisionKind,
        facts: &DecisionFacts<'_>,
        pick: impl Fn(&RuleAction) -> Option<&A>,
    ) -> (Option<&RuleName>, A) {
        let decider = self.index.first(kind, facts).map(|at| &self.document.rules[at]);
        match decider.and_then(|entry| pick(&entry.then).map(|action| (&entry.rule, action))) {
            Some((rule, action)) => (Some(rule), action.clone()),
            None => (None, A::default()),
        }
    }
}

impl RuleCondition {
    /// Whether every field that is given matches `facts`.
    pub fn matches(&self, facts: &DecisionFacts<'_>) -> bool {
        any_of(&self.team, facts.team, |name| name.as_str())
            && any_of(&self.service, facts.service, |name| name.as_str())
            && any_of(&self.model, facts.model, String::as_str)
            && any_of(&self.zone, facts.zone, |name| name.as_str())
            && any_of(&self.provider, facts.provider, |name| name.as_str())
            && self.path_matches(facts)
            && self.flags_match(facts)
    }

    pub(super) fn path_matches(&self, facts: &DecisionFacts<'_>) -> bool {
        any_prefix(&self.path, facts.path)
    }

    pub(super) fn flags_match(&self, facts: &DecisionFacts<'_>) -> bool {
        (self.stream.is_none() || self.stream == facts.stream)
            && (self.keyed.is_none() || self.keyed == facts.keyed)
    }
}

fn any_of<T>(wanted: &[T], fact: Option<&str>, text: impl Fn(&T) -> &str) -> bool {
    wanted.is_empty() || fact.is_some_and(|fact| wanted.iter().any(|name| text(name) == fact))
}

fn any_prefix(wanted: &[String], fact: Option<&str>) -> bool {
    wanted.is_empty()
        || fact.is_some_and(|fact| wanted.iter().any(|prefix| fact.starts_with(prefix)))
}
