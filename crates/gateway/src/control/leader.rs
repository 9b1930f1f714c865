//! What a leader does: directs the endpoints and keeps the entries informed.

use briartray_fleet::director::{ENTRY_GONE, FleetDirector};
use briartray_fleet::message::{EntryNotice, EntryReport, FleetView, ViewVersion};
use briartray_link::LinkWriter;
use briartray_model::names::{NodeName, TermNumber};
use briartray_model::{SortedTable, TimePoint};

use super::calls::EndpointCall;
use super::core::{CommandOrigin, ControlCore, ReadOrigin};

/// Shortest time between two views: changes that come together are told together.
const INFORM_EVERY: std::time::Duration = std::time::Duration::from_millis(15);

/// Pause after a step of the director that an event asked for, in times of what the step took: one part
/// in four of the thread's time goes to such steps. A step grows with the fleet, and so does the number of
/// events, while heartbeats and leases have to be answered all the same.
const STEP_PAUSE: u32 = 3;

/// Leaving endpoints told with every notice: those of the last minutes.
const LEAVING_TOLD: usize = 128;

/// An entry that reports to this leader.
pub(super) struct EntrySession {
    writer: LinkWriter,
    heard: TimePoint,
    /// Version of the declaration that it holds, or that is on its way to it on this stream.
    plan: Option<u64>,
    /// View that was sent last on this stream.
    view: Option<ViewVersion>,
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
    view: Option<FleetView>,
    number: u64,
    informed_at: TimePoint,
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
            view: None,
            number: 0,
            informed_at: now,
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
        let due = |lead: &Leadership| now.since(lead.informed_at) >= INFORM_EVERY;
        if self.leadership.as_ref().is_some_and(|lead| lead.dirty && due(lead)) {
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
        for probe in output.probes {
            let _ = self.parts.calls.send(EndpointCall::Probe(probe));
        }
        for call in output.orders {
            let _ = self.parts.calls.send(EndpointCall::Order { call, term });
        }
        for command in output.commands {
            self.submit(&command, CommandOrigin::Director);
        }
    }

    /// Tells the entries what has changed.
    fn inform(&mut self, now: TimePoint) {
        let fresh = self.refresh_view(now);
        if let Some(leadership) = &mut self.leadership {
            leadership.informed_at = now;
        }
        if !fresh {
            return;
        }
        let notice = self.news();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.entries.retain(|_, entry| now.since(entry.heard) < ENTRY_GONE);
        let newest = self.state.plan().map(|plan| plan.version);
        for entry in leadership.entries.values_mut() {
            let behind = entry.plan < newest;
            let plan = self.state.plan().filter(|_| behind).cloned();
            // One that is behind asks again with its next report.
            let sent = entry.writer.try_send(&EntryNotice { plan, ..notice.clone() });
            if matches!(sent, Ok(true)) {
                entry.plan = newest;
                entry.view = notice.view.as_ref().map(|view| view.version);
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
        let same = leadership.view.as_ref().is_some_and(|known| {
            known.endpoints == view.endpoints
                && known.groups == view.groups
                && known.entries == view.entries
                && known.partial == view.partial
        });
        let newest = self.state.plan().map(|plan| plan.version);
        let behind = leadership.entries.values().any(|entry| entry.plan < newest);
        if !same {
            let spares = leadership.director.spare_summary(&self.state);
            log::info!("view {}: {}; free {spares}", version.number, view.summary());
            leadership.number += 1;
            leadership.view = Some(view);
        }
        !same || behind
    }

    /// A notice without a confirmation.
    fn news(&self) -> EntryNotice {
        let leaving = self.state.leaving();
        let told = leaving.len().saturating_sub(LEAVING_TOLD);
        EntryNotice {
            nonce: None,
            plan: None,
            view: self.leadership.as_ref().and_then(|lead| lead.view.clone()),
            loads: Vec::new(),
            leaving: leaving[told..].to_vec(),
            control: self.hosts.names(),
            leader: None,
        }
    }

    /// Takes what an entry saw, and answers once a majority confirms that this host leads.
    pub(super) fn take_report(&mut self, now: TimePoint, report: EntryReport, writer: LinkWriter) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return self.name_leader(&writer);
        };
        leadership.director.report(now, &report, &self.state);
        leadership.dirty = true;
        // What was sent on the same stream arrives before any later answer, so it is not sent again:
        // a report is often on its way while the declaration is, and each was sent twice.
        let known = leadership.entries.get(&report.node);
        let known = known.filter(|known| known.writer.is_same(&writer));
        let plan = report.plan.max(known.and_then(|known| known.plan));
        let view = known.and_then(|known| known.view);
        let session = EntrySession { writer: writer.clone(), heard: now, plan, view };
        leadership.entries.insert(report.node.clone(), session);
        self.confirm(ReadOrigin::Entry(Box::new(report), writer));
    }

    pub(super) fn answer_report(&mut self, report: &EntryReport, writer: &LinkWriter) {
        let news = self.news();
        let loads = self.leadership.as_ref().map(|lead| lead.director.loads_beside(report));
        let loads = loads.unwrap_or_default();
        let newest = self.state.plan().map(|plan| plan.version);
        let session = self.leadership.as_mut().and_then(|lead| lead.entries.get_mut(&report.node));
        let mut session = session.filter(|session| session.writer.is_same(writer));
        let held = report.plan.max(session.as_ref().and_then(|session| session.plan));
        let plan = self.state.plan().filter(|_| held < newest).cloned();
        let shown = session.as_ref().and_then(|session| session.view);
        let is_new = |view: &FleetView| view.version != report.view && shown != Some(view.version);
        let version = news.view.as_ref().map(|view| view.version);
        let view = news.view.clone().filter(is_new);
        let notice = EntryNotice { nonce: Some(report.nonce), plan, view, loads, ..news };
        // An entry that is behind asks again; its lease runs out meanwhile.
        let sent = writer.try_send(&notice);
        if let (Ok(true), Some(session)) = (sent, session.as_mut()) {
            session.plan = held.max(newest);
            session.view = version;
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
        };
        let _ = writer.try_send(&notice);
    }
}
