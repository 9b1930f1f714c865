//! Orders to the endpoint: one thread that sends them one after the other and looks whether the
//! endpoint is there.
//!
//! Some engines refuse an order with an old fencing number, others carry out whatever comes. For
//! the latter this thread is the only way in: it sends one order at a time, always the newest that
//! control gave, and never one that is older than what it sent before.

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

/// Time between two looks at the endpoint.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Time to connect to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an order may take; loading a model from a busy weight store takes long.
const ORDER_TIMEOUT: Duration = Duration::from_secs(900);

/// What the endpoint is to be: a member of a group, at a fencing number.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct EndpointDuty {
    fencing: FencingNumber,
    service: ServiceName,
    role: String,
}

impl EndpointDuty {
    /// The duty of `host` in `assignment`.
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

/// Hands duties to the thread; only the newest counts.
#[derive(Debug, Clone)]
pub(super) struct OrderDesk {
    duty: Arc<Mutex<Option<EndpointDuty>>>,
    wake: Sender<()>,
}

impl OrderDesk {
    /// Sets what the endpoint is to be; `None` when its host is free.
    pub(super) fn set(&self, duty: Option<EndpointDuty>) {
        *self.duty.lock().unwrap_or_else(PoisonError::into_inner) = duty;
        // A full channel means that the thread is about to look anyway.
        let _ = self.wake.try_send(());
    }
}

/// Starts the thread; it tells the control thread for which fencing number the endpoint is ready.
pub(super) fn start(
    endpoint: EndpointSettings,
    inputs: Sender<AgentInput>,
) -> std::io::Result<OrderDesk> {
    let (wake, woken) = bounded(1);
    let duty = Arc::new(Mutex::new(None));
    let keeper = EndpointKeeper {
        endpoint,
        duty: Arc::clone(&duty),
        inputs,
        loaded: None,
        role: None,
        told: None,
    };
    spawn_worker("orders", WORKER_STACK_BYTES, move || keeper.run(&woken))?;
    Ok(OrderDesk { duty, wake })
}

/// What the thread knows of its endpoint.
struct EndpointKeeper {
    endpoint: EndpointSettings,
    duty: Arc<Mutex<Option<EndpointDuty>>>,
    inputs: Sender<AgentInput>,
    /// Service whose model is loaded.
    loaded: Option<ServiceName>,
    /// Fencing number of the role that the endpoint has.
    role: Option<FencingNumber>,
    told: Option<FencingNumber>,
}

impl EndpointKeeper {
    fn run(mut self, woken: &Receiver<()>) {
        loop {
            let ready = self.look();
            if ready != self.told {
                self.told = ready;
                if self.inputs.send(AgentInput::EndpointReady(ready)).is_err() {
                    return;
                }
            }
            let settled = self.current().map(|duty| duty.fencing) == ready;
            let wait = if settled { LOOK_INTERVAL } else { LOOK_INTERVAL / 4 };
            if woken.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }

    fn current(&self) -> Option<EndpointDuty> {
        self.duty.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The fencing number for which the endpoint is ready now, after orders that were missing.
    fn look(&mut self) -> Option<FencingNumber> {
        if TcpStream::connect_timeout(&self.endpoint.address, CONNECT_TIMEOUT).is_err() {
            // An endpoint that comes back has nothing loaded.
            self.loaded = None;
            self.role = None;
            return None;
        }
        let duty = self.current()?;
        if self.endpoint.kind == EndpointKind::Plain {
            return Some(duty.fencing);
        }
        if self.loaded.as_ref() != Some(&duty.service) {
            self.loaded = None;
            self.order("load_model", duty.service.as_str(), duty.fencing)?;
            self.loaded = Some(duty.service.clone());
        }
        if self.role != Some(duty.fencing) {
            self.order("set_role", &duty.role, duty.fencing)?;
            self.role = Some(duty.fencing);
        }
        // The duty may have changed while an order ran; then this one counts for nothing.
        (self.current().as_ref() == Some(&duty)).then_some(duty.fencing)
    }

    /// Sends one order; `None` when it was not carried out for certain.
    fn order(&self, kind: &str, name: &str, fencing: FencingNumber) -> Option<()> {
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
                log::warn!(kind = kind, fencing = fencing.0, status = status; "order refused");
                None
            }
            Err(error) => {
                log::warn!(kind = kind, fencing = fencing.0; "order failed: {error}");
                None
            }
        }
    }
}
