//! Orders to the endpoint, sent by one thread that also probes whether the endpoint is up.
//!
//! Some engines refuse orders with an outdated fencing number, others execute every order. The
//! latter are safe because only this thread sends orders to them: it sends one at a time, always
//! according to the latest assignment by control, and never an older one than before.

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use briartray_model::message::GroupAssignment;
use briartray_model::names::{FencingNumber, HostName, ServiceName};
use briartray_model::settings::{EndpointKind, EndpointSettings};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use serde_json::json;

use super::core::AgentInput;

/// Interval at which the endpoint is probed once its state is as desired.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for connecting to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an order; loading a model from a busy weight store can take many minutes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(900);

/// Desired state of the endpoint: its model, and its role in a group at a fencing number.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct DesiredState {
    fencing: FencingNumber,
    service: ServiceName,
    role: String,
}

impl DesiredState {
    /// The desired state of the endpoint of `host` under `assignment`.
    pub(super) fn of(assignment: &GroupAssignment, host: &HostName) -> Self {
        let position = assignment.members.iter().position(|member| member.host == *host);
        let (rank, size) = (position.unwrap_or_default(), assignment.members.len());
        Self {
            fencing: assignment.fencing,
            service: assignment.service.clone(),
            role: format!("group {} member {rank} of {size}", assignment.group),
        }
    }
}

/// Passes the desired state to the thread; a new state replaces the previous one.
#[derive(Debug, Clone)]
pub(super) struct OrderHandle {
    desired: Arc<Mutex<Option<DesiredState>>>,
    wake: Sender<()>,
}

impl OrderHandle {
    /// Sets the desired state; `None` when the host belongs to no group.
    pub(super) fn set(&self, desired: Option<DesiredState>) {
        *self.desired.lock().unwrap_or_else(PoisonError::into_inner) = desired;
        // If the channel is full, the thread has a pending wake-up and will read the new state.
        let _ = self.wake.try_send(());
    }
}

/// Starts the thread, which notifies the control thread when the fencing number changes for which
/// the endpoint is ready.
pub(super) fn start(
    endpoint: EndpointSettings,
    inputs: Sender<AgentInput>,
) -> std::io::Result<OrderHandle> {
    let (wake, wakeups) = bounded(1);
    let desired = Arc::new(Mutex::new(None));
    let reconciler = EndpointReconciler {
        endpoint,
        desired: Arc::clone(&desired),
        inputs,
        loaded_service: None,
        role: None,
        reported: None,
    };
    spawn_worker("orders", WORKER_STACK_BYTES, move || reconciler.run(&wakeups))?;
    Ok(OrderHandle { desired, wake })
}

/// Brings the endpoint into its desired state and keeps track of its actual state.
struct EndpointReconciler {
    endpoint: EndpointSettings,
    desired: Arc<Mutex<Option<DesiredState>>>,
    inputs: Sender<AgentInput>,
    /// Service whose model the endpoint has loaded.
    loaded_service: Option<ServiceName>,
    /// Fencing number of the endpoint's current role.
    role: Option<FencingNumber>,
    /// Fencing number last sent to the control thread.
    reported: Option<FencingNumber>,
}

impl EndpointReconciler {
    fn run(mut self, wakeups: &Receiver<()>) {
        loop {
            let ready = self.reconcile();
            if ready != self.reported {
                self.reported = ready;
                if self.inputs.send(AgentInput::EndpointReady(ready)).is_err() {
                    return;
                }
            }
            let is_reconciled = self.desired_state().map(|desired| desired.fencing) == ready;
            let wait = if is_reconciled { PROBE_INTERVAL } else { PROBE_INTERVAL / 4 };
            if wakeups.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }

    fn desired_state(&self) -> Option<DesiredState> {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Probes the endpoint and sends the orders that are missing. Returns the fencing number for
    /// which the endpoint is ready.
    fn reconcile(&mut self) -> Option<FencingNumber> {
        match TcpStream::connect_timeout(&self.endpoint.address, CONNECT_TIMEOUT) {
            Ok(_) => {}
            // The endpoint is paused or busy and has lost nothing.
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                let desired = self.desired_state()?.fencing;
                return self.reported.filter(|fencing| *fencing == desired);
            }
            Err(_) => {
                // An endpoint that was down has restarted and lost its model and role.
                self.loaded_service = None;
                self.role = None;
                return None;
            }
        }
        let desired = self.desired_state()?;
        if self.endpoint.kind == EndpointKind::Plain {
            return Some(desired.fencing);
        }
        if self.loaded_service.as_ref() != Some(&desired.service) {
            self.loaded_service = None;
            self.send_order("load_model", desired.service.as_str(), desired.fencing)?;
            self.loaded_service = Some(desired.service.clone());
        }
        if self.role != Some(desired.fencing) {
            self.send_order("set_role", &desired.role, desired.fencing)?;
            self.role = Some(desired.fencing);
        }
        // If the desired state has changed while an order ran, the endpoint is not ready for it.
        (self.desired_state().as_ref() == Some(&desired)).then_some(desired.fencing)
    }

    /// Sends one order; `None` unless the endpoint confirmed that it was executed.
    fn send_order(&self, kind: &str, name: &str, fencing: FencingNumber) -> Option<()> {
        let url = format!("http://{}/orders", self.endpoint.address);
        let body = json!({ "kind": kind, "name": name, "fencing": fencing });
        let sent = attohttpc::post(url)
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(ORDER_TIMEOUT)
            .bytes(body.to_string().into_bytes())
            .send();
        match sent {
            Ok(response) if response.is_success() => Some(()),
            Ok(response) => {
                let status = response.status().as_u16();
                log::warn!(
                    kind = kind, fencing = fencing.0, status = status;
                    "endpoint refused an order; trying again"
                );
                None
            }
            Err(error) => {
                log::warn!(kind = kind, fencing = fencing.0; "order failed; trying again: {error}");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
