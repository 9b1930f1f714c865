//! The rule document in force, and the outcome of every rule change.

use briartray_model::names::{ChangeId, RevisionNumber};
use briartray_model::rules::accept_rules;
use serde::{Deserialize, Serialize};

use super::CommandOutcome;
use super::changes::ChangeHistory;

/// The rule document in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AcceptedRules {
    /// Revision of the document; zero before the first change.
    pub revision: RevisionNumber,
    /// The document in YAML.
    pub text: String,
}

/// The rule document in force with the history of changes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RuleStore {
    current: AcceptedRules,
    history: ChangeHistory,
}

impl RuleStore {
    /// The rule document in force.
    pub fn current(&self) -> &AcceptedRules {
        &self.current
    }

    /// Applies a change; a resend gets its original outcome or is answered as too old.
    pub fn apply(
        &mut self,
        change: ChangeId,
        expect: Option<RevisionNumber>,
        text: &str,
    ) -> CommandOutcome {
        if let Some(outcome) = self.history.known_outcome(change, expect, text) {
            return outcome;
        }
        let outcome = self.replace(expect, text);
        self.history.record(change, text, &outcome);
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
