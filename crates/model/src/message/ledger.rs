//! Entry to control: claims for calls that may not be repeated.

use crate::names::{AttemptId, TeamName};

plain_value! {
    /// A key under which a call runs at most once.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ClaimKey {
        /// Team that chose the key.
        pub team: TeamName,
        /// The key itself.
        pub key: String,
    }

    /// What an entry asks of the ledger.
    pub enum LedgerRequest {
        /// Reserve the key before dispatch.
        Claim {
            /// The key.
            key: ClaimKey,
            /// Digest of method, path and body.
            digest: [u8; 32],
            /// The one attempt that may run.
            attempt: AttemptId,
        },
        /// Keep the answer of a claimed call.
        Complete {
            /// The key.
            key: ClaimKey,
            /// The attempt that ran.
            attempt: AttemptId,
            /// Its answer.
            answer: KeptAnswer,
        },
        /// Give the key back: the attempt was proved not to have run.
        Release {
            /// The key.
            key: ClaimKey,
            /// The attempt that did not run.
            attempt: AttemptId,
        },
    }

    /// What the ledger answers.
    pub enum LedgerReply {
        /// The key is yours; dispatch once.
        Claimed,
        /// The call ran before; this is its answer.
        Answered(KeptAnswer),
        /// The call was claimed before and its answer is not known.
        Pending {
            /// The attempt that holds the key.
            attempt: AttemptId,
        },
        /// The key was used with another body.
        Mismatch,
        /// The change is recorded.
        Recorded,
        /// No majority of control hosts answers; nothing was recorded for certain.
        Unavailable,
        /// The ledger holds as many claims as it may.
        Full,
    }

    /// The answer of a call that ran once.
    pub struct KeptAnswer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Body, bounded by the ledger's limit.
        pub body: Vec<u8>,
    }
}
