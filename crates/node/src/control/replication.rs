//! How the control thread handles the output of the agreement.

use briartray_control::agreement::{
    CommittedEntry, EntryPayload, LogDelivery, LogSnapshot, MemberRole,
};
use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_model::codec;
use briartray_model::names::RevisionNumber;
use briartray_quarantine::QuarantineTracker;
use briartray_routing::retry::{AllowanceAllocator, CALL_ALLOWANCE};

use super::core::{ControlCore, Leadership};
use super::fleet::FleetRoster;
use super::origin::{InspectAnswer, ProposalOrigin, ReadOrigin};
use super::planning::PlanDriver;
use super::stops::StopDriver;
use super::version::SnapshotVersion;
use crate::new_change_id;

impl ControlCore {
    /// Handles everything that the agreement has output so far. Returns `true` when a log entry
    /// was applied, which may have caused more output.
    pub(super) fn process_output(&mut self) -> bool {
        let now = self.now();
        let output = self.parts.agreement.drain(now);
        if let Some(batch) = output.batch {
            // The channel is closed only when the storage thread has failed and the process ends.
            let _ = self.parts.disk.send(batch);
        }
        for (to, message) in output.messages {
            self.parts.peers.send(&to, message);
        }
        for token in output.lost {
            if let Some(origin) = self.proposals.remove(&token) {
                self.report_unknown(origin);
            }
        }
        self.update_leadership();
        let applied = !output.deliveries.is_empty();
        for delivery in output.deliveries {
            match delivery {
                LogDelivery::Entry(committed) => self.apply(committed),
                LogDelivery::Restore(snapshot) => self.restore(&snapshot),
            }
            if self.parts.shared.failure().is_some() {
                return false;
            }
        }
        for token in output.unconfirmed {
            if let Some(origin) = self.reads.remove(&token) {
                origin.report_not_leader(self.parts.agreement.leader().cloned());
            }
        }
        for token in output.confirmed {
            if let Some(origin) = self.reads.remove(&token) {
                self.answer_read(origin);
            }
        }
        self.take_snapshot();
        self.parts.metrics.update(&self.parts.agreement);
        applied
    }

    /// Starts or ends leadership when the agreement's role or term has changed.
    fn update_leadership(&mut self) {
        let term = self.parts.agreement.term();
        let leads = self.parts.agreement.role() == MemberRole::Leader;
        let led_term = self.leadership.as_ref().map(|leadership| leadership.term);
        if led_term == leads.then_some(term) {
            return;
        }
        // Agents open new sessions with the new leader; reports of the old sessions are outdated.
        self.roster = FleetRoster::default();
        self.planner = PlanDriver::default();
        self.stops = StopDriver::default();
        self.quarantine = QuarantineTracker::new(self.now(), &self.state.quarantine);
        self.leases.end_term();
        self.snapshots.clear();
        self.leadership = None;
        if leads {
            let since = self.now();
            self.version = SnapshotVersion::first_of(term);
            self.leadership = Some(Leadership {
                term,
                since,
                established: false,
                pending_plans: 0,
                retries: AllowanceAllocator::new(since, CALL_ALLOWANCE, true),
            });
        }
        self.parts.shared.set_leading(leads.then_some(term.0));
    }

    fn apply(&mut self, committed: CommittedEntry) {
        let CommittedEntry { entry, token } = committed;
        let origin = token.and_then(|token| self.proposals.remove(&token));
        if matches!(origin, Some(ProposalOrigin::Planner))
            && let Some(leadership) = &mut self.leadership
        {
            leadership.pending_plans = leadership.pending_plans.saturating_sub(1);
        }
        let own_term = self.leadership.as_ref().is_some_and(|lead| lead.term == entry.term);
        match entry.payload {
            EntryPayload::Blank if own_term => self.establish(),
            EntryPayload::Blank | EntryPayload::Admit(_) | EntryPayload::Dismiss(_) => {}
            EntryPayload::Command(bytes) => self.apply_command(&bytes, origin),
        }
    }

    fn apply_command(&mut self, bytes: &[u8], origin: Option<ProposalOrigin>) {
        let command: ControlCommand = match codec::decode(bytes) {
            Ok(command) => command,
            Err(error) => {
                // Skipping the command would make this replica's state diverge from the others.
                return self.parts.shared.fail(&format!("cannot decode a command: {error}"));
            }
        };
        let outcome = self.state.apply(&command);
        self.update_after(&outcome);
        let terms = match &command {
            ControlCommand::RegisterEntry { terms, .. } => Some(*terms),
            _ => None,
        };
        self.leases.record_outcome(&outcome, terms);
        match (origin, &outcome) {
            (Some(ProposalOrigin::Operator(reply)), CommandOutcome::RulesAccepted { revision }) => {
                // A committed change is not yet in force: entries may still decide under older
                // rules, so the operator waits for their leases.
                let now = self.now();
                self.leases.add_waiting(now, *revision, reply);
                self.leases.answer_waiting(now);
            }
            (
                Some(ProposalOrigin::Entry(request, writer)),
                CommandOutcome::EntryRegistered { .. },
            ) => self.answer_watch(&request, &writer),
            (Some(ProposalOrigin::Entry(request, _)), refused) => {
                log::error!(
                    entry = request.node.as_str();
                    "cannot register an entry; it gets no lease: {refused:?}"
                );
            }
            (Some(origin), _) => origin.report_outcome(outcome),
            (None, _) => {}
        }
    }

    /// Starts to act as leader, now that all entries committed in earlier terms have been applied.
    fn establish(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        leadership.established = true;
        let now = self.parts.clock.now();
        self.leases.begin_term(now, &self.state.entries.registered());
        self.version.bump();
        self.roster.await_reports(&self.state.groups);
        let unset = self.state.rules.current().revision == RevisionNumber::default();
        // Entries send nothing before there are rules, so no earlier leader has granted retries.
        if let Some(leadership) = &mut self.leadership {
            leadership.retries = AllowanceAllocator::new(now, CALL_ALLOWANCE, !unset);
        }
        if let Some(text) = self.parts.first_rules.clone().filter(|_| unset) {
            // Expects revision 0, so the rules are accepted only if no others were accepted first.
            let expect = Some(RevisionNumber::default());
            let command = ControlCommand::ApplyRules { change: new_change_id(), expect, text };
            self.submit(&command, ProposalOrigin::FirstRules);
        }
    }

    fn restore(&mut self, snapshot: &LogSnapshot) {
        match ControlState::decode(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => return self.parts.shared.fail(&format!("unreadable snapshot: {error}")),
        }
        self.parts.metrics.record_restore();
        self.load_rules();
    }

    fn answer_read(&mut self, origin: ReadOrigin) {
        match origin {
            ReadOrigin::Watch(request, writer) => self.answer_watch(&request, &writer),
            ReadOrigin::Fleet(session) => {
                self.roster.admit(session);
                self.roster.send_memberships(&self.state.groups);
            }
            ReadOrigin::Inspect(kind, reply) => {
                let _ = reply.send(InspectAnswer::Body(self.inspect(kind)));
            }
        }
    }

    fn take_snapshot(&mut self) {
        if !self.parts.agreement.wants_snapshot() {
            return;
        }
        match self.state.encode() {
            Ok(data) => self.parts.agreement.compact(data),
            Err(error) => self.parts.shared.fail(&format!("cannot encode the state: {error}")),
        }
    }
}
