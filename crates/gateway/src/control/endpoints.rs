//! Handling of deployment plans from operators, and of heartbeats, leave notices, and answers to
//! probes and orders from endpoints.

use briartray_fleet::director::{EndpointHeartbeat, OrderCall, OrderOutcome};
use briartray_fleet::state::{FleetCommand, StoredPlan};
use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;

use super::core::ControlCore;
use super::input::{ControlReply, ProbeAnswer, ProbeResult, ReplySender};
use super::origin::{CommandOrigin, ReadOrigin};

impl ControlCore {
    /// Accepts a deployment plan from an operator.
    pub(super) fn receive_plan(&mut self, now: TimePoint, plan: StoredPlan, reply: ReplySender) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        // A single voter could lose an acknowledged plan together with its disk.
        if !self.has_voters(now) {
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        let held = self.state.plan().is_some_and(|held| held.version >= plan.version);
        if held {
            self.confirm_leadership(ReadOrigin::Superseded(reply));
        } else {
            self.submit(&FleetCommand::PutPlan(plan), CommandOrigin::Caller(reply));
        }
    }

    /// Accepts a heartbeat that an endpoint sent to this host.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: TimePoint,
        heartbeat: EndpointHeartbeat,
        reply: ReplySender,
    ) {
        if !self.is_established() {
            return self.relay_heartbeat(now, heartbeat, reply);
        }
        let (id, leaving) = (heartbeat.id.clone(), heartbeat.leaving);
        self.receive_heartbeats(now, vec![heartbeat]);
        if leaving && !self.state.is_leaving(&id) {
            self.receive_leave(now, id, reply);
        } else {
            let _ = reply.send(ControlReply::Done);
        }
    }

    /// Records that an endpoint is leaving. The notice is acknowledged only after a majority stored
    /// it: a later leader must not send work there again.
    pub(super) fn receive_leave(&mut self, now: TimePoint, id: IncarnationId, reply: ReplySender) {
        let Some(leadership) = self.leadership.as_ref().filter(|lead| lead.established) else {
            return self.redirect(reply);
        };
        if !self.has_voters(now) {
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        let id = leadership.director.resolve_incarnation(id);
        log::info!(endpoint:% = id; "endpoint is leaving; recording that it takes no new work");
        self.submit(&FleetCommand::MarkLeaving(id), CommandOrigin::Caller(reply));
    }

    /// Processes heartbeats received by this host or relayed by another control host.
    pub(super) fn receive_heartbeats(
        &mut self,
        now: TimePoint,
        heartbeats: Vec<EndpointHeartbeat>,
    ) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        for heartbeat in heartbeats {
            log::trace!("received {heartbeat:?}");
            if leadership.director.heartbeat(now, heartbeat) {
                leadership.view_dirty = true;
                leadership.step_due = true;
            }
        }
    }

    /// Processes the answer to a probe, or its absence.
    pub(super) fn receive_probe_answer(&mut self, now: TimePoint, answer: ProbeAnswer) {
        let ProbeAnswer { id, result } = &answer;
        let Some(leadership) = &mut self.leadership else { return };
        match result {
            ProbeResult::Told(report) => {
                let report = Some(report.clone());
                leadership.step_due |= leadership.director.probed(now, id, report);
            }
            ProbeResult::OtherEndpoint => leadership.director.endpoint_gone(id),
            ProbeResult::Unread => {
                self.parts.metrics.unread_probes.inc();
                return leadership.director.probe_unread(now, id);
            }
            ProbeResult::Rejected { wait } => {
                log::info!(endpoint:% = id; "endpoint rejected a probe; it counts as working");
                leadership.director.probe_rejected(now, id, *wait);
            }
            ProbeResult::Refused => {
                self.parts.metrics.silent_probes.inc();
                log::info!(endpoint:% = id; "endpoint refused the connection of a probe");
                leadership.director.probe_refused(now, id);
                leadership.step_due = true;
            }
            ProbeResult::Silent => {
                self.parts.metrics.silent_probes.inc();
                log::info!(endpoint:% = id; "endpoint did not answer a probe");
                leadership.director.probed(now, id, None);
                leadership.step_due = true;
            }
        }
        leadership.view_dirty = true;
    }

    /// Processes the result of an order.
    pub(super) fn receive_order_result(
        &mut self,
        now: TimePoint,
        call: &OrderCall,
        outcome: OrderOutcome,
    ) {
        self.parts.metrics.count_order(outcome_label(outcome));
        let Some(leadership) = &mut self.leadership else { return };
        leadership.director.ordered(now, call, outcome);
        leadership.view_dirty |= outcome != OrderOutcome::Unknown;
        leadership.step_due = true;
    }
}

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Misfit => "misfit",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::OtherEndpoint => "other_endpoint",
        OrderOutcome::Unknown => "unknown",
    }
}
