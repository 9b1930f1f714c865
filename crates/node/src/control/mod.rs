//! The control role: one thread owns the state; streams, the disk and operators talk to it by
//! channel.

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

use briartray_control::agreement::{
    AgreementCore, AgreementSettings, AgreementTimes, FolderId, MembershipMode, RecoveredState,
};
use briartray_control::storage::{DataFolder, FileAccess, OpenedFolder};
use briartray_link::LinkServer;
use briartray_model::names::NodeName;
use briartray_model::rules::RuleDocument;
use briartray_model::settings::{ControlSettings, DaemonSettings};
use briartray_web::{HttpListener, WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, bounded};

use self::core::{ControlCore, ControlParts};
use self::input::ControlInput;
use self::peers::PeerLinks;
use self::shared::ControlShared;
use crate::metrics::{AgreementMetrics, GroupMetrics, MetricsHub};
use crate::{ClockReader, DaemonError};

/// Inputs that may wait for the control thread.
const INPUT_QUEUE: usize = 4096;

/// Operator requests that may run at one time.
const MAX_OPERATOR_REQUESTS: u32 = 64;

/// Stack of the control thread, in bytes.
const CONTROL_STACK_BYTES: usize = 8 * WORKER_STACK_BYTES;

/// A running control role.
pub struct ControlNode {
    link: LinkServer,
    operator: HttpListener,
    inputs: Sender<ControlInput>,
    shared: Arc<ControlShared>,
}

impl ControlNode {
    /// Opens the data folder and starts the control thread, its link port and its operator port.
    ///
    /// # Errors
    /// A `DaemonError` when the data folder, a port or the first rules cannot be used.
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
        let fresh = FolderId(rand::random());
        let OpenedFolder { folder, id, recovered } = DataFolder::open(
            &role.data_folder,
            &settings.node,
            &members,
            fresh,
            FileAccess::default(),
        )?;
        let clock = ClockReader::start();
        let agreement = step_core(clock, settings, members, id, recovered);
        let shared = Arc::new(ControlShared::default());
        let agreement_metrics = metrics.add(AgreementMetrics::register);
        let group_metrics = metrics.add(GroupMetrics::register);
        let (inputs, queue) = bounded(INPUT_QUEUE);
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
        spawn_worker("control", CONTROL_STACK_BYTES, move || ControlCore::new(parts).run(&queue))?;
        Ok(Self { link, operator, inputs, shared })
    }

    /// Where other processes connect.
    pub fn link_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Why the role cannot go on, when its state can no longer be kept.
    pub fn failure(&self) -> Option<&str> {
        self.shared.failure()
    }

    /// Stops the role.
    pub fn stop(&self) {
        self.operator.stop();
        self.link.stop();
        let _ = self.inputs.send(ControlInput::Stop);
    }
}

fn step_core(
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
    let refused =
        |detail: String| DaemonError::FirstRules { path: path.display().to_string(), detail };
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    RuleDocument::parse(&text).map_err(|error| refused(error.to_string()))?;
    Ok(text)
}
