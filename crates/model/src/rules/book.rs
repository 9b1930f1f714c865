//! Finding the rule that counts.

use super::index::RuleIndex;
use super::{
    AdmitAction, PlaceAction, RetryAction, RouteAction, RuleAction, RuleCondition, RuleDocument,
    RuleError, StopAction,
};
use crate::names::{RevisionNumber, RuleName};

plain_choice! {
    /// Kinds of decision that rules make.
    pub enum DecisionKind {
        /// Whether and how a request is let in.
        Admit,
        /// Which replica serves it.
        Route,
        /// Whether it is tried again.
        Retry,
        /// How groups are formed and mended.
        Place,
        /// Whether a planned stop is allowed.
        Stop,
    }
}

impl DecisionKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [Self::Admit, Self::Route, Self::Retry, Self::Place, Self::Stop];

    /// The kind as rules name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Route => "route",
            Self::Retry => "retry",
            Self::Place => "place",
            Self::Stop => "stop",
        }
    }

    /// The kind called `text`.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// What is known when a decision is made; `None` where a fact does not apply.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecisionFacts<'a> {
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Service concerned.
    pub service: Option<&'a str>,
    /// Model named by the caller.
    pub model: Option<&'a str>,
    /// Request path.
    pub path: Option<&'a str>,
    /// Availability zone of the deciding process or the host concerned.
    pub zone: Option<&'a str>,
    /// Provider of the host concerned.
    pub provider: Option<&'a str>,
    /// Whether the answer is a stream.
    pub stream: Option<bool>,
    /// Whether the call carries an `Idempotency-Key`.
    pub keyed: Option<bool>,
}

/// A rule document with its revision, ready to decide.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RuleBook {
    revision: RevisionNumber,
    document: RuleDocument,
    index: RuleIndex,
}

impl RuleBook {
    /// Builds a book from the text of a document.
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

    /// Admission for `facts`, with the rule that decided; the default when none matches.
    pub fn admit(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, AdmitAction) {
        self.first(DecisionKind::Admit, facts, |then| then.admit.as_ref())
    }

    /// Choice of replica for `facts`.
    pub fn route(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, RouteAction) {
        self.first(DecisionKind::Route, facts, |then| then.route.as_ref())
    }

    /// Retries for `facts`.
    pub fn retry(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, RetryAction) {
        self.first(DecisionKind::Retry, facts, |then| then.retry.as_ref())
    }

    /// Placement for `facts`.
    pub fn place(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, PlaceAction) {
        self.first(DecisionKind::Place, facts, |then| then.place.as_ref())
    }

    /// Planned stops for `facts`.
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
    /// Whether every field that is given holds for `facts`, field by field.
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
    wanted.is_empty() || fact.is_some_and(|fact| wanted.iter().any(|head| fact.starts_with(head)))
}
