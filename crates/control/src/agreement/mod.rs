//! The replicated log: a Raft-style consensus protocol between control hosts, with at most one
//! leader per term and commands committed by a majority.
//!
//! [`AgreementCore`] is a deterministic state machine. The caller feeds it the time, messages,
//! proposals, reads and completed writes; [`AgreementCore::drain`] returns the resulting messages,
//! writes and committed entries. The core opens no socket or file and reads no clock. All input
//! between two drains shares one write and one sync.

mod core;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod output;
mod progress;
mod replicate;
mod seats;
mod sync;

pub use self::core::{
    AgreementCore, AgreementSettings, AgreementTimes, MemberRole, MembershipMode,
};
pub use message::{
    AppendCall, AppendReply, EntryPayload, FolderId, HardState, InstallCall, LogEntry, LogSnapshot,
    PeerBody, PeerMessage, RecoveredState, SnapshotMeta, VoteCall, VoterSeat,
};
pub use output::{
    CommittedEntry, CoreOutput, LogDelivery, ProposalRefusal, ProposalToken, ReadToken,
    StorageWrite, WriteBatch,
};
