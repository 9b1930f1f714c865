//! Quarantine: reports of runs during which an endpoint crashed or that completed, and the
//! requests and prompt parts that are refused because they crash endpoints.

use crate::names::{IncarnationId, PartId, RequestFingerprint, TeamName, TermNumber};

plain_choice! {
    /// Version of a quarantine view: the term of the leader that created it, and its number in that
    /// term.
    #[derive(Default)]
    pub struct ViewVersion {
        /// Term of the leader that created the view.
        pub term: TermNumber,
        /// Number of the view in the term.
        pub number: u64,
    }
}

plain_value! {
    /// How a run ended, where that shows whether the request crashes endpoints.
    pub enum RunEnd {
        /// The endpoint crashed while the request ran there.
        Crashed {
            /// The endpoint.
            endpoint: IncarnationId,
            /// Time for which the request was at the endpoint, in milliseconds.
            ran_ms: u64,
            /// Rule that admitted the request, shown to operators.
            rule: String,
            /// Team of its caller, shown to operators.
            team: Option<TeamName>,
        },
        /// The run completed.
        Whole,
    }

    /// One run that an entry reports.
    pub struct RunEvent {
        /// Fingerprint of the request.
        pub print: RequestFingerprint,
        /// Time since the run ended, in milliseconds.
        pub age_ms: u64,
        /// How the run ended.
        pub end: RunEnd,
        /// Parts of its prompt that other requests may share, in order; empty for a completed run.
        pub parts: Vec<PartId>,
    }

    /// The last completed run of a suspected prompt part at one entry.
    pub struct PartCompletion {
        /// The part.
        pub part: PartId,
        /// Time since the run ended, in milliseconds.
        pub age_ms: u64,
    }

    /// The quarantine as sent to entries.
    #[derive(Default)]
    pub struct FingerprintView {
        /// Version of this view.
        pub version: ViewVersion,
        /// Requests that are refused, in ascending order.
        pub quarantined: Vec<RequestFingerprint>,
        /// Requests that are suspected and may be quarantined, in ascending order.
        pub suspects: Vec<RequestFingerprint>,
        /// Prompt parts whose requests are refused, in ascending order.
        pub quarantined_parts: Vec<PartId>,
        /// Prompt parts that are suspected and may be quarantined, in ascending order.
        pub suspected_parts: Vec<PartId>,
    }
}
