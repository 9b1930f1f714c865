//! The control thread: drives the consensus core and the director, and replies to operators,
//! endpoints and entries.

use std::time::{Duration, Instant};

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, MembershipMode, ProposalToken, ReadToken,
    WriteBatch,
};
use briartray_control::storage::OpenedFolder;
use briartray_fleet::deployment::DeploymentPlan;
use briartray_fleet::state::{FleetCommand, FleetState};
use briartray_model::names::NodeName;
use briartray_model::{SortedTable, TimePoint, codec};
use briartray_node::ClockReader;
use briartray_web::WorkerToken;
use crossbeam::channel::{RecvTimeoutError, Sender};
use tokio::sync::mpsc;

use super::disk;
use super::endpoint_client::EndpointCall;
use super::folder::{FileSource, FolderOpening, REOPEN_PAUSE, open_folder, refuse_inputs};
use super::host_book::HostBook;
use super::input::{ControlReply, CoreInput, CoreMessage, InputReceiver, InputSender, ReplySender};
use super::leadership::Leadership;
use super::metrics::ControlMetrics;
use super::origin::{CommandOrigin, CoreFailure, ReadOrigin};
use super::overload::OverloadScope;
use super::peers::PeerLinks;
use super::relay_buffer::RelayBuffer;
use crate::process::RoleFailure;
use crate::settings::{ControlRole, GatewaySettings};

/// Interval between periodic tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Timing of the consensus protocol. During an election, about one second, no groups are repaired
/// and no leases renewed. Hosts are milliseconds apart; a lost packet costs 0.2 s.
const AGREEMENT_TIMES: AgreementTimes =
    AgreementTimes { heartbeat: Duration::from_millis(100), election: Duration::from_millis(500) };

/// Inputs of the control thread other than its state.
pub(super) struct CoreParts {
    pub(super) settings: GatewaySettings,
    pub(super) role: ControlRole,
    pub(super) calls: mpsc::UnboundedSender<EndpointCall>,
    pub(super) peers: PeerLinks,
    pub(super) inputs: InputSender,
    pub(super) metrics: ControlMetrics,
    /// Notified when the role cannot continue.
    pub(super) failure: Sender<RoleFailure>,
    pub(super) files: FileSource,
    /// Held until the role's threads have ended.
    pub(super) running: WorkerToken,
}

impl CoreParts {
    /// Opens the data folder, if the host has one.
    pub(super) fn open_folder(&self, queue: &InputReceiver) -> FolderOpening {
        let path = self.role.data_folder.as_deref();
        open_folder(path, &self.settings.node_name(), &self.files, queue)
    }
}

/// State of one control host.
pub(super) struct ControlCore {
    pub(super) parts: CoreParts,
    pub(super) clock: ClockReader,
    /// `None` on a host without a data folder.
    pub(super) agreement: Option<AgreementCore>,
    pub(super) disk: Option<Sender<WriteBatch>>,
    pub(super) state: FleetState,
    pub(super) plan: Option<DeploymentPlan>,
    /// Services to which the section `overload` of the settings applies.
    pub(super) overload_scope: OverloadScope,
    pub(super) host_book: HostBook,
    pub(super) leadership: Option<Leadership>,
    pub(super) relay_buffer: RelayBuffer,
    pub(super) proposals: SortedTable<ProposalToken, CommandOrigin>,
    pub(super) reads: SortedTable<ReadToken, ReadOrigin>,
    /// Reason why the thread cannot continue with its current state.
    pub(super) failed: Option<CoreFailure>,
    next_token: u64,
}

impl ControlCore {
    pub(super) fn new(parts: CoreParts, folder: Option<OpenedFolder>) -> Self {
        let clock = ClockReader::start();
        let host_book = HostBook::new(&parts.settings, &parts.role);
        let mut core = Self {
            clock,
            agreement: None,
            disk: None,
            state: FleetState::default(),
            plan: None,
            overload_scope: OverloadScope::new(&parts.role),
            host_book,
            leadership: None,
            relay_buffer: RelayBuffer::default(),
            proposals: SortedTable::new(),
            reads: SortedTable::new(),
            failed: None,
            next_token: 0,
            parts,
        };
        if let Some(opened) = folder {
            core.join_consensus(opened);
        }
        core
    }

