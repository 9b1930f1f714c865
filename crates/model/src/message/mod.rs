//! Messages between briartray processes, one module per protocol.
//!
//! Every message is encoded by [`crate::codec`]. Each protocol runs on a stream of its own: the
//! side that opens the stream sends one message type, and the other side sends another.

mod dispatch;
mod fleet;
mod ledger;
mod quarantine;
mod retries;
mod update;
mod watch;

pub use dispatch::{
    AgentReply, CallOutcome, CallTarget, DispatchOrder, EntryRequest, HeaderField, LoadReport,
    RefusalReason, TombstoneState, TraceContext,
};
pub use fleet::{
    AgentReport, ControlDirective, GroupAssignment, GroupMember, HostAnnouncement, MemberReply,
    MemberRequest,
};
pub use ledger::{
    ClaimKey, KeptAnswer, KeptBody, LedgerAnswer, LedgerCall, LedgerReply, LedgerRequest,
    MAX_KEPT_ANSWER_BYTES, MAX_KEY_BYTES, call_digest,
};
pub use quarantine::{FingerprintView, PartCompletion, RunEnd, RunEvent, ViewVersion};
pub use retries::{AllowanceGrant, AllowanceReport, AllowanceUse};
pub use update::{RuleText, SnapshotChange, SnapshotUpdate};
pub use watch::{
    GroupRecord, LeavingGroup, LimitDemand, LimitGrant, RoutingSnapshot, WatchReply, WatchRequest,
};
