//! Inputs of the control thread.

use briartray_control::agreement::PeerMessage;
use briartray_control::state::ControlCommand;
use briartray_link::LinkWriter;
use briartray_model::message::{
    AgentReport, LedgerAnswer, LedgerReply, LedgerRequest, WatchRequest,
};
use crossbeam::channel::Sender;

use super::origin::{InspectAnswer, ProposalAnswer};

/// Identifies one agent's stream, unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionId(pub(super) u64);

/// Sends the answer to one call on a ledger stream.
#[derive(Debug, Clone)]
pub(super) struct LedgerResponder {
    pub(super) number: u64,
    pub(super) answers: Sender<LedgerAnswer>,
}

impl LedgerResponder {
    /// Answers the call; does nothing if the stream has closed.
    pub(super) fn answer(&self, reply: LedgerReply) {
        let _ = self.answers.send(LedgerAnswer { number: self.number, reply });
    }
}

/// One input of the control thread.
#[derive(Debug)]
pub(super) enum ControlInput {
    /// A message of the agreement from another control host.
    Peer(PeerMessage),
    /// A batch of writes has been synced to disk.
    Stored { ticket: u64 },
    /// An agent opened a stream.
    FleetOpened { session: SessionId, writer: LinkWriter },
    /// An agent sent a report.
    FleetReport { session: SessionId, report: AgentReport },
    /// An agent's stream has closed.
    FleetClosed { session: SessionId },
    /// An entry renews its lease.
    Watch { request: WatchRequest, writer: LinkWriter },
    /// An entry sent a request to the ledger.
    Ledger { request: LedgerRequest, responder: LedgerResponder },
    /// An operator proposes a change.
    Propose { command: ControlCommand, reply: Sender<ProposalAnswer> },
    /// An operator queries the state.
    Inspect { kind: InspectKind, reply: Sender<InspectAnswer> },
    /// The role is being stopped.
    Stop,
}

/// What an operator can query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InspectKind {
    /// Summary of role, rules revision, hosts and groups, as known to this host.
    Status,
    /// All groups.
    Groups,
    /// Group downtime and stranded accelerators counted while this host led.
    Account,
    /// The rule document.
    Rules,
    /// All planned stops.
    Stops,
    /// All entries that may hold a rules lease.
    Entries,
    /// Requests that are refused because they crashed endpoints.
    Quarantine,
}
