//! The control thread: applies commands, plans groups, answers entries and operators.

use std::time::Duration;

use briartray_control::state::{CommandOutcome, ControlCommand, ControlState, GroupProposal};
use briartray_link::LinkWriter;
use briartray_model::TimePoint;
use briartray_model::message::{
    GroupMember, LedgerReply, LedgerRequest, RoutingSnapshot, WatchReply, WatchRequest,
};
use briartray_model::names::{HostName, ServiceName};
use briartray_model::rules::RuleBook;
use briartray_placement::planner::{PlanAction, plan_first_come};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use serde_json::{Value, json};

use super::fleet::FleetRoster;
use super::input::{ControlInput, InspectKind};
use crate::ClockReader;

/// Time between two rounds of planning.
const TICK: Duration = Duration::from_millis(200);

/// How long an entry may hold its rules as confirmed, in milliseconds from its request.
const RULES_LEASE_MS: u32 = 3000;

/// State and soft knowledge of one control host.
pub(super) struct ControlCore {
    clock: ClockReader,
    state: ControlState,
    book: RuleBook,
    roster: FleetRoster,
    snapshot_version: u64,
}

impl ControlCore {
    pub(super) fn new(clock: ClockReader) -> Self {
        Self {
            clock,
            state: ControlState::default(),
            book: RuleBook::default(),
            roster: FleetRoster::default(),
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

    /// Applies `command` and what follows from it.
    pub(super) fn propose(&mut self, command: &ControlCommand) -> CommandOutcome {
        let outcome = self.state.apply(command);
        match &outcome {
            CommandOutcome::RulesAccepted { .. } => self.adopt_rules(),
            CommandOutcome::GroupFormed { .. } | CommandOutcome::GroupDissolved { .. } => {
                self.snapshot_version += 1;
                self.roster.direct(&self.state.groups);
            }
            _ => {}
        }
        outcome
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
            ControlInput::Ledger { request, writer } => self.answer_ledger(request, &writer),
            ControlInput::Propose { command, reply } => {
                let outcome = self.propose(&command);
                let _ = reply.send(outcome);
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
        self.plan(now);
    }

    fn plan(&mut self, _now: TimePoint) {
        let view = self.roster.view(&self.state.groups);
        for action in plan_first_come(&view, &self.book) {
            let command = match action {
                PlanAction::Form { service, members } => self.form_command(&service, &members),
                PlanAction::Dissolve { group } => Some(ControlCommand::DissolveGroup { group }),
            };
            if let Some(command) = command {
                let outcome = self.propose(&command);
                log::info!("plan: {outcome:?}");
            }
        }
    }

    fn form_command(&self, service: &ServiceName, members: &[HostName]) -> Option<ControlCommand> {
        let first = self.roster.announcement(members.first()?)?;
        let capacity = self.book.document().service(service.as_str())?.capacity;
        let members = members
            .iter()
            .map(|host| {
                let announcement = self.roster.announcement(host)?;
                Some(GroupMember { host: host.clone(), link: announcement.link })
            })
            .collect::<Option<Vec<_>>>()?;
        Some(ControlCommand::FormGroup(GroupProposal {
            service: service.clone(),
            zone: first.zone.clone(),
            domain: first.domain.clone(),
            provider: first.provider.clone(),
            members,
            capacity,
        }))
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

    fn answer_ledger(&mut self, request: LedgerRequest, writer: &LinkWriter) {
        let outcome = self.propose(&ControlCommand::Ledger(request));
        let reply = match outcome {
            CommandOutcome::Ledger(reply) => reply,
            _ => LedgerReply::Unavailable,
        };
        let _ = writer.try_send(&reply);
    }

    fn snapshot(&self) -> RoutingSnapshot {
        let rules = self.state.rules.current();
        RoutingSnapshot {
            version: self.snapshot_version,
            revision: rules.revision,
            rules: rules.text.clone(),
            groups: self.roster.records(&self.state.groups),
            leaving: Vec::new(),
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
            InspectKind::Groups => json!(self.roster.records(&self.state.groups)),
            InspectKind::Rules => json!({ "revision": rules.revision.0, "text": rules.text }),
        }
    }
}
