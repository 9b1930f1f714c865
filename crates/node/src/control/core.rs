//! The control thread: runs the agreement protocol, plans groups, and answers entries and
//! operators.

use std::sync::Arc;
use std::time::Duration;

use briartray_control::agreement::{
    AgreementCore, MemberRole, ProposalRefusal, ProposalToken, ReadToken, WriteBatch,
};
use briartray_control::lease::{HoldPolicy, LeaseTerms};
use briartray_control::snapshots::SnapshotLog;
use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_link::LinkWriter;
use briartray_model::lease::LEASE_LENGTH;
use briartray_model::message::{
    AllowanceGrant, LeavingGroup, LimitGrant, RoutingSnapshot, WatchReply, WatchRequest,
};
use briartray_model::names::TermNumber;
use briartray_model::rules::RuleBook;
use briartray_model::{SortedTable, TimePoint, codec};
use briartray_placement::planner::FleetView;
use briartray_quarantine::QuarantineTracker;
use briartray_routing::retry::AllowanceAllocator;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use serde_json::{Value, json};

use super::accounting::FleetCounter;
use super::fleet::FleetRoster;
use super::input::{ControlInput, InspectKind};
use super::leases::{LeaseCoordinator, RenewalAction};
use super::limits::LimitRegistry;
use super::origin::{InspectAnswer, ProposalOrigin, ReadOrigin};
use super::peers::PeerLinks;
use super::planning::PlanDriver;
use super::shared::ControlShared;
use super::stops::{self, StopDriver};
use super::version::SnapshotVersion;
use crate::ClockReader;
use crate::metrics::{AgreementMetrics, GroupMetrics};

/// Interval of the periodic work: planning, stops and expiry.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Limits the inputs handled in one step of the agreement after the first, and thus in one disk
/// sync.
const MAX_INPUTS_PER_STEP: usize = 1024;

/// How long a new leader waits for agents to reconnect before it dissolves a group because a host
/// is missing.
///
/// Agents detect a silent leader after 3 s and then try each control host in turn.
pub(super) const RECONNECT_GRACE: Duration = Duration::from_secs(8);

/// State of one term of leadership.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: TermNumber,
    pub(super) since: TimePoint,
    /// Whether all entries committed in earlier terms have been applied on this host.
    pub(super) established: bool,
    /// Commands proposed by the planner that are not committed yet.
    pub(super) pending_plans: usize,
    /// Division of the retry allowance among the entries.
    pub(super) retries: AllowanceAllocator,
}

/// Everything that a control thread is constructed from.
pub(super) struct ControlParts {
    pub(super) clock: ClockReader,
    pub(super) agreement: AgreementCore,
    pub(super) disk: Sender<WriteBatch>,
    pub(super) peers: PeerLinks,
    pub(super) shared: Arc<ControlShared>,
    pub(super) metrics: AgreementMetrics,
    pub(super) groups: GroupMetrics,
    /// Rules to propose if no rules have ever been accepted.
    pub(super) first_rules: Option<String>,
    /// Lease policy for entries that register from now on.
    pub(super) rules_hold: HoldPolicy,
}

/// Replicated state of one control host, and what it derives or collects in memory only.
pub(super) struct ControlCore {
    pub(super) parts: ControlParts,
    pub(super) state: ControlState,
    pub(super) book: RuleBook,
    pub(super) roster: FleetRoster,
    pub(super) planner: PlanDriver,
    pub(super) counter: FleetCounter,
    pub(super) stops: StopDriver,
    pub(super) leases: LeaseCoordinator,
    pub(super) snapshots: SnapshotLog,
    pub(super) version: SnapshotVersion,
    limits: LimitRegistry,
    pub(super) quarantine: QuarantineTracker,
    pub(super) leadership: Option<Leadership>,
    pub(super) proposals: SortedTable<ProposalToken, ProposalOrigin>,
    pub(super) reads: SortedTable<ReadToken, ReadOrigin>,
    next_token: u64,
}

impl ControlCore {
    pub(super) fn new(parts: ControlParts) -> Self {
        let counter = FleetCounter::new(parts.groups.clone());
        Self {
            parts,
            counter,
            state: ControlState::default(),
            book: RuleBook::default(),
            roster: FleetRoster::default(),
            planner: PlanDriver::default(),
            stops: StopDriver::default(),
            leases: LeaseCoordinator::default(),
            snapshots: SnapshotLog::default(),
            version: SnapshotVersion::default(),
            limits: LimitRegistry::default(),
            quarantine: QuarantineTracker::default(),
            leadership: None,
            proposals: SortedTable::new(),
            reads: SortedTable::new(),
            next_token: 0,
        }
    }

