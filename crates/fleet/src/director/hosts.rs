//! Table of known endpoints, with failure detection.
//!
//! A heartbeat every second or so detects a loss too late: a group stalls as soon as one member is
//! lost, while its head goes on accepting requests. So members are probed for a report every
//! [`PROBE_INTERVAL`], at once when an entry finds a group silent, and again right after a failure.
//! An endpoint that refuses connections is lost: no process is left at its address. One that does
//! not answer may be sound and silent for about a second, and counts as lost only after that.

use std::time::Duration;

use briartray_model::names::{IncarnationId, ServiceName, ZoneName};
use briartray_model::{SortedTable, TimePoint};

use super::host_record::{HostRecord, PROBE_INTERVAL};
use super::{EndpointHeartbeat, EndpointOrder, EndpointReport, ProbeCall};

/// Silence after which an endpoint is removed unless it answers probes.
const FORGET_AFTER: Duration = Duration::from_secs(12);

/// Shortest time from an answer to the next probe of a member of a group that entries find silent.
///
/// Each entry with a request there reports the silence repeatedly for two seconds, and a fleet has
/// many entries. If every report caused probes of all members, entries that are cut off from one
/// group would keep the leader busy with members that have all answered. A member that dies right
/// after its answer is found this much later at most.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Probes in flight at one time. A new leader probes all endpoints that it inherits: if hundreds
/// answered at once, it would read some answers too late, take these endpoints for lost, and have
/// to check their identities.
const MAX_PROBES_IN_FLIGHT: usize = 64;

/// Time after which a probe without a result counts as never sent. A result is known within half of
/// it, but the control host that was to send the probe may have died.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two identity checks of an endpoint.
const IDENTITY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Wait before the next staging order when one was not answered or was refused.
const STAGE_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// All known endpoints.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    records: SortedTable<IncarnationId, HostRecord>,
}

impl HostTable {
    /// Records a heartbeat; `false` when it is older than what is known.
    ///
    /// A heartbeat may be delayed by seconds and arrive when its sender has died and another
    /// incarnation has its address. So a heartbeat from the address of another endpoint proves
    /// nothing, and the identity of both is checked. When late heartbeats were believed, endpoints
    /// that had just come back were taken for dead and their groups were ended.
    ///
    /// An endpoint may also restart under its old name: its earlier incarnation has then ended with
    /// its groups and its sequence numbers, and a late heartbeat of it is ignored.
    pub fn heartbeat(&mut self, now: TimePoint, heartbeat: EndpointHeartbeat) -> bool {
        if self.records.get(&heartbeat.id).is_none() && !self.replace_earlier(&heartbeat.id) {
            return false;
        }
        let claimants = self.claimants(&heartbeat);
        self.request_identity_checks(now, &claimants);
        let address_contested = !claimants.is_empty();
        let Some(record) = self.records.get_mut(&heartbeat.id) else {
            let mut record = HostRecord::new(now, heartbeat);
            record.unverified = address_contested && record.serves_in_groups();
            record.address_contested = address_contested;
            self.records.insert(record.heartbeat.id.clone(), record);
            return true;
        };
        // Heartbeats may arrive out of order: a late one would bring back a group that has ended.
        if heartbeat.sequence <= record.heartbeat.sequence {
            return false;
        }
        record.address_contested = address_contested;
        record.record_contact(now, heartbeat.report.mark.as_ref());
        record.cold_until = now.after(Duration::from_millis(heartbeat.cold_ms));
        let leaving = record.heartbeat.leaving || heartbeat.leaving;
        let report = heartbeat.report.clone().completed(&record.heartbeat.report);
        record.heartbeat = EndpointHeartbeat { leaving, report, ..heartbeat };
        true
    }

    /// Removes earlier incarnations of the endpoint; `false` when a later one than `id` is known.
    fn replace_earlier(&mut self, id: &IncarnationId) -> bool {
        let is_latest = !self.records.keys().any(|known| id.is_before(known));
        if is_latest {
            self.records.retain(|known, _| !known.is_before(id));
        }
        is_latest
    }

    /// Other endpoints at the address of `heartbeat`.
    ///
    /// All records are scanned only when the address is new or was contested: if heartbeats of
    /// 22,000 hosts each scanned all records, that would make 400 million comparisons a second.
    fn claimants(&self, heartbeat: &EndpointHeartbeat) -> Vec<IncarnationId> {
        let is_uncontested = |record: &HostRecord| {
            !record.address_contested && record.heartbeat.address == heartbeat.address
        };
        if self.records.get(&heartbeat.id).is_some_and(is_uncontested) {
            return Vec::new();
        }
        let claimant = |(id, host): &(&IncarnationId, &HostRecord)| {
            host.heartbeat.address == heartbeat.address && **id != heartbeat.id
        };
        self.records.iter().filter(claimant).map(|(id, _)| id.clone()).collect()
    }

