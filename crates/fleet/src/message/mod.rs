//! Messages between entries and control hosts, and between control hosts.

mod view;
mod view_history;

use briartray_model::message::{
    AllowanceGrant, AllowanceReport, FingerprintView, PartCompletion, RunEvent,
};
use briartray_model::names::{GroupId, IncarnationId, NodeName, ServiceName, TermNumber};
use briartray_model::plain_value;

pub use briartray_model::message::ViewVersion;

pub use self::view::{EndpointView, FleetView, GroupView, ViewUpdate};
pub use self::view_history::ViewHistory;

use crate::limit::{EndpointGrant, LimitReport};
use crate::state::StoredPlan;

plain_value! {
    /// What an entry observed of one group since its previous report.
    pub struct GroupActivity {
        /// The group.
        pub group: GroupId,
        /// Time since this entry received the group's last byte, in milliseconds; `None` if it
        /// received none.
        pub quiet_ms: Option<u64>,
        /// Requests of this entry that the group has not finished.
        pub running: u32,
        /// Whether this entry has stopped sending to the group because the group does not respond.
        pub suspect: bool,
        /// Time to prefill this entry's prompts there that have no first event yet, in milliseconds.
        pub unread_ms: u32,
    }

    /// Requests on one group, without those of the entry that receives this message.
    pub struct GroupLoad {
        /// The group.
        pub group: GroupId,
        /// Requests that all other entries have on the group.
        pub others: u32,
        /// Time to prefill the prompts of all other entries there that have no first event yet, in
        /// milliseconds.
        pub unread_ms: u32,
    }

    /// Part of the free capacity of a model's groups that one entry may fill.
    pub struct DemandShare {
        /// The service.
        pub service: ServiceName,
        /// The model.
        pub model: String,
        /// The part, in thousandths.
        pub permille: u16,
    }

    /// Work that callers requested of one model since the previous report.
    pub struct ModelDemand {
        /// The service.
        pub service: ServiceName,
        /// The model.
        pub model: String,
        /// Totals of the requested work.
        pub sum: WorkSum,
    }

    /// Totals over the work of several requests.
    #[derive(Copy, Default)]
    pub struct WorkSum {
        /// Time that one group needs for the work, in milliseconds.
        pub work_ms: f64,
        /// Number of requests.
        pub requests: f64,
        /// Time to prefill the prompts, in milliseconds.
        pub reading_ms: f64,
        /// Sum of the squared prefill times, in square milliseconds; shows how much prompts differ.
        pub reading_squares: f64,
        /// Estimated number of events in the answers.
        pub events: f64,
        /// Sum of the callers' targets for the time to the first part of an answer, in
        /// milliseconds.
        pub target_ms: f64,
        /// Sum of the callers' targets for the longest gap between events, in milliseconds.
        pub gap_ms: f64,
    }

    /// Report of an entry: what it observed, and which versions it holds. The leader answers with
    /// what is newer.
    pub struct EntryReport {
        /// The entry.
        pub node: NodeName,
        /// Number that the answer repeats. The lease of the entry runs from when the report with
        /// this number was sent.
        pub nonce: u64,
        /// Version of the deployment plan that the entry holds.
        pub plan: Option<u64>,
        /// Version of the fleet view that the entry holds.
        pub view: ViewVersion,
        /// Whether that view is complete: its leader had heard from all endpoints.
        pub settled: bool,
        /// Observations of the groups.
        pub pulses: Vec<GroupActivity>,
        /// Work that callers requested.
        pub demand: Vec<ModelDemand>,
        /// Whether any caller has sent a request to this entry yet.
        pub serving: bool,
        /// Version of the quarantine list that the entry holds.
        pub prints: ViewVersion,
        /// Attempts whose outcome is evidence for or against quarantine of a request.
        pub runs: Vec<RunEvent>,
        /// Endpoints that advertise a rate limit.
        pub limits: Vec<LimitReport>,
        /// Last completed runs of suspected prompt parts.
        pub whole_parts: Vec<PartCompletion>,
        /// Use of the retry allowance.
        pub retries: AllowanceReport,
    }

    /// Answer of a control host to a report, or an update that it sends on its own.
    #[derive(Default)]
    pub struct EntryNotice {
        /// Nonce of the report after which a majority confirmed the leader; `None` in an
        /// unsolicited update.
        pub nonce: Option<u64>,
        /// The deployment plan, if the entry holds an older one.
        pub plan: Option<StoredPlan>,
        /// Update of the fleet view, if the entry holds another version. An entry with a complete
        /// view gets no partial one.
        pub view: Option<ViewUpdate>,
        /// Update of the quarantine list, if the entry holds another version.
        pub prints: Option<FingerprintView>,
        /// Rate-limited endpoints with this entry's shares; only in answers to reports.
        pub limits: Vec<EndpointGrant>,
        /// This entry's shares of the retry allowance; only in answers to reports.
        pub retries: Vec<AllowanceGrant>,
        /// Requests of the other entries on each group, from their latest reports; only in answers
        /// to reports.
        pub loads: Vec<GroupLoad>,
        /// Shares of this entry by demand; only in answers to reports, and only for services with
        /// admission by latency. An entry without a share uses an equal one.
        pub shares: Vec<DemandShare>,
        /// Endpoints that accept no new work, even if the fleet view lists them.
        pub leaving: Vec<IncarnationId>,
        /// Known control hosts.
        pub control: Vec<NodeName>,
        /// The leader, if the sender is not the leader.
        pub leader: Option<NodeName>,
        /// Whether the sender is the leader.
        pub leads: bool,
    }

    /// Information that a control host sends to the other control hosts about itself.
    pub struct HostHello {
        /// The control host.
        pub node: NodeName,
        /// Whether it has a disk and may therefore vote.
        pub has_disk: bool,
        /// Whether its data folder already holds a log or snapshot of a cluster.
        pub founded: bool,
        /// The leader that it knows of, with the leader's term.
        pub leader: Option<LeaderHint>,
        /// Other control hosts that it heard of recently.
        pub known: Vec<NodeName>,
    }

    /// A leader and its term, which may be out of date.
    pub struct LeaderHint {
        /// Term of the leader.
        pub term: TermNumber,
        /// The leader.
        pub node: NodeName,
    }
}

impl WorkSum {
    /// Adds the totals of `other`.
    pub fn add(&mut self, other: &Self) {
        self.work_ms += other.work_ms;
        self.requests += other.requests;
        self.reading_ms += other.reading_ms;
        self.events += other.events;
        self.target_ms += other.target_ms;
        self.reading_squares += other.reading_squares;
        self.gap_ms += other.gap_ms;
    }

    /// Returns all totals multiplied by `factor`.
    pub fn times(&self, factor: f64) -> Self {
        Self {
            work_ms: self.work_ms * factor,
            requests: self.requests * factor,
            reading_ms: self.reading_ms * factor,
            events: self.events * factor,
            target_ms: self.target_ms * factor,
            reading_squares: self.reading_squares * factor,
            gap_ms: self.gap_ms * factor,
        }
    }
}
