//! Rules leases on the leader: renewals by entries, and operators who wait until a change is in
//! force.

use std::time::Duration;

use briartray_control::lease::{LeaseBook, LeaseTerms};
use briartray_control::state::CommandOutcome;
use briartray_model::TimePoint;
use briartray_model::message::WatchRequest;
use briartray_model::names::{NodeName, RevisionNumber};
use crossbeam::channel::Sender;
use serde_json::{Value, json};

use super::origin::ProposalAnswer;

/// How long an operator's call waits for a change to be in force on every entry.
///
/// Longer than a lease usually lasts, so that a single dead entry does not cause a timeout, and
/// shorter than the timeout of operator calls.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(14);

/// A committed change for which an operator waits until it is in force.
#[derive(Debug)]
struct WaitingChange {
    revision: RevisionNumber,
    since: TimePoint,
    reply: Sender<ProposalAnswer>,
}

/// How a renewal is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RenewalAction {
    /// Grant the lease under these terms.
    Grant(LeaseTerms),
    /// Register the entry first.
    Register,
    /// The entry is stopping; remove its registration.
    Release,
    /// Do nothing: this host does not lead, or the entry is leaving and not registered.
    Ignore,
}

/// Leases in a leader's term, and the operators' changes that wait for them.
#[derive(Debug, Default)]
pub(super) struct LeaseCoordinator {
    book: Option<LeaseBook>,
    waiting: Vec<WaitingChange>,
}

impl LeaseCoordinator {
    /// Starts a term of leadership with the entries in `registered`.
    pub(super) fn begin_term(&mut self, now: TimePoint, registered: &[(NodeName, LeaseTerms)]) {
        self.book = Some(LeaseBook::new(now, registered));
    }

    /// Ends the term. Waiting operators get `ProposalAnswer::Unknown`, and can send the same
    /// change id to the next leader.
    pub(super) fn end_term(&mut self) {
        self.book = None;
        for change in self.waiting.drain(..) {
            let _ = change.reply.send(ProposalAnswer::Unknown);
        }
    }

    /// Records the registration of an entry, or its removal.
    pub(super) fn record_outcome(
        &mut self,
        outcome: &CommandOutcome,
        registered: Option<LeaseTerms>,
    ) {
        let Some(book) = &mut self.book else { return };
        match (outcome, registered) {
            (CommandOutcome::EntryRegistered { node }, Some(terms)) => book.register(node, terms),
            (CommandOutcome::EntryForgotten { node }, _) => book.forget(node),
            _ => {}
        }
    }

    /// Handles a renewal. A majority must have confirmed this host as leader after it arrived.
    pub(super) fn renew(&mut self, now: TimePoint, request: &WatchRequest) -> RenewalAction {
        let Some(book) = &mut self.book else { return RenewalAction::Ignore };
        if !book.is_registered(&request.node) {
            return if request.leaving { RenewalAction::Ignore } else { RenewalAction::Register };
        }
        if request.leaving {
            return RenewalAction::Release;
        }
        book.adopted(&request.node, request.revision);
        book.grant(now, &request.node).map_or(RenewalAction::Register, RenewalAction::Grant)
    }

    /// Adds an operator who waits until `revision` is in force on every entry.
    pub(super) fn add_waiting(
        &mut self,
        now: TimePoint,
        revision: RevisionNumber,
        reply: Sender<ProposalAnswer>,
    ) {
        self.waiting.push(WaitingChange { revision, since: now, reply });
    }

    /// Answers the operators whose change is in force or whose wait has timed out.
    pub(super) fn answer_waiting(&mut self, now: TimePoint) {
        let Some(book) = &self.book else { return };
        self.waiting.retain(|change| {
            let revision = change.revision;
            let answer = if book.in_force(now, revision) {
                ProposalAnswer::Applied(CommandOutcome::RulesAccepted { revision })
            } else if now.since(change.since) >= IN_FORCE_TIMEOUT {
                let waiting_for = book.waiting_for(now, revision);
                ProposalAnswer::Committed { revision, waiting_for }
            } else {
                return true;
            };
            let _ = change.reply.send(answer);
            false
        });
    }

    /// All registered entries, for operators.
    pub(super) fn to_json(&self, now: TimePoint) -> Value {
        let entry_leases =
            self.book.as_ref().map(|book| book.entry_leases(now)).unwrap_or_default();
        let rows = entry_leases.into_iter().map(|(node, revision, decides)| {
            json!({ "node": node, "revision": revision.0, "may_decide": decides })
        });
        rows.collect()
    }
}