    /// Schedules identity checks of endpoints at the next opportunity.
    fn request_identity_checks(&mut self, now: TimePoint, ids: &[IncarnationId]) {
        for id in ids {
            if let Some(record) = self.records.get_mut(id) {
                record.address_contested = true;
                record.identity_check_due = true;
                record.next_identity_check_at = record.next_identity_check_at.min(now);
            }
        }
    }

    /// Endpoints whose identity is to be checked now, at most `capacity`.
    pub fn due_identity_checks(
        &mut self,
        now: TimePoint,
        capacity: usize,
    ) -> Vec<(IncarnationId, String)> {
        let mut due = Vec::new();
        for (id, record) in self.records.iter_mut() {
            if due.len() >= capacity {
                break;
            }
            if (record.unverified || record.identity_check_due)
                && now >= record.next_identity_check_at
            {
                record.identity_check_due = false;
                record.next_identity_check_at = now.after(IDENTITY_CHECK_INTERVAL);
                due.push((id.clone(), record.heartbeat.address.clone()));
            }
        }
        due
    }

    /// Records that the endpoint answered an order, which confirms its identity.
    pub fn confirm_identity(&mut self, now: TimePoint, id: &IncarnationId) {
        if let Some(record) = self.records.get_mut(id).filter(|record| record.unverified) {
            record.unverified = false;
            record.last_contact = now;
        }
    }

    /// Adds an endpoint that an earlier leader knew and that this one has not heard from.
    pub fn inherit(&mut self, now: TimePoint, heartbeat: EndpointHeartbeat) {
        let mut record = HostRecord::new(now, heartbeat);
        record.next_probe_at = now;
        record.inherited = true;
        // Earlier incarnations at its address may be inherited as well.
        record.address_contested = true;
        self.records.insert(record.heartbeat.id.clone(), record);
    }

    /// Whether every inherited endpoint that serves in groups has answered or is lost.
    pub fn is_discovery_complete(&self) -> bool {
        let awaited = |record: &HostRecord| record.inherited && record.serves_in_groups();
        self.records.values().all(|record| !awaited(record) || record.is_lost())
    }

    /// Records the answer to a probe, or `None` for a failure.
    pub fn probed(&mut self, now: TimePoint, id: &IncarnationId, report: Option<EndpointReport>) {
        let Some(record) = self.records.get_mut(id) else { return };
        let probe_sent_at = record.probe_sent_at.take();
        match report {
            Some(report) => {
                record.record_contact(now, report.mark.as_ref());
                record.last_answer_at = Some(now);
                record.next_probe_at = now.after(PROBE_INTERVAL);
                let domain = report.domain.clone().or(record.heartbeat.report.domain.take());
                record.heartbeat.report = EndpointReport { domain, ..report };
                let since = record.slow_since.unwrap_or(now);
                record.slow_since = record.is_slow().then_some(since);
            }
            // The probe was given up before; its failure is already handled or another probe is in
            // flight.
            None if probe_sent_at.is_none() => {}
            None => record.record_silence(now, probe_sent_at.unwrap_or(now)),
        }
    }

    /// Records that `id` refused the connection of a probe.
    pub fn probe_refused(&mut self, now: TimePoint, id: &IncarnationId) {
        if let Some(record) = self.records.get_mut(id)
            && record.probe_sent_at.take().is_some()
        {
            record.record_refusal(now);
        }
    }

    /// Probes the endpoint again, since there was no time to read its answer.
    pub fn probe_unread(&mut self, now: TimePoint, id: &IncarnationId) {
        if let Some(record) = self.records.get_mut(id) {
            record.probe_sent_at = None;
            record.next_probe_at = now;
        }
    }

    /// Records that the endpoint rejected a probe and accepts none for `wait`. It works, since it
    /// answered; only its heartbeats tell its state meanwhile.
    pub fn probe_rejected(&mut self, now: TimePoint, id: &IncarnationId, wait: Duration) {
        if let Some(record) = self.records.get_mut(id) {
            record.probe_sent_at = None;
            let membership = record.heartbeat.report.mark.clone();
            record.record_contact(now, membership.as_ref());
            record.next_probe_at = now.after(PROBE_INTERVAL);
            record.probes_held_until = now.after(wait);
        }
    }

