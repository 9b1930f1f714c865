//! Messages between the system's own processes, one module per conversation.
//!
//! Every message is a plain value encoded by [`crate::codec`]. A conversation is one stream: the
//! side that opens it sends a request type, the other side answers with a reply type.

mod dispatch;
mod fleet;
mod ledger;
mod quarantine;
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
pub use quarantine::{FingerprintView, RunEnd, RunEvent, ViewVersion};
pub use update::{RuleText, SnapshotChange, SnapshotUpdate};
pub use watch::{
    GroupRecord, LeavingGroup, LimitDemand, LimitGrant, RoutingSnapshot, WatchReply, WatchRequest,
};
