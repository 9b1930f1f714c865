//! What a leader does: directs the endpoints and follows up on what was learnt.

use briartray_fleet::director::FleetDirector;
use briartray_model::TimePoint;

use super::calls::EndpointCall;
use super::core::ControlCore;
use super::leadership::{Leadership, STEP_PAUSE};
use super::origin::CommandOrigin;

impl ControlCore {
    /// Starts to act as leader: everything that was committed before is applied here now.
    pub(super) fn establish(&mut self) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.established = true;
        leadership.director = FleetDirector::new(now, &self.state);
        log::info!(term = leadership.term.0, endpoints = self.state.endpoints().len();
            "leading");
    }

    /// Looks at what is due.
    pub(super) fn tick(&mut self, now: TimePoint) {
        self.greet(now);
        self.measure();
        self.manage_voters(now);
        self.keep_quarantine(now);
        self.direct(now);
        // Silence grows without an event, and what entries said a while ago counts no more.
        if let Some(leadership) = &mut self.leadership {
            leadership.dirty = true;
        }
        self.inform(now);
    }

    /// Brings the metrics up to date.
    fn measure(&self) {
        let metrics = &self.parts.metrics;
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.leads.set(i64::from(self.is_established()));
        metrics.plan.set(number(self.state.plan().map_or(0, |plan| plan.version)));
        metrics.groups.set(number(self.state.groups().len() as u64));
        metrics.endpoints.set(number(self.state.endpoints().len() as u64));
        metrics.evacuated.set(number(self.state.evacuated().len() as u64));
        if let Some(agreement) = &self.agreement {
            metrics.agreement.update(agreement);
            metrics.voters.set(number(agreement.seats().len() as u64));
        }
    }

    /// Does what follows from what was just learnt, without waiting for the next tick: a group that
    /// opens or ends a tenth of a second earlier is a tenth of a second of service.
    pub(super) fn follow_up(&mut self, now: TimePoint) {
        let Some(leadership) = &self.leadership else { return };
        if leadership.follow_up_at().is_some_and(|from| now >= from) {
            self.direct(now);
        }
        let due = |lead: &Leadership| lead.dirty && now >= lead.inform_from;
        if self.leadership.as_ref().is_some_and(due) {
            self.inform(now);
        }
    }

    /// Steps the director and carries out what follows.
    pub(super) fn direct(&mut self, now: TimePoint) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        leadership.step_due = false;
        let Some(plan) = &self.plan else { return };
        let began = self.clock.now();
        let term = leadership.term.0;
        let output = leadership.director.step(now, &self.state, plan);
        let ended = self.clock.now();
        leadership.step_from = ended.after(ended.since(began) * STEP_PAUSE);
        self.ask_reports(now, output.probes);
        for call in output.orders {
            let _ = self.parts.calls.send(EndpointCall::Order { call, term });
        }
        for command in output.commands {
            self.submit(&command, CommandOrigin::Director);
        }
    }
}
