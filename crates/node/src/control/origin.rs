//! Who waits for a proposal or a confirmed read, and how each is answered.

use briartray_control::agreement::ProposalRefusal;
use briartray_control::state::CommandOutcome;
use briartray_link::LinkWriter;
use briartray_model::message::{LedgerReply, WatchRequest};
use briartray_model::names::{NodeName, RequestPrint, RevisionNumber};
use crossbeam::channel::Sender;
use serde_json::Value;

use super::input::{InspectKind, LedgerPort, SessionId};

/// Who waits for the outcome of a command.
#[derive(Debug)]
pub(super) enum ProposalOrigin {
    /// The planner, which looks at the state again on its next round.
    Planner,
    /// The rules that a new cluster starts with.
    FirstRules,
    /// An operator.
    Operator(Sender<ProposalAnswer>),
    /// An entry that asked the ledger.
    Ledger(LedgerPort),
    /// An entry that is registered before its renewal is answered.
    Entry(WatchRequest, LinkWriter),
    /// The leader, about a request in quarantine.
    Quarantine(RequestPrint),
    /// Nobody; the command follows from what an entry said.
    Nobody,
}

/// Who waits for a majority to confirm that this host leads.
#[derive(Debug)]
pub(super) enum ReadOrigin {
    /// An entry that renews its lease.
    Watch(WatchRequest, LinkWriter),
    /// An agent that opened a session.
    Fleet(SessionId),
    /// An operator.
    Inspect(InspectKind, Sender<InspectAnswer>),
}

/// What became of an operator's command.
#[derive(Debug)]
pub(super) enum ProposalAnswer {
    /// It was committed and applied.
    Done(CommandOutcome),
    /// It was committed, and some entries may still decide under older rules.
    Committed { revision: RevisionNumber, waiting_for: Vec<NodeName> },
    /// Nothing of it was kept.
    Refused(ProposalRefusal),
    /// Leadership ended before it was committed; another leader may still commit it.
    Unknown,
}

/// What an operator sees.
#[derive(Debug)]
pub(super) enum InspectAnswer {
    /// What was asked for.
    Shown(Value),
    /// Another host leads, or none does.
    NotLeader(Option<NodeName>),
}

impl ProposalOrigin {
    /// Tells the outcome of a command that was applied.
    pub(super) fn done(self, outcome: CommandOutcome) {
        match self {
            Self::Planner => log::info!("plan: {outcome:?}"),
            Self::FirstRules => log::info!("first rules: {outcome:?}"),
            // The core answers the renewal itself; see `apply_command`.
            Self::Entry(..) | Self::Nobody => {}
            Self::Quarantine(_) => log::info!("quarantine: {outcome:?}"),
            Self::Operator(reply) => {
                let _ = reply.send(ProposalAnswer::Done(outcome));
            }
            Self::Ledger(port) => {
                let reply = match outcome {
                    CommandOutcome::Ledger(reply) => reply,
                    _ => LedgerReply::Unavailable,
                };
                port.answer(reply);
            }
        }
    }

    /// Tells that nothing was kept.
    pub(super) fn refused(self, refusal: ProposalRefusal) {
        match self {
            Self::Operator(reply) => {
                let _ = reply.send(ProposalAnswer::Refused(refusal));
            }
            other => other.unknown(),
        }
    }

    /// Tells that leadership ended before the command was committed.
    pub(super) fn unknown(self) {
        match self {
            Self::Planner
            | Self::FirstRules
            | Self::Entry(..)
            | Self::Quarantine(_)
            | Self::Nobody => {}
            Self::Operator(reply) => {
                let _ = reply.send(ProposalAnswer::Unknown);
            }
            Self::Ledger(port) => port.answer(LedgerReply::Unavailable),
        }
    }
}

impl ReadOrigin {
    /// Tells that this host does not lead. A watcher is not answered: its stream ends, and it
    /// asks another control host.
    pub(super) fn not_leader(self, leader: Option<NodeName>) {
        if let Self::Inspect(_, reply) = self {
            let _ = reply.send(InspectAnswer::NotLeader(leader));
        }
    }
}
