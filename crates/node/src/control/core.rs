//! The control thread: submits commands, plans groups, answers entries and operators.

use std::time::Duration;

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState};
use briartray_link::LinkWriter;
use briartray_model::TimePoint;
use briartray_model::message::{
    LeavingMark, LedgerReply, RoutingSnapshot, WatchReply, WatchRequest,
};
use briartray_model::rules::RuleBook;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use serde_json::{Value, json};

use super::fleet::FleetRoster;
use super::input::{ControlInput, InspectKind, LedgerPort};
use super::planning::PlanDriver;
use super::stops::{self, StopDriver};
use crate::ClockReader;

/// Time between two rounds of planning.
const TICK: Duration = Duration::from_millis(200);

/// How long an entry may hold its rules as confirmed, in milliseconds from its request.
const RULES_LEASE_MS: u32 = 3000;

/// Who waits for the outcome of a command.
#[derive(Debug)]
pub(super) enum ProposalOrigin {
    /// The planner, which looks at the state again on its next round.
    Planner,
    /// An operator.
    Operator(Sender<CommandOutcome>),
    /// An entry that asked the ledger.
    Ledger(LedgerPort),
}

/// State and soft knowledge of one control host.
pub(super) struct ControlCore {
    clock: ClockReader,
    state: ControlState,
    book: RuleBook,
    roster: FleetRoster,
    planner: PlanDriver,
    stops: StopDriver,
    snapshot_version: u64,
}

impl ControlCore {
    pub(super) fn new(clock: ClockReader) -> Self {
        Self {
            clock,
            state: ControlState::default(),
            book: RuleBook::default(),
            roster: FleetRoster::default(),
            planner: PlanDriver::default(),
            stops: StopDriver::default(),
            snapshot_version: 1,
        }
    }

    /// Runs until told to stop.
    pub(super) fn run(mut self, queue: &Receiver<ControlInput>) {
        let mut next_tick = self.clock.now().after(TICK);
        loop {
            let wait = next_tick.since(self.clock.now());
            match queue.recv_timeout(wait) {
                Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.clock.now() >= next_tick {
                self.tick();
                next_tick = self.clock.now().after(TICK);
            }
        }
    }

    /// Submits `command`; whoever waits learns the outcome once it is committed and applied.
    pub(super) fn submit(&mut self, command: &ControlCommand, origin: ProposalOrigin) {
        let outcome = self.state.apply(command);
        self.follow_up(&outcome);
        answer(origin, outcome);
    }

    /// Does what follows from a command that was applied.
    fn follow_up(&mut self, outcome: &CommandOutcome) {
        match outcome {
            CommandOutcome::RulesAccepted { .. } => self.adopt_rules(),
            CommandOutcome::GroupFormed { .. } | CommandOutcome::GroupDissolved { .. } => {
                self.snapshot_version += 1;
                self.roster.direct(&self.state.groups);
            }
            _ => {}
        }
    }

    fn adopt_rules(&mut self) {
        let current = self.state.rules.current();
        match RuleBook::build(current.revision, &current.text) {
            Ok(book) => self.book = book,
            Err(error) => log::error!("accepted rules do not load: {error}"),
        }
        self.snapshot_version += 1;
    }

    fn handle(&mut self, input: ControlInput) {
        let now = self.clock.now();
        match input {
            ControlInput::FleetOpened { session, writer } => self.roster.open(session, writer),
            ControlInput::FleetReport { session, report } => {
                if self.roster.report(now, session, report) {
                    self.snapshot_version += 1;
                }
            }
            ControlInput::FleetClosed { session } => self.roster.close(now, session),
            ControlInput::Watch { request, writer } => self.answer_watch(&request, &writer),
            ControlInput::Ledger { request, port } => {
                self.submit(&ControlCommand::Ledger(request), ProposalOrigin::Ledger(port));
            }
            ControlInput::Propose { command, reply } => {
                let view = self.roster.view(&self.state.groups);
                match stops::check_stop(&self.state.stops, &view, &self.book, command) {
                    Ok(command) => self.submit(&command, ProposalOrigin::Operator(reply)),
                    Err(refusal) => answer(ProposalOrigin::Operator(reply), refusal),
                }
            }
            ControlInput::Inspect { what, reply } => {
                let _ = reply.send(self.inspect(what));
            }
            ControlInput::Stop => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.roster.prune(now, &self.state.groups);
        self.roster.direct(&self.state.groups);
        let mut view = self.roster.view(&self.state.groups);
        stops::mark_hosts(&mut view, &self.state.stops);
        for command in self.planner.step(now, &view, &self.book) {
            let drained = |group| self.roster.is_drained(&self.state.groups, group);
            if !self.stops.holds_back(now, &command, &view, drained) {
                self.submit(&command, ProposalOrigin::Planner);
            }
        }
        self.carry_out_stops(now);
    }

    fn carry_out_stops(&mut self, now: TimePoint) {
        let groups = &self.state.groups;
        let view = self.roster.view(groups);
        if self.stops.update(now, &view, &self.state.stops, &self.book) {
            self.snapshot_version += 1;
        }
        let drained = |group| self.roster.is_drained(groups, group);
        let stoppable = stops::stoppable(&view, &self.state.stops, drained);
        self.roster.direct_stops(groups, self.stops.leaving(), &stoppable);
    }

    fn answer_watch(&mut self, request: &WatchRequest, writer: &LinkWriter) {
        let newer = request.adopted != self.snapshot_version;
        let reply = WatchReply {
            nonce: request.nonce,
            lease_ms: RULES_LEASE_MS,
            snapshot: newer.then(|| self.snapshot()),
        };
        // A watcher that is behind asks again; its lease runs out meanwhile.
        let _ = writer.try_send(&reply);
    }

    fn snapshot(&self) -> RoutingSnapshot {
        let rules = self.state.rules.current();
        RoutingSnapshot {
            version: self.snapshot_version,
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

    fn inspect(&self, what: InspectKind) -> Value {
        let rules = self.state.rules.current();
        match what {
            InspectKind::Status => json!({
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
            InspectKind::Rules => json!({ "revision": rules.revision.0, "text": rules.text }),
        }
    }
}

fn answer(origin: ProposalOrigin, outcome: CommandOutcome) {
    match origin {
        ProposalOrigin::Planner => log::info!("plan: {outcome:?}"),
        ProposalOrigin::Operator(reply) => {
            let _ = reply.send(outcome);
        }
        ProposalOrigin::Ledger(port) => {
            let reply = match outcome {
                CommandOutcome::Ledger(reply) => reply,
                _ => LedgerReply::Unavailable,
            };
            port.answer(reply);
        }
    }
}
