//! Keeping the entries informed: views as they change, answers to reports, declarations at a pace.

use std::time::Duration;

use briartray_fleet::director::ENTRY_TIMEOUT;
use briartray_fleet::message::{EntryNotice, EntryReport, ViewVersion};
use briartray_fleet::state::StoredPlan;
use briartray_link::{EncodedMessage, LinkWriter};
use briartray_model::{SortedTable, TimePoint};

use super::core::ControlCore;
use super::entry_session::EntrySession;
use super::leadership::STEP_PAUSE;
use super::origin::ReadOrigin;

/// Shortest time between two views: changes that come together are told together.
const INFORM_EVERY: Duration = Duration::from_millis(15);

/// Part of a leader's time that each entry takes when all are told of a change.
const INFORM_SHARE: Duration = Duration::from_micros(500);

/// Time between two lines about the view.
const VIEW_LINE_EVERY: Duration = Duration::from_millis(500);

/// Leaving endpoints told with every notice: those of the last minutes.
const LEAVING_TOLD: usize = 128;

impl ControlCore {
    /// Tells the entries what has changed.
    pub(super) fn inform(&mut self, now: TimePoint) {
        let began = self.clock.now();
        self.refresh_prints();
        if self.refresh_view(now) {
            self.tell_entries(now);
        }
        let ended = self.clock.now();
        let Some(leadership) = &mut self.leadership else { return };
        let entries = u32::try_from(leadership.entries.len()).unwrap_or(u32::MAX);
        let pause = (ended.since(began) * STEP_PAUSE).max(INFORM_EVERY).max(INFORM_SHARE * entries);
        leadership.inform_from = ended.after(pause);
    }

    /// Sends each entry what it lacks. One that is behind asks again with its next report.
    fn tell_entries(&mut self, now: TimePoint) {
        let news = self.news();
        let plan = self.state.plan();
        let newest = plan.map(|plan| plan.version);
        let plan_bytes = plan.map_or(0, StoredPlan::packed_len);
        let Some(leadership) = &mut self.leadership else { return };
        leadership.entries.retain(|_, entry| now.since(entry.heard) < ENTRY_TIMEOUT);
        let mut encoded = SortedTable::new();
        for entry in leadership.entries.values_mut() {
            let lacks_plan = entry.plan < newest && leadership.pace.may_send(now, plan_bytes);
            let lacks_prints = entry.prints != leadership.quarantine.view().version;
            let base = leadership.views.base_of(entry.view);
            let lacks = (lacks_plan, lacks_prints, base, entry.settled);
            let (notice, message) = encoded.get_or_insert_with(lacks, || {
                let plan = plan.filter(|_| lacks_plan).cloned();
                let view = leadership.views.update_for(entry.view, entry.settled);
                let prints = lacks_prints.then(|| leadership.quarantine.view().clone());
                let notice = EntryNotice { plan, view, prints, ..news.clone() };
                let message = EncodedMessage::of(&notice);
                (notice, message)
            });
            match message {
                Ok(message) if matches!(entry.writer.try_send_encoded(message), Ok(true)) => {
                    entry.sent(now, newest.filter(|_| lacks_plan), notice);
                }
                Ok(_) => {}
                Err(error) => log::error!("entries cannot be told of a view: {error}"),
            }
        }
    }

