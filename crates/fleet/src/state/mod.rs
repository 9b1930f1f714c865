//! What control hosts agree on through the log: the declaration in force, the groups with their
//! epochs, the endpoints that are leaving, the requests in quarantine, and the availability zones that are
//! evacuated.
//!
//! A [`FleetCommand`] is applied in the order of the log on every control host, and the outcome
//! follows from the state alone. An epoch is a number of the log, so that two leaders never give
//! the same one and an order of an earlier leader is always lower than those of a later one.

use briartray_model::names::{
    DomainName, GroupId, IncarnationId, RequestPrint, ServiceName, ZoneName,
};
use briartray_model::{SortedTable, plain_value};

mod format;
mod member_index;
mod stored_plan;

pub use format::{STATE_FORMAT, StateProblem, decode_state, encode_state};
pub use member_index::MemberIndex;
pub use stored_plan::{StoredPlan, UnpackProblem};

use briartray_quarantine::{QuarantineList, QuarantineRecord};

/// Leaving endpoints that are remembered. An endpoint leaves within seconds; the bound is far
/// above what a fleet of 22,000 hosts takes down in that time (370 a day).
const MAX_LEAVING: usize = 1024;

/// Endpoints that are remembered: twice the 22,000 that the design aims for.
const MAX_ENDPOINTS: usize = 44_000;

plain_value! {
    /// An endpoint that has announced itself.
    pub struct EndpointRecord {
        /// Its present life.
        pub id: IncarnationId,
        /// Service it serves.
        pub service: ServiceName,
        /// Where it listens.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Fabric domain, where it serves in groups.
        pub domain: Option<DomainName>,
        /// Requests it runs at one time.
        pub slots: usize,
    }

    /// A host of a group.
    pub struct GroupHost {
        /// Its endpoint.
        pub id: IncarnationId,
        /// Where the endpoint listens.
        pub address: String,
    }

    /// A group that was formed and has not ended.
    pub struct GroupRecord {
        /// The service it serves.
        pub service: ServiceName,
        /// The model it serves.
        pub model: String,
        /// Fabric domain of its hosts.
        pub domain: DomainName,
        /// Availability zone of its first host.
        pub zone: ZoneName,
        /// Its hosts; requests go to the first one.
        pub members: Vec<GroupHost>,
        /// Whether it never serves: a single host that joined so that its model is warm. A host
        /// whose last group had the same model joins the next one within a fraction of a second.
        pub standby: bool,
    }

    /// One change of the state.
    pub enum FleetCommand {
        /// Put a declaration in force, unless a newer one is.
        PutPlan(StoredPlan),
        /// Form a group; its epoch is the next free one.
        FormGroup(GroupRecord),
        /// A group is over and its hosts are free.
        EndGroup(GroupId),
        /// An endpoint takes no new work.
        MarkLeaving(IncarnationId),
        /// Endpoints have announced themselves.
        Announce(Vec<EndpointRecord>),
        /// Endpoints are gone.
        Forget(Vec<IncarnationId>),
        /// A request is refused from now on.
        Quarantine(QuarantineRecord),
        /// A request is served again.
        LiftQuarantine(RequestPrint),
        /// Nothing more is sent to the endpoints of a zone.
        EvacuateZone(ZoneName),
        /// The endpoints of a zone are sent to again.
        ReadmitZone(ZoneName),
    }

    /// Everything that the control hosts agree on.
    #[derive(Default)]
    pub struct FleetState {
        plan: Option<StoredPlan>,
        last_epoch: u64,
        groups: SortedTable<GroupId, GroupRecord>,
        leaving: Vec<IncarnationId>,
        endpoints: SortedTable<IncarnationId, EndpointRecord>,
        quarantine: QuarantineList,
        evacuated: Vec<ZoneName>,
    }
}

/// What a command did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetOutcome {
    /// The declaration is in force.
    PlanInForce,
    /// A newer or equal version was in force already; nothing changed.
    PlanOvertaken,
    /// The group has this epoch.
    GroupFormed(GroupId),
    /// The group was not formed: one of its hosts is in another group or leaving.
    GroupRefused,
    /// Nothing else to tell.
    Noted,
}

