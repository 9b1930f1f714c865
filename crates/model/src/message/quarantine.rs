//! Quarantine: reports of runs during which an endpoint crashed or that completed, and the
//! requests that are refused because they crash endpoints.

use crate::names::{IncarnationId, RequestFingerprint, TeamName, TermNumber};

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
    }
}
