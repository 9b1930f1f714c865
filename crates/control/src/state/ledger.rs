//! Calls that may not be repeated: each key is claimed once, for good.

use briartray_model::SortedTable;
use briartray_model::message::{ClaimKey, KeptAnswer, LedgerReply, LedgerRequest};
use briartray_model::names::AttemptId;
use serde::{Deserialize, Serialize};

/// Claims that the ledger holds at most.
const MAX_CLAIMS: usize = 1_000_000;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimRecord {
    digest: [u8; 32],
    attempt: AttemptId,
    answer: Option<KeptAnswer>,
}

/// The ledger aggregate.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ClaimLedger {
    claims: SortedTable<ClaimKey, ClaimRecord>,
}

impl ClaimLedger {
    /// Claims that are held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies one request.
    pub fn apply(&mut self, request: &LedgerRequest) -> LedgerReply {
        match request {
            LedgerRequest::Claim { key, digest, attempt } => self.claim(key, digest, *attempt),
            LedgerRequest::Complete { key, attempt, answer } => {
                self.complete(key, *attempt, answer)
            }
            LedgerRequest::Release { key, attempt } => self.release(key, *attempt),
        }
    }

    fn claim(&mut self, key: &ClaimKey, digest: &[u8; 32], attempt: AttemptId) -> LedgerReply {
        if let Some(record) = self.claims.get(key) {
            return match &record.answer {
                _ if record.digest != *digest => LedgerReply::Mismatch,
                Some(answer) => LedgerReply::Answered(answer.clone()),
                // The claim's own reply was lost and is asked for again.
                None if record.attempt == attempt => LedgerReply::Claimed,
                None => LedgerReply::Pending { attempt: record.attempt },
            };
        }
        if self.claims.len() >= MAX_CLAIMS {
            return LedgerReply::Full;
        }
        let record = ClaimRecord { digest: *digest, attempt, answer: None };
        self.claims.insert(key.clone(), record);
        LedgerReply::Claimed
    }

    fn complete(&mut self, key: &ClaimKey, attempt: AttemptId, answer: &KeptAnswer) -> LedgerReply {
        if let Some(record) = self.claims.get_mut(key)
            && record.attempt == attempt
            && record.answer.is_none()
        {
            record.answer = Some(answer.clone());
        }
        LedgerReply::Recorded
    }

    fn release(&mut self, key: &ClaimKey, attempt: AttemptId) -> LedgerReply {
        let held = self.claims.get(key);
        if held.is_some_and(|record| record.attempt == attempt && record.answer.is_none()) {
            self.claims.remove(key);
        }
        LedgerReply::Recorded
    }
}
