//! The rule index: rules by kind of decision and service, with sorted name lists in conditions.
//!
//! A decision tries only the rules that decide its kind and can match its service, in the order of
//! the document, so its cost depends on the number of rules for one service instead of all rules.

use crate::SortedTable;
use crate::names::ServiceName;

use super::book::{DecisionFacts, DecisionKind};
use super::{RuleCondition, RuleDocument, RuleEntry};

/// Index for finding the rule that decides.
#[derive(Debug, Clone, PartialEq, Default)]
pub(super) struct RuleIndex {
    conditions: Vec<SortedCondition>,
    kinds: Vec<KindIndex>,
}

/// Rules of one kind, by position in the document.
#[derive(Debug, Clone, PartialEq, Default)]
struct KindIndex {
    /// Rules that may match a service that no rule names.
    unnamed: Vec<usize>,
    /// Rules that may match a service that some rule names.
    named: SortedTable<ServiceName, Vec<usize>>,
}

/// A condition whose name lists are sorted for binary search.
#[derive(Debug, Clone, PartialEq)]
struct SortedCondition {
    condition: RuleCondition,
}

impl RuleIndex {
    /// Builds the index of `document`.
    pub(super) fn build(document: &RuleDocument) -> Self {
        let conditions =
            document.rules.iter().map(|entry| SortedCondition::build(&entry.when)).collect();
        let kinds =
            DecisionKind::ALL.iter().map(|kind| KindIndex::build(&document.rules, *kind)).collect();
        Self { conditions, kinds }
    }

    /// Position of the first rule of `kind` that matches `facts`.
    pub(super) fn first(&self, kind: DecisionKind, facts: &DecisionFacts<'_>) -> Option<usize> {
        let candidates = self.kinds.get(kind as usize)?.candidates(facts);
        candidates.iter().copied().find(|position| self.conditions[*position].matches(facts))
    }
}

impl KindIndex {
    fn build(rules: &[RuleEntry], kind: DecisionKind) -> Self {
        let positions = |concerns: &dyn Fn(&RuleCondition) -> bool| {
            (0..rules.len())
                .filter(|at| rules[*at].then.decides(kind) && concerns(&rules[*at].when))
                .collect::<Vec<_>>()
        };
        let unnamed = positions(&|when| when.service.is_empty());
        let named = rules
            .iter()
            .flat_map(|entry| &entry.when.service)
            .map(|service| {
                let concerns = |when: &RuleCondition| {
                    when.service.is_empty() || when.service.contains(service)
                };
                (service.clone(), positions(&concerns))
            })
            .collect();
        Self { unnamed, named }
    }

    fn candidates(&self, facts: &DecisionFacts<'_>) -> &[usize] {
        facts
            .service
            .and_then(|service| self.named.find(|name| name.as_str().cmp(service)))
            .unwrap_or(&self.unnamed)
    }
}

impl SortedCondition {
    fn build(condition: &RuleCondition) -> Self {
        let mut condition = condition.clone();
        condition.team.sort();
        condition.service.sort();
        condition.model.sort();
        condition.zone.sort();
        condition.provider.sort();
        Self { condition }
    }

    fn matches(&self, facts: &DecisionFacts<'_>) -> bool {
        let when = &self.condition;
        contains(&when.team, facts.team, |name| name.as_str())
            && contains(&when.service, facts.service, |name| name.as_str())
            && contains(&when.model, facts.model, String::as_str)
            && contains(&when.zone, facts.zone, |name| name.as_str())
            && contains(&when.provider, facts.provider, |name| name.as_str())
            && when.path_matches(facts)
            && when.flags_match(facts)
    }
}

fn contains<T>(sorted: &[T], fact: Option<&str>, text: impl Fn(&T) -> &str) -> bool {
    sorted.is_empty()
        || fact.is_some_and(|fact| sorted.binary_search_by(|name| text(name).cmp(fact)).is_ok())
}
