//! The agent's control thread: grants leases on this host, keeps the gate of the group that it
//! leads, and reports to control.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use briartray_link::{LinkClient, LinkWriter};
use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReport, ControlDirective, GroupAssignment, MemberReply, MemberRequest,
};
use briartray_model::names::{FencingNumber, HostName};
use briartray_placement::lease::{GroupGate, LeaseDecision, LeaseGranter};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use super::member;
use super::orders::{DesiredState, OrderHandle};
use super::session::SessionHandle;
use super::shared::{AgentShared, GateView};

/// Longest time between two checks of the leases.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// One input of the agent's control thread.
#[derive(Debug)]
pub(super) enum AgentInput {
    /// Control sent a directive.
    Directive(ControlDirective),
    /// A new session with control was opened.
    SessionOpened,
    /// The first host of a group requests a lease from this host.
    LeaseRequested { request: MemberRequest, writer: LinkWriter },
    /// A renewal was answered, or timed out (`None`).
    RenewalAnswered { renewal: LeaseRenewal, reply: Option<MemberReply> },
    /// The fencing number for which the endpoint is ready has changed; `None` if it is not ready.
    EndpointReady(Option<FencingNumber>),
    /// The role is being stopped.
    Stop,
}

/// One request to renew a lease, and the time when it was sent.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LeaseRenewal {
    pub(super) assignment: Arc<GroupAssignment>,
    pub(super) member: HostName,
    pub(super) sent_at: TimePoint,
}

/// The group that this host leads: its gate, and the flag that its renewal threads run on.
struct LeadRole {
    assignment: Arc<GroupAssignment>,
    gate: GroupGate,
    renewing: Arc<AtomicBool>,
    reported_whole: bool,
    /// How often a member has refused its lease or reported that its endpoint is not ready.
    refusals: u64,
}

impl Drop for LeadRole {
    fn drop(&mut self) {
        self.renewing.store(false, Ordering::Relaxed);
    }
}

/// The connections and threads that the control thread uses.
pub(super) struct AgentLinks {
    pub(super) client: LinkClient,
    pub(super) session: SessionHandle,
    pub(super) orders: OrderHandle,
}

/// State of the agent's control thread.
pub(super) struct AgentCore {
    shared: Arc<AgentShared>,
    links: AgentLinks,
    inputs: Sender<AgentInput>,
    granter: LeaseGranter,
    lead: Option<LeadRole>,
    /// Fencing number for which the endpoint has loaded its model and taken its role.
    endpoint_ready: Option<FencingNumber>,
    /// Whether it was reported to control that the leaving group has no work left.
    reported_drained: bool,
}

impl AgentCore {
    pub(super) fn new(
        shared: Arc<AgentShared>,
        links: AgentLinks,
        inputs: Sender<AgentInput>,
    ) -> Self {
        let granter = LeaseGranter::new(shared.clock.now());
        Self {
            shared,
            links,
            inputs,
            granter,
            lead: None,
            endpoint_ready: None,
            reported_drained: false,
        }
    }

