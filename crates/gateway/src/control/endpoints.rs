//! What operators declare, and what endpoints tell: beats, notices of leaving, answers to probes and orders.

use briartray_fleet::director::{EndpointHeartbeat, OrderCall, OrderOutcome};
use briartray_fleet::state::{FleetCommand, StoredPlan};
use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;

use super::core::ControlCore;
use super::input::{ControlReply, ProbeAnswer, ProbeResult, ReplySender};
use super::origin::{CommandOrigin, ReadOrigin};

impl ControlCore {
    /// Takes a declaration of an operator.
    pub(super) fn put(&mut self, now: TimePoint, plan: StoredPlan, reply: ReplySender) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        // A single voter could lose what it acknowledged together with its disk.
        if !self.has_voters(now) {
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        let held = self.state.plan().is_some_and(|held| held.version >= plan.version);
        if held {
            self.confirm(ReadOrigin::Overtaken(reply));
        } else {
            self.submit(&FleetCommand::PutPlan(plan), CommandOrigin::Caller(reply));
        }
    }

    /// Takes the beat of an endpoint that found this host.
    pub(super) fn heartbeat(
        &mut self,
        now: TimePoint,
        heartbeat: EndpointHeartbeat,
        reply: ReplySender,
    ) {
        if !self.is_established() {
            return self.relay_beat(now, heartbeat, reply);
        }
        let (id, leaving) = (heartbeat.id.clone(), heartbeat.leaving);
        self.take_beats(now, vec![heartbeat]);
        if leaving && !self.state.is_leaving(&id) {
            self.leave(id, reply);
        } else {
            let _ = reply.send(ControlReply::Done);
        }
    }

    /// An endpoint's notice counts only when a majority holds it: a later leader must not send
    /// work there again.
    pub(super) fn leave(&mut self, id: IncarnationId, reply: ReplySender) {
        let Some(leadership) = self.leadership.as_ref().filter(|lead| lead.established) else {
            return self.redirect(reply);
        };
        let id = leadership.director.resolve_incarnation(id);
        log::info!(endpoint:% = id; "an endpoint is leaving");
        self.submit(&FleetCommand::MarkLeaving(id), CommandOrigin::Caller(reply));
    }

    /// Takes beats that came here, or to another control host.
    pub(super) fn take_beats(&mut self, now: TimePoint, beats: Vec<EndpointHeartbeat>) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        for heartbeat in beats {
            log::trace!("beat {heartbeat:?}");
            if leadership.director.heartbeat(now, heartbeat) {
                leadership.dirty = true;
                leadership.step_due = true;
            }
        }
    }

    /// Takes what came of asking an endpoint for a report.
    pub(super) fn probed(&mut self, now: TimePoint, answer: ProbeAnswer) {
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
            ProbeResult::Silent => {
                self.parts.metrics.silent_probes.inc();
                log::info!(endpoint:% = id; "an endpoint does not answer a probe");
                leadership.director.probed(now, id, None);
                leadership.step_due = true;
            }
        }
        leadership.dirty = true;
    }

    /// Takes what came of an order.
    pub(super) fn ordered(&mut self, now: TimePoint, call: &OrderCall, outcome: OrderOutcome) {
        self.parts.metrics.ordered(outcome_word(outcome));
        let Some(leadership) = &mut self.leadership else { return };
        leadership.director.ordered(now, call, outcome);
        leadership.dirty |= outcome != OrderOutcome::Unknown;
        leadership.step_due = true;
    }
}

fn outcome_word(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Misfit => "misfit",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::OtherEndpoint => "other_endpoint",
        OrderOutcome::Unknown => "unknown",
    }
}
