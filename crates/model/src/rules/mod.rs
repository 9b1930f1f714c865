//! The rule document: services, teams, and an ordered list of when-then rules.
//!
//! For each kind of decision, the first rule applies whose condition matches and whose `then` has
//! that kind. The document is one YAML file that operators keep in version control.

mod action;
mod book;
mod check;
mod document;
mod explain;
mod index;

pub use action::{
    AdmitAction, KeyPolicy, PlaceAction, RetryAction, RouteAction, RuleAction, StopAction,
};
pub use book::{DecisionFacts, DecisionKind, RuleBook};
pub use check::{FindingLevel, RuleFinding, accept_rules, check_rules};
pub use document::{
    RuleCondition, RuleDocument, RuleEntry, RuleError, ServiceDeclaration, ServiceKind,
    TeamDeclaration,
};
pub use explain::{RuleStep, RuleVerdict};
