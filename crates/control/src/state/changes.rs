//! Outcomes of the changes that were sent, kept so that a resend gets the first one.
//!
//! Memory is bounded in two ways. A change that was refused left no trace in the rules: applied
//! again it is refused again, so only the newest of these are kept. An accepted change must never
//! be applied twice. Revisions tell its age: a change that expects revision N was accepted, if at
//! all, as revision N + 1. Once the record of that acceptance is dropped, every change that
//! expects N or less and is not known is answered as too old, and so is one that names no
//! revision.

use std::collections::VecDeque;

use briartray_model::SortedTable;
use briartray_model::names::{ChangeId, RevisionNumber};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::CommandOutcome;

/// Accepted changes that are remembered: a month at 2,000 changes a day.
pub const MAX_ACCEPTED: usize = 65_536;

/// Refused changes that are remembered.
const MAX_REFUSED: usize = 4096;

/// Characters of the reason for a refusal that are remembered.
const MAX_DETAIL: usize = 512;

/// Half a digest tells documents apart.
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

/// The outcomes that are remembered.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(super) struct ChangeHistory {
    accepted: SortedTable<ChangeId, AcceptedChange>,
    accepted_order: VecDeque<ChangeId>,
    refused: SortedTable<ChangeId, RefusedChange>,
    refused_order: VecDeque<ChangeId>,
    /// Highest revision that a forgotten accepted change can have expected.
    floor: Option<RevisionNumber>,
}

impl ChangeHistory {
    /// The outcome that a change had before, or must have because of its age.
    pub(super) fn settled(
        &self,
        change: ChangeId,
        expect: Option<RevisionNumber>,
        text: &str,
    ) -> Option<CommandOutcome> {
        let digest = digest_of(text);
        let known = match (self.accepted.get(&change), self.refused.get(&change)) {
            (Some(kept), _) => {
                let revision = kept.revision;
                Some((kept.digest, CommandOutcome::RulesAccepted { revision }))
            }
            (None, Some(kept)) => Some((kept.digest, kept.outcome.clone())),
            (None, None) => None,
        };
        match (known, self.floor) {
            (Some((kept, outcome)), _) if kept == digest => Some(outcome),
            (Some(_), _) => Some(CommandOutcome::ChangeReused { change }),
            (None, Some(floor)) if expect.is_none_or(|revision| revision <= floor) => {
                Some(CommandOutcome::ChangeTooOld { floor })
            }
            (None, _) => None,
        }
    }

    /// Remembers the outcome of a new change.
    pub(super) fn remember(&mut self, change: ChangeId, text: &str, outcome: &CommandOutcome) {
        let digest = digest_of(text);
        if let CommandOutcome::RulesAccepted { revision } = outcome {
            self.accepted.insert(change, AcceptedChange { digest, revision: *revision });
            self.accepted_order.push_back(change);
            return self.forget_accepted();
        }
        self.refused.insert(change, RefusedChange { digest, outcome: shorten(outcome) });
        self.refused_order.push_back(change);
        if self.refused_order.len() > MAX_REFUSED
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    fn forget_accepted(&mut self) {
        if self.accepted_order.len() <= MAX_ACCEPTED {
            return;
        }
        let oldest =
            self.accepted_order.pop_front().and_then(|change| self.accepted.remove(&change));
        if let Some(kept) = oldest {
            self.floor = Some(RevisionNumber(kept.revision.0 - 1));
        }
    }
}

/// The outcome with a reason of bounded length.
fn shorten(outcome: &CommandOutcome) -> CommandOutcome {
    match outcome {
        CommandOutcome::RulesInvalid { detail } => {
            CommandOutcome::RulesInvalid { detail: detail.chars().take(MAX_DETAIL).collect() }
        }
        other => other.clone(),
    }
}

fn digest_of(text: &str) -> ShortDigest {
    let whole: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut short = [0; DIGEST_BYTES];
    short.copy_from_slice(&whole[..DIGEST_BYTES]);
    short
}
