//! Conversations between the system's own processes: h2 streams that carry bincode messages.
//!
//! One traffic thread per [`LinkClient`] or [`LinkServer`] runs a current-thread runtime; callers
//! on other threads use blocking [`LinkWriter`] and [`LinkReader`] halves. Both directions are
//! bounded: a reader that falls behind stops the h2 window, so memory stays bounded.

mod client;
mod connection;
mod courier;
mod error;
mod frame;
mod server;
mod stream;

pub use client::{ClientSettings, LinkClient};
pub use connection::PathLiveness;
pub use courier::forward_messages;
pub use error::LinkError;
pub use frame::MAX_FRAME_BYTES;
pub use server::{LinkServer, LinkStream};
pub use stream::{EncodedMessage, LinkReader, LinkWriter};

use std::fmt;

/// Version of the message types; both ends of a conversation must run the same one.
pub const PROTOCOL_VERSION: &str = "1";

/// Header that carries [`PROTOCOL_VERSION`].
pub(crate) const VERSION_HEADER: &str = "x-briartray-version";

/// Header that carries the shared secret of the deployment.
pub(crate) const TOKEN_HEADER: &str = "x-briartray-token";

/// What a stream is for; it decides the message types on it.
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
    /// Control host to control host, where voters come and go: `CoreMessage`.
    Core,
    /// Entry to control, where endpoints announce themselves: `EntryReport` and `EntryNotice`.
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
