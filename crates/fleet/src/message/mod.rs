//! What entries and control hosts tell each other.

mod view;
mod view_history;

use briartray_model::message::{PrintView, RunEvent};
use briartray_model::names::{GroupId, IncarnationId, NodeName, ServiceName, TermNumber};
use briartray_model::plain_value;

pub use briartray_model::message::ViewVersion;

pub use self::view::{EndpointView, FleetView, GroupView, ViewUpdate};
pub use self::view_history::ViewHistory;

use crate::limit::{EndpointGrant, LimitReport};
use crate::state::StoredPlan;

plain_value! {
    /// What an entry saw of one group since its last report.
    pub struct GroupPulse {
        /// The group.
        pub group: GroupId,
        /// Time since its last byte here, in milliseconds; `None` without any.
        pub quiet_ms: Option<u64>,
        /// Requests of this entry that wait on it.
        pub running: u32,
        /// Whether this entry has stopped sending to it because it does not answer.
        pub suspect: bool,
    }

    /// Requests on one group that are not the reader's own.
    pub struct GroupLoad {
        /// The group.
        pub group: GroupId,
        /// Requests that all other entries have there.
        pub others: u32,
    }

    /// How much of a model callers asked for since the last report.
    pub struct ModelDemand {
        /// The service.
        pub service: ServiceName,
        /// The model.
        pub model: String,
        /// What was asked for.
        pub sum: WorkSum,
    }

    /// Work of several requests, added up.
    #[derive(Copy, Default)]
    pub struct WorkSum {
        /// Time of one group's work, in milliseconds.
        pub work_ms: f64,
        /// Requests.
        pub requests: f64,
        /// Time to read their prompts, in milliseconds.
        pub reading_ms: f64,
        /// Squares of these times, in square milliseconds: they tell how much prompts differ.
        pub reading_squares: f64,
        /// Events of their answers, as far as can be told ahead.
        pub events: f64,
        /// Time to the first part that their callers expect, in milliseconds.
        pub target_ms: f64,
        /// Longest pause between events that their callers expect, in milliseconds.
        pub gap_ms: f64,
    }

    /// An entry asks for the newest state, and tells what it sees.
    pub struct EntryReport {
        /// The entry.
        pub node: NodeName,
        /// Echoed in the answer, which starts the lease at the time this was sent.
        pub nonce: u64,
        /// Version of the declaration it holds.
        pub plan: Option<u64>,
        /// View it holds.
        pub view: ViewVersion,
        /// Whether that is a view of a leader which had heard of all endpoints.
        pub settled: bool,
        /// What it saw of the groups.
        pub pulses: Vec<GroupPulse>,
        /// What callers asked for.
        pub demand: Vec<ModelDemand>,
        /// Whether any caller asked for anything yet.
        pub serving: bool,
        /// View of the quarantine that it holds.
        pub prints: ViewVersion,
        /// Runs that say something about their requests.
        pub runs: Vec<RunEvent>,
        /// Endpoints that name a limit.
        pub limits: Vec<LimitReport>,
    }

    /// A control host's answer to a report, or news that it sends unasked.
    #[derive(Default)]
    pub struct EntryNotice {
        /// Nonce of the report that a majority has confirmed the leader after; `None` in news.
        pub nonce: Option<u64>,
        /// The declaration, when the entry holds an older one.
        pub plan: Option<StoredPlan>,
        /// What has changed of the view, when the entry holds another one and the leader knows the fleet.
        pub view: Option<ViewUpdate>,
        /// The quarantine, when the entry holds another view of it.
        pub prints: Option<PrintView>,
        /// Endpoints that name a limit, with this entry's shares; in answers to reports only.
        pub limits: Vec<EndpointGrant>,
        /// What the other entries have on the groups, by their last reports; in answers to reports only.
        pub loads: Vec<GroupLoad>,
        /// Endpoints that take no new work, whatever the view says.
        pub leaving: Vec<IncarnationId>,
        /// Where control hosts can be found.
        pub control: Vec<NodeName>,
        /// Who leads, when the sender does not.
        pub leader: Option<NodeName>,
        /// Whether the sender leads.
        pub leads: bool,
    }

    /// What one control host tells the others about itself.
    pub struct HostHello {
        /// The control host.
        pub node: NodeName,
        /// Whether it has a disk and so may vote.
        pub has_disk: bool,
        /// Whether its folder has a past.
        pub founded: bool,
        /// The leader it knows, with the term.
        pub leader: Option<LeaderHint>,
        /// Other control hosts that it heard of lately.
        pub known: Vec<NodeName>,
    }

    /// Who leads, as far as somebody knows.
    pub struct LeaderHint {
        /// Its term.
        pub term: TermNumber,
        /// The leader.
        pub node: NodeName,
    }
}

impl WorkSum {
    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.work_ms += other.work_ms;
        self.requests += other.requests;
        self.reading_ms += other.reading_ms;
        self.events += other.events;
        self.target_ms += other.target_ms;
        self.reading_squares += other.reading_squares;
        self.gap_ms += other.gap_ms;
    }

    /// Every part of it, `factor` times.
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
