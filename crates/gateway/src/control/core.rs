//! The control thread: steps the agreement and the director, answers operators, endpoints and
//! entries.

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
use crossbeam::channel::{RecvTimeoutError, Sender};
use tokio::sync::mpsc;

use super::calls::EndpointCall;
use super::disk;
use super::folder::{FileSource, FolderOpening, REOPEN_PAUSE, open_folder, refuse_for};
use super::host_book::HostBook;
use super::input::{ControlReply, CoreInput, CoreMessage, InputReceiver, InputSender, ReplySender};
use super::leadership::Leadership;
use super::metrics::ControlMetrics;
use super::origin::{CommandOrigin, CoreFailure, ReadOrigin};
use super::peers::PeerLinks;
use super::relay_buffer::RelayBuffer;
use crate::process::RoleFailure;
use crate::settings::{ControlRole, GatewaySettings};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Times of the agreement. An election is a second without repairs of groups and renewals of
/// leases; hosts are milliseconds apart, and a lost packet costs a fifth of a second.
const AGREEMENT_TIMES: AgreementTimes =
    AgreementTimes { heartbeat: Duration::from_millis(100), election: Duration::from_millis(500) };

/// What a control thread is made of.
pub(super) struct CoreParts {
    pub(super) settings: GatewaySettings,
    pub(super) role: ControlRole,
    pub(super) calls: mpsc::UnboundedSender<EndpointCall>,
    pub(super) peers: PeerLinks,
    pub(super) inputs: InputSender,
    pub(super) metrics: ControlMetrics,
    /// Told when the role cannot go on.
    pub(super) failure: Sender<RoleFailure>,
    pub(super) files: FileSource,
}

impl CoreParts {
    /// Opens the data folder, where the host has one.
    pub(super) fn open_folder(&self, queue: &InputReceiver) -> FolderOpening {
        let path = self.role.data_folder.as_deref();
        open_folder(path, &self.settings.node_name(), &self.files, queue)
    }
}

/// State and knowledge of one control host.
pub(super) struct ControlCore {
    pub(super) parts: CoreParts,
    pub(super) clock: ClockReader,
    /// `None` on a host without a disk.
    pub(super) agreement: Option<AgreementCore>,
    pub(super) disk: Option<Sender<WriteBatch>>,
    pub(super) state: FleetState,
    pub(super) plan: Option<DeploymentPlan>,
    pub(super) hosts: HostBook,
    pub(super) leadership: Option<Leadership>,
    pub(super) relay: RelayBuffer,
    pub(super) proposals: SortedTable<ProposalToken, CommandOrigin>,
    pub(super) reads: SortedTable<ReadToken, ReadOrigin>,
    /// Why it cannot go on as it is.
    pub(super) failed: Option<CoreFailure>,
    next_token: u64,
}

impl ControlCore {
    pub(super) fn new(parts: CoreParts, folder: Option<OpenedFolder>) -> Self {
        let clock = ClockReader::start();
        let hosts = HostBook::new(&parts.settings, &parts.role);
        let mut core = Self {
            clock,
            agreement: None,
            disk: None,
            state: FleetState::default(),
            plan: None,
            hosts,
            leadership: None,
            relay: RelayBuffer::default(),
            proposals: SortedTable::new(),
            reads: SortedTable::new(),
            failed: None,
            next_token: 0,
            parts,
        };
        if let Some(opened) = folder {
            core.take_part(opened);
        }
        core
    }

    /// Begins again from what the disk holds, as a process that was started anew would; `None` when
    /// told to stop.
    ///
    /// A full disk takes no bytes for seconds. A process that ended each time would be started over
    /// and over, and none of its other work would be done. What is known of other control hosts is
    /// kept: without it this one could take the deployment for new and found a second log.
    fn begin_again(self, queue: &InputReceiver) -> Option<Self> {
        let Self { parts, clock, hosts, disk, .. } = self;
        // The storage thread has ended, and with it the folder's lock.
        drop(disk);
        if !refuse_for(REOPEN_PAUSE, queue) {
            return None;
        }
        let folder = match parts.open_folder(queue) {
            FolderOpening::Opened(opened) => Some(opened),
            FolderOpening::NoFolder => None,
            FolderOpening::Stopped => return None,
        };
        let mut core = Self { clock, hosts, ..Self::new(parts, None) };
        if let Some(opened) = folder {
            core.take_part(opened);
        }
        Some(core)
    }

    /// Takes part in the agreement with an opened folder.
    fn take_part(&mut self, opened: OpenedFolder) {
        let voters = 2 * self.parts.role.losses + 1;
        let settings = AgreementSettings {
            node: self.parts.settings.node_name(),
            folder: opened.id,
            members: vec![self.parts.settings.node_name()],
            membership: MembershipMode::Dynamic { voters },
            times: AGREEMENT_TIMES,
            seed: rand::random(),
        };
        match disk::start(opened.folder, self.parts.inputs.clone()) {
            Ok(disk) => self.disk = Some(disk),
            Err(error) => return log::error!("no storage thread: {error}; raise the limit"),
        }
        self.agreement = Some(AgreementCore::new(self.now(), settings, opened.recovered));
    }

