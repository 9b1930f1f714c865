//! Rules leases on the leader: renewals, and operators who wait for a change to be in force.

use std::time::Duration;

use briartray_control::lease::{LeaseBook, LeaseTerms};
use briartray_control::state::CommandOutcome;
use briartray_model::TimePoint;
use briartray_model::message::WatchRequest;
use briartray_model::names::{NodeName, RevisionNumber};
use crossbeam::channel::Sender;
use serde_json::{Value, json};

use super::origin::ProposalAnswer;

/// How long an operator is kept waiting for a change to be in force everywhere.
///
/// Longer than the usual bound of a lease, so that one dead entry does not show; shorter than
/// operators' calls may take.
const ACCEPT_WAIT: Duration = Duration::from_secs(14);

/// An operator who waits.
#[derive(Debug)]
struct WaitingChange {
    revision: RevisionNumber,
    since: TimePoint,
    reply: Sender<ProposalAnswer>,
}

/// What is done about a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RenewalStep {
    /// The lease is granted under these terms.
    Grant(LeaseTerms),
    /// The entry must be registered first.
    Register,
    /// The entry has stopped and is struck off.
    Release,
    /// Nothing; this host does not lead.
    Ignore,
}

/// Leases of a leader's term, and who waits for them.
#[derive(Debug, Default)]
pub(super) struct LeaseDesk {
    book: Option<LeaseBook>,
    waiting: Vec<WaitingChange>,
}

impl LeaseDesk {
    /// Begins a term of leadership.
    pub(super) fn begin(&mut self, now: TimePoint, registered: &[(NodeName, LeaseTerms)]) {
        self.book = Some(LeaseBook::new(now, registered));
    }

    /// Ends it: whoever waits asks the next leader with the same change id.
    pub(super) fn end(&mut self) {
        self.book = None;
        for change in self.waiting.drain(..) {
            let _ = change.reply.send(ProposalAnswer::Unknown);
        }
    }

    /// Takes note of a registration or of its end.
    pub(super) fn follow(&mut self, outcome: &CommandOutcome, registered: Option<LeaseTerms>) {
        let Some(book) = &mut self.book else { return };
        match (outcome, registered) {
            (CommandOutcome::EntryRegistered { node }, Some(terms)) => book.register(node, terms),
            (CommandOutcome::EntryForgotten { node }, _) => book.forget(node),
            _ => {}
        }
    }

    /// Takes a renewal that came before a majority confirmed that this host leads.
    pub(super) fn renew(&mut self, now: TimePoint, request: &WatchRequest) -> RenewalStep {
        let Some(book) = &mut self.book else { return RenewalStep::Ignore };
        if !book.is_registered(&request.node) {
            return if request.leaving { RenewalStep::Ignore } else { RenewalStep::Register };
        }
        if request.leaving {
            return RenewalStep::Release;
        }
        book.adopted(&request.node, request.revision);
        book.grant(now, &request.node).map_or(RenewalStep::Register, RenewalStep::Grant)
    }

    /// Lets an operator wait until `revision` is in force everywhere.
    pub(super) fn wait(
        &mut self,
        now: TimePoint,
        revision: RevisionNumber,
        reply: Sender<ProposalAnswer>,
    ) {
        self.waiting.push(WaitingChange { revision, since: now, reply });
    }

    /// Answers operators whose change is in force, or who have waited long enough.
    pub(super) fn settle(&mut self, now: TimePoint) {
        let Some(book) = &self.book else { return };
        self.waiting.retain(|change| {
            let revision = change.revision;
            let answer = if book.in_force(now, revision) {
                ProposalAnswer::Done(CommandOutcome::RulesAccepted { revision })
            } else if now.since(change.since) >= ACCEPT_WAIT {
                let waiting_for = book.waiting_for(now, revision);
                ProposalAnswer::Committed { revision, waiting_for }
            } else {
                return true;
            };
            let _ = change.reply.send(answer);
            false
        });
    }

    /// Every registered entry, for operators.
    pub(super) fn show(&self, now: TimePoint) -> Value {
        let entry_leases =
            self.book.as_ref().map(|book| book.entry_leases(now)).unwrap_or_default();
        let rows = entry_leases.into_iter().map(|(node, revision, decides)| {
            json!({ "node": node, "revision": revision.0, "may_decide": decides })
        });
        rows.collect()
    }
}