    /// Restarts from the state on disk, as a new process would; `None` if the role was stopped.
    ///
    /// A full disk accepts no writes for seconds. If the process ended at each failed write, the
    /// service manager would restart it repeatedly, and its other work would stop as well. What is
    /// known of other control hosts is kept: without it this host could mistake the deployment for
    /// a new one and bootstrap a second log.
    fn restart(self, queue: &InputReceiver) -> Option<Self> {
        let Self { parts, clock, host_book, disk, .. } = self;
        // Dropping the sender ends the storage thread, which releases the lock on the folder.
        drop(disk);
        if !refuse_inputs(REOPEN_PAUSE, queue) {
            return None;
        }
        let folder = match parts.open_folder(queue) {
            FolderOpening::Opened(opened) => Some(opened),
            FolderOpening::NoFolder => None,
            FolderOpening::Stopped => return None,
        };
        let mut core = Self { clock, host_book, ..Self::new(parts, None) };
        if let Some(opened) = folder {
            core.join_consensus(opened);
        }
        Some(core)
    }

    /// Joins the consensus group with the opened data folder.
    fn join_consensus(&mut self, opened: OpenedFolder) {
        let voters = 2 * self.parts.role.losses + 1;
        let settings = AgreementSettings {
            node: self.parts.settings.node_name(),
            folder: opened.id,
            members: vec![self.parts.settings.node_name()],
            membership: MembershipMode::Dynamic { voters },
            times: AGREEMENT_TIMES,
            seed: rand::random(),
        };
        match disk::start(opened.folder, self.parts.inputs.clone(), self.parts.running.clone()) {
            Ok(disk) => self.disk = Some(disk),
            Err(error) => return log::error!("no storage thread: {error}; raise the thread limit"),
        }
        self.agreement = Some(AgreementCore::new(self.now(), settings, opened.recovered));
    }

