//! The agent's control thread: the host's promise, the gate, and what control is told.

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
use super::orders::{EndpointDuty, OrderDesk};
use super::session::SessionHandle;
use super::shared::{AgentShared, GateView};

/// Time between two looks at the leases.
const TICK: Duration = Duration::from_millis(100);

/// One input of the agent's control thread.
#[derive(Debug)]
pub(super) enum AgentInput {
    /// Control said something.
    Directive(ControlDirective),
    /// The session with control was opened anew.
    SessionOpened,
    /// Another agent asks this host for a promise.
    MemberAsk { request: MemberRequest, writer: LinkWriter },
    /// A member answered, or did not.
    LeaseAnswer { lease: LeaseAsked, reply: Option<MemberReply> },
    /// The endpoint became ready for this fencing number, or for none.
    EndpointReady(Option<FencingNumber>),
    /// The process ends.
    Stop,
}

/// Which lease was asked for, and when.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LeaseAsked {
    pub(super) assignment: Arc<GroupAssignment>,
    pub(super) member: HostName,
    pub(super) sent: TimePoint,
}

/// The gate of the group whose first host this is, and the threads that renew its leases.
struct LeadRole {
    assignment: Arc<GroupAssignment>,
    gate: GroupGate,
    renewing: Arc<AtomicBool>,
    told_whole: bool,
}

impl Drop for LeadRole {
    fn drop(&mut self) {
        self.renewing.store(false, Ordering::Relaxed);
    }
}

/// What the control thread reaches others through.
pub(super) struct AgentLinks {
    pub(super) client: LinkClient,
    pub(super) session: SessionHandle,
    pub(super) orders: OrderDesk,
}

/// The agent's own state.
pub(super) struct AgentCore {
    shared: Arc<AgentShared>,
    links: AgentLinks,
    inputs: Sender<AgentInput>,
    granter: LeaseGranter,
    lead: Option<LeadRole>,
    /// Fencing number for which the endpoint has its model and role.
    endpoint_ready: Option<FencingNumber>,
    /// Whether control knows that the group it told to leave has no work left.
    told_drained: bool,
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
            told_drained: false,
        }
    }

    /// Runs until told to stop.
    pub(super) fn run(mut self, queue: &Receiver<AgentInput>) {
        loop {
            match queue.recv_timeout(TICK) {
                Ok(AgentInput::Stop) | Err(RecvTimeoutError::Disconnected) => {
                    self.links.session.stop();
                    return;
                }
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.report_state(false);
            self.report_drained();
        }
    }

    fn handle(&mut self, input: AgentInput) {
        match input {
            AgentInput::Directive(directive) => self.direct(directive),
            AgentInput::SessionOpened => {
                self.report_state(true);
                self.told_drained = false;
            }
            AgentInput::MemberAsk { request, writer } => self.answer_member(&request, &writer),
            AgentInput::LeaseAnswer { lease, reply } => self.take_answer(&lease, reply.as_ref()),
            AgentInput::EndpointReady(fencing) => self.endpoint_ready = fencing,
            AgentInput::Stop => {}
        }
    }

    fn direct(&mut self, directive: ControlDirective) {
        match directive {
            ControlDirective::Assign(assignment) => self.assign(assignment),
            ControlDirective::Free { fencing } => {
                if self.granter.unassign(fencing) {
                    self.links.orders.set(None);
                    self.drop_lead();
                }
            }
            ControlDirective::Leave { fencing } => {
                self.shared.set_leaving(fencing, true);
                self.told_drained = false;
            }
            ControlDirective::Stay { fencing } => self.shared.set_leaving(fencing, false),
            ControlDirective::MayStop => self.shared.allow_stop(),
        }
    }

    fn assign(&mut self, assignment: GroupAssignment) {
        if !self.granter.assign(assignment.group, assignment.fencing) {
            log::warn!(group = assignment.group.0; "an old assignment was ignored");
            return;
        }
        let duty = EndpointDuty::of(&assignment, &self.shared.settings.host);
        self.links.orders.set(Some(duty));
        let leads = assignment.members.first().map(|member| &member.host)
            == Some(&self.shared.settings.host);
        let known = self.lead.as_ref().is_some_and(|lead| *lead.assignment == assignment);
        if known {
            return;
        }
        self.drop_lead();
        if leads {
            self.take_lead(Arc::new(assignment));
        }
    }

    fn take_lead(&mut self, assignment: Arc<GroupAssignment>) {
        log::info!(group = assignment.group.0, fencing = assignment.fencing.0; "leading a group");
        let renewing = Arc::new(AtomicBool::new(true));
        let gate = GroupGate::new(&assignment);
        for member in &assignment.members {
            let renewal = member::RenewalTask {
                client: self.links.client.clone(),
                clock: self.shared.clock,
                assignment: Arc::clone(&assignment),
                member: member.clone(),
                renewing: Arc::clone(&renewing),
                inputs: self.inputs.clone(),
            };
            if let Err(error) = renewal.start() {
                // Without the renewals the gate stays closed, so nothing is served by mistake.
                log::error!("cannot renew a lease: {error}; raise the thread limit");
            }
        }
        self.lead = Some(LeadRole { assignment, gate, renewing, told_whole: false });
        self.publish();
    }

    fn drop_lead(&mut self) {
        self.lead = None;
        self.publish();
    }

    fn answer_member(&mut self, request: &MemberRequest, writer: &LinkWriter) {
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

    fn take_answer(&mut self, lease: &LeaseAsked, reply: Option<&MemberReply>) {
        let Some(lead) = &mut self.lead else { return };
        if !Arc::ptr_eq(&lead.assignment, &lease.assignment) {
            return;
        }
        match reply {
            Some(MemberReply::Granted { duration_ms, endpoint_ready: true, .. }) => {
                let duration = Duration::from_millis(u64::from(*duration_ms));
                lead.gate.record(&lease.member, lease.sent, duration);
            }
            Some(_) => lead.gate.revoke(&lease.member),
            // Silence is not a refusal: the lease that is held runs out by itself.
            None => {}
        }
        self.publish();
    }

    fn publish(&self) {
        let view = self.lead.as_ref().map_or_else(GateView::default, |lead| GateView {
            group: lead.gate.group(),
            fencing: lead.gate.fencing(),
            whole_until: lead.gate.whole_until(),
            capacity: lead.assignment.capacity,
        });
        self.shared.publish(view);
    }

    /// Tells control once when the group that leaves has no work left.
    fn report_drained(&mut self) {
        let Some(lead) = &self.lead else { return };
        let fencing = lead.gate.fencing();
        if self.told_drained || !self.shared.is_drained(fencing) {
            return;
        }
        let host = self.shared.settings.host.clone();
        self.told_drained = self.links.session.report(&AgentReport::Drained { host, fencing });
    }

    /// Tells control when the group became whole or broke, or when `always` asks for it.
    fn report_state(&mut self, always: bool) {
        let now = self.shared.clock.now();
        let Some(lead) = &mut self.lead else { return };
        let whole = lead.gate.is_whole(now);
        if whole == lead.told_whole && !always {
            return;
        }
        let report = AgentReport::GroupState {
            group: lead.gate.group(),
            fencing: lead.gate.fencing(),
            whole,
            missing: lead.gate.missing(now),
        };
        if self.links.session.report(&report) {
            lead.told_whole = whole;
        }
    }
}
