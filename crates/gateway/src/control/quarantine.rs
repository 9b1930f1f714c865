//! The leader's part in keeping requests that crash endpoints away from them.

use std::time::Duration;

use briartray_fleet::message::{EntryReport, ViewVersion};
use briartray_fleet::state::{FleetCommand, FleetState};
use briartray_model::TimePoint;
use briartray_model::message::{PrintView, RunEnd};
use briartray_model::names::RequestPrint;

use super::core::ControlCore;
use super::input::ReplySender;
use super::origin::CommandOrigin;

/// Time after which a request in quarantine is tried again: what runs it may have been replaced by then. A new
/// leader counts anew.
const QUARANTINE_LASTS: Duration = Duration::from_secs(3_600);

impl ControlCore {
    /// Takes the runs that an entry reports.
    pub(super) fn take_runs(&mut self, now: TimePoint, report: &EntryReport) {
        let Some(leadership) = &mut self.leadership else { return };
        for event in &report.runs {
            let state = &self.state;
            if state.quarantine().holds(event.print) || leaves_by_plan(state, &event.end) {
                continue;
            }
            leadership.prints_due |= leadership.crashes.take(now, event);
        }
        leadership.dirty |= leadership.prints_due;
        for record in leadership.crashes.take_fatal() {
            let print = record.print;
            log::warn!(print:%, rule = record.rule; "a request crashed {} endpoints", record.endpoints.len());
            self.submit(&FleetCommand::Quarantine(record), CommandOrigin::Quarantine(print));
        }
    }

    /// Lets an operator serve a request again.
    pub(super) fn lift_quarantine(&mut self, print: RequestPrint, reply: ReplySender) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        self.submit(&FleetCommand::LiftQuarantine(print), CommandOrigin::Caller(reply));
    }

    /// Forgets crashes that count no more, and lets out what was in quarantine for long.
    pub(super) fn keep_quarantine(&mut self, now: TimePoint) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return;
        };
        leadership.prints_due |= leadership.crashes.prune(now);
        let list = self.state.quarantine();
        leadership.quarantined_at.retain(|print, _| list.holds(*print));
        let mut over = Vec::new();
        for record in list.records() {
            let since = leadership.quarantined_at.get_or_insert_with(record.print, || now);
            if now.since(*since) >= QUARANTINE_LASTS {
                // A lift that is lost is made again after the same time.
                *since = now;
                over.push(record.print);
            }
        }
        for print in over {
            let origin = CommandOrigin::Quarantine(print);
            self.submit(&FleetCommand::LiftQuarantine(print), origin);
        }
    }

    /// Makes a new view of the quarantine when it has changed.
    pub(super) fn refresh_prints(&mut self) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.prints_due) else {
            return;
        };
        leadership.prints_due = false;
        let quarantined = self.state.quarantine().prints();
        let suspects = leadership.crashes.suspects();
        let known = &leadership.prints;
        let same = known.quarantined == quarantined && known.suspects == suspects;
        if same && known.version.term == leadership.term {
            return;
        }
        let number = known.version.number + 1;
        let version = ViewVersion { term: leadership.term, number };
        leadership.prints = PrintView { version, quarantined, suspects };
        let (held, suspects) =
            (leadership.prints.quarantined.len(), leadership.prints.suspects.len());
        self.parts.metrics.quarantined.set(i64::try_from(held).unwrap_or(i64::MAX));
        self.parts.metrics.suspects.set(i64::try_from(suspects).unwrap_or(i64::MAX));
    }
}

/// Whether the end of a run comes from an endpoint that stops by plan.
fn leaves_by_plan(state: &FleetState, end: &RunEnd) -> bool {
    matches!(end, RunEnd::Crashed { endpoint, .. } if state.is_leaving(endpoint))
}
