//! Entry to control: claims for calls that may not be repeated.

use sha2::{Digest, Sha256};

use super::CallTarget;
use crate::names::{AttemptId, TeamName};

/// Longest key that a caller may choose, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Largest answer that the ledger keeps, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 32 * 1024;

plain_value! {
    /// A key under which a call runs at most once.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ClaimKey {
        /// Team that chose the key.
        pub team: TeamName,
        /// The key itself.
        pub key: String,
    }

    /// One request on a ledger stream; many may be in flight.
    pub struct LedgerCall {
        /// Pairs the answer with this call; unique on its stream.
        pub number: u64,
        /// What is asked.
        pub request: LedgerRequest,
    }

    /// Answer to one [`LedgerCall`].
    pub struct LedgerAnswer {
        /// The call's number.
        pub number: u64,
        /// What the ledger says.
        pub reply: LedgerReply,
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
            /// Its answer; none when it is too large to keep.
            answer: Option<KeptAnswer>,
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
        /// The call ran before; its answer is not kept.
        AnswerNotKept,
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
        pub body: KeptBody,
    }

    /// Body of a kept answer.
    pub enum KeptBody {
        /// One body.
        Whole(Vec<u8>),
        /// The events of a stream that came with its end mark.
        Events(Vec<Vec<u8>>),
    }
}

impl KeptAnswer {
    /// Bytes that the answer takes.
    pub fn size(&self) -> usize {
        let body = match &self.body {
            KeptBody::Whole(body) => body.len(),
            KeptBody::Events(events) => events.iter().map(Vec::len).sum(),
        };
        body + self.content_type.len()
    }
}

/// Digest of what a key stands for: method, path with query, and body.
pub fn call_digest(target: &CallTarget, body: &[u8]) -> [u8; 32] {
    let mut digest = Sha256::new();
    // Each part is preceded by its length, so that no two calls run into the same bytes.
    for part in [target.method.as_bytes(), target.path.as_bytes(), body] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}
