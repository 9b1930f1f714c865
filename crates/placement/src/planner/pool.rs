//! Free hosts of one service by place, taken out as a round of planning uses them.

use std::cmp::Reverse;

use briartray_model::SortedTable;
use briartray_model::names::{DomainName, GroupId, HostName, ProviderName, ServiceName, ZoneName};

use super::HostView;

/// Where a host sat before it was freed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FormerMembership {
    /// Its group then.
    pub(super) group: GroupId,
    /// Its position in that group.
    pub(super) rank: usize,
}

/// Former seats of free hosts; a host that takes the same position finds its weights loaded.
pub(super) type MembershipHistory = SortedTable<HostName, FormerMembership>;

/// Free hosts of one provider and fabric domain.
#[derive(Debug)]
pub(super) struct PlacePool<'a> {
    pub(super) provider: &'a ProviderName,
    pub(super) domain: &'a DomainName,
    pub(super) zone: &'a ZoneName,
    hosts: Vec<(Option<FormerMembership>, &'a HostView)>,
}

impl<'a> PlacePool<'a> {
    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Picks hosts for a whole new group, by position: each rank goes to a host that held it
    /// before, in the same group where possible, and the rest to whoever is left.
    pub(super) fn pick_members(&self, size: usize) -> Vec<usize> {
        let mut picked = vec![None; size];
        let preferred_group = self.largest_former_group();
        for wanted_group in [preferred_group, None] {
            for (rank, choice) in
                picked.iter_mut().enumerate().filter(|(_, choice)| choice.is_none())
            {
                *choice = self.hosts.iter().position(|(membership, _)| {
                    membership.is_some_and(|membership| {
                        membership.rank == rank
                            && (wanted_group.is_none() || wanted_group == Some(membership.group))
                    })
                });
            }
        }
        let mut others: Vec<usize> = (0..self.hosts.len()).rev().collect();
        others.retain(|index| !picked.contains(&Some(*index)));
        picked.into_iter().filter_map(|choice| choice.or_else(|| others.pop())).collect()
    }

    /// Names of picked hosts.
    pub(super) fn names(&self, picked: &[usize]) -> Vec<HostName> {
        picked.iter().map(|index| host_name(self.hosts[*index].1)).collect()
    }

    /// Takes picked hosts out.
    pub(super) fn take(&mut self, picked: &[usize]) -> Vec<HostName> {
        let names = self.names(picked);
        let mut order = picked.to_vec();
        order.sort_unstable();
        for index in order.into_iter().rev() {
            self.hosts.remove(index);
        }
        names
    }

    /// Takes one host for the position `rank`: one that held the same before, or the last.
    pub(super) fn take_for_rank(&mut self, rank: usize) -> Option<HostName> {
        let index = self.index_for_rank(rank)?;
        Some(host_name(self.hosts.remove(index).1))
    }

    /// The host that `take_for_rank` would take.
    pub(super) fn peek_for_rank(&self, rank: usize) -> Option<&HostName> {
        self.index_for_rank(rank).map(|index| &self.hosts[index].1.announcement.host)
    }

    fn index_for_rank(&self, rank: usize) -> Option<usize> {
        let same_rank = |membership: &Option<FormerMembership>| {
            membership.is_some_and(|membership| membership.rank == rank)
        };
        let index = self.hosts.iter().position(|(membership, _)| same_rank(membership));
        index.or_else(|| self.hosts.len().checked_sub(1))
    }

    /// The former group that most of the hosts sat in.
    fn largest_former_group(&self) -> Option<GroupId> {
        self.hosts
            .chunk_by(|a, b| {
                a.0.map(|membership| membership.group) == b.0.map(|membership| membership.group)
            })
            .filter_map(|hosts| {
                hosts[0].0.map(|membership| (hosts.len(), Reverse(membership.group)))
            })
            .max()
            .map(|(_, Reverse(group))| group)
    }
}

/// Free hosts of one service.
#[derive(Debug)]
pub(super) struct FreePool<'a> {
    pub(super) places: Vec<PlacePool<'a>>,
}

impl<'a> FreePool<'a> {
    /// Picks the hosts of `service` out of `free`, which is in order of service and place.
    pub(super) fn gather(
        free: &[&'a HostView],
        service: &ServiceName,
        memberships: &MembershipHistory,
    ) -> Self {
        let start = free.partition_point(|host| host.announcement.service < *service);
        let end = free.partition_point(|host| host.announcement.service <= *service);
        let same_place = |a: &&HostView, b: &&HostView| {
            a.announcement.domain == b.announcement.domain
                && a.announcement.provider == b.announcement.provider
        };
        let places =
            free[start..end].chunk_by(same_place).map(|run| place_pool(run, memberships)).collect();
        Self { places }
    }

    /// The pool of one place.
    pub(super) fn place(
        &mut self,
        provider: &ProviderName,
        domain: &DomainName,
    ) -> Option<&mut PlacePool<'a>> {
        self.places.iter_mut().find(|pool| pool.domain == domain && pool.provider == provider)
    }

    /// Free hosts of one place.
    pub(super) fn count(&self, provider: &ProviderName, domain: &DomainName) -> usize {
        self.places
            .iter()
            .filter(|pool| pool.domain == domain && pool.provider == provider)
            .map(PlacePool::len)
            .sum()
    }

    /// Free hosts of a provider in all of its fabric domains.
    pub(super) fn count_provider(&self, provider: &ProviderName) -> usize {
        let of_provider = self.places.iter().filter(|pool| pool.provider == provider);
        of_provider.map(PlacePool::len).sum()
    }
}

fn place_pool<'a>(run: &[&'a HostView], memberships: &MembershipHistory) -> PlacePool<'a> {
    let mut hosts: Vec<_> =
        run.iter().map(|host| (memberships.get(&host.announcement.host).copied(), *host)).collect();
    // Former seats first and in order, so that sets that sat together are neighbours.
    hosts.sort_by_key(|(membership, _)| (membership.is_none(), *membership));
    PlacePool {
        provider: &run[0].announcement.provider,
        domain: &run[0].announcement.domain,
        zone: &run[0].announcement.zone,
        hosts,
    }
}

fn host_name(host: &HostView) -> HostName {
    host.announcement.host.clone()
}
