//! The state that control hosts replicate through the log: the deployment plan in force, the groups
//! with their epochs, the endpoints that are leaving, the requests in quarantine, and the evacuated
//! availability zones.
//!
//! Every control host applies each [`FleetCommand`] in log order, and the outcome depends on the
//! state alone. Epochs are assigned when the log is applied, so two leaders never assign the same
//! epoch, and an order of an earlier leader always has a lower epoch than those of a later one.

use briartray_model::names::{
    DomainName, GroupId, IncarnationId, PartId, RequestFingerprint, ServiceName, ZoneName,
};
use briartray_model::{SortedTable, plain_value};

mod format;
mod member_index;
mod stored_plan;

pub use format::{STATE_FORMAT, StateError, decode_state, encode_state};
pub use member_index::MemberIndex;
pub use stored_plan::{StoredPlan, UnpackError};

use briartray_quarantine::{PartRecord, QuarantineList, QuarantineRecord};

/// Limit on remembered leaving endpoints. An endpoint leaves within seconds; the limit is far above
/// the number that a fleet of 22,000 hosts takes down in that time (370 a day).
const MAX_LEAVING_ENDPOINTS: usize = 1024;

/// Limit on registered endpoints: twice the design size of 22,000 hosts.
const MAX_ENDPOINTS: usize = 44_000;

