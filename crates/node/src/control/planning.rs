//! Turning what a planner asks for into commands.

use briartray_control::state::{ControlCommand, GroupProposal};
use briartray_model::message::GroupMember;
use briartray_model::names::{HostName, ServiceName};
use briartray_model::rules::RuleBook;
use briartray_placement::planner::{FleetView, PlanAction, plan_first_come};

/// Plans groups and keeps what the planner remembers between rounds.
#[derive(Debug, Default)]
pub(super) struct PlanDriver {}

impl PlanDriver {
    /// The commands of one round of planning.
    pub(super) fn step(&mut self, view: &FleetView, book: &RuleBook) -> Vec<ControlCommand> {
        plan_first_come(view, book)
            .into_iter()
            .filter_map(|action| match action {
                PlanAction::Form { service, members } => form(view, book, &service, &members),
                PlanAction::Dissolve { group } => Some(ControlCommand::DissolveGroup { group }),
            })
            .collect()
    }
}

fn form(
    view: &FleetView,
    book: &RuleBook,
    service: &ServiceName,
    members: &[HostName],
) -> Option<ControlCommand> {
    let first = &view.hosts.get(members.first()?)?.announcement;
    let capacity = book.document().service(service.as_str())?.capacity;
    let members = members
        .iter()
        .map(|host| {
            let announcement = &view.hosts.get(host)?.announcement;
            Some(GroupMember { host: host.clone(), link: announcement.link })
        })
        .collect::<Option<Vec<_>>>()?;
    Some(ControlCommand::FormGroup(GroupProposal {
        service: service.clone(),
        zone: first.zone.clone(),
        domain: first.domain.clone(),
        provider: first.provider.clone(),
        members,
        capacity,
    }))
}