    /// Makes a new view when something has changed; `true` when entries are to be told.
    fn refresh_view(&mut self, now: TimePoint) -> bool {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return false;
        };
        let Some(plan) = &self.plan else { return false };
        if !leadership.dirty {
            return false;
        }
        leadership.dirty = false;
        let version = ViewVersion { term: leadership.term, number: leadership.number + 1 };
        let mut view = leadership.director.view(now, &self.state, plan, version);
        view.entries = leadership.entries.len();
        let same = leadership.views.newest().is_some_and(|known| known.has_same_content(&view));
        let newest = self.state.plan().map(|plan| plan.version);
        let prints = leadership.quarantine.view().version;
        let lacks = |entry: &EntrySession| entry.plan < newest || entry.prints != prints;
        let behind = leadership.entries.values().any(lacks);
        if !same {
            if now >= leadership.view_line_at {
                leadership.view_line_at = now.after(VIEW_LINE_EVERY);
                let spares = leadership.director.spare_summary(&self.state);
                log::info!("view {}: {}; free {spares}", version.number, view.summary());
            }
            leadership.number += 1;
            leadership.limits.set_cold(now, &view.cold());
            leadership.views.push(view);
        }
        !same || behind
    }

    /// A notice without a confirmation, a declaration or a view.
    fn news(&self) -> EntryNotice {
        let leaving = self.state.leaving();
        let told = leaving.len().saturating_sub(LEAVING_TOLD);
        EntryNotice {
            leaving: leaving[told..].to_vec(),
            control: self.hosts.names(),
            leads: self.is_established(),
            ..EntryNotice::default()
        }
    }

    /// Takes what an entry saw, and answers once a majority confirms that this host leads.
    pub(super) fn take_report(&mut self, now: TimePoint, report: EntryReport, writer: LinkWriter) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return self.name_leader(&writer);
        };
        leadership.director.report(now, &report, &self.state);
        self.take_runs(now, &report);
        let Some(leadership) = &mut self.leadership else { return };
        // What else a report says of the groups shows in the view of the next tick.
        let is_new = !leadership.entries.contains_key(&report.node);
        leadership.dirty |= is_new || report.pulses.iter().any(|pulse| pulse.suspect);
        // What was sent on the same stream arrives before any later answer, so it is not sent again:
        // a report is often on its way while the declaration is, and each was sent twice.
        let known = leadership.entries.remove(&report.node);
        let known = known.filter(|known| known.writer.is_same(&writer));
        let fresh = || EntrySession::new(now, &report, writer.clone());
        let mut session = known.unwrap_or_else(fresh);
        session.heard(now, &report);
        leadership.entries.insert(report.node.clone(), session);
        self.confirm(ReadOrigin::Entry(Box::new(report), writer));
    }

    /// Answers a report with what its entry lacks; its lease begins with the answer.
    pub(super) fn answer_report(&mut self, report: &EntryReport, writer: &LinkWriter) {
        let now = self.now();
        self.refresh_prints();
        let news = self.news();
        let newest = self.state.plan().map(|plan| plan.version);
        let Some(leadership) = &mut self.leadership else { return self.name_leader(writer) };
        let loads = leadership.director.loads_of_others(report);
        let session = leadership.entries.get_mut(&report.node);
        let mut session = session.filter(|session| session.writer.is_same(writer));
        // The session knows what is on its way beside what the report names.
        let (held_plan, held_view, held_prints) = match &session {
            Some(session) => (session.plan.max(report.plan), session.view, session.prints),
            None => (report.plan, Some(report.view), report.prints),
        };
        let pace = &mut leadership.pace;
        let lacking = self.state.plan().filter(|_| held_plan < newest);
        let plan = lacking.filter(|plan| pace.may_send(now, plan.packed_len())).cloned();
        let told = plan.as_ref().map(|plan| plan.version);
        // A lease says that the entry knows what was accepted before it asked.
        let knows = lacking.is_none() || plan.is_some();
        let view = leadership.views.update_for(held_view, report.settled);
        let nonce = knows.then_some(report.nonce);
        let lacks_prints = held_prints != leadership.quarantine.view().version;
        let prints = lacks_prints.then(|| leadership.quarantine.view().clone());
        let limits = leadership.limits.renew(now, &report.node, report.nonce, &report.limits);
        let limited = leadership.limits.limited();
        self.parts.metrics.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
        let notice = EntryNotice { nonce, plan, view, prints, limits, loads, ..news };
        // An entry that is behind asks again; its lease runs out meanwhile.
        let sent = writer.try_send(&notice);
        if let (Ok(true), Some(session)) = (sent, session.as_mut()) {
            session.sent(now, told, &notice);
        }
    }

    /// Tells an entry who leads.
    pub(super) fn name_leader(&self, writer: &LinkWriter) {
        let notice = EntryNotice {
            control: self.hosts.names(),
            leader: self.leader(),
            ..EntryNotice::default()
        };
        let _ = writer.try_send(&notice);
    }
}
