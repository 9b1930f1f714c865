//! Which host belongs to which group, under which fencing number.

use briartray_model::SortedTable;
use briartray_model::message::GroupAssignment;
use briartray_model::names::{
    DomainName, FencingNumber, GroupId, HostName, ProviderName, ZoneName,
};
use serde::{Deserialize, Serialize};

use super::{CommandOutcome, GroupProposal};

/// One group that exists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegisteredGroup {
    /// Its membership.
    pub assignment: GroupAssignment,
    /// Availability zone of the first host.
    pub zone: ZoneName,
    /// Fabric domain of the first host.
    pub domain: DomainName,
    /// Provider of all hosts.
    pub provider: ProviderName,
}

/// What is known of one host.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct HostSeat {
    /// Highest fencing number given out for it.
    pub fencing: FencingNumber,
    /// The group it belongs to.
    pub group: Option<GroupId>,
}

/// The group registry aggregate: no host in two groups, fencing numbers only grow.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct GroupRegistry {
    groups: SortedTable<GroupId, RegisteredGroup>,
    seats: SortedTable<HostName, HostSeat>,
    last_group: GroupId,
    last_fencing: FencingNumber,
}

impl GroupRegistry {
    /// Groups in id order.
    pub fn groups(&self) -> impl Iterator<Item = &RegisteredGroup> {
        self.groups.values()
    }

    /// The group with `id`.
    pub fn group(&self, id: GroupId) -> Option<&RegisteredGroup> {
        self.groups.get(&id)
    }

    /// What is known of `host`.
    pub fn binding(&self, host: &HostName) -> HostSeat {
        self.seats.get(host).cloned().unwrap_or_default()
    }

    /// Forms a group unless one of its hosts is taken.
    pub fn form(&mut self, proposal: &GroupProposal) -> CommandOutcome {
        for member in &proposal.members {
            if let Some(group) = self.binding(&member.host).group {
                return CommandOutcome::HostTaken { host: member.host.clone(), group };
            }
        }
        self.last_group = self.last_group.next();
        self.last_fencing = self.last_fencing.next();
        let (group, fencing) = (self.last_group, self.last_fencing);
        for member in &proposal.members {
            self.seats.insert(member.host.clone(), HostSeat { fencing, group: Some(group) });
        }
        let assignment = GroupAssignment {
            group,
            fencing,
            service: proposal.service.clone(),
            members: proposal.members.clone(),
            capacity: proposal.capacity,
        };
        self.groups.insert(
            group,
            RegisteredGroup {
                assignment,
                zone: proposal.zone.clone(),
                domain: proposal.domain.clone(),
                provider: proposal.provider.clone(),
            },
        );
        CommandOutcome::GroupFormed { group, fencing }
    }

    /// Dissolves `group` and forms its successor, or does neither.
    pub fn replace(&mut self, group: GroupId, proposal: &GroupProposal) -> CommandOutcome {
        if !self.groups.contains_key(&group) {
            return CommandOutcome::GroupUnknown { group };
        }
        for member in &proposal.members {
            match self.binding(&member.host).group {
                Some(holder) if holder != group => {
                    return CommandOutcome::HostTaken { host: member.host.clone(), group: holder };
                }
                _ => {}
            }
        }
        self.dissolve(group);
        self.form(proposal)
    }

    /// Dissolves a group; its hosts are free under a new fencing number.
    pub fn dissolve(&mut self, group: GroupId) -> CommandOutcome {
        let Some(registered) = self.groups.remove(&group) else {
            return CommandOutcome::GroupUnknown { group };
        };
        self.last_fencing = self.last_fencing.next();
        let fencing = self.last_fencing;
        for member in &registered.assignment.members {
            self.seats.insert(member.host.clone(), HostSeat { fencing, group: None });
        }
        CommandOutcome::GroupDissolved { group }
    }
}
