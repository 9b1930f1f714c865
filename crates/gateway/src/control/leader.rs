//! What a leader does: directs the endpoints and keeps the entries informed.

use std::time::Duration;

use briartray_fleet::director::{ENTRY_GONE, FleetDirector};
use briartray_fleet::message::{EntryNotice, EntryReport, ViewHistory, ViewUpdate, ViewVersion};
use briartray_fleet::state::StoredPlan;
use briartray_link::{EncodedMessage, LinkWriter};
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use super::calls::EndpointCall;
use super::core::{CommandOrigin, ControlCore, ReadOrigin};
use super::pace::SendPace;

/// Shortest time between two views: changes that come together are told together.
const INFORM_EVERY: Duration = Duration::from_millis(15);

/// Part of a leader's time that each entry takes when all are told of a change.
const INFORM_SHARE: Duration = Duration::from_micros(500);

/// Time between two lines about the view.
const VIEW_LINE_EVERY: Duration = Duration::from_millis(500);

/// Time between two whole views to one entry: a report that says it holds none may have been written before
/// the one that was sent last had come.
const WHOLE_EVERY: Duration = Duration::from_millis(200);

/// Pause after a step of the director that an event asked for, and after a new view, in times of what it
/// took: one part in four of the thread's time goes to each. Both grow with the fleet, and so does the
/// number of events, while heartbeats and leases have to be answered all the same.
const STEP_PAUSE: u32 = 3;

/// Leaving endpoints told with every notice: those of the last minutes.
const LEAVING_TOLD: usize = 128;

/// An entry that reports to this leader.
pub(super) struct EntrySession {
    writer: LinkWriter,
    heard: TimePoint,
    /// Version of the declaration that it holds, or that is on its way to it on this stream.
    plan: Option<u64>,
    /// View that the entry holds, or that is on its way to it on this stream.
    view: Option<ViewVersion>,
    /// When it was sent a whole view.
    whole_at: Option<TimePoint>,
}

impl EntrySession {
    /// A session that begins with `report`.
    fn new(now: TimePoint, report: &EntryReport, writer: LinkWriter) -> Self {
        let (plan, view) = (report.plan, Some(report.view));
        Self { writer, heard: now, plan, view, whole_at: None }
    }

    /// Notes what was sent on the stream.
    fn sent(&mut self, now: TimePoint, plan: Option<u64>, view: Option<&ViewUpdate>) {
        self.plan = self.plan.max(plan);
        let Some(view) = view else { return };
        self.view = Some(view.version);
        if view.base.is_none() {
            self.whole_at = Some(now);
        }
    }

    /// Takes what a report says that the entry holds.
    fn heard(&mut self, now: TimePoint, report: &EntryReport) {
        self.heard = now;
        self.plan = self.plan.max(report.plan);
        let on_its_way = self.whole_at.is_some_and(|at| now.since(at) < WHOLE_EVERY);
        if report.view == ViewVersion::default() && !on_its_way {
            self.view = None;
        }
    }
}

/// What a leader keeps while it leads.
pub(super) struct Leadership {
    pub(super) term: TermNumber,
    /// Whether everything committed before is applied here.
    pub(super) established: bool,
    pub(super) director: FleetDirector,
    /// Something may have changed in the view.
    pub(super) dirty: bool,
    /// The director has something to follow up.
    pub(super) step_due: bool,
    entries: SortedTable<NodeName, EntrySession>,
    views: ViewHistory,
    /// How fast declarations are handed out.
    pace: SendPace,
    number: u64,
    /// When entries may be told of the next view.
    inform_from: TimePoint,
    /// When the next line about the view may be written.
    view_line_at: TimePoint,
    /// When the director may be stepped for what was just learnt.
    step_from: TimePoint,
}

impl Leadership {
    /// A leadership that begins at `now`.
    pub(super) fn new(now: TimePoint, term: TermNumber) -> Self {
        Self {
            term,
            established: false,
            director: FleetDirector::default(),
            dirty: true,
            step_due: false,
            entries: SortedTable::new(),
            views: ViewHistory::default(),
            pace: SendPace::default(),
            number: 0,
            inform_from: now,
            view_line_at: now,
            step_from: now,
        }
    }