plain_value! {
    /// An endpoint that has registered itself.
    pub struct EndpointRecord {
        /// Identifier of its current run; a restart gets a new one.
        pub id: IncarnationId,
        /// Service that it serves.
        pub service: ServiceName,
        /// Address that it listens on.
        pub address: String,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Fabric domain, if it serves in groups.
        pub domain: Option<DomainName>,
        /// Requests that it runs concurrently.
        pub slots: usize,
    }

    /// A host in a group.
    pub struct GroupHost {
        /// Its endpoint.
        pub id: IncarnationId,
        /// Address that the endpoint listens on.
        pub address: String,
    }

    /// A group that was formed and has not ended.
    pub struct GroupRecord {
        /// Service that it serves.
        pub service: ServiceName,
        /// Model that it serves.
        pub model: String,
        /// Fabric domain of its hosts.
        pub domain: DomainName,
        /// Availability zone of its first host.
        pub zone: ZoneName,
        /// Its hosts. Requests go to the first one.
        pub members: Vec<GroupHost>,
        /// Whether it is a single spare host that never serves and only keeps its model warm. A
        /// host whose previous group had the same model joins the next one within a fraction of a
        /// second.
        pub standby: bool,
    }

    /// A change of the state. New variants are added at the end, since the encoding counts them.
    pub enum FleetCommand {
        /// Puts a deployment plan in force, unless its version is not newer than the one in force.
        PutPlan(StoredPlan),
        /// Forms a group and assigns it the next epoch.
        FormGroup(GroupRecord),
        /// Ends a group and frees its hosts.
        EndGroup(GroupId),
        /// Marks an endpoint that accepts no new work.
        MarkLeaving(IncarnationId),
        /// Registers endpoints.
        Announce(Vec<EndpointRecord>),
        /// Removes endpoints.
        Forget(Vec<IncarnationId>),
        /// Puts a request in quarantine: it is refused from now on.
        Quarantine(QuarantineRecord),
        /// Ends the quarantine of a request.
        LiftQuarantine(RequestFingerprint),
        /// Stops sending to the endpoints of a zone.
        EvacuateZone(ZoneName),
        /// Resumes sending to the endpoints of a zone.
        ReadmitZone(ZoneName),
        /// Puts a prompt part in quarantine: requests with it are refused from now on.
        QuarantinePart(PartRecord),
        /// Ends the quarantine of a prompt part.
        LiftPart(PartId),
    }

    /// The whole state that control hosts replicate.
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

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetOutcome {
    /// The deployment plan is now in force.
    PlanInForce,
    /// The version in force is the same or newer; nothing changed.
    PlanOutdated,
    /// The group was formed with this epoch.
    GroupFormed(GroupId),
    /// The group was not formed: one of its hosts is in another group or leaving.
    GroupRejected,
    /// The command was applied and has no further result.
    Applied,
}

impl FleetState {
    /// Applies `command` and returns its outcome.
    pub fn apply(&mut self, command: &FleetCommand) -> FleetOutcome {
        match command {
            FleetCommand::PutPlan(plan) => self.put_plan(plan),
            FleetCommand::FormGroup(group) => self.form_group(group),
            FleetCommand::EndGroup(epoch) => {
                self.groups.remove(epoch);
                FleetOutcome::Applied
            }
            FleetCommand::MarkLeaving(id) => self.mark_leaving(id),
            FleetCommand::Announce(records) => {
                records.iter().for_each(|record| self.announce(record));
                FleetOutcome::Applied
            }
            FleetCommand::Forget(ids) => {
                self.endpoints.retain(|id, _| !ids.contains(id));
                FleetOutcome::Applied
            }
            FleetCommand::Quarantine(record) => {
                self.quarantine.add(record);
                FleetOutcome::Applied
            }
            FleetCommand::LiftQuarantine(fingerprint) => {
                self.quarantine.lift(*fingerprint);
                FleetOutcome::Applied
            }
            FleetCommand::QuarantinePart(record) => {
                self.quarantine.add_part(record);
                FleetOutcome::Applied
            }
            FleetCommand::LiftPart(part) => {
                self.quarantine.lift_part(*part);
                FleetOutcome::Applied
            }
            FleetCommand::EvacuateZone(zone) => {
                if let Err(place) = self.evacuated.binary_search(zone) {
                    self.evacuated.insert(place, zone.clone());
                }
                FleetOutcome::Applied
            }
            FleetCommand::ReadmitZone(zone) => {
                self.evacuated.retain(|known| known != zone);
                FleetOutcome::Applied
            }
        }
    }

    /// Returns the deployment plan in force.
    pub fn plan(&self) -> Option<&StoredPlan> {
        self.plan.as_ref()
    }

    /// Returns the groups by epoch.
    pub fn groups(&self) -> &SortedTable<GroupId, GroupRecord> {
        &self.groups
    }

    /// Returns the endpoints that have registered themselves.
    ///
    /// They are kept in the log so that a new leader can probe all of them at once: heartbeats
    /// arrive only every second, and an endpoint that lost its leader first has to find the new
    /// one.
    pub fn endpoints(&self) -> &SortedTable<IncarnationId, EndpointRecord> {
        &self.endpoints
    }

    /// Returns the requests and prompt parts that are refused because they crash endpoints.
    pub fn quarantine(&self) -> &QuarantineList {
        &self.quarantine
    }

    /// Returns the evacuated zones, sorted.
    pub fn evacuated(&self) -> &[ZoneName] {
        &self.evacuated
    }

    /// Whether `zone` is evacuated: its endpoints get no requests.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuated.binary_search(zone).is_ok()
    }

    /// Returns the endpoints that accept no new work, in the order they were marked.
    pub fn leaving(&self) -> &[IncarnationId] {
        &self.leaving
    }

    /// Returns the endpoints that accept no new work, sorted for binary search.
    pub fn sorted_leaving(&self) -> Vec<&IncarnationId> {
        let mut leaving: Vec<&IncarnationId> = self.leaving.iter().collect();
        leaving.sort_unstable();
        leaving
    }

    /// Whether the endpoint accepts no new work.
    pub fn is_leaving(&self, id: &IncarnationId) -> bool {
        self.leaving.contains(id)
    }

    fn put_plan(&mut self, plan: &StoredPlan) -> FleetOutcome {
        let held = self.plan.as_ref().map_or(0, |held| held.version);
        if self.plan.is_some() && plan.version <= held {
            return FleetOutcome::PlanOutdated;
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
            return FleetOutcome::GroupRejected;
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
        let surplus = self.leaving.len().saturating_sub(MAX_LEAVING_ENDPOINTS);
        self.leaving.drain(..surplus);
        FleetOutcome::Applied
    }
}
