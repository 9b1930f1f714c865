//! The rule book as accepted, and the outcome of every change that was sent.

use briartray_model::names::{ChangeId, RevisionNumber};
use briartray_model::rules::accept_rules;
use serde::{Deserialize, Serialize};

use super::CommandOutcome;
use super::changes::ChangeHistory;

/// The rule document in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AcceptedRules {
    /// Its revision; zero before the first change.
    pub revision: RevisionNumber,
    /// The document in YAML.
    pub text: String,
}

/// The rule book aggregate.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RuleShelf {
    current: AcceptedRules,
    history: ChangeHistory,
}

impl RuleShelf {
    /// The document in force.
    pub fn current(&self) -> &AcceptedRules {
        &self.current
    }

    /// Applies one change; a resend gets the first outcome again, or is told that it is too old.
    pub fn apply(
        &mut self,
        change: ChangeId,
        expect: Option<RevisionNumber>,
        text: &str,
    ) -> CommandOutcome {
        if let Some(outcome) = self.history.settled(change, expect, text) {
            return outcome;
        }
        let outcome = self.replace(expect, text);
        self.history.remember(change, text, &outcome);
        outcome
    }

    fn replace(&mut self, expect: Option<RevisionNumber>, text: &str) -> CommandOutcome {
        if expect.is_some_and(|revision| revision != self.current.revision) {
            return CommandOutcome::RulesConflict { revision: self.current.revision };
        }
        if let Err(error) = accept_rules(text) {
            return CommandOutcome::RulesInvalid { detail: error.to_string() };
        }
        let revision = self.current.revision.next();
        self.current = AcceptedRules { revision, text: text.to_owned() };
        CommandOutcome::RulesAccepted { revision }
    }
}
