//! What entries may send to, and how they are told of its changes.
//!
//! A whole view grows with the fleet, and so does the number of its changes and of the entries that
//! are told: whole views at every change grow with the third power of the fleet. An update holds
//! what has changed since the view that its reader holds.

use briartray_model::message::ViewVersion;
use briartray_model::names::{GroupId, IncarnationId, ServiceName, ZoneName};
use briartray_model::{SortedTable, plain_value};

use crate::limit::EndpointRate;

plain_value! {
    /// A single endpoint that serves alone.
    pub struct EndpointView {
        /// The endpoint.
        pub id: IncarnationId,
        /// Service it serves.
        pub service: ServiceName,
        /// Where it listens.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests it runs at one time.
        pub slots: usize,
        /// What it takes from all entries together while it is cold.
        pub cold: Option<EndpointRate>,
    }

    /// A group that serves as one replica.
    pub struct GroupView {
        /// The group.
        pub group: GroupId,
        /// Service it serves.
        pub service: ServiceName,
        /// Model it serves.
        pub model: String,
        /// Its first host, which takes the requests.
        pub head: IncarnationId,
        /// Where the first host listens.
        pub address: String,
        /// Availability zone of the first host.
        pub zone: ZoneName,
        /// Whether it takes new work.
        pub open: bool,
        /// What its first host takes from all entries together while that is cold.
        pub cold: Option<EndpointRate>,
    }

    /// Everything that may be sent to, as the leader knows it.
    #[derive(Default)]
    pub struct FleetView {
        /// Which view this is.
        pub version: ViewVersion,
        /// Endpoints of plain services.
        pub endpoints: Vec<EndpointView>,
        /// Groups.
        pub groups: Vec<GroupView>,
        /// Entries that hold a lease.
        pub entries: usize,
        /// Whether the leader has not heard of all endpoints yet.
        pub partial: bool,
    }

    /// What makes one view of another.
    #[derive(Default)]
    pub struct ViewUpdate {
        /// View that it changes; `None` where it is whole.
        pub base: Option<ViewVersion>,
        /// View that it makes.
        pub version: ViewVersion,
        /// Endpoints that are new, or have changed.
        pub endpoints: Vec<EndpointView>,
        /// Endpoints that are gone.
        pub gone_endpoints: Vec<IncarnationId>,
        /// Groups that are new, or have changed.
        pub groups: Vec<GroupView>,
        /// Groups that are gone.
        pub gone_groups: Vec<GroupId>,
        /// Entries that hold a lease.
        pub entries: usize,
        /// Whether the leader has not heard of all endpoints yet.
        pub partial: bool,
    }
}

impl FleetView {
    /// Endpoints that are cold, with what each takes from all entries together; sorted.
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

    /// Open and other groups of each model, and endpoints, in a few words.
    pub fn summary(&self) -> String {
        let mut models: Vec<&str> = self.groups.iter().map(|group| &*group.model).collect();
        models.sort_unstable();
        models.dedup();
        let count = |model: &str, open: bool| {
            self.groups.iter().filter(|group| group.model == model && group.open == open).count()
        };
        let tell = |model: &&str| {
            format!("{model} {} open {} not", count(model, true), count(model, false))
        };
        let groups: Vec<String> = models.iter().map(tell).collect();
        format!(
            "{}; {} endpoints, {} entries",
            groups.join(", "),
            self.endpoints.len(),
            self.entries
        )
    }

    /// Whether both tell the same, whatever their versions.
    pub fn tells_as(&self, other: &Self) -> bool {
        self.endpoints == other.endpoints
            && self.groups == other.groups
            && self.entries == other.entries
            && self.partial == other.partial
    }

    /// The whole view as an update.
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

    /// What makes this view of `base`.
    pub fn since(&self, base: &Self) -> ViewUpdate {
        let endpoint = |view: &EndpointView| view.id.clone();
        let (endpoints, gone_endpoints) = changes(&base.endpoints, &self.endpoints, endpoint);
        let (groups, gone_groups) = changes(&base.groups, &self.groups, |view| view.group);
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

    /// The view that `update` makes of this one; `None` where it changes another one.
    pub fn updated(&self, update: ViewUpdate) -> Option<Self> {
        let ViewUpdate { base, version, entries, partial, .. } = update;
        let Some(base) = base else {
            let (endpoints, groups) = (update.endpoints, update.groups);
            return Some(Self { version, endpoints, groups, entries, partial });
        };
        if base != self.version {
            return None;
        }
        let id = |view: &EndpointView| view.id.clone();
        let gone = &update.gone_endpoints;
        let endpoints = merged(&self.endpoints, update.endpoints, gone, id);
        let gone = &update.gone_groups;
        let groups = merged(&self.groups, update.groups, gone, |view| view.group);
        Some(Self { version, endpoints, groups, entries, partial })
    }
}

/// Parts of `new` that `old` does not hold as they are, and names of those that are gone; both are in the
/// order of their names.
fn changes<V: Clone + PartialEq, K: Ord>(
    old: &[V],
    new: &[V],
    name: impl Fn(&V) -> K,
) -> (Vec<V>, Vec<K>) {
    let at = |views: &[V], wanted: &K| views.binary_search_by_key(wanted, &name).ok();
    let same = |view: &&V| at(old, &name(view)).is_some_and(|index| old[index] == **view);
    let changed = new.iter().filter(|view| !same(view)).cloned().collect();
    let gone = old.iter().map(&name).filter(|known| at(new, known).is_none()).collect();
    (changed, gone)
}

/// `old` without those named in `gone` and with `changed` in their places, in the order of names.
fn merged<V: Clone, K: Ord>(
    old: &[V],
    changed: Vec<V>,
    gone: &[K],
    name: impl Fn(&V) -> K,
) -> Vec<V> {
    let replaced = |view: &&V| {
        let known = name(view);
        gone.binary_search(&known).is_ok() || changed.binary_search_by_key(&known, &name).is_ok()
    };
    let mut views: Vec<V> = old.iter().filter(|view| !replaced(view)).cloned().collect();
    views.extend(changed);
    views.sort_by_key(name);
    views
}
