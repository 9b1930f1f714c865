//! What follows from a step of the core.

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::plain_choice;
use snafu::Snafu;

use super::{HardState, LogEntry, LogSnapshot, MemberSeat, PeerMessage};

plain_choice! {
    /// Pairs a proposal with its outcome.
    pub struct ProposalToken(pub u64);

    /// Pairs a read with its confirmation.
    pub struct ReadToken(pub u64);
}

/// One change of the data folder.
#[derive(Debug, Clone, PartialEq)]
pub enum StorageWrite {
    /// Keep who founded the cluster.
    Founding(Vec<MemberSeat>),
    /// Keep term, vote and commit.
    Hard(HardState),
    /// Drop entries from here on.
    Truncate(LogIndex),
    /// Add entries.
    Append(Vec<LogEntry>),
    /// Keep a snapshot; entries up to `keep_after` are no longer needed.
    Snapshot {
        /// The snapshot.
        snapshot: LogSnapshot,
        /// Last entry that may go.
        keep_after: LogIndex,
    },
    /// Keep a snapshot in place of the whole log.
    Install(LogSnapshot),
}

/// Changes that share one sync.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteBatch {
    /// Told to [`super::AgreementCore::stored`] once the changes are synced.
    pub ticket: u64,
    /// The changes, in order.
    pub writes: Vec<StorageWrite>,
}

impl WriteBatch {
    /// With `more` added, entries to those before them, so that they share one sync.
    #[must_use]
    pub fn merged(mut self, more: Self) -> Self {
        self.ticket = more.ticket;
        for write in more.writes {
            match (self.writes.last_mut(), write) {
                (Some(StorageWrite::Append(entries)), StorageWrite::Append(next)) => {
                    entries.extend(next);
                }
                (_, write) => self.writes.push(write),
            }
        }
        self
    }
}

/// A committed entry.
#[derive(Debug, Clone, PartialEq)]
pub struct CommittedEntry {
    /// The entry.
    pub entry: LogEntry,
    /// Who proposed it, when that was this host in this term.
    pub token: Option<ProposalToken>,
}

/// What reaches the state, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum LogDelivery {
    /// Apply an entry.
    Entry(CommittedEntry),
    /// Replace the state.
    Restore(LogSnapshot),
}

/// Everything that follows from the steps since the last drain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CoreOutput {
    /// Messages, each with its receiver.
    pub messages: Vec<(NodeName, PeerMessage)>,
    /// Changes of the data folder.
    pub batch: Option<WriteBatch>,
    /// What to apply.
    pub deliveries: Vec<LogDelivery>,
    /// Proposals that were lost with leadership; whether they commit is unknown.
    pub lost: Vec<ProposalToken>,
    /// Reads that a majority confirmed; answer them after the deliveries.
    pub confirmed: Vec<ReadToken>,
    /// Reads that were lost with leadership.
    pub unconfirmed: Vec<ReadToken>,
}

/// Why a proposal or read was not taken; nothing of it was kept.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposalRefusal {
    /// Another host leads, or none does.
    #[snafu(display("this control host does not lead; ask {}", hint_text(leader.as_ref())))]
    NotLeader {
        /// Who leads, when known.
        leader: Option<NodeName>,
    },
    /// Too much waits already.
    #[snafu(display("the control log is busy; send it again in a moment"))]
    Busy,
    /// One proposal may not be this large.
    #[snafu(display("a change of {size} bytes is over the limit of {limit}; send less at a time"))]
    TooLarge {
        /// Its size.
        size: usize,
        /// The limit.
        limit: usize,
    },
}

fn hint_text(leader: Option<&NodeName>) -> &str {
    leader.map_or("the other control hosts", NodeName::as_str)
}