    /// When the director is to be stepped for what was just learnt; `None` when nothing was.
    pub(super) fn follow_up_at(&self) -> Option<TimePoint> {
        (self.established && self.step_due).then_some(self.step_from)
    }
}

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
        if let Some(agreement) = &self.agreement {
            metrics.agreement.note(agreement);
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

    /// Tells the entries what has changed.
    fn inform(&mut self, now: TimePoint) {
        let began = self.clock.now();
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
        leadership.entries.retain(|_, entry| now.since(entry.heard) < ENTRY_GONE);
        let mut encoded = SortedTable::new();
        for entry in leadership.entries.values_mut() {
            let lacks_plan = entry.plan < newest && leadership.pace.may_send(now, plan_bytes);
            let lacks = (lacks_plan, leadership.views.base_of(entry.view));
            let (view, message) = encoded.get_or_insert_with(lacks, || {
                let plan = plan.filter(|_| lacks_plan).cloned();
                let view = leadership.views.update_for(entry.view);
                let notice = EntryNotice { plan, view: view.clone(), ..news.clone() };
                (view, EncodedMessage::of(&notice))
            });
            match message {
                Ok(message) if matches!(entry.writer.try_send_encoded(message), Ok(true)) => {
                    entry.sent(now, newest.filter(|_| lacks_plan), view.as_ref());
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
        let same = leadership.views.newest().is_some_and(|known| known.tells_as(&view));
        let newest = self.state.plan().map(|plan| plan.version);
        let behind = leadership.entries.values().any(|entry| entry.plan < newest);
        if !same {
            if now >= leadership.view_line_at {
                leadership.view_line_at = now.after(VIEW_LINE_EVERY);
                let spares = leadership.director.spare_summary(&self.state);
                log::info!("view {}: {}; free {spares}", version.number, view.summary());
            }
            leadership.number += 1;
            leadership.views.push(view);
        }
        !same || behind
    }

    /// A notice without a confirmation, a declaration or a view.
    fn news(&self) -> EntryNotice {
        let leaving = self.state.leaving();
        let told = leaving.len().saturating_sub(LEAVING_TOLD);
        EntryNotice {
            nonce: None,
            plan: None,
            view: None,
            loads: Vec::new(),
            leaving: leaving[told..].to_vec(),
            control: self.hosts.names(),
            leader: None,
            leads: self.is_established(),
        }
    }

    /// Takes what an entry saw, and answers once a majority confirms that this host leads.
    pub(super) fn take_report(&mut self, now: TimePoint, report: EntryReport, writer: LinkWriter) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return self.name_leader(&writer);
        };
        leadership.director.report(now, &report, &self.state);
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
        let news = self.news();
        let newest = self.state.plan().map(|plan| plan.version);
        let Some(leadership) = &mut self.leadership else { return self.name_leader(writer) };
        let loads = leadership.director.loads_beside(report);
        let session = leadership.entries.get_mut(&report.node);
        let mut session = session.filter(|session| session.writer.is_same(writer));
        // The session knows what is on its way beside what the report names.
        let (held_plan, held_view) = match &session {
            Some(session) => (session.plan.max(report.plan), session.view),
            None => (report.plan, Some(report.view)),
        };
        let pace = &mut leadership.pace;
        let lacking = self.state.plan().filter(|_| held_plan < newest);
        let plan = lacking.filter(|plan| pace.may_send(now, plan.packed_len())).cloned();
        let told = plan.as_ref().map(|plan| plan.version);
        // A lease says that the entry knows what was accepted before it asked.
        let knows = lacking.is_none() || plan.is_some();
        let view = leadership.views.update_for(held_view);
        let nonce = knows.then_some(report.nonce);
        let notice = EntryNotice { nonce, plan, view: view.clone(), loads, ..news };
        // An entry that is behind asks again; its lease runs out meanwhile.
        let sent = writer.try_send(&notice);
        if let (Ok(true), Some(session)) = (sent, session.as_mut()) {
            session.sent(now, told, view.as_ref());
        }
    }

    /// Tells an entry who leads.
    pub(super) fn name_leader(&self, writer: &LinkWriter) {
        let notice = EntryNotice {
            nonce: None,
            plan: None,
            view: None,
            loads: Vec::new(),
            leaving: Vec::new(),
            control: self.hosts.names(),
            leader: self.leader(),
            leads: false,
        };
        let _ = writer.try_send(&notice);
    }
}
