//! Free hosts of one service by place; a planning round removes those that it uses.

use std::cmp::Reverse;

use briartray_model::SortedTable;
use briartray_model::names::{DomainName, GroupId, HostName, ProviderName, ServiceName, ZoneName};

use super::HostView;

/// Group and rank of a host before it was freed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FormerMembership {
    /// Its former group.
    pub(super) group: GroupId,
    /// Its rank in that group.
    pub(super) rank: usize,
}

/// Former memberships of free hosts. A host that gets its former rank again has its weights
/// loaded.
pub(super) type MembershipHistory = SortedTable<HostName, FormerMembership>;

/// Free hosts of one place: a provider and one of its fabric domains.
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

    /// Picks hosts for a new group and returns their indices by rank.
    ///
    /// A rank goes to a host that had it before, preferably in the same former group as the
    /// others; the remaining ranks go to any remaining hosts.
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

    /// Names of the hosts at the `picked` indices.
    pub(super) fn names(&self, picked: &[usize]) -> Vec<HostName> {
        picked.iter().map(|index| host_name(self.hosts[*index].1)).collect()
    }

    /// Removes the hosts at the `picked` indices and returns their names.
    pub(super) fn take(&mut self, picked: &[usize]) -> Vec<HostName> {
        let names = self.names(picked);
        let mut order = picked.to_vec();
        order.sort_unstable();
        for index in order.into_iter().rev() {
            self.hosts.remove(index);
        }
        names
    }

    /// Removes a host for `rank`: one that had this rank before, otherwise the last one.
    pub(super) fn take_for_rank(&mut self, rank: usize) -> Option<HostName> {
        let index = self.index_for_rank(rank)?;
        Some(host_name(self.hosts.remove(index).1))
    }

    /// The host that `take_for_rank` would remove.
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

    /// The former group of most of the hosts.
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
    /// Collects the hosts of `service` from `free`, which is ordered by service and place.
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

    /// Number of free hosts of one place.
    pub(super) fn count(&self, provider: &ProviderName, domain: &DomainName) -> usize {
        self.places
            .iter()
            .filter(|pool| pool.domain == domain && pool.provider == provider)
            .map(PlacePool::len)
            .sum()
    }

    /// Number of free hosts of a provider in all of its fabric domains.
    pub(super) fn count_provider(&self, provider: &ProviderName) -> usize {
        let of_provider = self.places.iter().filter(|pool| pool.provider == provider);
        of_provider.map(PlacePool::len).sum()
    }
}

fn place_pool<'a>(run: &[&'a HostView], memberships: &MembershipHistory) -> PlacePool<'a> {
    let mut hosts: Vec<_> =
        run.iter().map(|host| (memberships.get(&host.announcement.host).copied(), *host)).collect();
    // Hosts with a former membership come first, so that those of one former group are adjacent.
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
