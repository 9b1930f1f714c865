//! The control role: one thread owns the state; streams and operators talk to it by channel.

mod core;
mod fleet;
mod input;
mod operator;
mod planning;
mod stops;
mod streams;

use std::net::SocketAddr;

use briartray_control::state::{CommandOutcome, ControlCommand};
use briartray_link::LinkServer;
use briartray_model::settings::{ControlSettings, DaemonSettings};
use briartray_web::{HttpListener, WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Sender, bounded};

use self::core::{ControlCore, ProposalOrigin};
use self::input::ControlInput;
use crate::metrics::MetricsHub;
use crate::{ClockReader, DaemonError, new_change};

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
}

impl ControlNode {
    /// Starts the control thread, its link port and its operator port.
    ///
    /// # Errors
    /// A `DaemonError` when a port or the first rules cannot be used.
    pub fn start(
        settings: &DaemonSettings,
        role: &ControlSettings,
        metrics: &MetricsHub,
    ) -> Result<Self, DaemonError> {
        let mut core = ControlCore::new(ClockReader::start());
        if let Some(path) = &role.first_rules {
            adopt_first_rules(&mut core, path)?;
        }
        let (inputs, queue) = bounded(INPUT_QUEUE);
        spawn_worker("control", CONTROL_STACK_BYTES, move || core.run(&queue))?;
        let stream_inputs = inputs.clone();
        let handler = Box::new(move |stream| streams::accept(stream, &stream_inputs));
        let link = LinkServer::start(role.link, &settings.cluster.token, handler)?;
        let operator =
            operator::listen(role, MAX_OPERATOR_REQUESTS, inputs.clone(), metrics.clone())?;
        Ok(Self { link, operator, inputs })
    }

    /// Where other processes connect.
    pub fn link_address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Stops the role.
    pub fn stop(&self) {
        self.operator.stop();
        self.link.stop();
        let _ = self.inputs.send(ControlInput::Stop);
    }
}

fn adopt_first_rules(core: &mut ControlCore, path: &std::path::Path) -> Result<(), DaemonError> {
    let refused =
        |detail: String| DaemonError::FirstRules { path: path.display().to_string(), detail };
    let text = std::fs::read_to_string(path).map_err(|error| refused(error.to_string()))?;
    let command = ControlCommand::ApplyRules { change: new_change(), expect: None, text };
    let (reply, outcome) = bounded(1);
    core.submit(&command, ProposalOrigin::Operator(reply));
    match outcome.try_recv() {
        Ok(CommandOutcome::RulesInvalid { detail }) => Err(refused(detail)),
        _ => Ok(()),
    }
}
