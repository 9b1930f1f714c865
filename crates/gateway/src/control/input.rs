//! Inputs of the control thread and its replies.

use std::time::{Duration, Instant};

use briartray_control::agreement::PeerMessage;
use briartray_fleet::director::{
    EndpointHeartbeat, EndpointReport, OrderCall, OrderOutcome, ProbeCall,
};
use briartray_fleet::message::{EntryReport, HostHello};
use briartray_fleet::state::StoredPlan;
use briartray_link::LinkWriter;
use briartray_model::names::{IncarnationId, NodeName, RequestFingerprint, ZoneName};
use briartray_quarantine::ShownRecord;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::evacuation::ZoneChange;

/// Maximum number of queued inputs of each kind.
const MAX_QUEUED_INPUTS: usize = 8_192;

/// Maximum number of endpoint inputs processed between two steps; they are taken after all others,
/// and a director step follows.
const MAX_ENDPOINT_INPUTS: usize = 128;

/// Maximum number of other inputs that share one step of the consensus core, and so one disk sync.
const MAX_URGENT_INPUTS: usize = 512;

/// Messages between control hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum CoreMessage {
    /// A message of the consensus protocol.
    Agreement(PeerMessage),
    /// The sender's state and the hosts it knows.
    Hello(HostHello),
    /// Heartbeats received by the sender, relayed to the leader.
    Beats(Vec<EndpointHeartbeat>),
    /// The leader asks the receiver to probe endpoints.
    Ask {
        /// The leader.
        asker: NodeName,
        /// Endpoints to probe.
        probes: Vec<ProbeCall>,
    },
    /// Answers to these probes.
    Told(Vec<ProbeAnswer>),
}

/// Reply to a call from an operator or endpoint.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ControlReply {
    /// The call succeeded, and a majority has stored the change if there is one.
    Done,
    /// The deployment plan in force.
    Plan(Vec<u8>),
    /// No deployment plan was ever accepted.
    NoPlan,
    /// The quarantined requests, oldest first.
    Quarantine(Vec<ShownRecord>),
    /// The evacuated zones.
    Evacuated(Vec<ZoneName>),
    /// The deployment has no such zone.
    UnknownZone(ZoneName),
    /// Redirect to this host.
    RedirectToLeader(NodeName),
    /// No correct reply is possible at the moment.
    Unavailable,
}

/// Channel for the reply to a call.
pub(super) type ReplySender = oneshot::Sender<ControlReply>;

/// Answer to the probe of one endpoint, sent to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ProbeAnswer {
    /// The endpoint.
    pub(super) id: IncarnationId,
    /// How the probe ended.
    pub(super) result: ProbeResult,
}

/// Outcome of a probe.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum ProbeResult {
    /// The endpoint reported its state.
    Told(EndpointReport),
    /// Another endpoint uses the address.
    OtherEndpoint,
    /// No response arrived.
    Silent,
    /// This process was too slow to read a response, which proves nothing about the endpoint.
    Unread,
    /// The endpoint rejected the call for a report, which proves that it works.
    Rejected {
        /// Time for which it accepts no further call; zero if it named none.
        wait: Duration,
    },
    /// The address refuses connections: no process listens there any longer.
    Refused,
}

/// An input of the control thread.
#[derive(Debug)]
pub(super) enum CoreInput {
    /// A message from another control host.
    Core(CoreMessage),
    /// A batch was synced to disk.
    BatchStored { ticket: u64 },
    /// A write to disk failed.
    DiskFailed,
    /// A report from an entry.
    Report { report: EntryReport, writer: LinkWriter },
    /// An operator sends a validated deployment plan.
    PutPlan { plan: StoredPlan, reply: ReplySender },
    /// An operator requests the deployment plan in force.
    GetPlan { reply: ReplySender },
    /// An operator requests the quarantined requests.
    ListQuarantine { reply: ReplySender },
    /// An operator lifts the quarantine of a request.
    LiftQuarantine { fingerprint: RequestFingerprint, reply: ReplySender },
    /// An operator requests the evacuated zones.
    ListEvacuated { reply: ReplySender },
    /// An operator evacuates or readmits a zone.
    ChangeZone { zone: ZoneName, change: ZoneChange, reply: ReplySender },
    /// A heartbeat from an endpoint.
    Heartbeat { heartbeat: EndpointHeartbeat, reply: ReplySender },
    /// An endpoint is leaving and takes no new work.
    Leave { id: IncarnationId, reply: ReplySender },
    /// A probe has ended; `requester` is the leader that requested it, if another host leads.
    Probed { answer: ProbeAnswer, requester: Option<NodeName> },
    /// An order was answered or timed out.
    Ordered { call: OrderCall, outcome: OrderOutcome },
    /// Stop the thread.
    Stop,
}

impl CoreInput {
    /// Whether the input results from the activity of endpoints, which is frequent.
    fn is_from_endpoint(&self) -> bool {
        match self {
            Self::Heartbeat { .. } | Self::Probed { .. } | Self::Ordered { .. } => true,
            Self::Core(message) => matches!(message, CoreMessage::Beats(_) | CoreMessage::Told(_)),
            _ => false,
        }
    }
}

/// The sending end of the control thread's input queues.
///
/// Inputs from endpoints grow with the fleet. With a single queue, a leader that fell two seconds
/// behind answered operators, votes and leases two seconds late: its entries refused callers, and
/// the next elected leader had the same backlog. Endpoint inputs therefore have a separate queue,
/// which is read when the urgent one is empty. [`Self::try_send`] drops inputs that find no room.
#[derive(Debug, Clone)]
pub(super) struct InputSender {
    urgent: Sender<CoreInput>,
    endpoints: Sender<CoreInput>,
}

/// The receiving end of the control thread's input queues.
#[derive(Debug)]
pub(super) struct InputReceiver {
    urgent: Receiver<CoreInput>,
    endpoints: Receiver<CoreInput>,
}

/// Creates the input queues of the control thread.
pub(super) fn input_queue() -> (InputSender, InputReceiver) {
    let (urgent, urgent_queue) = bounded(MAX_QUEUED_INPUTS);
    let (endpoints, endpoint_queue) = bounded(MAX_QUEUED_INPUTS);
    let receiver = InputReceiver { urgent: urgent_queue, endpoints: endpoint_queue };
    (InputSender { urgent, endpoints }, receiver)
}

impl InputSender {
    /// Sends `input`, waiting until there is room. Returns `false` if the control thread has ended.
    pub(super) fn send(&self, input: CoreInput) -> bool {
        self.queue_of(&input).send(input).is_ok()
    }

    /// Sends `input` if there is room. Returns whether it was queued.
    pub(super) fn try_send(&self, input: CoreInput) -> bool {
        self.queue_of(&input).try_send(input).is_ok()
    }

    fn queue_of(&self, input: &CoreInput) -> &Sender<CoreInput> {
        if input.is_from_endpoint() { &self.endpoints } else { &self.urgent }
    }
}

impl InputReceiver {
    /// Waits until `deadline` for the next input; urgent inputs come first.
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

    /// Queued urgent inputs, up to the maximum per step.
    pub(super) fn urgent(&self) -> impl Iterator<Item = CoreInput> + '_ {
        self.urgent.try_iter().take(MAX_URGENT_INPUTS)
    }

    /// Queued inputs, urgent ones first, up to the maximum per step.
    pub(super) fn waiting(&self) -> impl Iterator<Item = CoreInput> + '_ {
        self.urgent().chain(self.endpoints.try_iter().take(MAX_ENDPOINT_INPUTS))
    }
}
