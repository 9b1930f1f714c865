//! The control role of a daemon.
//!
//! One thread owns the replicated state. The threads that serve streams, the storage thread and
//! the operator port send it their inputs through one bounded channel.

mod accounting;
mod core;
mod disk;
mod fleet;
mod input;
mod leases;
mod limits;
mod operator;
mod origin;
mod peers;
mod planning;
mod quarantine;
mod replication;
mod shared;
mod stops;
mod streams;
#[cfg(test)]
mod tests;
mod version;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, FolderId, MembershipMode, RecoveredState,
};
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder};
use briartray_link::LinkServer;
use briartray_model::names::NodeName;
use briartray_model::rules::RuleDocument;
use briartray_model::settings::{ControlSettings, DaemonSettings};
use briartray_web::{HttpListener, WORKER_STACK_BYTES, WorkerWatch, spawn_worker, worker_watch};
use crossbeam::channel::{Receiver, Sender, bounded};

use self::core::{ControlCore, ControlParts};
use self::input::ControlInput;
use self::peers::PeerLinks;
use self::shared::ControlShared;
use crate::metrics::{AgreementMetrics, GroupMetrics, MetricsHub};
use crate::{ClockReader, DaemonError};

/// Capacity of the control thread's input channel.
const INPUT_QUEUE_CAPACITY: usize = 4096;

/// Operator requests that may run concurrently.
const MAX_OPERATOR_REQUESTS: u32 = 64;

/// Stack of the control thread, in bytes.
const CONTROL_STACK_BYTES: usize = 8 * WORKER_STACK_BYTES;

/// How long a stop waits for the disk.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of a running control role.
pub struct ControlNode {
    link: LinkServer,
    operator: HttpListener,
    inputs: Sender<ControlInput>,
    shared: Arc<ControlShared>,
    failures: Receiver<()>,
    /// Watches the control thread and the storage thread.
    workers: WorkerWatch,
}

impl ControlNode {
    /// Opens the data folder and starts the control thread, the link port and the operator port.
    ///
    /// # Errors
    /// A `DaemonError` when the data folder or the file of first rules cannot be read or is
    /// invalid, a port cannot be bound, or a thread cannot be started.
    pub fn start(
        settings: &DaemonSettings,
        role: &ControlSettings,
        metrics: &MetricsHub,
    ) -> Result<Self, DaemonError> {
        let first_rules = match &role.first_rules {
            Some(path) => Some(read_first_rules(path)?),
            None => None,
        };
        let members: Vec<NodeName> =
            settings.cluster.control.iter().map(|peer| peer.node.clone()).collect();
        let new_folder_id = FolderId(rand::random());
        let OpenedFolder { folder, id, recovered } = DataFolder::open(
            &role.data_folder,
            &settings.node,
            &members,
            new_folder_id,
            FileAccess::default(),
        )?;
        let clock = ClockReader::start();
        let agreement = agreement_core(clock, settings, members, id, recovered);
        let (failed, failures) = bounded(1);
        let shared = Arc::new(ControlShared::new(failed));
        let agreement_metrics = metrics.add(AgreementMetrics::register);
        let group_metrics = metrics.add(GroupMetrics::register);
        let (inputs, queue) = bounded(INPUT_QUEUE_CAPACITY);
        let (running, workers) = worker_watch();
        let handler = {
            let (inputs, shared) = (inputs.clone(), Arc::clone(&shared));
            Box::new(move |stream| streams::accept(stream, &inputs, &shared))
        };
        let link = LinkServer::start(role.link, &settings.cluster.token, handler)?;
        let operator =
            operator::listen(role, MAX_OPERATOR_REQUESTS, inputs.clone(), metrics.clone())?;
        let parts = ControlParts {
            clock,
            agreement,
            disk: disk::start(
                folder,
                inputs.clone(),
                Arc::clone(&shared),
                agreement_metrics.clone(),
                running.clone(),
            )?,
            peers: PeerLinks::start(
                &settings.cluster.token,
                &settings.node,
                &settings.cluster.control,
            )?,
            shared: Arc::clone(&shared),
            metrics: agreement_metrics,
            groups: group_metrics,
            first_rules,
            rules_hold: role.rules_hold,
        };
        spawn_worker("control", CONTROL_STACK_BYTES, move || {
            ControlCore::new(parts).run(&queue);
            drop(running);
        })?;
        Ok(Self { link, operator, inputs, shared, failures, workers })
    }

    /// Address of the link port, to which entries, agents and other control hosts connect.
    pub fn link_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Address of the operator port.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Channel that is told when the role fails; [`Self::failure`] then has the error.
    pub fn failures(&self) -> &Receiver<()> {
        &self.failures
    }

    /// The error that stopped the role, if its state could no longer be stored or read.
    pub fn failure(&self) -> Option<&str> {
        self.shared.failure()
    }

    /// Closes both ports, and waits until the role's writes have ended and the data folder is
    /// released.
    pub fn stop(&self) {
        self.operator.stop();
        self.link.stop();
        let _ = self.inputs.send(ControlInput::Stop);
        if !self.workers.wait(STOP_TIMEOUT) {
            log::warn!("the control role still uses its data folder; check the disk");
        }
    }
}

fn agreement_core(
    clock: ClockReader,
    settings: &DaemonSettings,
    members: Vec<NodeName>,
    folder: FolderId,
    recovered: RecoveredState,
) -> AgreementCore {
    let agreement = AgreementSettings {
        node: settings.node.clone(),
        folder,
        members,
        membership: MembershipMode::Fixed,
        times: AgreementTimes::default(),
        seed: rand::random(),
    };
    AgreementCore::new(clock.now(), agreement, recovered)
}

fn read_first_rules(path: &Path) -> Result<String, DaemonError> {
    let invalid_rules =
        |detail: String| DaemonError::FirstRules { path: path.display().to_string(), detail };
    let text = std::fs::read_to_string(path).map_err(|error| invalid_rules(error.to_string()))?;
    RuleDocument::parse(&text).map_err(|error| invalid_rules(error.to_string()))?;
    Ok(text)
}
