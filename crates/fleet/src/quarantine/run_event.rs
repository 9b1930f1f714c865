//! What entries and the leader tell each other of runs and of the quarantine.

use briartray_model::names::{IncarnationId, RequestPrint, TeamName};
use briartray_model::plain_value;

use crate::message::ViewVersion;

plain_value! {
    /// How a run ended, as far as it says something about the request.
    pub enum RunEnd {
        /// The endpoint crashed while the request ran there.
        Crashed {
            /// The endpoint.
            endpoint: IncarnationId,
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
        pub print: RequestPrint,
        /// Time since the run ended, in milliseconds.
        pub age_ms: u64,
        /// How it ended.
        pub end: RunEnd,
    }

    /// What entries are told of the quarantine.
    #[derive(Default)]
    pub struct PrintView {
        /// Which view this is.
        pub version: ViewVersion,
        /// Requests that are refused, in order.
        pub quarantined: Vec<RequestPrint>,
        /// Requests that may have to be quarantined, in order.
        pub suspects: Vec<RequestPrint>,
    }
}