    /// Runs until stopped.
    pub(super) fn run(mut self, queue: &InputReceiver) {
        let mut next_tick = self.now();
        loop {
            // Messages received while this thread was busy are processed before any timeout.
            // Otherwise a leader steps down after a long step although the responses of all hosts
            // are queued.
            for input in queue.urgent() {
                if matches!(input, CoreInput::Stop) {
                    return;
                }
                self.handle_input(input);
            }
            let now = self.now();
            if let Some(agreement) = &mut self.agreement {
                agreement.tick(now);
            }
            if now >= next_tick {
                self.tick(now);
                next_tick = now.after(TICK_INTERVAL);
            }
            while self.advance() {}
            match self.failed {
                Some(CoreFailure::Disk) => match self.restart(queue) {
                    Some(core) => self = core,
                    None => return,
                },
                Some(CoreFailure::State) => {
                    // A host that skipped a command must not reply to anyone.
                    let _ = self.parts.failure.try_send(RoleFailure::State);
                    return;
                }
                None => {}
            }
            self.follow_up(now);
            self.flush_relay(now);
            let deadline = self.agreement.as_ref().map_or(next_tick, AgreementCore::deadline);
            let follow_up = self.leadership.as_ref().and_then(Leadership::follow_up_at);
            let due = next_tick.min(deadline).min(follow_up.unwrap_or(next_tick));
            let due = due.min(self.relay_buffer.flush_at().unwrap_or(due));
            let wait = Instant::now() + due.since(self.now());
            let first = match queue.recv_deadline(wait) {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            for input in std::iter::once(first).chain(queue.waiting()) {
                if matches!(input, CoreInput::Stop) {
                    return;
                }
                self.handle_input(input);
            }
        }
    }

    pub(super) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The leader as known to this host; `None` if unknown or this host itself.
    pub(super) fn leader(&self) -> Option<NodeName> {
        let known = self.agreement.as_ref().and_then(|agreement| {
            let leader = agreement.leader()?;
            Some((agreement.term(), leader.clone()))
        });
        self.host_book
            .leader(self.now(), known)
            .filter(|node| *node != self.parts.settings.node_name())
    }

    /// Proposes `command`; `origin` learns the outcome after it is committed and applied.
    pub(super) fn submit(&mut self, command: &FleetCommand, origin: CommandOrigin) {
        let now = self.now();
        let token = ProposalToken(self.allocate_token());
        let proposed = match (codec::encode(command), &mut self.agreement) {
            (Ok(encoded), Some(agreement)) => agreement.propose(now, token, encoded).is_ok(),
            _ => false,
        };
        if proposed {
            self.proposals.insert(token, origin);
        } else {
            self.handle_lost_command(origin);
        }
    }

    /// Holds `origin` until a majority confirms that this host leads.
    pub(super) fn confirm_leadership(&mut self, origin: ReadOrigin) {
        let now = self.now();
        let token = ReadToken(self.allocate_token());
        let accepted = match &mut self.agreement {
            Some(agreement) => agreement.read(now, token).is_ok(),
            None => false,
        };
        if accepted {
            self.reads.insert(token, origin);
        } else {
            self.handle_unconfirmed_read(origin);
        }
    }

    /// Handles a command whose outcome is unknown: it may still be applied later.
    pub(super) fn handle_lost_command(&mut self, origin: CommandOrigin) {
        match origin {
            CommandOrigin::Caller(reply) => {
                let _ = reply.send(ControlReply::Unavailable);
            }
            CommandOrigin::Director => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.director.command_done();
                }
            }
            CommandOrigin::Quarantine(fingerprint) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.quarantine.lost(fingerprint);
                }
            }
            CommandOrigin::PartQuarantine(part) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.quarantine.lost_part(part);
                }
            }
        }
    }

    /// Handles a read for which leadership was not confirmed.
    pub(super) fn handle_unconfirmed_read(&mut self, origin: ReadOrigin) {
        match origin {
            ReadOrigin::Plan(reply)
            | ReadOrigin::Superseded(reply)
            | ReadOrigin::Quarantine(reply)
            | ReadOrigin::Evacuated(reply) => self.redirect(reply),
            ReadOrigin::Entry(_, writer) => self.send_leader_hint(&writer),
        }
    }

    /// Redirects the sender of a call to the leader.
    pub(super) fn redirect(&self, reply: ReplySender) {
        let answer =
            self.leader().map_or(ControlReply::Unavailable, ControlReply::RedirectToLeader);
        let _ = reply.send(answer);
    }

    fn allocate_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn handle_input(&mut self, input: CoreInput) {
        let now = self.now();
        match input {
            CoreInput::Core(CoreMessage::Agreement(message)) => {
                if let Some(agreement) = &mut self.agreement {
                    agreement.receive(now, message);
                }
            }
            CoreInput::Core(CoreMessage::Hello(hello)) => self.receive_hello(now, hello),
            CoreInput::Core(CoreMessage::Beats(heartbeats)) => {
                self.receive_heartbeats(now, heartbeats)
            }
            CoreInput::Core(CoreMessage::Ask { asker, probes }) => self.probe_for(&asker, probes),
            CoreInput::Core(CoreMessage::Told(answers)) => {
                answers.into_iter().for_each(|answer| self.receive_probe_answer(now, answer));
            }
            CoreInput::BatchStored { ticket } => {
                if let Some(agreement) = &mut self.agreement {
                    agreement.stored(now, ticket);
                }
            }
            CoreInput::DiskFailed => self.failed = Some(CoreFailure::Disk),
            CoreInput::Report { report, writer } => self.receive_report(now, report, writer),
            CoreInput::PutPlan { plan, reply } => self.receive_plan(now, plan, reply),
            CoreInput::GetPlan { reply } => self.confirm_leadership(ReadOrigin::Plan(reply)),
            CoreInput::ListQuarantine { reply } => {
                self.confirm_leadership(ReadOrigin::Quarantine(reply))
            }
            CoreInput::ListEvacuated { reply } => {
                self.confirm_leadership(ReadOrigin::Evacuated(reply))
            }
            CoreInput::ChangeZone { zone, change, reply } => {
                self.change_zone(now, zone, change, reply)
            }
            CoreInput::LiftQuarantine { fingerprint, reply } => {
                self.lift_quarantine(now, fingerprint, reply)
            }
            CoreInput::Heartbeat { heartbeat, reply } => {
                self.receive_heartbeat(now, heartbeat, reply)
            }
            CoreInput::Leave { id, reply } => self.receive_leave(now, id, reply),
            CoreInput::Probed { answer, requester: None } => self.receive_probe_answer(now, answer),
            CoreInput::Probed { answer, requester: Some(requester) } => {
                self.relay_buffer.buffer_answer(now, requester, answer);
            }
            CoreInput::Ordered { call, outcome } => self.receive_order_result(now, &call, outcome),
            CoreInput::Stop => {}
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.established)
    }
}
