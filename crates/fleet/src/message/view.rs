//! The fleet view that entries choose targets from, and the updates that keep it current.
//!
//! Sending whole views at every change would cost the third power of the fleet's size: the size of
//! a view, the number of changes and the number of entries all grow with the fleet. An update
//! therefore holds only what changed since the view that its receiver holds.

use briartray_model::message::ViewVersion;
use briartray_model::names::{GroupId, IncarnationId, ServiceName, ZoneName};
use briartray_model::{SortedTable, plain_value};

use crate::limit::EndpointRate;

plain_value! {
    /// An endpoint that serves on its own, without a group.
    pub struct EndpointView {
        /// The endpoint.
        pub id: IncarnationId,
        /// Service that it serves.
        pub service: ServiceName,
        /// Address that it listens on.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests that it runs concurrently.
        pub slots: usize,
        /// Rate that it accepts from all entries together while it is cold; `None` if it is warm.
        pub cold: Option<EndpointRate>,
    }

    /// A group of hosts that serves as one replica.
    pub struct GroupView {
        /// The group.
        pub group: GroupId,
        /// Service that it serves.
        pub service: ServiceName,
        /// Model that it serves.
        pub model: String,
        /// Endpoint of its first host, which receives the requests.
        pub head: IncarnationId,
        /// Address that the first host listens on.
        pub address: String,
        /// Availability zone of the first host.
        pub zone: ZoneName,
        /// Whether it accepts new work.
        pub open: bool,
        /// Rate that its first host accepts from all entries together while that host is cold.
        pub cold: Option<EndpointRate>,
    }

    /// All targets that entries may send to, as the leader knows them.
    #[derive(Default)]
    pub struct FleetView {
        /// Version of this view.
        pub version: ViewVersion,
        /// Endpoints that serve without a group, sorted by identifier.
        pub endpoints: Vec<EndpointView>,
        /// Groups, sorted by identifier.
        pub groups: Vec<GroupView>,
        /// Number of entries that hold a lease.
        pub entries: usize,
        /// Whether the leader has not yet heard from all endpoints.
        pub partial: bool,
    }

    /// Difference between two fleet views.
    #[derive(Default)]
    pub struct ViewUpdate {
        /// Version of the view that the update applies to; `None` if the update holds a whole view.
        pub base: Option<ViewVersion>,
        /// Version of the view after the update.
        pub version: ViewVersion,
        /// Endpoints that were added or changed.
        pub endpoints: Vec<EndpointView>,
        /// Endpoints that were removed.
        pub gone_endpoints: Vec<IncarnationId>,
        /// Groups that were added or changed.
        pub groups: Vec<GroupView>,
        /// Groups that were removed.
        pub gone_groups: Vec<GroupId>,
        /// Number of entries that hold a lease.
        pub entries: usize,
        /// Whether the leader has not yet heard from all endpoints.
        pub partial: bool,
    }
}

impl FleetView {
    /// Returns the cold endpoints, each with the rate that it accepts from all entries together.
    pub fn cold(&self) -> SortedTable<IncarnationId, EndpointRate> {
        let endpoints = self.endpoints.iter().map(|endpoint| (&endpoint.id, endpoint.cold));
        let heads = self.groups.iter().map(|group| (&group.head, group.cold));
        let mut cold = SortedTable::new();
        for (id, rate) in endpoints.chain(heads) {
            if let Some(rate) = rate {
                cold.insert(id.clone(), rate);
            }
        }
        cold
    }

    /// Describes the view for a log line: open and closed groups of each model, endpoints, and
    /// entries.
    pub fn summary(&self) -> String {
        let mut models: Vec<&str> = self.groups.iter().map(|group| &*group.model).collect();
        models.sort_unstable();
        models.dedup();
        let count = |model: &str, open: bool| {
            self.groups.iter().filter(|group| group.model == model && group.open == open).count()
        };
        let describe = |model: &&str| {
            format!("{model} {} open {} not", count(model, true), count(model, false))
        };
        let groups: Vec<String> = models.iter().map(describe).collect();
        format!(
            "{}; {} endpoints, {} entries",
            groups.join(", "),
            self.endpoints.len(),
            self.entries
        )
    }

    /// Whether both views have the same content; their versions may differ.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.endpoints == other.endpoints
            && self.groups == other.groups
            && self.entries == other.entries
            && self.partial == other.partial
    }

    /// Returns an update that holds the whole view.
    pub fn whole(&self) -> ViewUpdate {
        ViewUpdate {
            base: None,
            version: self.version,
            endpoints: self.endpoints.clone(),
            gone_endpoints: Vec::new(),
            groups: self.groups.clone(),
            gone_groups: Vec::new(),
            entries: self.entries,
            partial: self.partial,
        }
    }

    /// Returns the update that leads from `base` to this view.
    pub fn since(&self, base: &Self) -> ViewUpdate {
        let endpoint = |view: &EndpointView| view.id.clone();
        let (endpoints, gone_endpoints) = sorted_diff(&base.endpoints, &self.endpoints, endpoint);
        let (groups, gone_groups) = sorted_diff(&base.groups, &self.groups, |view| view.group);
        ViewUpdate {
            base: Some(base.version),
            version: self.version,
            endpoints,
            gone_endpoints,
            groups,
            gone_groups,
            entries: self.entries,
            partial: self.partial,
        }
    }

    /// Returns the view after `update`, or `None` if the update applies to another version.
    pub fn with_update(&self, update: ViewUpdate) -> Option<Self> {
        let ViewUpdate { base, version, entries, partial, .. } = update;
        let Some(base) = base else {
            let (endpoints, groups) = (update.endpoints, update.groups);
            return Some(Self { version, endpoints, groups, entries, partial });
        };
        if base != self.version {
            return None;
        }
        let id = |view: &EndpointView| view.id.clone();
        let removed = &update.gone_endpoints;
        let endpoints = sorted_merge(&self.endpoints, update.endpoints, removed, id);
        let removed = &update.gone_groups;
        let groups = sorted_merge(&self.groups, update.groups, removed, |view| view.group);
        Some(Self { version, endpoints, groups, entries, partial })
    }
}

/// Returns the parts of `new` that are not in `old` in the same form, and the names in `old` that
/// `new` no longer has. Both inputs are sorted by name, and so are both results.
fn sorted_diff<V: Clone + PartialEq, K: Ord>(
    old: &[V],
    new: &[V],
    name: impl Fn(&V) -> K,
) -> (Vec<V>, Vec<K>) {
    let at = |views: &[V], wanted: &K| views.binary_search_by_key(wanted, &name).ok();
    let same = |view: &&V| at(old, &name(view)).is_some_and(|index| old[index] == **view);
    let changed = new.iter().filter(|view| !same(view)).cloned().collect();
    let removed = old.iter().map(&name).filter(|known| at(new, known).is_none()).collect();
    (changed, removed)
}

/// Returns `old` without the names in `removed` and with the parts in `changed` added or replaced,
/// sorted by name.
fn sorted_merge<V: Clone, K: Ord>(
    old: &[V],
    changed: Vec<V>,
    removed: &[K],
    name: impl Fn(&V) -> K,
) -> Vec<V> {
    let replaced = |view: &&V| {
        let known = name(view);
        removed.binary_search(&known).is_ok() || changed.binary_search_by_key(&known, &name).is_ok()
    };
    let mut views: Vec<V> = old.iter().filter(|view| !replaced(view)).cloned().collect();
    views.extend(changed);
    views.sort_by_key(name);
    views
}
