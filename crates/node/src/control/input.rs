//! What reaches the control thread.

use briartray_control::agreement::PeerMessage;
use briartray_control::state::ControlCommand;
use briartray_link::LinkWriter;
use briartray_model::message::{
    AgentReport, LedgerAnswer, LedgerReply, LedgerRequest, WatchRequest,
};
use crossbeam::channel::Sender;

use super::origin::{InspectAnswer, ProposalAnswer};

/// Number of one agent's stream, unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionId(pub(super) u64);

/// Where the answer to one call on a ledger stream goes.
#[derive(Debug, Clone)]
pub(super) struct LedgerPort {
    pub(super) number: u64,
    pub(super) answers: Sender<LedgerAnswer>,
}

impl LedgerPort {
    /// Answers the call; the stream may be gone.
    pub(super) fn answer(&self, reply: LedgerReply) {
        let _ = self.answers.send(LedgerAnswer { number: self.number, reply });
    }
}

/// One input of the control thread.
#[derive(Debug)]
pub(super) enum ControlInput {
    /// Another control host said something.
    Peer(PeerMessage),
    /// A batch of writes is synced.
    Stored { ticket: u64 },
    /// An agent opened a stream.
    FleetOpened { session: SessionId, writer: LinkWriter },
    /// An agent reported.
    FleetReport { session: SessionId, report: AgentReport },
    /// An agent's stream is gone.
    FleetClosed { session: SessionId },
    /// An entry renews its lease.
    Watch { request: WatchRequest, writer: LinkWriter },
    /// An entry asks the ledger.
    Ledger { request: LedgerRequest, port: LedgerPort },
    /// An operator changes something.
    Propose { command: ControlCommand, reply: Sender<ProposalAnswer> },
    /// An operator looks at something.
    Inspect { what: InspectKind, reply: Sender<InspectAnswer> },
    /// The process ends.
    Stop,
}

/// What an operator may look at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InspectKind {
    /// Revision, hosts and groups in short, as far as this host knows.
    Status,
    /// Every group.
    Groups,
    /// Group downtime and stranded accelerators since this host leads.
    Account,
    /// The rule document.
    Rules,
    /// Every planned stop.
    Stops,
    /// Every entry that may hold a rules lease.
    Entries,
    /// Requests that are refused since they crash endpoints.
    Quarantine,
}
