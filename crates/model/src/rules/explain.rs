//! Explains which rule decides and why the earlier ones do not.

use std::fmt;

use super::book::{DecisionFacts, DecisionKind, RuleBook};
use super::{RuleCondition, RuleEntry};
use crate::names::RuleName;

/// Why a rule did or did not decide.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RuleVerdict {
    /// The rule decides.
    Decides,
    /// The rule does not decide this kind of decision.
    OtherKind,
    /// A field of the condition does not match.
    Differs {
        /// The field.
        field: &'static str,
        /// Values that the rule requires.
        wanted: String,
        /// The actual value; `None` when the fact does not apply.
        fact: Option<String>,
    },
}

/// One rule with its verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleStep {
    /// The rule.
    pub rule: RuleName,
    /// Its verdict.
    pub verdict: RuleVerdict,
}

impl fmt::Display for RuleVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decides => formatter.write_str("decides"),
            Self::OtherKind => formatter.write_str("says nothing about this kind of decision"),
            Self::Differs { field, wanted, fact: Some(fact) } => {
                write!(formatter, "wants {field} {wanted}, and it is {fact}")
            }
            Self::Differs { field, wanted, fact: None } => {
                write!(formatter, "wants {field} {wanted}, which is not known here")
            }
        }
    }
}

impl RuleBook {
    /// Every rule up to and including the one that decides, with its verdict.
    ///
    /// The rules are tried one by one, without the index. When the verdict of the last step is not
    /// `Decides`, no rule decides.
    pub fn explain(&self, kind: DecisionKind, facts: &DecisionFacts<'_>) -> Vec<RuleStep> {
        let mut steps = Vec::new();
        for entry in &self.document().rules {
            let verdict = verdict(entry, kind, facts);
            let decides = verdict == RuleVerdict::Decides;
            steps.push(RuleStep { rule: entry.rule.clone(), verdict });
            if decides {
                break;
            }
        }
        steps
    }
}

fn verdict(entry: &RuleEntry, kind: DecisionKind, facts: &DecisionFacts<'_>) -> RuleVerdict {
    if !entry.then.decides(kind) {
        return RuleVerdict::OtherKind;
    }
    first_difference(&entry.when, facts).unwrap_or(RuleVerdict::Decides)
}

fn first_difference(when: &RuleCondition, facts: &DecisionFacts<'_>) -> Option<RuleVerdict> {
    list_difference("team", &when.team, facts.team, |name| name.as_str())
        .or_else(|| list_difference("service", &when.service, facts.service, |name| name.as_str()))
        .or_else(|| list_difference("model", &when.model, facts.model, String::as_str))
        .or_else(|| list_difference("zone", &when.zone, facts.zone, |name| name.as_str()))
        .or_else(|| {
            list_difference("provider", &when.provider, facts.provider, |name| name.as_str())
        })
        .or_else(|| path_difference(when, facts))
        .or_else(|| flag_difference("stream", when.stream, facts.stream))
        .or_else(|| flag_difference("keyed", when.keyed, facts.keyed))
}

fn list_difference<T>(
    field: &'static str,
    wanted: &[T],
    fact: Option<&str>,
    text: impl Fn(&T) -> &str,
) -> Option<RuleVerdict> {
    let holds =
        wanted.is_empty() || fact.is_some_and(|fact| wanted.iter().any(|name| text(name) == fact));
    let names: Vec<&str> = wanted.iter().map(text).collect();
    (!holds).then(|| RuleVerdict::Differs {
        field,
        wanted: names.join(" or "),
        fact: fact.map(str::to_owned),
    })
}

fn path_difference(when: &RuleCondition, facts: &DecisionFacts<'_>) -> Option<RuleVerdict> {
    (!when.path_matches(facts)).then(|| RuleVerdict::Differs {
        field: "path",
        wanted: format!("under {}", when.path.join(" or ")),
        fact: facts.path.map(str::to_owned),
    })
}

fn flag_difference(
    field: &'static str,
    wanted: Option<bool>,
    fact: Option<bool>,
) -> Option<RuleVerdict> {
    let differs = wanted.is_some() && wanted != fact;
    differs.then(|| RuleVerdict::Differs {
        field,
        wanted: wanted.map_or_else(String::new, |value| value.to_string()),
        fact: fact.map(|value| value.to_string()),
    })
}
