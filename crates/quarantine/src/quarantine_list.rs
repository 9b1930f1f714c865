//! Replicated list of the requests and prompt parts in quarantine.

use briartray_model::names::{IncarnationId, PartId, RequestFingerprint, TeamName};
use briartray_model::{plain_choice, plain_value};

/// Maximum number of requests, and of prompt parts, in quarantine; a new one replaces the oldest.
const MAX_QUARANTINED: usize = 256;

plain_choice! {
    /// What a record of the quarantine refuses.
    pub enum QuarantineKind {
        /// All copies of one request.
        Request,
        /// All requests that share one part of their prompts.
        PromptPart,
    }
}

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

    /// A prompt part in quarantine, with the evidence.
    pub struct PartRecord {
        /// Id of the part.
        pub part: PartId,
        /// Rule that applied to the last request with the part.
        pub rule: String,
        /// Team of that request's caller, if known.
        pub team: Option<TeamName>,
        /// Endpoints that crashed while running requests with the part.
        pub endpoints: Vec<IncarnationId>,
    }

    /// A record of the quarantine as shown to operators.
    pub struct ShownRecord {
        /// What is refused.
        pub kind: QuarantineKind,
        /// Fingerprint of the request or id of the part, in text form.
        pub print: String,
        /// Rule that applied to the request.
        pub rule: String,
        /// Team of the caller, if known.
        pub team: Option<TeamName>,
        /// Endpoints that crashed while running the request, in text form.
        pub crashed: Vec<String>,
    }

    /// Requests and prompt parts in quarantine, oldest first.
    #[derive(Default)]
    pub struct QuarantineList {
        records: Vec<QuarantineRecord>,
        parts: Vec<PartRecord>,
    }
}

impl QuarantineRecord {
    /// Converts the record for operators.
    pub fn shown(&self) -> ShownRecord {
        let Self { print, rule, team, endpoints } = self;
        shown(QuarantineKind::Request, print.to_string(), rule, team.as_ref(), endpoints)
    }
}

impl PartRecord {
    /// Converts the record for operators.
    pub fn shown(&self) -> ShownRecord {
        let Self { part, rule, team, endpoints } = self;
        shown(QuarantineKind::PromptPart, part.to_string(), rule, team.as_ref(), endpoints)
    }
}

fn shown(
    kind: QuarantineKind,
    print: String,
    rule: &str,
    team: Option<&TeamName>,
    endpoints: &[IncarnationId],
) -> ShownRecord {
    let crashed = endpoints.iter().map(ToString::to_string).collect();
    ShownRecord { kind, print, rule: rule.to_owned(), team: team.cloned(), crashed }
}

impl QuarantineList {
    /// Creates a list of requests, without prompt parts.
    pub fn of_requests(records: Vec<QuarantineRecord>) -> Self {
        Self { records, parts: Vec::new() }
    }

    /// The records of requests, oldest first.
    pub fn records(&self) -> &[QuarantineRecord] {
        &self.records
    }

    /// The records of prompt parts, oldest first.
    pub fn parts(&self) -> &[PartRecord] {
        &self.parts
    }

    /// All records as shown to operators: requests, then prompt parts.
    pub fn shown(&self) -> Vec<ShownRecord> {
        let requests = self.records.iter().map(QuarantineRecord::shown);
        requests.chain(self.parts.iter().map(PartRecord::shown)).collect()
    }

    /// Whether the request with `fingerprint` is in quarantine.
    pub fn holds(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.iter().any(|record| record.print == fingerprint)
    }

    /// Whether `part` is in quarantine.
    pub fn holds_part(&self, part: PartId) -> bool {
        self.parts.iter().any(|record| record.part == part)
    }

    /// The fingerprints in ascending order.
    pub fn fingerprints(&self) -> Vec<RequestFingerprint> {
        let mut fingerprints: Vec<RequestFingerprint> =
            self.records.iter().map(|record| record.print).collect();
        fingerprints.sort_unstable();
        fingerprints
    }

    /// The ids of the prompt parts in ascending order.
    pub fn part_ids(&self) -> Vec<PartId> {
        let mut parts: Vec<PartId> = self.parts.iter().map(|record| record.part).collect();
        parts.sort_unstable();
        parts
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

    /// Adds a prompt part, unless it is already in the list.
    pub fn add_part(&mut self, record: &PartRecord) {
        if self.holds_part(record.part) {
            return;
        }
        if self.parts.len() == MAX_QUARANTINED {
            self.parts.remove(0);
        }
        self.parts.push(record.clone());
    }

    /// Removes a request.
    pub fn lift(&mut self, fingerprint: RequestFingerprint) {
        self.records.retain(|record| record.print != fingerprint);
    }

    /// Removes a prompt part.
    pub fn lift_part(&mut self, part: PartId) {
        self.parts.retain(|record| record.part != part);
    }
}