    /// Handles inputs until `ControlInput::Stop` arrives, the channel closes or the role fails.
    pub(super) fn run(mut self, queue: &Receiver<ControlInput>) {
        let mut next_tick = self.now();
        loop {
            self.parts.agreement.tick(self.now());
            if self.now() >= next_tick {
                self.tick();
                next_tick = self.now().after(TICK_INTERVAL);
            }
            while self.process_output() {}
            if self.parts.shared.failure().is_some() {
                // Nothing may be answered from a state that misses a command, or while the log is
                // not being stored.
                return;
            }
            let until = next_tick.min(self.parts.agreement.deadline());
            let first = match queue.recv_timeout(until.since(self.now())) {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            for input in std::iter::once(first).chain(queue.try_iter().take(MAX_INPUTS_PER_STEP)) {
                if matches!(input, ControlInput::Stop) {
                    return;
                }
                self.handle(input);
            }
        }
    }

    pub(super) fn now(&self) -> TimePoint {
        self.parts.clock.now()
    }

    /// Proposes `command`; `origin` is answered once the command is committed and applied.
    pub(super) fn submit(&mut self, command: &ControlCommand, origin: ProposalOrigin) {
        let now = self.now();
        let token = ProposalToken(self.allocate_token());
        let encoded = match codec::encode(command) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("cannot encode a command; it is not proposed: {error}");
                return self.report_unknown(origin);
            }
        };
        match self.parts.agreement.propose(now, token, encoded) {
            Ok(()) => {
                if let (ProposalOrigin::Planner, Some(lead)) = (&origin, &mut self.leadership) {
                    lead.pending_plans += 1;
                }
                self.proposals.insert(token, origin);
            }
            Err(refusal) => match origin {
                ProposalOrigin::Operator(_) => origin.report_refusal(refusal),
                other => self.report_unknown(other),
            },
        }
    }

    /// Reports to `origin` that its command may or may not be applied later.
    pub(super) fn report_unknown(&mut self, origin: ProposalOrigin) {
        match origin {
            ProposalOrigin::Quarantine(fingerprint) => self.quarantine.lost(fingerprint),
            ProposalOrigin::PartQuarantine(part) => self.quarantine.lost_part(part),
            other => other.report_unknown(),
        }
    }

    /// Answers `origin` once a majority has confirmed that this host is still the leader.
    fn confirm_leadership(&mut self, origin: ReadOrigin) {
        let now = self.now();
        let token = ReadToken(self.allocate_token());
        match self.parts.agreement.read(now, token) {
            Ok(()) => {
                self.reads.insert(token, origin);
            }
            Err(ProposalRefusal::NotLeader { leader }) => origin.report_not_leader(leader),
            Err(_) => origin.report_not_leader(None),
        }
    }

    fn allocate_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// Updates derived state after a command was applied.
    pub(super) fn update_after(&mut self, outcome: &CommandOutcome) {
        match outcome {
            CommandOutcome::RulesAccepted { .. } => self.load_rules(),
            CommandOutcome::Quarantined { print } => self.quarantine.added(*print),
            CommandOutcome::QuarantineLifted { print } => {
                self.quarantine.lifted(self.parts.clock.now(), *print);
            }
            CommandOutcome::PartQuarantined { record } => {
                self.quarantine.added_part(self.parts.clock.now(), record);
            }
            CommandOutcome::PartLifted { part } => {
                self.quarantine.lifted_part(self.parts.clock.now(), *part);
            }
            CommandOutcome::GroupFormed { .. } | CommandOutcome::GroupDissolved { .. } => {
                self.version.bump();
                if self.is_established() {
                    self.roster.send_memberships(&self.state.groups);
                }
            }
            _ => {}
        }
    }

    pub(super) fn load_rules(&mut self) {
        let current = self.state.rules.current();
        match RuleBook::build(current.revision, &current.text) {
            Ok(book) => self.book = book,
            Err(error) => {
                log::error!("cannot load the accepted rules; keeping the previous ones: {error}")
            }
        }
        self.version.bump();
    }

    fn handle(&mut self, input: ControlInput) {
        let now = self.now();
        let leads = self.leadership.is_some();
        match input {
            ControlInput::Peer(message) => self.parts.agreement.receive(now, message),
            ControlInput::Stored { ticket } => self.parts.agreement.stored(now, ticket),
            ControlInput::Watch { request, writer } => {
                self.confirm_leadership(ReadOrigin::Watch(request, writer));
            }
            ControlInput::Ledger { request, responder } => {
                self.submit(&ControlCommand::Ledger(request), ProposalOrigin::Ledger(responder));
            }
            // Only the leader knows the fleet. Elsewhere the proposal is refused with the name of
            // the leader, so the checks against the fleet are skipped.
            ControlInput::Propose { command, reply } if !leads => {
                self.submit(&command, ProposalOrigin::Operator(reply));
            }
            ControlInput::Propose { command: ControlCommand::LiftQuarantine { print }, reply } => {
                self.lift_quarantine(print, reply);
            }
            ControlInput::Propose { command, reply } => {
                let view = self.roster.view(&self.state.groups);
                match stops::check_stop(&self.state.stops, &view, &self.book, command) {
                    Ok(command) => self.submit(&command, ProposalOrigin::Operator(reply)),
                    Err(refusal) => ProposalOrigin::Operator(reply).report_outcome(refusal),
                }
            }
            ControlInput::Inspect { kind: InspectKind::Status, reply } => {
                let _ = reply.send(InspectAnswer::Body(self.inspect(InspectKind::Status)));
            }
            ControlInput::Inspect { kind, reply } => {
                self.confirm_leadership(ReadOrigin::Inspect(kind, reply));
            }
            // Only the leader serves agents; dropping the writer closes the stream.
            ControlInput::FleetOpened { .. } | ControlInput::FleetReport { .. } if !leads => {}
            ControlInput::FleetOpened { session, writer } => {
                self.roster.open(session, writer);
                self.confirm_leadership(ReadOrigin::Fleet(session));
            }
            ControlInput::FleetReport { session, report } => {
                if self.roster.handle_report(now, session, report) {
                    self.version.bump();
                }
            }
            ControlInput::FleetClosed { session } => self.roster.close(now, session),
            ControlInput::Stop => {}
        }
    }

    fn tick(&mut self) {
        if !self.is_established() {
            return;
        }
        let now = self.now();
        self.leases.answer_waiting(now);
        self.update_quarantine(now);
        // Requests the confirmations again that were refused because the read queue was full.
        for session in self.roster.pending_sessions() {
            self.confirm_leadership(ReadOrigin::Fleet(session));
        }
        self.roster.prune(now, &self.state.groups);
        self.roster.send_memberships(&self.state.groups);
        if self.roster.expire_awaited(now, &self.state.groups) {
            self.version.bump();
        }
        self.plan(now);
        self.update_stops(now);
    }

    fn plan(&mut self, now: TimePoint) {
        let Some(leadership) = &self.leadership else { return };
        let in_grace = now.since(leadership.since) < RECONNECT_GRACE;
        let mut view = self.roster.view(&self.state.groups);
        self.counter.count(now, &view, &self.book);
        if leadership.pending_plans > 0 {
            return;
        }
        stops::mark_leaving_hosts(&mut view, &self.state.stops);
        for command in self.planner.step(now, &view, &self.book) {
            // An absent host may only not have connected to the new leader yet.
            if in_grace && ends_group_with_absent_host(&view, &command) {
                continue;
            }
            let is_drained = |group| self.roster.is_drained(&self.state.groups, group);
            if !self.stops.must_defer(now, &command, &view, is_drained) {
                self.submit(&command, ProposalOrigin::Planner);
            }
        }
    }

    fn update_stops(&mut self, now: TimePoint) {
        let groups = &self.state.groups;
        let view = self.roster.view(groups);
        if self.stops.update(now, &view, &self.state.stops, &self.book) {
            self.version.bump();
        }
        let is_drained = |group| self.roster.is_drained(groups, group);
        let stoppable = stops::stoppable_hosts(&view, &self.state.stops, is_drained);
        self.roster.send_stop_directives(groups, self.stops.leaving(), &stoppable);
        for group in self.stops.unrecorded_leaving(&view, &self.state.stops) {
            self.submit(&ControlCommand::BeginLeave { group }, ProposalOrigin::Planner);
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.established)
    }

    /// Answers a renewal. A majority must have confirmed this host as leader since the renewal
    /// arrived.
    pub(super) fn answer_watch(&mut self, request: &WatchRequest, writer: &LinkWriter) {
        let now = self.now();
        let node = request.node.clone();
        match self.leases.renew(now, request) {
            RenewalAction::Grant(terms) => self.grant_lease(request, writer, terms),
            RenewalAction::Register => {
                let terms = LeaseTerms::with_hold(self.parts.rules_hold);
                let origin = ProposalOrigin::Entry(request.clone(), writer.clone());
                self.submit(&ControlCommand::RegisterEntry { node, terms }, origin);
            }
            RenewalAction::Release => {
                self.submit(&ControlCommand::ForgetEntry { node }, ProposalOrigin::NoReply);
            }
            RenewalAction::Ignore => {}
        }
        self.leases.answer_waiting(now);
    }

    fn grant_lease(&mut self, request: &WatchRequest, writer: &LinkWriter, terms: LeaseTerms) {
        if self.snapshots.version() != self.version.number() {
            let snapshot = self.snapshot();
            self.snapshots.push(snapshot);
        }
        let prints = self.process_run_events(self.now(), request);
        let reply = WatchReply {
            nonce: request.nonce,
            terms,
            snapshot: self.snapshots.update(request.adopted),
            shares: self.share_limits(request),
            prints,
            retries: self.share_retries(request),
        };
        // An entry whose queue is full misses this reply; its lease expires unless it renews again.
        let _ = writer.try_send(&reply);
    }

    /// Grants shares of the limits that the renewal asks for; called on a confirmed leader only.
    fn share_limits(&mut self, request: &WatchRequest) -> Vec<LimitGrant> {
        let now = self.now();
        let Some(leadership) = &self.leadership else { return Vec::new() };
        self.limits.renew(now, leadership, LEASE_LENGTH, &self.book, request)
    }

    /// Grants shares of the retry allowance; called on a confirmed leader only.
    fn share_retries(&mut self, request: &WatchRequest) -> Vec<AllowanceGrant> {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        leadership.retries.renew(now, &request.node, request.nonce.0, &request.retries)
    }

    fn snapshot(&self) -> RoutingSnapshot {
        let rules = self.state.rules.current();
        RoutingSnapshot {
            version: self.version.number(),
            revision: rules.revision,
            rules: rules.text.clone(),
            groups: self.roster.records(&self.state.groups),
            leaving: self
                .stops
                .leaving()
                .iter()
                .map(|group| LeavingGroup { group: *group })
                .collect(),
        }
    }

    pub(super) fn inspect(&self, kind: InspectKind) -> Value {
        let rules = self.state.rules.current();
        let agreement = &self.parts.agreement;
        match kind {
            InspectKind::Status => json!({
                "role": role_name(agreement.role()),
                "term": agreement.term().0,
                "leader": agreement.leader(),
                "commit": agreement.commit().0,
                "last": agreement.last_index().0,
                "revision": rules.revision.0,
                "hosts": self.roster.connected_hosts(),
                "groups": self.state.groups.groups().count(),
                "claims": self.state.ledger.len(),
            }),
            InspectKind::Stops => {
                let view = self.roster.view(&self.state.groups);
                let is_drained = |group| self.roster.is_drained(&self.state.groups, group);
                self.stops.to_json(&self.state.stops, &view, &self.book, is_drained)
            }
            InspectKind::Groups => json!(self.roster.records(&self.state.groups)),
            InspectKind::Account => self.counter.to_json(&self.book),
            InspectKind::Quarantine => self.quarantine_json(),
            InspectKind::Entries => self.leases.to_json(self.now()),
            InspectKind::Rules => json!({ "revision": rules.revision.0, "text": rules.text }),
        }
    }
}

/// Whether `command` dissolves or replaces a group that has a member without a session.
fn ends_group_with_absent_host(view: &FleetView, command: &ControlCommand) -> bool {
    let (ControlCommand::DissolveGroup { group } | ControlCommand::ReplaceGroup { group, .. }) =
        command
    else {
        return false;
    };
    let members = view.groups.get(group).map(|group| group.members.as_slice()).unwrap_or_default();
    members.iter().any(|host| view.hosts.get(host).is_none_or(|host| !host.present))
}

fn role_name(role: MemberRole) -> &'static str {
    match role {
        MemberRole::Learner => "learner",
        MemberRole::Follower => "follower",
        MemberRole::Candidate => "candidate",
        MemberRole::Leader => "leader",
    }
}
