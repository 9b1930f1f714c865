//! The control thread: steps the agreement, plans groups, answers entries and operators.

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
    LeavingMark, LimitGrant, RoutingSnapshot, WatchReply, WatchRequest,
};
use briartray_model::names::TermNumber;
use briartray_model::rules::RuleBook;
use briartray_model::{SortedTable, TimePoint, codec};
use briartray_placement::planner::FleetView;
use briartray_quarantine::QuarantineTracker;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use serde_json::{Value, json};

use super::accounting::FleetCounter;
use super::fleet::FleetRoster;
use super::input::{ControlInput, InspectKind};
use super::leases::{LeaseDesk, RenewalStep};
use super::limits::LimitRegistry;
use super::origin::{InspectAnswer, ProposalOrigin, ReadOrigin};
use super::peers::PeerLinks;
use super::planning::PlanDriver;
use super::shared::ControlShared;
use super::stops::{self, StopDriver};
use super::version::SnapshotVersion;
use crate::ClockReader;
use crate::metrics::{AgreementMetrics, GroupMetrics};

/// Time between two rounds of planning.
const TICK: Duration = Duration::from_millis(200);

/// Inputs that share one step of the agreement, and so one sync, at most.
const MAX_INPUTS_PER_STEP: usize = 1024;

/// How long a new leader lets agents reconnect before it dissolves a group for a missing host.
///
/// Agents of a leader that went silent notice it after 3 s and try each control host in turn.
pub(super) const RECONNECT_GRACE: Duration = Duration::from_secs(8);

/// What a leader keeps while it leads.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: TermNumber,
    pub(super) since: TimePoint,
    /// Whether everything committed before is applied here.
    pub(super) established: bool,
    /// Proposals of the planner that are not committed yet.
    pub(super) plans_open: usize,
}

/// The parts that a control thread is made of.
pub(super) struct ControlParts {
    pub(super) clock: ClockReader,
    pub(super) agreement: AgreementCore,
    pub(super) disk: Sender<WriteBatch>,
    pub(super) peers: PeerLinks,
    pub(super) shared: Arc<ControlShared>,
    pub(super) metrics: AgreementMetrics,
    pub(super) groups: GroupMetrics,
    /// Rules to start with when nothing was ever accepted.
    pub(super) first_rules: Option<String>,
    /// Terms for entries that register from now on.
    pub(super) rules_hold: HoldPolicy,
}

/// State and soft knowledge of one control host.
pub(super) struct ControlCore {
    pub(super) parts: ControlParts,
    pub(super) state: ControlState,
    pub(super) book: RuleBook,
    pub(super) roster: FleetRoster,
    pub(super) planner: PlanDriver,
    pub(super) counter: FleetCounter,
    pub(super) stops: StopDriver,
    pub(super) leases: LeaseDesk,
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
            leases: LeaseDesk::default(),
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

