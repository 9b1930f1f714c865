//! Runs that say something about their requests, and the requests that are refused for it.

use crate::names::{IncarnationId, RequestFingerprint, TeamName, TermNumber};

plain_choice! {
    /// Which view of a leader somebody holds: the leader's term, and the number of the view in that term.
    #[derive(Default)]
    pub struct ViewVersion {
        /// Term of the leader that made it.
        pub term: TermNumber,
        /// Its number in the term.
        pub number: u64,
    }
}

plain_value! {
    /// How a run ended, as far as it says something about the request.
    pub enum RunEnd {
        /// The endpoint crashed while the request ran there.
        Crashed {
            /// The endpoint.
            endpoint: IncarnationId,
            /// Time for which the request was there, in milliseconds.
            ran_ms: u64,
            /// Rule that the request came under, for operators.
            rule: String,
            /// Team of its caller, for operators.
            team: Option<TeamName>,
        },
        /// It ran to its end.
        Whole,
    }

    /// One run that an entry reports.
    pub struct RunEvent {
        /// The request.
        pub print: RequestFingerprint,
        /// Time since the run ended, in milliseconds.
        pub age_ms: u64,
        /// How it ended.
        pub end: RunEnd,
    }

    /// What entries are told of the quarantine.
    #[derive(Default)]
    pub struct FingerprintView {
        /// Which view this is.
        pub version: ViewVersion,
        /// Requests that are refused, in order.
        pub quarantined: Vec<RequestFingerprint>,
        /// Requests that may have to be quarantined, in order.
        pub suspects: Vec<RequestFingerprint>,
    }
}
