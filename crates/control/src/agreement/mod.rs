//! The replicated log: one leader a term, commands committed by a majority of control hosts.
//!
//! [`AgreementCore`] is stepped: it is told the time, messages, proposals, reads and finished
//! writes, and [`AgreementCore::drain`] hands back what follows. It opens no socket or file and
//! reads no clock. Everything told between two drains shares one write and one sync.

mod core;
mod election;
mod follow;
mod lead;
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
    MemberSeat, PeerBody, PeerMessage, RecoveredState, SnapshotMeta, VoteCall,
};
pub use output::{
    CommittedEntry, CoreOutput, LogDelivery, ProposalRefusal, ProposalToken, ReadToken,
    StorageWrite, WriteBatch,
};
