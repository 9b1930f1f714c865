//! Finding the rule that counts.

use super::{AdmitAction, PlaceAction, RetryAction, RouteAction, RuleCondition, RuleEntry};
use super::{RuleDocument, RuleError, StopAction};
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
}

impl RuleBook {
    /// Builds a book from the text of a document.
    ///
    /// # Errors
    /// As [`RuleDocument::parse`].
    pub fn build(revision: RevisionNumber, text: &str) -> Result<Self, RuleError> {
        Ok(Self { revision, document: RuleDocument::parse(text)? })
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
        self.first(facts, |entry| entry.then.admit.as_ref())
    }

    /// Choice of replica for `facts`.
    pub fn route(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, RouteAction) {
        self.first(facts, |entry| entry.then.route.as_ref())
    }

    /// Retries for `facts`.
    pub fn retry(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, RetryAction) {
        self.first(facts, |entry| entry.then.retry.as_ref())
    }

    /// Placement for `facts`.
    pub fn place(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, PlaceAction) {
        self.first(facts, |entry| entry.then.place.as_ref())
    }

    /// Planned stops for `facts`.
    pub fn stop(&self, facts: &DecisionFacts<'_>) -> (Option<&RuleName>, StopAction) {
        self.first(facts, |entry| entry.then.stop.as_ref())
    }

    fn first<A: Clone + Default>(
        &self,
        facts: &DecisionFacts<'_>,
        pick: impl Fn(&RuleEntry) -> Option<&A>,
    ) -> (Option<&RuleName>, A) {
        self.document
            .rules
            .iter()
            .filter(|entry| entry.when.matches(facts))
            .find_map(|entry| pick(entry).map(|action| (Some(&entry.rule), action.clone())))
            .unwrap_or_else(|| (None, A::default()))
    }
}

impl RuleCondition {
    /// Whether every field that is given holds for `facts`.
    pub fn matches(&self, facts: &DecisionFacts<'_>) -> bool {
        any_of(&self.team, facts.team, |name| name.as_str())
            && any_of(&self.service, facts.service, |name| name.as_str())
            && any_of(&self.model, facts.model, String::as_str)
            && any_of(&self.zone, facts.zone, |name| name.as_str())
            && any_of(&self.provider, facts.provider, |name| name.as_str())
            && any_prefix(&self.path, facts.path)
            && (self.stream.is_none() || self.stream == facts.stream)
            && (self.keyed.is_none() || self.keyed == facts.keyed)
    }
}

fn any_of<T>(wanted: &[T], fact: Option<&str>, text: impl Fn(&T) -> &str) -> bool {
    wanted.is_empty() || fact.is_some_and(|fact| wanted.iter().any(|name| text(name) == fact))
}

fn any_prefix(wanted: &[String], fact: Option<&str>) -> bool {
    wanted.is_empty() || fact.is_some_and(|fact| wanted.iter().any(|head| fact.starts_with(head)))
}
