//! Updates from the leader to entries: view changes, replies to reports, and rate-limited
//! deployment plans.

use std::time::Duration;

use briartray_fleet::director::ENTRY_TIMEOUT;
use briartray_fleet::message::{DemandShare, EntryNotice, EntryReport, ViewVersion};
use briartray_fleet::state::StoredPlan;
use briartray_link::{EncodedMessage, LinkWriter};
use briartray_model::{SortedTable, TimePoint};

use super::core::ControlCore;
use super::entry_session::EntrySession;
use super::leadership::{Leadership, STEP_PAUSE_FACTOR};
use super::origin::ReadOrigin;

/// Minimum interval between two updates, so that simultaneous changes are sent together.
const UPDATE_INTERVAL: Duration = Duration::from_millis(15);

/// Time budgeted per entry for an update to all entries.
const UPDATE_TIME_PER_ENTRY: Duration = Duration::from_micros(500);

/// Minimum interval between log lines about the view.
const VIEW_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between log lines about shares by demand.
const SHARE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of leaving endpoints listed in a notice: those of the last few minutes.
const MAX_LEAVING_LISTED: usize = 128;

impl ControlCore {
    /// Sends changes to the entries.
    pub(super) fn update_entries(&mut self, now: TimePoint) {
        let began = self.clock.now();
        self.refresh_quarantine_view();
        if self.refresh_view(now) {
            self.send_updates(now);
        }
        let ended = self.clock.now();
        let Some(leadership) = &mut self.leadership else { return };
        let entries = u32::try_from(leadership.entries.len()).unwrap_or(u32::MAX);
        let pause = (ended.since(began) * STEP_PAUSE_FACTOR)
            .max(UPDATE_INTERVAL)
            .max(UPDATE_TIME_PER_ENTRY * entries);
        leadership.next_update_at = ended.after(pause);
    }

    /// Sends each entry the state it lacks. An entry that misses an update reports its old versions
    /// again.
    fn send_updates(&mut self, now: TimePoint) {
        let base_notice = self.base_notice();
        let plan = self.state.plan();
        let newest = plan.map(|plan| plan.version);
        let plan_bytes = plan.map_or(0, StoredPlan::packed_len);
        let Some(leadership) = &mut self.leadership else { return };
        leadership.entries.retain(|_, entry| now.since(entry.heard_at) < ENTRY_TIMEOUT);
        let mut encoded = SortedTable::new();
        for entry in leadership.entries.values_mut() {
            let lacks_plan = entry.plan < newest && leadership.pacer.may_send(now, plan_bytes);
            let lacks_quarantine = entry.quarantine_version != leadership.quarantine.view().version;
            let base = leadership.views.base_of(entry.view);
            let lacks = (lacks_plan, lacks_quarantine, base, entry.settled);
            let (notice, message) = encoded.get_or_insert_with(lacks, || {
                let plan = plan.filter(|_| lacks_plan).cloned();
                let view = leadership.views.update_for(entry.view, entry.settled);
                let prints = lacks_quarantine.then(|| leadership.quarantine.view().clone());
                let notice = EntryNotice { plan, view, prints, ..base_notice.clone() };
                let message = EncodedMessage::of(&notice);
                (notice, message)
            });
            match message {
                Ok(message) if matches!(entry.writer.try_send_encoded(message), Ok(true)) => {
                    entry.record_sent(now, newest.filter(|_| lacks_plan), notice);
                }
                Ok(_) => {}
                Err(error) => log::error!("cannot encode update for entries; skipping it: {error}"),
            }
        }
    }

