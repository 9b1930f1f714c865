//! Translates planner actions into commands of the control log.

use briartray_control::state::{ControlCommand, GroupProposal};
use briartray_model::message::GroupMember;
use briartray_model::names::{HostName, ServiceName};
use briartray_model::rules::RuleBook;

use super::{FleetView, PlanAction};

/// Returns the command for `action`; `None` if the action changes no membership, or if one of its
/// hosts or its service no longer exists.
pub fn command_for(
    view: &FleetView,
    book: &RuleBook,
    action: &PlanAction,
) -> Option<ControlCommand> {
    match action {
        PlanAction::Form { service, members } => {
            proposal(view, book, service, members).map(ControlCommand::FormGroup)
        }
        PlanAction::Replace { group, service, members } => proposal(view, book, service, members)
            .map(|proposal| ControlCommand::ReplaceGroup { group: *group, proposal }),
        PlanAction::Prepare { .. } => None,
        PlanAction::Dissolve { group } => Some(ControlCommand::DissolveGroup { group: *group }),
    }
}

fn proposal(
    view: &FleetView,
    book: &RuleBook,
    service: &ServiceName,
    members: &[HostName],
) -> Option<GroupProposal> {
    let first = &view.hosts.get(members.first()?)?.announcement;
    let capacity = book.document().service(service.as_str())?.capacity;
    let members = members
        .iter()
        .map(|host| {
            let announcement = &view.hosts.get(host)?.announcement;
            Some(GroupMember { host: host.clone(), link: announcement.link })
        })
        .collect::<Option<Vec<_>>>()?;
    Some(GroupProposal {
        service: service.clone(),
        zone: first.zone.clone(),
        domain: first.domain.clone(),
        provider: first.provider.clone(),
        members,
        capacity,
    })
}
