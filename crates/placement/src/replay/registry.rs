//! The registry's promises, checked against a naive table after every command.

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::SortedTable;
use briartray_model::names::{FencingNumber, GroupId, HostName};

/// Who owns each host, kept in the plainest way.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReferenceRegistry {
    owners: SortedTable<HostName, GroupId>,
    fencing: SortedTable<HostName, FencingNumber>,
    violations: Vec<String>,
}

impl ReferenceRegistry {
    /// What did not hold so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Compares what a command did with what it should have done.
    pub fn check(
        &mut self,
        command: &ControlCommand,
        outcome: &CommandOutcome,
        state: &ControlState,
    ) {
        match (command, outcome) {
            (ControlCommand::FormGroup(_), CommandOutcome::GroupFormed { group, .. }) => {
                self.add_group(*group, state);
            }
            (
                ControlCommand::ReplaceGroup { group: old, .. },
                CommandOutcome::GroupFormed { group, .. },
            ) => {
                self.remove_group(*old);
                self.add_group(*group, state);
            }
            (ControlCommand::DissolveGroup { .. }, CommandOutcome::GroupDissolved { group }) => {
                self.remove_group(*group);
            }
            _ => {}
        }
    }

    fn remove_group(&mut self, group: GroupId) {
        let before = self.owners.len();
        self.owners.retain(|_, owner| *owner != group);
        if self.owners.len() == before {
            self.violations.push(format!("group {group} ended without having had hosts"));
        }
    }

    fn add_group(&mut self, group: GroupId, state: &ControlState) {
        let Some(registered) = state.groups.group(group) else {
            self.violations.push(format!("group {group} was formed and does not exist"));
            return;
        };
        let fencing = registered.assignment.fencing;
        for member in &registered.assignment.members {
            if let Some(other) = self.owners.insert(member.host.clone(), group) {
                let text = format!("host {} is in groups {other} and {group}", member.host);
                self.violations.push(text);
            }
            let before = self.fencing.insert(member.host.clone(), fencing).unwrap_or_default();
            if fencing <= before {
                let text = format!("fencing of {} went from {before} to {fencing}", member.host);
                self.violations.push(text);
            }
        }
    }
}
