//! The requests that control hosts have agreed to refuse.

use briartray_model::names::{IncarnationId, RequestPrint, TeamName};
use briartray_model::plain_value;

/// Requests that are in quarantine at one time; the oldest makes room for a new one.
const MAX_QUARANTINED: usize = 256;

plain_value! {
    /// A request in quarantine, and why.
    pub struct QuarantineRecord {
        /// The request.
        pub print: RequestPrint,
        /// Rule that it came under.
        pub rule: String,
        /// Team of its caller, where it is known.
        pub team: Option<TeamName>,
        /// Endpoints that crashed under it.
        pub endpoints: Vec<IncarnationId>,
    }

    /// A request in quarantine as operators see it.
    pub struct ShownRecord {
        /// The request.
        pub print: String,
        /// Rule that it came under.
        pub rule: String,
        /// Team of its caller, where it is known.
        pub team: Option<TeamName>,
        /// Endpoints that crashed under it.
        pub crashed: Vec<String>,
    }

    /// Requests in quarantine, the oldest first.
    #[derive(Default)]
    pub struct QuarantineList {
        records: Vec<QuarantineRecord>,
    }
}

impl QuarantineRecord {
    /// The record as operators see it.
    pub fn shown(&self) -> ShownRecord {
        ShownRecord {
            print: self.print.to_string(),
            rule: self.rule.clone(),
            team: self.team.clone(),
            crashed: self.endpoints.iter().map(ToString::to_string).collect(),
        }
    }
}

impl QuarantineList {
    /// The requests, the oldest first.
    pub fn records(&self) -> &[QuarantineRecord] {
        &self.records
    }

    /// Whether `print` is in quarantine.
    pub fn holds(&self, print: RequestPrint) -> bool {
        self.records.iter().any(|record| record.print == print)
    }

    /// The prints, in order.
    pub fn prints(&self) -> Vec<RequestPrint> {
        let mut prints: Vec<RequestPrint> =
            self.records.iter().map(|record| record.print).collect();
        prints.sort_unstable();
        prints
    }

    /// Adds a request, unless it is there.
    pub fn add(&mut self, record: &QuarantineRecord) {
        if self.holds(record.print) {
            return;
        }
        if self.records.len() == MAX_QUARANTINED {
            self.records.remove(0);
        }
        self.records.push(record.clone());
    }

    /// Lets a request out.
    pub fn lift(&mut self, print: RequestPrint) {
        self.records.retain(|record| record.print != print);
    }
}
