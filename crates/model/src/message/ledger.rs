//! Entry to control: claims for calls that must run at most once.

use sha2::{Digest, Sha256};

use super::CallTarget;
use crate::names::{AttemptId, TeamName};

/// Longest idempotency key that a caller may send, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Largest answer that the ledger stores, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 32 * 1024;

plain_value! {
    /// An idempotency key; the calls with one key run at most once.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ClaimKey {
        /// Team whose caller sent the key.
        pub team: TeamName,
        /// The key itself.
        pub key: String,
    }

    /// One request on a ledger stream; many may be in flight.
    pub struct LedgerCall {
        /// Matches the answer to this call; unique on its stream.
        pub number: u64,
        /// The request.
        pub request: LedgerRequest,
    }

    /// Answer to one [`LedgerCall`].
    pub struct LedgerAnswer {
        /// The call's number.
        pub number: u64,
        /// The ledger's reply.
        pub reply: LedgerReply,
    }

    /// A request from an entry to the ledger.
    pub enum LedgerRequest {
        /// Reserve the key before dispatch.
        Claim {
            /// The key.
            key: ClaimKey,
            /// Digest of method, path and body.
            digest: [u8; 32],
            /// The only attempt that may run.
            attempt: AttemptId,
        },
        /// Store the answer of a claimed call.
        Complete {
            /// The key.
            key: ClaimKey,
            /// The attempt that ran.
            attempt: AttemptId,
            /// Its answer; `None` when it is too large to store.
            answer: Option<KeptAnswer>,
        },
        /// Release the key: it is certain that the attempt did not run.
        Release {
            /// The key.
            key: ClaimKey,
            /// The attempt that did not run.
            attempt: AttemptId,
        },
    }

    /// A reply from the ledger.
    pub enum LedgerReply {
        /// The key is reserved for this attempt; dispatch it once.
        Claimed,
        /// The call has already run; this is its answer.
        Answered(KeptAnswer),
        /// The call has already run, but its answer was not stored.
        AnswerNotKept,
        /// The call was already claimed, and its answer is not known.
        Pending {
            /// The attempt that holds the key.
            attempt: AttemptId,
        },
        /// The key was already used for a call with another digest.
        Mismatch,
        /// The change is recorded.
        Recorded,
        /// No majority of control hosts answered; the change may or may not be recorded.
        Unavailable,
        /// The ledger is at its limit of claims.
        Full,
    }

    /// The stored answer of a call.
    pub struct KeptAnswer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Body; the answer is at most [`MAX_KEPT_ANSWER_BYTES`] in size.
        pub body: KeptBody,
    }

    /// Body of a stored answer.
    pub enum KeptBody {
        /// One body.
        Whole(Vec<u8>),
        /// The events of a stream that was received up to its end marker.
        Events(Vec<Vec<u8>>),
    }
}

impl KeptAnswer {
    /// Size of body and content type, in bytes.
    pub fn size(&self) -> usize {
        let body = match &self.body {
            KeptBody::Whole(body) => body.len(),
            KeptBody::Events(events) => events.iter().map(Vec::len).sum(),
        };
        body + self.content_type.len()
    }
}

/// SHA-256 digest of a call's method, path with query, and body.
pub fn call_digest(target: &CallTarget, body: &[u8]) -> [u8; 32] {
    let mut digest = Sha256::new();
    // The length before each part keeps different calls from hashing the same bytes.
    for part in [target.method.as_bytes(), target.path.as_bytes(), body] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}
