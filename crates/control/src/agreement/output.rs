//! Output of the consensus state machine.

use briartray_model::names::{LogIndex, NodeName};
use briartray_model::plain_choice;
use snafu::Snafu;

use super::{HardState, LogEntry, LogSnapshot, PeerMessage, VoterSeat};

plain_choice! {
    /// Correlates a proposal with its outcome.
    pub struct ProposalToken(pub u64);

    /// Correlates a read with its confirmation.
    pub struct ReadToken(pub u64);
}

/// One change to the data folder.
#[derive(Debug, Clone, PartialEq)]
pub enum StorageWrite {
    /// Store the founding seats.
    Founding(Vec<VoterSeat>),
    /// Store term, vote and commit index.
    Hard(HardState),
    /// Remove all entries from this index on.
    Truncate(LogIndex),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Store a snapshot; entries up to `keep_after` may be removed.
    Snapshot {
        /// The snapshot.
        snapshot: LogSnapshot,
        /// Last entry that may be removed.
        keep_after: LogIndex,
    },
    /// Store a snapshot that replaces the whole log.
    Install(LogSnapshot),
}

/// Writes that share one sync.
#[derive(Debug, Clone, PartialEq)]
pub struct WriteBatch {
    /// Passed to [`super::AgreementCore::stored`] once the writes are synced.
    pub ticket: u64,
    /// The writes, in order.
    pub writes: Vec<StorageWrite>,
}

impl WriteBatch {
    /// Appends the writes of `more`, so that both batches share one sync.
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
    /// Token of the proposal, if this host made it in this term.
    pub token: Option<ProposalToken>,
}

/// Input for the state machine, in log order.
#[derive(Debug, Clone, PartialEq)]
pub enum LogDelivery {
    /// Apply an entry.
    Entry(CommittedEntry),
    /// Replace the state with a snapshot.
    Restore(LogSnapshot),
}

/// All output since the last drain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CoreOutput {
    /// Messages to send, each with its receiver.
    pub messages: Vec<(NodeName, PeerMessage)>,
    /// Writes to the data folder.
    pub batch: Option<WriteBatch>,
    /// Committed entries and snapshots to apply.
    pub deliveries: Vec<LogDelivery>,
    /// Proposals that failed because leadership was lost; they may still be committed.
    pub lost: Vec<ProposalToken>,
    /// Reads confirmed by a majority; answer them after applying `deliveries`.
    pub confirmed: Vec<ReadToken>,
    /// Reads that failed because leadership was lost.
    pub unconfirmed: Vec<ReadToken>,
}

/// Why a proposal or read was rejected; a rejected one has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposalRefusal {
    /// This host does not lead.
    #[snafu(display("this control host does not lead; ask {}", hint_text(leader.as_ref())))]
    NotLeader {
        /// Current leader, if known.
        leader: Option<NodeName>,
    },
    /// Too many proposals or reads are pending.
    #[snafu(display("too many changes or reads are pending; retry in a moment"))]
    Busy,
    /// The proposal exceeds the size limit.
    #[snafu(display(
        "a change of {size} bytes exceeds the limit of {limit} bytes; send smaller changes"
    ))]
    TooLarge {
        /// Size of the proposal, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
}

fn hint_text(leader: Option<&NodeName>) -> &str {
    leader.map_or("the other control hosts", NodeName::as_str)
}
