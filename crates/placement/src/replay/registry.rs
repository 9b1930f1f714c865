//! Invariants of the group registry, checked against a reference model after every command.

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::SortedTable;
use briartray_model::names::{FencingNumber, GroupId, HostName};

/// Reference model of the registry: the group and the last fencing number of each host.
///
/// A host belongs to at most one group, and its fencing numbers increase.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReferenceRegistry {
    owners: SortedTable<HostName, GroupId>,
    fencing: SortedTable<HostName, FencingNumber>,
    violations: Vec<String>,
}

impl ReferenceRegistry {
    /// Descriptions of the violated invariants so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Applies the effect of a command and records every invariant that it violates.
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
            self.violations
                .push(format!("group {group} was dissolved or replaced, but owned no hosts"));
        }
    }

    fn add_group(&mut self, group: GroupId, state: &ControlState) {
        let Some(registered) = state.groups.group(group) else {
            self.violations.push(format!("group {group} was formed, but is not in the registry"));
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
                let text = format!(
                    "fencing number of host {} did not increase: {before}, then {fencing}",
                    member.host
                );
                self.violations.push(text);
            }
        }
    }
}
