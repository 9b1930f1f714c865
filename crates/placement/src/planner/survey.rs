//! Survey of the fleet at the start of a round: missing members, free hosts, hosts per domain.

use briartray_model::message::HostAnnouncement;
use briartray_model::names::{DomainName, GroupId, HostName, ProviderName, ServiceName};

use super::{FleetView, GroupView, HostView};

/// State of one group as seen by control.
#[derive(Debug, Clone)]
pub(super) struct GroupSurvey<'a> {
    pub(super) group: &'a GroupView,
    /// Members that are absent.
    pub(super) missing: Vec<&'a HostName>,
    /// Present members that have announced to leave.
    pub(super) leaving: Vec<&'a HostName>,
    /// Announcement of a present member; gives zone, provider and fabric domain.
    pub(super) present_member: Option<&'a HostAnnouncement>,
    present: usize,
}

impl GroupSurvey<'_> {
    /// Whether the group serves, according to its first host; `false` if the first host is absent.
    pub(super) fn serves(&self) -> bool {
        let first = self.group.members.first();
        self.group.whole && !self.missing.iter().any(|host| Some(*host) == first)
    }

    /// Whether members are missing and the group does not serve.
    pub(super) fn is_broken(&self) -> bool {
        !self.missing.is_empty() && !self.serves()
    }
}

/// Result of one pass over the fleet.
#[derive(Debug)]
pub(super) struct FleetSurvey<'a> {
    /// Groups in the order of their identifiers.
    pub(super) groups: Vec<GroupSurvey<'a>>,
    /// Free hosts that are present and not leaving, ordered by service and place.
    pub(super) free: Vec<&'a HostView>,
    /// Known hosts that are absent.
    pub(super) absent: Vec<&'a HostView>,
    /// Group members per fabric domain, ordered by domain name.
    pub(super) domains: Vec<DomainCount<'a>>,
}

/// Number of group members in one fabric domain.
#[derive(Debug, Clone, Copy)]
pub(super) struct DomainCount<'a> {
    pub(super) domain: &'a DomainName,
    pub(super) present: usize,
    pub(super) absent: usize,
}

impl<'a> FleetSurvey<'a> {
    /// Surveys `view` in one pass over the hosts, and another over the members of broken groups.
    pub(super) fn take(view: &'a FleetView) -> Self {
        let mut survey = Self {
            groups: view.groups.values().map(group_survey).collect(),
            free: Vec::new(),
            absent: Vec::new(),
            domains: Vec::new(),
        };
        let ids: Vec<GroupId> = view.groups.keys().copied().collect();
        let mut last_domain = 0;
        for host in view.hosts.values() {
            survey.add_host(host, &ids, &mut last_domain);
        }
        for group in &mut survey.groups {
            if group.present < group.group.members.len() {
                group.missing = group
                    .group
                    .members
                    .iter()
                    .filter(|host| !view.hosts.get(host).is_some_and(|host| host.present))
                    .collect();
            }
        }
        survey.free.sort_by(|a, b| place_key(a).cmp(&place_key(b)));
        survey
    }

    /// Whether most group members in `domain` are absent at the same time.
    pub(super) fn has_outage(&self, domain: &DomainName) -> bool {
        self.domains
            .binary_search_by(|count| count.domain.cmp(domain))
            .is_ok_and(|index| self.domains[index].has_outage())
    }

    /// Whether a group member in `domain` is absent.
    pub(super) fn has_absent_members(&self, domain: &DomainName) -> bool {
        self.domains
            .binary_search_by(|count| count.domain.cmp(domain))
            .is_ok_and(|index| self.domains[index].absent > 0)
    }

    fn add_host(&mut self, host: &'a HostView, ids: &[GroupId], last_domain: &mut usize) {
        if !host.present {
            self.absent.push(host);
        }
        let Some(id) = host.group else {
            if host.present && !host.announcement.leaving {
                self.free.push(host);
            }
            return;
        };
        self.count_in_domain(host, last_domain);
        let Ok(index) = ids.binary_search(&id) else { return };
        if !host.present {
            return;
        }
        let group = &mut self.groups[index];
        group.present += 1;
        group.present_member = group.present_member.or(Some(&host.announcement));
        if host.announcement.leaving {
            group.leaving.push(&host.announcement.host);
        }
    }

    /// Counts `host` for its fabric domain. Adjacent hosts mostly share a domain, so the domain of
    /// the previous host is tried first.
    fn count_in_domain(&mut self, host: &'a HostView, last_domain: &mut usize) {
        let domain = &host.announcement.domain;
        if self.domains.get(*last_domain).is_none_or(|count| count.domain != domain) {
            *last_domain = match self.domains.binary_search_by(|count| count.domain.cmp(domain)) {
                Ok(index) => index,
                Err(index) => {
                    self.domains.insert(index, DomainCount { domain, present: 0, absent: 0 });
                    index
                }
            };
        }
        if host.present {
            self.domains[*last_domain].present += 1;
        } else {
            self.domains[*last_domain].absent += 1;
        }
    }
}

impl DomainCount<'_> {
    /// Fewer absent hosts than this are treated as separate losses, not as a domain outage.
    const OUTAGE_MIN_HOSTS: usize = 4;

    pub(super) fn has_outage(&self) -> bool {
        self.absent >= Self::OUTAGE_MIN_HOSTS && self.absent > self.present
    }
}

fn group_survey(group: &GroupView) -> GroupSurvey<'_> {
    GroupSurvey {
        group,
        missing: Vec::new(),
        leaving: Vec::new(),
        present_member: None,
        present: 0,
    }
}

type PlaceKey<'a> = (&'a ServiceName, &'a ProviderName, &'a DomainName, &'a HostName);

fn place_key(host: &HostView) -> PlaceKey<'_> {
    let announcement = &host.announcement;
    (&announcement.service, &announcement.provider, &announcement.domain, &announcement.host)
}

/// Indices in `FleetSurvey::groups` of the groups of `service`.
pub(super) fn groups_of_service(survey: &FleetSurvey<'_>, service: &ServiceName) -> Vec<usize> {
    (0..survey.groups.len())
        .filter(|index| survey.groups[*index].group.service == *service)
        .collect()
}
