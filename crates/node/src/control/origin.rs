//! Origins of proposals and confirmed reads, and how each of them is answered.

use briartray_control::agreement::ProposalRefusal;
use briartray_control::state::CommandOutcome;
use briartray_link::LinkWriter;
use briartray_model::message::{LedgerReply, WatchRequest};
use briartray_model::names::{NodeName, PartId, RequestFingerprint, RevisionNumber};
use crossbeam::channel::Sender;
use serde_json::Value;

use super::input::{InspectKind, LedgerResponder, SessionId};

/// Where a proposed command comes from, and who gets its outcome.
#[derive(Debug)]
pub(super) enum ProposalOrigin {
    /// The planner, which reads the state again in its next round.
    Planner,
    /// The first rules of a new cluster.
    FirstRules,
    /// An operator.
    Operator(Sender<ProposalAnswer>),
    /// An entry that sent a request to the ledger.
    Ledger(LedgerResponder),
    /// An entry that must be registered before its renewal is answered.
    Entry(WatchRequest, LinkWriter),
    /// The quarantine tracker of the leader.
    Quarantine(RequestFingerprint),
    /// The quarantine tracker of the leader, about a prompt part.
    PartQuarantine(PartId),
    /// The leader on its own, for an entry that is leaving; nothing waits for the outcome.
    NoReply,
}

/// Who waits until a majority has confirmed that this host is still the leader.
#[derive(Debug)]
pub(super) enum ReadOrigin {
    /// An entry that renews its lease.
    Watch(WatchRequest, LinkWriter),
    /// An agent that opened a session.
    Fleet(SessionId),
    /// An operator's query.
    Inspect(InspectKind, Sender<InspectAnswer>),
}

/// Result of an operator's command.
#[derive(Debug)]
pub(super) enum ProposalAnswer {
    /// The command was committed and applied.
    Applied(CommandOutcome),
    /// The change was committed, but some entries may still decide under older rules.
    Committed { revision: RevisionNumber, waiting_for: Vec<NodeName> },
    /// The command was refused and will not be applied.
    Refused(ProposalRefusal),
    /// Leadership ended before the outcome was known; another leader may still commit the command.
    Unknown,
}

/// Answer to an operator's query.
#[derive(Debug)]
pub(super) enum InspectAnswer {
    /// The JSON body of the answer.
    Body(Value),
    /// This host does not lead; names the leader if it is known.
    NotLeader(Option<NodeName>),
}

impl ProposalOrigin {
    /// Reports the outcome of a command that was applied.
    pub(super) fn report_outcome(self, outcome: CommandOutcome) {
        match self {
            Self::Planner => log::info!("command of the planner applied: {outcome:?}"),
            Self::FirstRules => log::info!("proposal of the first rules applied: {outcome:?}"),
            // `ControlCore::apply_command` answers the renewal of an entry.
            Self::Entry(..) | Self::NoReply => {}
            Self::Quarantine(_) | Self::PartQuarantine(_) => {
                log::info!("change of the quarantine applied: {outcome:?}");
            }
            Self::Operator(reply) => {
                let _ = reply.send(ProposalAnswer::Applied(outcome));
            }
            Self::Ledger(responder) => {
                let reply = match outcome {
                    CommandOutcome::Ledger(reply) => reply,
                    _ => LedgerReply::Unavailable,
                };
                responder.answer(reply);
            }
        }
    }

    /// Reports that the command was refused and will not be applied.
    pub(super) fn report_refusal(self, refusal: ProposalRefusal) {
        match self {
            Self::Operator(reply) => {
                let _ = reply.send(ProposalAnswer::Refused(refusal));
            }
            other => other.report_unknown(),
        }
    }

    /// Reports that leadership ended before the command was committed.
    pub(super) fn report_unknown(self) {
        match self {
            Self::Planner
            | Self::FirstRules
            | Self::Entry(..)
            | Self::Quarantine(_)
            | Self::PartQuarantine(_)
            | Self::NoReply => {}
            Self::Operator(reply) => {
                let _ = reply.send(ProposalAnswer::Unknown);
            }
            Self::Ledger(responder) => responder.answer(LedgerReply::Unavailable),
        }
    }
}

impl ReadOrigin {
    /// Answers an operator that this host does not lead. Entries and agents get no answer: their
    /// streams are closed, and they connect to another control host.
    pub(super) fn report_not_leader(self, leader: Option<NodeName>) {
        if let Self::Inspect(_, reply) = self {
            let _ = reply.send(InspectAnswer::NotLeader(leader));
        }
    }
}