    /// Runs until told to stop.
    pub(super) fn run(mut self, queue: &InputReceiver) {
        let mut next_tick = self.now();
        loop {
            // What other hosts have said while this thread was busy counts before their silence does: a
            // leader gave up its majority after a long step, with the answers of all others unread.
            for input in queue.urgent() {
                if matches!(input, CoreInput::Stop) {
                    return;
                }
                self.handle(input);
            }
            let now = self.now();
            if let Some(agreement) = &mut self.agreement {
                agreement.tick(now);
            }
            if now >= next_tick {
                self.tick(now);
                next_tick = now.after(TICK);
            }
            while self.advance() {}
            match self.failed {
                Some(CoreFailure::Disk) => match self.begin_again(queue) {
                    Some(core) => self = core,
                    None => return,
                },
                Some(CoreFailure::State) => {
                    // A state that misses a command answers nobody.
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
            let due = due.min(self.relay.flush_at().unwrap_or(due));
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
                self.handle(input);
            }
        }
    }

    pub(super) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Who leads, as far as is known here.
    pub(super) fn leader(&self) -> Option<NodeName> {
        let known = self.agreement.as_ref().and_then(|agreement| {
            let leader = agreement.leader()?;
            Some((agreement.term(), leader.clone()))
        });
        self.hosts.leader(self.now(), known).filter(|node| *node != self.parts.settings.node_name())
    }

    /// Submits `command`; whoever waits learns the outcome once it is committed and applied.
    pub(super) fn submit(&mut self, command: &FleetCommand, origin: CommandOrigin) {
        let now = self.now();
        let token = ProposalToken(self.take_token());
        let proposed = match (codec::encode(command), &mut self.agreement) {
            (Ok(encoded), Some(agreement)) => agreement.propose(now, token, encoded).is_ok(),
            _ => false,
        };
        if proposed {
            self.proposals.insert(token, origin);
        } else {
            self.lose(origin);
        }
    }

    /// Lets `origin` wait until a majority confirms that this host leads.
    pub(super) fn confirm(&mut self, origin: ReadOrigin) {
        let now = self.now();
        let token = ReadToken(self.take_token());
        let asked = match &mut self.agreement {
            Some(agreement) => agreement.read(now, token).is_ok(),
            None => false,
        };
        if asked {
            self.reads.insert(token, origin);
        } else {
            self.unconfirmed(origin);
        }
    }

    /// A command that may or may not be applied later.
    pub(super) fn lose(&mut self, origin: CommandOrigin) {
        match origin {
            CommandOrigin::Caller(reply) => {
                let _ = reply.send(ControlReply::Unavailable);
            }
            CommandOrigin::Director => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.director.command_done();
                }
            }
            CommandOrigin::Quarantine(print) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.quarantine.lost(print);
                }
            }
        }
    }

    /// A read that was not confirmed.
    pub(super) fn unconfirmed(&mut self, origin: ReadOrigin) {
        match origin {
            ReadOrigin::Plan(reply)
            | ReadOrigin::Overtaken(reply)
            | ReadOrigin::Quarantine(reply)
            | ReadOrigin::Evacuated(reply) => self.redirect(reply),
            ReadOrigin::Entry(_, writer) => self.name_leader(&writer),
        }
    }

    /// Sends a caller to the leader.
    pub(super) fn redirect(&self, reply: ReplySender) {
        let answer = self.leader().map_or(ControlReply::Unavailable, ControlReply::AskLeader);
        let _ = reply.send(answer);
    }

    fn take_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn handle(&mut self, input: CoreInput) {
        let now = self.now();
        match input {
            CoreInput::Core(CoreMessage::Agreement(message)) => {
                if let Some(agreement) = &mut self.agreement {
                    agreement.receive(now, message);
                }
            }
            CoreInput::Core(CoreMessage::Hello(hello)) => self.take_hello(now, hello),
            CoreInput::Core(CoreMessage::Beats(beats)) => self.take_beats(now, beats),
            CoreInput::Core(CoreMessage::Ask { asker, probes }) => self.ask_for(&asker, probes),
            CoreInput::Core(CoreMessage::Told(answers)) => {
                answers.into_iter().for_each(|answer| self.probed(now, answer));
            }
            CoreInput::Stored { ticket } => {
                if let Some(agreement) = &mut self.agreement {
                    agreement.stored(now, ticket);
                }
            }
            CoreInput::DiskFailed => self.failed = Some(CoreFailure::Disk),
            CoreInput::Entry { report, writer } => self.take_report(now, report, writer),
            CoreInput::Put { plan, reply } => self.put(now, plan, reply),
            CoreInput::Get { reply } => self.confirm(ReadOrigin::Plan(reply)),
            CoreInput::Quarantine { reply } => self.confirm(ReadOrigin::Quarantine(reply)),
            CoreInput::Evacuated { reply } => self.confirm(ReadOrigin::Evacuated(reply)),
            CoreInput::Zone { zone, wish, reply } => self.change_zone(now, zone, wish, reply),
            CoreInput::Lift { print, reply } => self.lift_quarantine(print, reply),
            CoreInput::Heartbeat { heartbeat, reply } => self.heartbeat(now, heartbeat, reply),
            CoreInput::Leave { id, reply } => self.leave(id, reply),
            CoreInput::Probed { answer, asker: None } => self.probed(now, answer),
            CoreInput::Probed { answer, asker: Some(asker) } => {
                self.relay.hold_answer(now, asker, answer);
            }
            CoreInput::Ordered { call, outcome } => self.ordered(now, &call, outcome),
            CoreInput::Stop => {}
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.established)
    }
}
