//! What reaches the control thread, and what its callers are answered.

use briartray_control::agreement::PeerMessage;
use briartray_fleet::director::{EndpointBeat, EndpointReport, OrderCall, OrderOutcome};
use briartray_fleet::message::{EntryReport, HostHello};
use briartray_fleet::state::StoredPlan;
use briartray_link::LinkWriter;
use briartray_model::names::{IncarnationId, NodeName};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// What control hosts send each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum CoreMessage {
    /// A message of the replicated log.
    Agreement(PeerMessage),
    /// News of the sender.
    Hello(HostHello),
}

/// An answer to a call of an operator or endpoint.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ControlReply {
    /// Done, and kept by a majority where that is called for.
    Done,
    /// The declaration in force.
    Plan(Vec<u8>),
    /// Nothing was ever declared.
    NoPlan,
    /// Ask this host.
    AskLeader(NodeName),
    /// It cannot be answered truthfully now.
    Unavailable,
}

/// Where an answer goes.
pub(super) type ReplySender = oneshot::Sender<ControlReply>;

/// A probe that has ended.
#[derive(Debug)]
pub(super) enum ProbeResult {
    /// The endpoint told its state.
    Told(EndpointReport),
    /// Another endpoint has the address.
    OtherEndpoint,
    /// Nothing came.
    Silent,
}

/// One input of the control thread.
#[derive(Debug)]
pub(super) enum CoreInput {
    /// A message of another control host.
    Core(CoreMessage),
    /// A batch is synced.
    Stored { ticket: u64 },
    /// The disk failed.
    DiskFailed,
    /// An entry reports.
    Entry { report: EntryReport, writer: LinkWriter },
    /// An operator's declaration, already checked.
    Put { plan: StoredPlan, reply: ReplySender },
    /// An operator asks for the declaration in force.
    Get { reply: ReplySender },
    /// An endpoint announces itself.
    Beat { beat: EndpointBeat, reply: ReplySender },
    /// An endpoint takes no new work.
    Leave { id: IncarnationId, reply: ReplySender },
    /// A probe has ended.
    Probed { id: IncarnationId, result: ProbeResult },
    /// An order was answered, or not.
    Ordered { call: OrderCall, outcome: OrderOutcome },
    /// End the thread.
    Stop,
}