    /// Creates a new view if something has changed. Returns `true` if entries need an update.
    fn refresh_view(&mut self, now: TimePoint) -> bool {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return false;
        };
        let Some(plan) = &self.plan else { return false };
        if !leadership.view_dirty {
            return false;
        }
        leadership.view_dirty = false;
        let version = ViewVersion { term: leadership.term, number: leadership.view_number + 1 };
        let mut view = leadership.director.view(now, &self.state, plan, version);
        view.entries = leadership.entries.len();
        let unchanged =
            leadership.views.newest().is_some_and(|known| known.has_same_content(&view));
        let newest = self.state.plan().map(|plan| plan.version);
        let quarantine_version = leadership.quarantine.view().version;
        let lacks = |entry: &EntrySession| {
            entry.plan < newest || entry.quarantine_version != quarantine_version
        };
        let behind = leadership.entries.values().any(lacks);
        if !unchanged {
            if now >= leadership.next_view_log_at {
                leadership.next_view_log_at = now.after(VIEW_LOG_INTERVAL);
                let spares = leadership.director.spare_summary(&self.state);
                log::info!(
                    "new view {}: {}; free spares: {spares}",
                    version.number,
                    view.summary()
                );
            }
            leadership.view_number += 1;
            leadership.limits.set_cold(now, &view.cold());
            leadership.views.push(view);
        }
        !unchanged || behind
    }

    /// A notice without a lease confirmation, deployment plan or view.
    fn base_notice(&self) -> EntryNotice {
        let leaving = self.state.leaving();
        let first = leaving.len().saturating_sub(MAX_LEAVING_LISTED);
        EntryNotice {
            leaving: leaving[first..].to_vec(),
            control: self.host_book.names(),
            leads: self.is_established(),
            ..EntryNotice::default()
        }
    }

    /// Processes a report from an entry. The reply is sent after a majority confirms that this host
    /// leads.
    pub(super) fn receive_report(
        &mut self,
        now: TimePoint,
        report: EntryReport,
        writer: LinkWriter,
    ) {
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.established) else {
            return self.send_leader_hint(&writer);
        };
        leadership.director.report(now, &report, &self.state);
        self.record_runs(now, &report);
        let Some(leadership) = &mut self.leadership else { return };
        // Other changes in the report reach the view at the next tick.
        let is_new = !leadership.entries.contains_key(&report.node);
        leadership.view_dirty |= is_new || report.pulses.iter().any(|activity| activity.suspect);
        // State sent on the same stream arrives before any later reply, so it is not sent again.
        // Otherwise each plan would be sent twice, since a report is often in flight meanwhile.
        let known = leadership.entries.remove(&report.node);
        let known = known.filter(|known| known.writer.is_same_stream(&writer));
        let fresh = || EntrySession::new(now, &report, writer.clone());
        let mut session = known.unwrap_or_else(fresh);
        session.record_report(now, &report);
        leadership.entries.insert(report.node.clone(), session);
        self.confirm_leadership(ReadOrigin::Entry(Box::new(report), writer));
    }

    /// Replies to a report with the state that the entry lacks. The reply renews its lease.
    pub(super) fn answer_report(&mut self, report: &EntryReport, writer: &LinkWriter) {
        let now = self.now();
        self.refresh_quarantine_view();
        let base_notice = self.base_notice();
        let newest = self.state.plan().map(|plan| plan.version);
        let Some(leadership) = &mut self.leadership else { return self.send_leader_hint(writer) };
        let loads = leadership.director.loads_of_others(report);
        let shares = leadership.director.demand_shares(&report.node);
        log_shares(now, leadership, &shares);
        let session = leadership.entries.get_mut(&report.node);
        let mut session = session.filter(|session| session.writer.is_same_stream(writer));
        // The session also knows what was sent but is not in the report yet.
        let (held_plan, held_view, held_quarantine) = match &session {
            Some(session) => {
                (session.plan.max(report.plan), session.view, session.quarantine_version)
            }
            None => (report.plan, Some(report.view), report.prints),
        };
        let pacer = &mut leadership.pacer;
        let lacking = self.state.plan().filter(|_| held_plan < newest);
        let plan = lacking.filter(|plan| pacer.may_send(now, plan.packed_len())).cloned();
        let sent_plan = plan.as_ref().map(|plan| plan.version);
        // A lease confirms that the entry knows everything accepted before its report.
        let is_current = lacking.is_none() || plan.is_some();
        let view = leadership.views.update_for(held_view, report.settled);
        let nonce = is_current.then_some(report.nonce);
        let lacks_quarantine = held_quarantine != leadership.quarantine.view().version;
        let prints = lacks_quarantine.then(|| leadership.quarantine.view().clone());
        let limits = leadership.limits.renew(now, &report.node, report.nonce, &report.limits);
        let retries = leadership.retries.renew(now, &report.node, report.nonce, &report.retries);
        let limited = leadership.limits.limited();
        self.parts.metrics.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
        let notice = EntryNotice {
            nonce,
            plan,
            view,
            prints,
            limits,
            retries,
            loads,
            shares,
            ..base_notice
        };
        // An entry that misses the reply reports again; until then its lease keeps running out.
        let sent = writer.try_send(&notice);
        if let (Ok(true), Some(session)) = (sent, session.as_mut()) {
            session.record_sent(now, sent_plan, &notice);
        }
    }

    /// Sends an entry the name of the leader.
    pub(super) fn send_leader_hint(&self, writer: &LinkWriter) {
        let notice = EntryNotice {
            control: self.host_book.names(),
            leader: self.leader(),
            ..EntryNotice::default()
        };
        let _ = writer.try_send(&notice);
    }
}

/// Logs the shares by demand of all entries from time to time, while any are granted.
fn log_shares(now: TimePoint, leadership: &mut Leadership, shares: &[DemandShare]) {
    let wanted = !shares.is_empty() && log::log_enabled!(log::Level::Debug);
    if wanted && now >= leadership.next_share_log_at {
        leadership.next_share_log_at = now.after(SHARE_LOG_INTERVAL);
        log::debug!("shares by demand: {}", leadership.director.share_summary());
    }
}