    /// Handles inputs until `AgentInput::Stop` arrives or the channel closes.
    pub(super) fn run(mut self, queue: &Receiver<AgentInput>) {
        loop {
            match queue.recv_timeout(TICK_INTERVAL) {
                Ok(AgentInput::Stop) | Err(RecvTimeoutError::Disconnected) => {
                    self.links.session.stop();
                    return;
                }
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.report_group_state(false);
            self.report_drained();
        }
    }

    fn handle(&mut self, input: AgentInput) {
        match input {
            AgentInput::Directive(directive) => self.handle_directive(directive),
            AgentInput::SessionOpened => {
                self.report_group_state(true);
                self.reported_drained = false;
            }
            AgentInput::LeaseRequested { request, writer } => {
                self.answer_lease_request(&request, &writer)
            }
            AgentInput::RenewalAnswered { renewal, reply } => {
                self.handle_renewal_answer(&renewal, reply.as_ref())
            }
            AgentInput::EndpointReady(fencing) => self.endpoint_ready = fencing,
            AgentInput::Stop => {}
        }
    }

    fn handle_directive(&mut self, directive: ControlDirective) {
        match directive {
            ControlDirective::Assign(assignment) => self.assign(assignment),
            ControlDirective::Free { fencing } => {
                if self.granter.unassign(fencing) {
                    self.links.orders.set(None);
                    self.stop_leading();
                }
            }
            ControlDirective::Leave { fencing } => {
                self.shared.set_leaving(fencing, true);
                self.reported_drained = false;
            }
            ControlDirective::Stay { fencing } => self.shared.set_leaving(fencing, false),
            ControlDirective::MayStop => self.shared.allow_stop(),
        }
    }

    fn assign(&mut self, assignment: GroupAssignment) {
        if !self.granter.assign(assignment.group, assignment.fencing) {
            log::warn!(group = assignment.group.0; "ignored an outdated assignment");
            return;
        }
        let desired = DesiredState::of(&assignment, &self.shared.settings.host);
        self.links.orders.set(Some(desired));
        let leads = assignment.members.first().map(|member| &member.host)
            == Some(&self.shared.settings.host);
        let unchanged = self.lead.as_ref().is_some_and(|lead| *lead.assignment == assignment);
        if unchanged {
            return;
        }
        self.stop_leading();
        if leads {
            self.start_leading(Arc::new(assignment));
        }
    }

    fn start_leading(&mut self, assignment: Arc<GroupAssignment>) {
        log::info!(group = assignment.group.0, fencing = assignment.fencing.0; "now leads a group");
        let renewing = Arc::new(AtomicBool::new(true));
        let gate = GroupGate::new(&assignment);
        for member in &assignment.members {
            let task = member::RenewalTask {
                client: self.links.client.clone(),
                clock: self.shared.clock,
                assignment: Arc::clone(&assignment),
                member: member.clone(),
                renewing: Arc::clone(&renewing),
                inputs: self.inputs.clone(),
            };
            if let Err(error) = task.start() {
                // Without renewals the gate stays closed, so the group serves nothing unsafely.
                log::error!("cannot start renewing a lease: {error}; raise the thread limit");
            }
        }
        self.lead =
            Some(LeadRole { assignment, gate, renewing, reported_whole: false, refusals: 0 });
        self.publish_gate();
    }

    fn stop_leading(&mut self) {
        self.lead = None;
        self.publish_gate();
    }

    fn answer_lease_request(&mut self, request: &MemberRequest, writer: &LinkWriter) {
        let MemberRequest::Lease { group, fencing, nonce } = *request;
        let reply = match self.granter.grant(self.shared.clock.now(), group, fencing) {
            LeaseDecision::Granted(duration) => MemberReply::Granted {
                nonce,
                duration_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
                endpoint_ready: self.endpoint_ready == Some(fencing),
            },
            LeaseDecision::Refused(fencing) => MemberReply::Refused { nonce, fencing },
        };
        let _ = writer.try_send(&reply);
    }

    fn handle_renewal_answer(&mut self, renewal: &LeaseRenewal, reply: Option<&MemberReply>) {
        let Some(lead) = &mut self.lead else { return };
        if !Arc::ptr_eq(&lead.assignment, &renewal.assignment) {
            return;
        }
        match reply {
            Some(MemberReply::Granted { duration_ms, endpoint_ready: true, .. }) => {
                let duration = Duration::from_millis(u64::from(*duration_ms));
                lead.gate.record(&renewal.member, renewal.sent_at, duration);
            }
            Some(_) => {
                lead.gate.revoke(&renewal.member);
                lead.refusals += 1;
            }
            // A missing answer is not a refusal: the current lease stays valid until it expires.
            None => {}
        }
        self.publish_gate();
    }

    fn publish_gate(&self) {
        let view = self.lead.as_ref().map_or_else(GateView::default, |lead| GateView {
            group: lead.gate.group(),
            fencing: lead.gate.fencing(),
            whole_until: lead.gate.whole_until(),
            refusals: lead.refusals,
            capacity: lead.assignment.capacity,
        });
        self.shared.publish_gate(view);
    }

    /// Reports to control once when the leaving group has no work left.
    fn report_drained(&mut self) {
        let Some(lead) = &self.lead else { return };
        let fencing = lead.gate.fencing();
        if self.reported_drained || !self.shared.is_drained(fencing) {
            return;
        }
        let host = self.shared.settings.host.clone();
        self.reported_drained = self.links.session.report(&AgentReport::Drained { host, fencing });
    }

    /// Reports the group's state to control when it has changed, or in any case if `force` is
    /// set.
    fn report_group_state(&mut self, force: bool) {
        let now = self.shared.clock.now();
        let Some(lead) = &mut self.lead else { return };
        let whole = lead.gate.is_whole(now);
        if whole == lead.reported_whole && !force {
            return;
        }
        let report = AgentReport::GroupState {
            group: lead.gate.group(),
            fencing: lead.gate.fencing(),
            whole,
            missing: lead.gate.missing(now),
        };
        if self.links.session.report(&report) {
            lead.reported_whole = whole;
        }
    }
}
