//! What reaches the control thread, and what its callers are answered.

use std::time::Instant;

use briartray_control::agreement::PeerMessage;
use briartray_fleet::director::{
    EndpointHeartbeat, EndpointReport, OrderCall, OrderOutcome, ProbeCall,
};
use briartray_fleet::message::{EntryReport, HostHello};
use briartray_fleet::state::StoredPlan;
use briartray_link::LinkWriter;
use briartray_model::names::{IncarnationId, NodeName, RequestFingerprint, ZoneName};
use briartray_quarantine::QuarantineRecord;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::evacuation::ZoneWish;

/// Inputs of each kind that may wait for the control thread.
const INPUT_QUEUE: usize = 8_192;

/// Inputs of endpoints that are taken after all others were: a step of the director follows them.
const ENDPOINT_INPUTS: usize = 128;

/// Other inputs that share one step of the agreement, and so one sync, at most.
const URGENT_INPUTS: usize = 512;

/// What control hosts send each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum CoreMessage {
    /// A message of the replicated log.
    Agreement(PeerMessage),
    /// News of the sender.
    Hello(HostHello),
    /// Beats that the sender took for the leader.
    Beats(Vec<EndpointHeartbeat>),
    /// The leader wants reports that the sender's reader is to ask for.
    Ask {
        /// The leader.
        asker: NodeName,
        /// Endpoints to ask.
        probes: Vec<ProbeCall>,
    },
    /// What came of them.
    Told(Vec<ProbeAnswer>),
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
    /// The requests in quarantine, the oldest first.
    Quarantine(Vec<QuarantineRecord>),
    /// The evacuated zones.
    Evacuated(Vec<ZoneName>),
    /// The deployment has no such zone.
    UnknownZone(ZoneName),
    /// Ask this host.
    AskLeader(NodeName),
    /// It cannot be answered truthfully now.
    Unavailable,
}

/// Where an answer goes.
pub(super) type ReplySender = oneshot::Sender<ControlReply>;

/// What came of asking one endpoint for a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ProbeAnswer {
    /// The endpoint.
    pub(super) id: IncarnationId,
    /// What came.
    pub(super) result: ProbeResult,
}

/// A probe that has ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum ProbeResult {
    /// The endpoint told its state.
    Told(EndpointReport),
    /// Another endpoint has the address.
    OtherEndpoint,
    /// Nothing came.
    Silent,
    /// This process was too late to read what may have come: that says nothing about the endpoint.
    Unread,
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
    /// An operator asks for the requests in quarantine.
    Quarantine { reply: ReplySender },
    /// An operator lets a request out of quarantine.
    Lift { print: RequestFingerprint, reply: ReplySender },
    /// An operator asks for the evacuated zones.
    Evacuated { reply: ReplySender },
    /// An operator evacuates or readmits a zone.
    Zone { zone: ZoneName, wish: ZoneWish, reply: ReplySender },
    /// An endpoint announces itself.
    Heartbeat { heartbeat: EndpointHeartbeat, reply: ReplySender },
    /// An endpoint takes no new work.
    Leave { id: IncarnationId, reply: ReplySender },
    /// A probe has ended; `asker` is the leader that wanted it, where that is another host.
    Probed { answer: ProbeAnswer, asker: Option<NodeName> },
    /// An order was answered, or not.
    Ordered { call: OrderCall, outcome: OrderOutcome },
    /// End the thread.
    Stop,
}

impl CoreInput {
    /// Whether it is one of the many that endpoints cause.
    fn is_of_endpoint(&self) -> bool {
        match self {
            Self::Heartbeat { .. } | Self::Probed { .. } | Self::Ordered { .. } => true,
            Self::Core(message) => matches!(message, CoreMessage::Beats(_) | CoreMessage::Told(_)),
            _ => false,
        }
    }
}

/// Feeds the control thread.
///
/// Endpoints are many, and what they cause grows with the fleet. In one queue with everything else a
/// leader that was behind by two seconds answered operators, votes and leases two seconds late: its entries
/// refused callers, and another leader was elected, which had the same to do. So they have a queue of
/// their own, which is read when the other one is empty, and which drops what finds no room.
#[derive(Debug, Clone)]
pub(super) struct InputSender {
    urgent: Sender<CoreInput>,
    endpoints: Sender<CoreInput>,
}

/// What the control thread reads.
#[derive(Debug)]
pub(super) struct InputReceiver {
    urgent: Receiver<CoreInput>,
    endpoints: Receiver<CoreInput>,
}

/// The two ends of the control thread's inputs.
pub(super) fn input_queue() -> (InputSender, InputReceiver) {
    let (urgent, urgent_queue) = bounded(INPUT_QUEUE);
    let (endpoints, endpoint_queue) = bounded(INPUT_QUEUE);
    let receiver = InputReceiver { urgent: urgent_queue, endpoints: endpoint_queue };
    (InputSender { urgent, endpoints }, receiver)
}

impl InputSender {
    /// Hands `input` over and waits for room; `false` when the control thread is gone.
    pub(super) fn send(&self, input: CoreInput) -> bool {
        self.queue_of(&input).send(input).is_ok()
    }

    /// Hands `input` over where there is room; tells whether it was taken.
    pub(super) fn try_send(&self, input: CoreInput) -> bool {
        self.queue_of(&input).try_send(input).is_ok()
    }

    fn queue_of(&self, input: &CoreInput) -> &Sender<CoreInput> {
        if input.is_of_endpoint() { &self.endpoints } else { &self.urgent }
    }
}

impl InputReceiver {
    /// The next input, an urgent one where there is one; waits until `deadline`.
    pub(super) fn recv_deadline(&self, deadline: Instant) -> Result<CoreInput, RecvTimeoutError> {
        if let Ok(input) = self.urgent.try_recv() {
            return Ok(input);
        }
        let wait = crossbeam::channel::at(deadline);
        crossbeam::channel::select_biased! {
            recv(self.urgent) -> input => input.map_err(|_| RecvTimeoutError::Disconnected),
            recv(self.endpoints) -> input => input.map_err(|_| RecvTimeoutError::Disconnected),
            recv(wait) -> _ => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Urgent inputs that wait, as many as are taken between two steps.
    pub(super) fn urgent(&self) -> impl Iterator<Item = CoreInput> + '_ {
        self.urgent.try_iter().take(URGENT_INPUTS)
    }

    /// What waits, urgent inputs first, as much as is taken between two steps.
    pub(super) fn waiting(&self) -> impl Iterator<Item = CoreInput> + '_ {
        self.urgent().chain(self.endpoints.try_iter().take(ENDPOINT_INPUTS))
    }
}
