//! Claims of calls that must run at most once: each idempotency key can be claimed once.
//!
//! Claims do not expire. Memory is bounded by rejecting new claims when the ledger is full and by
//! keeping only the newest answers. An operator may remove the oldest claims whose outcome is
//! known.

use std::collections::VecDeque;

use briartray_model::SortedTable;
use briartray_model::message::{
    ClaimKey, KeptAnswer, LedgerReply, LedgerRequest, MAX_KEPT_ANSWER_BYTES,
};
use briartray_model::names::AttemptId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum number of claims in the ledger.
pub const MAX_CLAIMS: usize = 500_000;

/// Maximum total size of kept answers, in bytes; the oldest answers are evicted first.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Number of shards; an insertion moves only the claims of one shard.
const SHARD_COUNT: usize = 1024;

/// Hash of team and key, so that long keys take no more memory than short ones.
type ClaimId = [u8; 32];

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ClaimState {
    /// Claimed; it is unknown whether the call ran.
    Pending,
    /// The call ran; its answer is kept.
    Answered(KeptAnswer),
    /// The call ran; its answer was too large or has been evicted.
    Settled,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimRecord {
    /// Sequence number of the claim.
    order: u64,
    digest: [u8; 32],
    attempt: AttemptId,
    state: ClaimState,
}

/// All claims with their outcomes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ClaimLedger {
    shards: Vec<SortedTable<ClaimId, ClaimRecord>>,
    count: usize,
    last_order: u64,
    /// Claims whose answer is kept, in order of completion.
    kept: VecDeque<ClaimId>,
    kept_bytes: usize,
}

impl ClaimLedger {
    /// Number of claims in the ledger.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the ledger holds no claim.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Total size of kept answers, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Applies one request.
    pub fn apply(&mut self, request: &LedgerRequest) -> LedgerReply {
        match request {
            LedgerRequest::Claim { key, digest, attempt } => self.claim(key, digest, *attempt),
            LedgerRequest::Complete { key, attempt, answer } => {
                self.complete(key, *attempt, answer.as_ref())
            }
            LedgerRequest::Release { key, attempt } => self.release(key, *attempt),
        }
    }

    /// Removes claims whose outcome is known, except the `keep` newest claims; returns their
    /// number. A call whose key was removed could run again, so only an operator may request this.
    pub fn forget(&mut self, keep: u64) -> usize {
        let oldest_kept = self.last_order.saturating_sub(keep);
        let before = self.count;
        for shard in &mut self.shards {
            shard.retain(|_, record| {
                record.order > oldest_kept || record.state == ClaimState::Pending
            });
        }
        self.count = self.shards.iter().map(SortedTable::len).sum();
        let kept = std::mem::take(&mut self.kept);
        self.kept = kept.into_iter().filter(|id| self.record(id).is_some()).collect();
        self.kept_bytes = self.kept.iter().map(|id| self.answer_size(id)).sum();
        before - self.count
    }

    fn claim(&mut self, key: &ClaimKey, digest: &[u8; 32], attempt: AttemptId) -> LedgerReply {
        let id = claim_id(key);
        if let Some(record) = self.record(&id) {
            return match &record.state {
                _ if record.digest != *digest => LedgerReply::Mismatch,
                ClaimState::Answered(answer) => LedgerReply::Answered(answer.clone()),
                ClaimState::Settled => LedgerReply::AnswerNotKept,
                // The reply to this claim was lost, and the same attempt asks again.
                ClaimState::Pending if record.attempt == attempt => LedgerReply::Claimed,
                ClaimState::Pending => LedgerReply::Pending { attempt: record.attempt },
            };
        }
        if self.count >= MAX_CLAIMS {
            return LedgerReply::Full;
        }
        self.last_order += 1;
        self.count += 1;
        let order = self.last_order;
        let record = ClaimRecord { order, digest: *digest, attempt, state: ClaimState::Pending };
        self.shard_mut(&id).insert(id, record);
        LedgerReply::Claimed
    }

    fn complete(
        &mut self,
        key: &ClaimKey,
        attempt: AttemptId,
        answer: Option<&KeptAnswer>,
    ) -> LedgerReply {
        let id = claim_id(key);
        let Some(record) = self.shard_mut(&id).get_mut(&id) else { return LedgerReply::Recorded };
        if record.attempt != attempt || record.state != ClaimState::Pending {
            return LedgerReply::Recorded;
        }
        match answer.filter(|answer| answer.size() <= MAX_KEPT_ANSWER_BYTES) {
            None => record.state = ClaimState::Settled,
            Some(answer) => {
                record.state = ClaimState::Answered(answer.clone());
                self.kept.push_back(id);
                self.kept_bytes += answer.size();
                self.evict_answers();
            }
        }
        LedgerReply::Recorded
    }

    fn evict_answers(&mut self) {
        while self.kept_bytes > MAX_ANSWER_BYTES
            && let Some(oldest) = self.kept.pop_front()
        {
            self.kept_bytes -= self.answer_size(&oldest);
            if let Some(record) = self.shard_mut(&oldest).get_mut(&oldest) {
                record.state = ClaimState::Settled;
            }
        }
    }

    fn release(&mut self, key: &ClaimKey, attempt: AttemptId) -> LedgerReply {
        let id = claim_id(key);
        let is_pending = self
            .record(&id)
            .is_some_and(|record| record.attempt == attempt && record.state == ClaimState::Pending);
        if is_pending {
            self.shard_mut(&id).remove(&id);
            self.count -= 1;
        }
        LedgerReply::Recorded
    }

    fn record(&self, id: &ClaimId) -> Option<&ClaimRecord> {
        self.shards.get(shard_of(id))?.get(id)
    }

    fn answer_size(&self, id: &ClaimId) -> usize {
        match self.record(id).map(|record| &record.state) {
            Some(ClaimState::Answered(answer)) => answer.size(),
            _ => 0,
        }
    }

    fn shard_mut(&mut self, id: &ClaimId) -> &mut SortedTable<ClaimId, ClaimRecord> {
        if self.shards.is_empty() {
            self.shards.resize_with(SHARD_COUNT, SortedTable::new);
        }
        &mut self.shards[shard_of(id)]
    }
}

fn shard_of(id: &ClaimId) -> usize {
    usize::from(u16::from_le_bytes([id[0], id[1]])) % SHARD_COUNT
}

fn claim_id(key: &ClaimKey) -> ClaimId {
    let mut digest = Sha256::new();
    digest.update((key.team.as_str().len() as u64).to_le_bytes());
    digest.update(key.team.as_str());
    digest.update(&key.key);
    digest.finalize().into()
}
