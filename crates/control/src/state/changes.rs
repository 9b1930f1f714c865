//! Outcomes of rule changes, kept so that a resent change gets its original outcome.
//!
//! Memory is bounded in two ways. A rejected change had no effect on the rules and is rejected
//! again if it is applied again, so only the newest rejections are kept. An accepted change must
//! never be applied twice. Its age is known from revisions: a change that expects revision N can
//! only have been accepted as revision N + 1. Once that record has been evicted, every unknown
//! change that expects N or less, or that names no revision, is answered as too old.

use std::collections::VecDeque;

use briartray_model::SortedTable;
use briartray_model::names::{ChangeId, RevisionNumber};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::CommandOutcome;

/// Maximum number of accepted changes kept: a month at 2,000 changes a day.
pub const MAX_ACCEPTED: usize = 65_536;

/// Maximum number of rejected changes kept.
const MAX_REFUSED: usize = 4096;

/// Maximum length of a kept rejection reason, in characters.
const MAX_DETAIL_CHARS: usize = 512;

/// Length of the digest that identifies a document: half of SHA-256, in bytes.
const DIGEST_BYTES: usize = 16;

type ShortDigest = [u8; DIGEST_BYTES];

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct AcceptedChange {
    digest: ShortDigest,
    revision: RevisionNumber,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RefusedChange {
    digest: ShortDigest,
    outcome: CommandOutcome,
}

/// Outcomes of past rule changes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct ChangeHistory {
    accepted: SortedTable<ChangeId, AcceptedChange>,
    accepted_order: VecDeque<ChangeId>,
    refused: SortedTable<ChangeId, RefusedChange>,
    refused_order: VecDeque<ChangeId>,
    /// Highest revision that an evicted accepted change can have expected.
    floor: Option<RevisionNumber>,
}

impl ChangeHistory {
    /// The outcome of a change that was handled before or that is too old to tell.
    pub(super) fn known_outcome(
        &self,
        change: ChangeId,
        expect: Option<RevisionNumber>,
        text: &str,
    ) -> Option<CommandOutcome> {
        let digest = digest_of(text);
        let known = match (self.accepted.get(&change), self.refused.get(&change)) {
            (Some(recorded), _) => {
                let revision = recorded.revision;
                Some((recorded.digest, CommandOutcome::RulesAccepted { revision }))
            }
            (None, Some(recorded)) => Some((recorded.digest, recorded.outcome.clone())),
            (None, None) => None,
        };
        match (known, self.floor) {
            (Some((recorded, outcome)), _) if recorded == digest => Some(outcome),
            (Some(_), _) => Some(CommandOutcome::ChangeReused { change }),
            (None, Some(floor)) if expect.is_none_or(|revision| revision <= floor) => {
                Some(CommandOutcome::ChangeTooOld { floor })
            }
            (None, _) => None,
        }
    }

    /// Records the outcome of a new change.
    pub(super) fn record(&mut self, change: ChangeId, text: &str, outcome: &CommandOutcome) {
        let digest = digest_of(text);
        if let CommandOutcome::RulesAccepted { revision } = outcome {
            self.accepted.insert(change, AcceptedChange { digest, revision: *revision });
            self.accepted_order.push_back(change);
            return self.evict_accepted();
        }
        self.refused.insert(change, RefusedChange { digest, outcome: truncate_detail(outcome) });
        self.refused_order.push_back(change);
        if self.refused_order.len() > MAX_REFUSED
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    fn evict_accepted(&mut self) {
        if self.accepted_order.len() <= MAX_ACCEPTED {
            return;
        }
        let oldest =
            self.accepted_order.pop_front().and_then(|change| self.accepted.remove(&change));
        if let Some(recorded) = oldest {
            self.floor = Some(RevisionNumber(recorded.revision.0 - 1));
        }
    }
}

/// Returns the outcome with its reason cut to the maximum length.
fn truncate_detail(outcome: &CommandOutcome) -> CommandOutcome {
    match outcome {
        CommandOutcome::RulesInvalid { detail } => {
            CommandOutcome::RulesInvalid { detail: detail.chars().take(MAX_DETAIL_CHARS).collect() }
        }
        other => other.clone(),
    }
}

fn digest_of(text: &str) -> ShortDigest {
    let full: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut short = [0; DIGEST_BYTES];
    short.copy_from_slice(&full[..DIGEST_BYTES]);
    short
}