    /// Records that requests go to the endpoints of `zone` again.
    pub fn readmit(&mut self, now: TimePoint, zone: &ZoneName) {
        for record in self.records.values_mut().filter(|record| record.heartbeat.zone == *zone) {
            record.readmitted_at = Some(now);
        }
    }

    /// Probes `id` as soon as possible.
    ///
    /// This applies to hosts in no group as well: a host that had left its group and whose
    /// heartbeat was lost stayed unused for two seconds, until its next heartbeat.
    pub fn probe_now(&mut self, now: TimePoint, id: &IncarnationId) {
        if let Some(record) = self.records.get_mut(id) {
            record.next_probe_at = record.next_probe_at.min(now);
            record.probe_requested = true;
        }
    }

    /// Probes `id`, a member of a group that an entry finds silent, unless it has just answered.
    pub fn probe_suspect(&mut self, now: TimePoint, id: &IncarnationId) {
        if let Some(record) = self.records.get_mut(id) {
            let soonest =
                record.last_answer_at.map_or(now, |at| at.after(SUSPECT_PROBE_INTERVAL)).max(now);
            record.next_probe_at = record.next_probe_at.min(soonest);
            record.probe_requested = true;
            record.suspect = true;
        }
    }

    /// Probes to send now, within the limit on probes in flight; `in_group` tells which endpoints
    /// are group members.
    ///
    /// Endpoints that serve on their own are not probed: they provide no report, and a probe would
    /// count as failed.
    pub fn due_probes(
        &mut self,
        now: TimePoint,
        in_group: impl Fn(&IncarnationId) -> bool,
    ) -> Vec<ProbeCall> {
        let mut in_flight = 0;
        let mut due: Vec<(TimePoint, &IncarnationId, &mut HostRecord)> = Vec::new();
        for (id, record) in self.records.iter_mut() {
            let is_pending = record.probe_sent_at.is_some_and(|at| now.since(at) < PROBE_TIMEOUT);
            in_flight += usize::from(is_pending);
            if !is_pending
                && now >= record.next_probe_at
                && !record.holds_probes(now)
                && record.needs_probe(now, || in_group(id))
            {
                due.push((record.next_probe_at, id, record));
            }
        }
        // Longest wait first, or else the last of many would never be probed.
        due.sort_by_key(|(since, _, _)| *since);
        due.truncate(MAX_PROBES_IN_FLIGHT.saturating_sub(in_flight));
        let probe_call = |(_, id, record): (TimePoint, &IncarnationId, &mut HostRecord)| {
            let is_repeated = record.probe_sent_at.replace(now).is_some();
            let urgent = is_repeated || record.failures > 0 || record.suspect;
            (record.probe_requested, record.suspect) = (false, false);
            ProbeCall { id: id.clone(), address: record.heartbeat.address.clone(), urgent }
        };
        due.into_iter().map(probe_call).collect()
    }

    /// Removes endpoints that have been silent for too long.
    pub fn prune(&mut self, now: TimePoint) {
        self.records.retain(|_, record| now.since(record.last_contact) < FORGET_AFTER);
    }

    /// Allows another staging order soon, since `order` was not answered or was refused.
    ///
    /// The order may still be carried out seconds later; a repeated one then has no effect. Without
    /// this, a host whose order was lost waited for three times the load time.
    pub fn retry_staging_soon(
        &mut self,
        now: TimePoint,
        id: &IncarnationId,
        order: &EndpointOrder,
    ) {
        let EndpointOrder::Stage { model } = order else { return };
        let Some(record) = self.records.get_mut(id) else { return };
        if record.staging.as_ref().is_some_and(|(staging, _)| staging == model) {
            record.staging = Some((model.clone(), now.after(STAGE_RETRY_DELAY)));
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &IncarnationId) {
        self.records.remove(id);
    }

    /// Known incarnation of the endpoint named `endpoint`.
    pub fn incarnation_of(&self, endpoint: &str) -> Option<&IncarnationId> {
        self.records.keys().find(|id| id.endpoint() == endpoint)
    }

    /// The endpoint with incarnation `id`.
    pub fn get(&self, id: &IncarnationId) -> Option<&HostRecord> {
        self.records.get(id)
    }

    /// The endpoint with incarnation `id`, mutable.
    pub fn get_mut(&mut self, id: &IncarnationId) -> Option<&mut HostRecord> {
        self.records.get_mut(id)
    }

    /// Endpoints of `service`.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a IncarnationId, &'a HostRecord)> {
        self.records.iter().filter(move |(_, record)| record.heartbeat.service == *service)
    }

    /// All endpoints, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&IncarnationId, &mut HostRecord)> {
        self.records.iter_mut()
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&IncarnationId, &HostRecord)> {
        self.records.iter()
    }
}