impl FleetState {
    /// Applies `command`.
    pub fn apply(&mut self, command: &FleetCommand) -> FleetOutcome {
        match command {
            FleetCommand::PutPlan(plan) => self.put_plan(plan),
            FleetCommand::FormGroup(group) => self.form_group(group),
            FleetCommand::EndGroup(epoch) => {
                self.groups.remove(epoch);
                FleetOutcome::Noted
            }
            FleetCommand::MarkLeaving(id) => self.mark_leaving(id),
            FleetCommand::Announce(records) => {
                records.iter().for_each(|record| self.announce(record));
                FleetOutcome::Noted
            }
            FleetCommand::Forget(ids) => {
                self.endpoints.retain(|id, _| !ids.contains(id));
                FleetOutcome::Noted
            }
            FleetCommand::Quarantine(record) => {
                self.quarantine.add(record);
                FleetOutcome::Noted
            }
            FleetCommand::LiftQuarantine(print) => {
                self.quarantine.lift(*print);
                FleetOutcome::Noted
            }
            FleetCommand::EvacuateZone(zone) => {
                if let Err(place) = self.evacuated.binary_search(zone) {
                    self.evacuated.insert(place, zone.clone());
                }
                FleetOutcome::Noted
            }
            FleetCommand::ReadmitZone(zone) => {
                self.evacuated.retain(|known| known != zone);
                FleetOutcome::Noted
            }
        }
    }

    /// The declaration in force.
    pub fn plan(&self) -> Option<&StoredPlan> {
        self.plan.as_ref()
    }

    /// The groups.
    pub fn groups(&self) -> &SortedTable<GroupId, GroupRecord> {
        &self.groups
    }

    /// The endpoints that have announced themselves.
    ///
    /// Kept in the log so that a new leader knows whom to ask at once: beats come only every
    /// second, and an endpoint whose leader is gone first finds another one.
    pub fn endpoints(&self) -> &SortedTable<IncarnationId, EndpointRecord> {
        &self.endpoints
    }

    /// Requests that are refused since they crash endpoints.
    pub fn quarantine(&self) -> &QuarantineList {
        &self.quarantine
    }

    /// Zones whose endpoints get nothing more, sorted.
    pub fn evacuated(&self) -> &[ZoneName] {
        &self.evacuated
    }

    /// Whether the endpoints of `zone` get nothing more.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuated.binary_search(zone).is_ok()
    }

    /// Endpoints that take no new work, the longest known first.
    pub fn leaving(&self) -> &[IncarnationId] {
        &self.leaving
    }

    /// Endpoints that take no new work, sorted, for many lookups.
    pub fn leaving_by_name(&self) -> Vec<&IncarnationId> {
        let mut leaving: Vec<&IncarnationId> = self.leaving.iter().collect();
        leaving.sort_unstable();
        leaving
    }

    /// Whether the endpoint takes no new work.
    pub fn is_leaving(&self, id: &IncarnationId) -> bool {
        self.leaving.contains(id)
    }

    fn put_plan(&mut self, plan: &StoredPlan) -> FleetOutcome {
        let held = self.plan.as_ref().map_or(0, |held| held.version);
        if self.plan.is_some() && plan.version <= held {
            return FleetOutcome::PlanOvertaken;
        }
        self.plan = Some(plan.clone());
        FleetOutcome::PlanInForce
    }

    fn form_group(&mut self, group: &GroupRecord) -> FleetOutcome {
        let taken = |id: &IncarnationId| {
            self.groups
                .values()
                .any(|other| !other.standby && other.members.iter().any(|host| host.id == *id))
        };
        if group.members.iter().any(|host| taken(&host.id) || self.is_leaving(&host.id)) {
            return FleetOutcome::GroupRefused;
        }
        let joins = |id: &IncarnationId| group.members.iter().any(|host| host.id == *id);
        self.groups
            .retain(|_, other| !(other.standby && other.members.iter().any(|h| joins(&h.id))));
        self.last_epoch += 1;
        let epoch = GroupId(self.last_epoch);
        self.groups.insert(epoch, group.clone());
        FleetOutcome::GroupFormed(epoch)
    }

    fn announce(&mut self, record: &EndpointRecord) {
        if self.endpoints.len() < MAX_ENDPOINTS {
            self.endpoints.insert(record.id.clone(), record.clone());
        }
    }

    fn mark_leaving(&mut self, id: &IncarnationId) -> FleetOutcome {
        if !self.is_leaving(id) {
            self.leaving.push(id.clone());
        }
        let surplus = self.leaving.len().saturating_sub(MAX_LEAVING);
        self.leaving.drain(..surplus);
        FleetOutcome::Noted
    }
}
