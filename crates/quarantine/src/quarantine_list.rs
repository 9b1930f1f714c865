//! Replicated list of the requests in quarantine.

use briartray_model::names::{IncarnationId, RequestFingerprint, TeamName};
use briartray_model::plain_value;

/// Maximum number of requests in quarantine; a new one replaces the oldest.
const MAX_QUARANTINED: usize = 256;

plain_value! {
    /// A request in quarantine, with the evidence.
    pub struct QuarantineRecord {
        /// Fingerprint of the request.
        pub print: RequestFingerprint,
        /// Rule that applied to the request.
        pub rule: String,
        /// Team of the caller, if known.
        pub team: Option<TeamName>,
        /// Endpoints that crashed while running the request.
        pub endpoints: Vec<IncarnationId>,
    }

    /// A request in quarantine as shown to operators.
    pub struct ShownRecord {
        /// Fingerprint of the request, in text form.
        pub print: String,
        /// Rule that applied to the request.
        pub rule: String,
        /// Team of the caller, if known.
        pub team: Option<TeamName>,
        /// Endpoints that crashed while running the request, in text form.
        pub crashed: Vec<String>,
    }

    /// Requests in quarantine, oldest first.
    #[derive(Default)]
    pub struct QuarantineList {
        records: Vec<QuarantineRecord>,
    }
}

impl QuarantineRecord {
    /// Converts the record for operators.
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
    /// The records, oldest first.
    pub fn records(&self) -> &[QuarantineRecord] {
        &self.records
    }

    /// Whether `fingerprint` is in quarantine.
    pub fn holds(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.iter().any(|record| record.print == fingerprint)
    }

    /// The fingerprints in ascending order.
    pub fn fingerprints(&self) -> Vec<RequestFingerprint> {
        let mut fingerprints: Vec<RequestFingerprint> =
            self.records.iter().map(|record| record.print).collect();
        fingerprints.sort_unstable();
        fingerprints
    }

    /// Adds a request, unless it is already in the list.
    pub fn add(&mut self, record: &QuarantineRecord) {
        if self.holds(record.print) {
            return;
        }
        if self.records.len() == MAX_QUARANTINED {
            self.records.remove(0);
        }
        self.records.push(record.clone());
    }

    /// Removes a request.
    pub fn lift(&mut self, fingerprint: RequestFingerprint) {
        self.records.retain(|record| record.print != fingerprint);
    }
}
