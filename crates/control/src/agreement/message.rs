//! What control hosts tell each other, and what each of them keeps.

use std::sync::Arc;

use briartray_model::names::{LogIndex, NodeName, TermNumber};
use briartray_model::{plain_choice, plain_value};

plain_choice! {
    /// Random identity of one data folder; a wiped folder comes back with another one.
    #[derive(Default)]
    pub struct FolderId(pub u64);
}

plain_value! {
    /// A control host together with the data folder that may vote in its name.
    pub struct MemberSeat {
        /// The control host.
        pub node: NodeName,
        /// Its data folder.
        pub folder: FolderId,
    }

    /// What one log entry holds.
    pub enum EntryPayload {
        /// Nothing: the first entry of a leader, by which earlier ones become committed.
        Blank,
        /// A new data folder may vote in its host's name.
        Admit(MemberSeat),
        /// A host votes no longer.
        Dismiss(NodeName),
        /// An encoded command.
        Command(Vec<u8>),
    }

    /// One entry of the log.
    pub struct LogEntry {
        /// Its position.
        pub index: LogIndex,
        /// Term of the leader that proposed it.
        pub term: TermNumber,
        /// What it holds.
        pub payload: EntryPayload,
    }

    /// What must be synced before a vote or an answer in a new term leaves the host.
    #[derive(Default)]
    pub struct HardState {
        /// Highest term seen.
        pub term: TermNumber,
        /// Who got the vote of that term, or led it.
        pub voted: Option<NodeName>,
        /// Entries up to here were committed; may lag behind.
        pub commit: LogIndex,
    }

    /// Where a snapshot stands in the log.
    pub struct SnapshotMeta {
        /// Last entry that it covers.
        pub index: LogIndex,
        /// Term of that entry.
        pub term: TermNumber,
        /// Who may vote as of that entry.
        pub seats: Vec<MemberSeat>,
    }

    /// A message between control hosts.
    pub struct PeerMessage {
        /// The sending host.
        pub from: NodeName,
        /// Its data folder.
        pub folder: FolderId,
        /// Its term; the proposed one in a pre-vote.
        pub term: TermNumber,
        /// What it says.
        pub body: PeerBody,
    }

    /// The kinds of message.
    pub enum PeerBody {
        /// A host without a seat looks for the others.
        Hello,
        /// Answer to a hello: who founded the cluster; `None` from a host without a seat.
        Welcome {
            /// Folder of the host that said hello.
            caller: FolderId,
            /// The founding seats.
            founding: Option<Vec<MemberSeat>>,
        },
        /// Would you vote for me in this term? Changes nothing.
        PreVote(VoteCall),
        /// Answer to a pre-vote.
        PreVoteReply {
            /// Whether the vote would be given.
            granted: bool,
        },
        /// Vote for me.
        Vote(VoteCall),
        /// Answer to a vote call.
        VoteReply {
            /// Whether the vote is given.
            granted: bool,
        },
        /// Entries of the leader, or none as a heartbeat.
        Append(AppendCall),
        /// Answer to entries or a heartbeat.
        AppendReply(AppendReply),
        /// A piece of a snapshot.
        Install(InstallCall),
        /// Answer to a piece.
        InstallReply {
            /// The snapshot's last entry.
            index: LogIndex,
            /// Where the next piece starts.
            offset: u64,
            /// Round of the piece.
            round: u64,
        },
    }

    /// How far a candidate's log goes.
    pub struct VoteCall {
        /// Its last entry.
        pub last_index: LogIndex,
        /// Term of that entry.
        pub last_term: TermNumber,
    }

    /// Entries of the leader.
    pub struct AppendCall {
        /// Entry before the first one sent.
        pub prev_index: LogIndex,
        /// Its term.
        pub prev_term: TermNumber,
        /// The entries, in order.
        pub entries: Vec<LogEntry>,
        /// What the leader knows as committed.
        pub commit: LogIndex,
        /// Round of the leader; echoed, so that an answer is known to be later than a read.
        pub round: u64,
    }

    /// What a follower made of entries.
    pub struct AppendReply {
        /// The entry that the leader thought to be held.
        pub prev_index: LogIndex,
        /// Whether it is.
        pub matched: bool,
        /// When it matched: synced up to here. Otherwise: where the leader may try next.
        pub index: LogIndex,
        /// Round of the call.
        pub round: u64,
    }

    /// A piece of a snapshot.
    pub struct InstallCall {
        /// Where the snapshot stands.
        pub meta: SnapshotMeta,
        /// Where the piece starts.
        pub offset: u64,
        /// Size of the whole.
        pub total: u64,
        /// The piece.
        pub data: Vec<u8>,
        /// Round of the leader.
        pub round: u64,
    }
}

/// A snapshot of the state.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSnapshot {
    /// Where it stands in the log.
    pub meta: SnapshotMeta,
    /// The encoded state.
    pub data: Arc<Vec<u8>>,
}

/// What a data folder held when the process started.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredState {
    /// Term, vote and commit.
    pub hard: HardState,
    /// Who founded the cluster, when this host took part.
    pub founding: Option<Vec<MemberSeat>>,
    /// The newest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// Entries in order; some may be covered by the snapshot.
    pub entries: Vec<LogEntry>,
}
