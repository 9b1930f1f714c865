//! Links between briartray processes: h2 streams that carry bincode messages.
//!
//! Each [`LinkClient`] or [`LinkServer`] has a network thread with a current-thread runtime. Other
//! threads use the blocking [`LinkWriter`] and [`LinkReader`] halves of a stream. Queues are
//! bounded in both directions: when a reader falls behind, h2 flow control stops the sender, so
//! memory stays bounded.

mod client;
mod connection;
mod error;
mod forwarder;
mod frame;
mod server;
mod stream;

pub use client::{ClientSettings, LinkClient};
pub use connection::PathLiveness;
pub use error::LinkError;
pub use forwarder::forward_messages;
pub use frame::MAX_FRAME_BYTES;
pub use server::{LinkServer, LinkStream};
pub use stream::{EncodedMessage, LinkReader, LinkWriter};

use std::fmt;

/// Version of the message types; both ends of a link must have the same one.
pub const PROTOCOL_VERSION: &str = "6";

/// Header that carries [`PROTOCOL_VERSION`].
pub(crate) const VERSION_HEADER: &str = "x-briartray-version";

/// Header that carries the shared secret of the deployment.
pub(crate) const TOKEN_HEADER: &str = "x-briartray-token";

/// Purpose of a stream, which determines the message types on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Entry to agent: `EntryRequest` and `AgentReply`.
    Dispatch,
    /// First host to member: `MemberRequest` and `MemberReply`.
    Member,
    /// Agent to control: `AgentReport` and `ControlDirective`.
    Fleet,
    /// Entry to control: `WatchRequest` and `WatchReply`.
    Watch,
    /// Entry to control: `LedgerRequest` and `LedgerReply`.
    Ledger,
    /// Control host to control host: messages of the replicated log.
    Peer,
    /// Control host to control host, with changing membership of voters: `CoreMessage`.
    Core,
    /// Entry to control, with endpoints that register themselves: `EntryReport` and `EntryNotice`.
    Routing,
}

impl CallKind {
    const ALL: [Self; 8] = [
        Self::Dispatch,
        Self::Member,
        Self::Fleet,
        Self::Watch,
        Self::Ledger,
        Self::Peer,
        Self::Core,
        Self::Routing,
    ];

    fn path(self) -> &'static str {
        match self {
            Self::Dispatch => "/dispatch",
            Self::Member => "/member",
            Self::Fleet => "/fleet",
            Self::Watch => "/watch",
            Self::Ledger => "/ledger",
            Self::Peer => "/peer",
            Self::Core => "/core",
            Self::Routing => "/routing",
        }
    }

    fn from_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.path() == path)
    }
}

impl fmt::Display for CallKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.path()[1..])
    }
}
