//! Messages between control hosts and the state that each of them persists.

use std::sync::Arc;

use briartray_model::names::{LogIndex, NodeName, TermNumber};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// Random id of a data folder; a folder that was wiped gets a new one.
    #[derive(Default)]
    pub struct FolderId(pub u64);
}

plain_value! {
    /// A voter: a control host together with the data folder that may vote for it.
    pub struct VoterSeat {
        /// Name of the control host.
        pub node: NodeName,
        /// Id of its data folder.
        pub folder: FolderId,
    }

    /// Payload of a log entry.
    pub enum EntryPayload {
        /// No operation: the first entry of a term, which commits entries of earlier terms.
        Blank,
        /// Adds a voter, or replaces the data folder of an existing one.
        Admit(VoterSeat),
        /// Removes a voter.
        Dismiss(NodeName),
        /// An encoded state machine command.
        Command(Vec<u8>),
    }

    /// One entry of the log.
    pub struct LogEntry {
        /// Position in the log.
        pub index: LogIndex,
        /// Term in which the entry was proposed.
        pub term: TermNumber,
        /// Content of the entry.
        pub payload: EntryPayload,
    }

    /// Persistent state that must be synced before a vote or a reply in a new term is sent.
    #[derive(Default)]
    pub struct HardState {
        /// Highest term seen.
        pub term: TermNumber,
        /// Host that received this host's vote in the term, or the leader that it followed.
        pub voted: Option<NodeName>,
        /// Index of the last entry known to be committed; may lag behind.
        pub commit: LogIndex,
    }

    /// Position of a snapshot in the log.
    pub struct SnapshotMeta {
        /// Index of the last entry included.
        pub index: LogIndex,
        /// Term of that entry.
        pub term: TermNumber,
        /// Voter seats as of that entry.
        pub seats: Vec<VoterSeat>,
    }

    /// A message between control hosts.
    pub struct PeerMessage {
        /// Sending host.
        pub from: NodeName,
        /// Data folder of the sender.
        pub folder: FolderId,
        /// Term of the sender; the proposed term in a pre-vote.
        pub term: TermNumber,
        /// Content of the message.
        pub body: PeerBody,
    }

    /// Kinds of messages between control hosts.
    pub enum PeerBody {
        /// A host without a voter seat looks for the other hosts.
        Hello,
        /// Reply to a hello with the founding seats; `None` if the sender does not know them.
        Welcome {
            /// Data folder of the host that sent the hello.
            caller: FolderId,
            /// The founding seats, if known.
            founding: Option<Vec<VoterSeat>>,
        },
        /// Asks whether the receiver would vote for the sender; changes no state.
        PreVote(VoteCall),
        /// Reply to a pre-vote.
        PreVoteReply {
            /// Whether the vote would be granted.
            granted: bool,
        },
        /// Requests the receiver's vote.
        Vote(VoteCall),
        /// Reply to a vote request.
        VoteReply {
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Replicates entries, or serves as a heartbeat if there are none.
        Append(AppendCall),
        /// Reply to an append request or heartbeat.
        AppendReply(AppendReply),
        /// One chunk of a snapshot.
        Install(InstallCall),
        /// Reply to a snapshot chunk.
        InstallReply {
            /// Index of the last entry in the snapshot.
            index: LogIndex,
            /// Byte offset of the next chunk.
            offset: u64,
            /// Round of the chunk.
            round: u64,
        },
        /// The sender has led this term and does not any more: its removal is committed.
        Resigned,
    }

    /// A vote request with the position of the candidate's log.
    pub struct VoteCall {
        /// Index of its last entry.
        pub last_index: LogIndex,
        /// Term of that entry.
        pub last_term: TermNumber,
    }

    /// An append request.
    pub struct AppendCall {
        /// Index of the entry that precedes `entries`.
        pub prev_index: LogIndex,
        /// Term of that entry.
        pub prev_term: TermNumber,
        /// Entries to append, in order.
        pub entries: Vec<LogEntry>,
        /// Commit index of the leader.
        pub commit: LogIndex,
        /// Round of the leader; echoed in the reply to confirm pending reads.
        pub round: u64,
    }

    /// Reply to an append request.
    pub struct AppendReply {
        /// The `prev_index` of the request.
        pub prev_index: LogIndex,
        /// Whether the log matched at `prev_index`.
        pub matched: bool,
        /// Last synced entry if the log matched, otherwise the index from which to continue.
        pub index: LogIndex,
        /// Round of the request.
        pub round: u64,
    }

    /// One chunk of a snapshot.
    pub struct InstallCall {
        /// Position of the snapshot in the log.
        pub meta: SnapshotMeta,
        /// Byte offset of the chunk.
        pub offset: u64,
        /// Total size of the snapshot, in bytes.
        pub total: u64,
        /// Bytes of the chunk.
        pub data: Vec<u8>,
        /// Round of the leader.
        pub round: u64,
    }
}

/// A snapshot of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSnapshot {
    /// Position of the snapshot in the log.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Arc<Vec<u8>>,
}

/// Contents of a data folder at process start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredState {
    /// Term, vote and commit index.
    pub hard: HardState,
    /// The founding seats, if known to this host.
    pub founding: Option<Vec<VoterSeat>>,
    /// The newest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// Log entries in order; the snapshot may include some of them.
    pub entries: Vec<LogEntry>,
}