    /// Runs until told to stop.
    pub(super) fn run(mut self, queue: &Receiver<ControlInput>) {
        let mut next_tick = self.now();
        loop {
            self.parts.agreement.tick(self.now());
            if self.now() >= next_tick {
                self.tick();
                next_tick = self.now().after(TICK);
            }
            while self.advance() {}
            if self.parts.shared.failure().is_some() {
                // A state that misses a command, or a log that is not kept, answers nobody.
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

    /// Submits `command`; whoever waits learns the outcome once it is committed and applied.
    pub(super) fn submit(&mut self, command: &ControlCommand, origin: ProposalOrigin) {
        let now = self.now();
        let token = ProposalToken(self.take_token());
        let encoded = match codec::encode(command) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("a command has no encoding: {error}");
                return self.lose(origin);
            }
        };
        match self.parts.agreement.propose(now, token, encoded) {
            Ok(()) => {
                if let (ProposalOrigin::Planner, Some(lead)) = (&origin, &mut self.leadership) {
                    lead.plans_open += 1;
                }
                self.proposals.insert(token, origin);
            }
            Err(refusal) => match origin {
                ProposalOrigin::Operator(_) => origin.refused(refusal),
                other => self.lose(other),
            },
        }
    }

    /// A command that may or may not be applied later.
    pub(super) fn lose(&mut self, origin: ProposalOrigin) {
        match origin {
            ProposalOrigin::Quarantine(print) => self.quarantine.lost(print),
            other => other.unknown(),
        }
    }

    /// Lets `origin` wait until a majority confirms that this host leads.
    fn confirm(&mut self, origin: ReadOrigin) {
        let now = self.now();
        let token = ReadToken(self.take_token());
        match self.parts.agreement.read(now, token) {
            Ok(()) => {
                self.reads.insert(token, origin);
            }
            Err(ProposalRefusal::NotLeader { leader }) => origin.not_leader(leader),
            Err(_) => origin.not_leader(None),
        }
    }

    fn take_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// Does what follows from a command that was applied.
    pub(super) fn follow_up(&mut self, outcome: &CommandOutcome) {
        match outcome {
            CommandOutcome::RulesAccepted { .. } => self.adopt_rules(),
            CommandOutcome::Quarantined { print } => self.quarantine.added(*print),
            CommandOutcome::QuarantineLifted { print } => {
                self.quarantine.lifted(self.parts.clock.now(), *print);
            }
            CommandOutcome::GroupFormed { .. } | CommandOutcome::GroupDissolved { .. } => {
                self.version.bump();
                if self.is_established() {
                    self.roster.direct(&self.state.groups);
                }
            }
            _ => {}
        }
    }

    pub(super) fn adopt_rules(&mut self) {
        let current = self.state.rules.current();
        match RuleBook::build(current.revision, &current.text) {
            Ok(book) => self.book = book,
            Err(error) => log::error!("accepted rules do not load: {error}"),
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
                self.confirm(ReadOrigin::Watch(request, writer));
            }
            ControlInput::Ledger { request, port } => {
                self.submit(&ControlCommand::Ledger(request), ProposalOrigin::Ledger(port));
            }
            // Only a leader knows the fleet; another host names the leader.
            ControlInput::Propose { command, reply } if !leads => {
                self.submit(&command, ProposalOrigin::Operator(reply));
            }
            ControlInput::Propose { command, reply } => {
                let view = self.roster.view(&self.state.groups);
                match stops::check_stop(&self.state.stops, &view, &self.book, command) {
                    Ok(command) => self.submit(&command, ProposalOrigin::Operator(reply)),
                    Err(refusal) => ProposalOrigin::Operator(reply).done(refusal),
                }
            }
            ControlInput::Inspect { what: InspectKind::Status, reply } => {
                let _ = reply.send(InspectAnswer::Shown(self.inspect(InspectKind::Status)));
            }
            ControlInput::Inspect { what, reply } => {
                self.confirm(ReadOrigin::Inspect(what, reply));
            }
            // Agents belong to the leader; a dropped writer ends their stream.
            ControlInput::FleetOpened { .. } | ControlInput::FleetReport { .. } if !leads => {}
            ControlInput::FleetOpened { session, writer } => {
                self.roster.open(session, writer);
                self.confirm(ReadOrigin::Fleet(session));
            }
            ControlInput::FleetReport { session, report } => {
                if self.roster.report(now, session, report) {
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
        self.leases.settle(now);
        self.keep_quarantine(now);
        // A confirmation that was refused for want of room is asked for again.
        for session in self.roster.waiting() {
            self.confirm(ReadOrigin::Fleet(session));
        }
        self.roster.prune(now, &self.state.groups);
        self.roster.direct(&self.state.groups);
        if self.roster.settle(now, &self.state.groups) {
            self.version.bump();
        }
        self.plan(now);
        self.carry_out_stops(now);
    }

    fn plan(&mut self, now: TimePoint) {
        let Some(leadership) = &self.leadership else { return };
        let in_grace = now.since(leadership.since) < RECONNECT_GRACE;
        let mut view = self.roster.view(&self.state.groups);
        self.counter.count(now, &view, &self.book);
        if leadership.plans_open > 0 {
            return;
        }
        stops::mark_hosts(&mut view, &self.state.stops);
        for command in self.planner.step(now, &view, &self.book) {
            // A host that is missing now may only not have found the new leader yet.
            if in_grace && ends_group_with_absent(&view, &command) {
                continue;
            }
            let drained = |group| self.roster.is_drained(&self.state.groups, group);
            if !self.stops.holds_back(now, &command, &view, drained) {
                self.submit(&command, ProposalOrigin::Planner);
            }
        }
    }

    fn carry_out_stops(&mut self, now: TimePoint) {
        let groups = &self.state.groups;
        let view = self.roster.view(groups);
        if self.stops.update(now, &view, &self.state.stops, &self.book) {
            self.version.bump();
        }
        let drained = |group| self.roster.is_drained(groups, group);
        let stoppable = stops::stoppable(&view, &self.state.stops, drained);
        self.roster.direct_stops(groups, self.stops.leaving(), &stoppable);
        for group in self.stops.beginning(&view, &self.state.stops) {
            self.submit(&ControlCommand::BeginLeave { group }, ProposalOrigin::Planner);
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.established)
    }

    /// Answers a renewal after a majority confirmed, since it came, that this host leads.
    pub(super) fn answer_watch(&mut self, request: &WatchRequest, writer: &LinkWriter) {
        let now = self.now();
        let node = request.node.clone();
        match self.leases.renew(now, request) {
            RenewalStep::Grant(terms) => self.grant_lease(request, writer, terms),
            RenewalStep::Register => {
                let terms = LeaseTerms::with_hold(self.parts.rules_hold);
                let origin = ProposalOrigin::Entry(request.clone(), writer.clone());
                self.submit(&ControlCommand::RegisterEntry { node, terms }, origin);
            }
            RenewalStep::Release => {
                self.submit(&ControlCommand::ForgetEntry { node }, ProposalOrigin::Nobody);
            }
            RenewalStep::Ignore => {}
        }
        self.leases.settle(now);
    }

    fn grant_lease(&mut self, request: &WatchRequest, writer: &LinkWriter, terms: LeaseTerms) {
        if self.snapshots.version() != self.version.number() {
            let snapshot = self.snapshot();
            self.snapshots.push(snapshot);
        }
        let prints = self.take_runs(self.now(), request);
        let reply = WatchReply {
            nonce: request.nonce,
            terms,
            snapshot: self.snapshots.update(request.adopted),
            shares: self.share_limits(request),
            prints,
        };
        // A watcher that is behind asks again; its lease runs out meanwhile.
        let _ = writer.try_send(&reply);
    }

    /// Shares of the limits that the renewal asks for; only a confirmed leader gets here.
    fn share_limits(&mut self, request: &WatchRequest) -> Vec<LimitGrant> {
        let now = self.now();
        let Some(leadership) = &self.leadership else { return Vec::new() };
        self.limits.renew(now, leadership, LEASE_LENGTH, &self.book, request)
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
                .map(|group| LeavingMark { group: *group })
                .collect(),
        }
    }

    pub(super) fn inspect(&self, what: InspectKind) -> Value {
        let rules = self.state.rules.current();
        let agreement = &self.parts.agreement;
        match what {
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
                let drained = |group| self.roster.is_drained(&self.state.groups, group);
                self.stops.list(&self.state.stops, &view, &self.book, drained)
            }
            InspectKind::Groups => json!(self.roster.records(&self.state.groups)),
            InspectKind::Account => self.counter.show(&self.book),
            InspectKind::Quarantine => self.show_quarantine(),
            InspectKind::Entries => self.leases.show(self.now()),
            InspectKind::Rules => json!({ "revision": rules.revision.0, "text": rules.text }),
        }
    }
}

/// Whether `command` takes a group apart of which a member is not connected.
fn ends_group_with_absent(view: &FleetView, command: &ControlCommand) -> bool {
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
