//! The naive planner: dissolves groups that lack a member, forms groups from any free hosts.

use briartray_model::names::{DomainName, HostName, ProviderName};
use briartray_model::rules::{RuleBook, ServiceDeclaration};

use super::{FleetView, HostView, PlanAction};

/// Plans without expected costs or state: free hosts are grouped in the order of their names.
pub fn plan_first_come(view: &FleetView, book: &RuleBook) -> Vec<PlanAction> {
    let mut actions = dissolve_broken(view);
    for service in &book.document().services {
        form_missing(view, service, &mut actions);
    }
    actions
}

fn dissolve_broken(view: &FleetView) -> Vec<PlanAction> {
    view.groups
        .values()
        .filter(|group| {
            group.members.iter().any(|host| !view.hosts.get(host).is_some_and(|h| h.present))
        })
        .map(|group| PlanAction::Dissolve { group: group.group })
        .collect()
}

fn form_missing(view: &FleetView, service: &ServiceDeclaration, actions: &mut Vec<PlanAction>) {
    let existing = view.groups.values().filter(|group| group.service == service.name).count();
    let wanted = (service.replicas as usize).saturating_sub(existing);
    let size = service.hosts_per_replica as usize;
    let mut free: Vec<&HostView> =
        view.hosts.values().filter(|host| is_free(host, service)).collect();
    free.sort_by(|a, b| place_key(a).cmp(&place_key(b)));
    let same_place = |a: &&HostView, b: &&HostView| place(a) == place(b);
    let sets = free.chunk_by(same_place).flat_map(|run| run.chunks_exact(size.max(1)));
    for set in sets.take(wanted) {
        let members = set.iter().map(|host| host.announcement.host.clone()).collect();
        actions.push(PlanAction::Form { service: service.name.clone(), members });
    }
}

fn is_free(host: &HostView, service: &ServiceDeclaration) -> bool {
    host.present
        && host.group.is_none()
        && !host.announcement.leaving
        && host.announcement.service == service.name
}

fn place(host: &HostView) -> (&ProviderName, &DomainName) {
    (&host.announcement.provider, &host.announcement.domain)
}

fn place_key(host: &HostView) -> (&ProviderName, &DomainName, &HostName) {
    (&host.announcement.provider, &host.announcement.domain, &host.announcement.host)
}
