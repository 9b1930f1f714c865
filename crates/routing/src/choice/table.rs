//! Replica table of one entry, with replica choice and load accounting.

use std::sync::Arc;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{GroupRecord, LoadReport, RefusalReason, RoutingSnapshot};
use briartray_model::names::{GroupId, ServiceName, ZoneName};
use briartray_model::rules::RouteAction;
use rand::RngExt;

use super::index::{CandidateIndex, ServiceIndex};
use super::prefix::PrefixDigest;
use super::state::{BackoffCause, ReplicaState};
use super::view::ChoiceView;

/// Ratio of step time to the median above which a replica is ejected as too slow.
const SLOW_STEP_RATIO: f32 = 2.0;

/// Interval between updates of the median step time of a service.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(250);

/// The same while no step time is known.
const FIRST_MEDIAN_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of one choice.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Service to route to.
    pub service: &'a str,
    /// Routing preferences from the rules.
    pub route: &'a RouteAction,
    /// Digest of the start of the prompt, if there is one.
    pub prefix: Option<PrefixDigest>,
    /// Groups to skip because they were already tried.
    pub excluded: &'a [GroupId],
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceOutcome {
    /// The chosen replica. The request is counted on it until [`ReplicaTable::release`].
    Chosen(Arc<GroupRecord>),
    /// Replicas are available, but all of them are full at the moment.
    Full,
    /// All replicas are unreachable, not whole, or accept no requests for a time. Holds the time
    /// until the first backoff ends.
    Down(Duration),
    /// No candidate is left.
    Absent,
}

/// How an attempt ended, as far as replica health is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// The replica sent a complete answer.
    Answered,
    /// The agent refused the attempt or was unreachable.
    Refused(RefusalReason),
    /// The answer broke off.
    Broken,
    /// The attempt says nothing about the replica: the caller disconnected or the deadline passed.
    Ended,
}

/// Totals of one service, updated with each report so that a choice need not sum over replicas.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTotals {
    replicas: u32,
    capacity: u64,
    own_load: u64,
    other_load: u64,
    pub(super) median_step_micros: f32,
    median_at: TimePoint,
}

impl ServiceTotals {
    pub(super) fn mean_other(&self) -> f32 {
        self.other_load as f32 / self.replicas.max(1) as f32
    }

    /// Mean fraction of the capacity in use.
    pub(super) fn mean_utilization(&self) -> f32 {
        (self.own_load + self.other_load) as f32 / self.capacity.max(1) as f32
    }
}

/// Load and health of all replicas as known to one entry.
#[derive(Debug, Clone)]
pub struct ReplicaTable {
    zone: ZoneName,
    version: u64,
    pub(super) index: Arc<CandidateIndex>,
    pub(super) states: Vec<ReplicaState>,
    totals: Vec<ServiceTotals>,
}

impl ReplicaTable {
    /// Creates an empty table for an entry in `zone`.
    pub fn new(zone: &ZoneName) -> Self {
        Self {
            zone: zone.clone(),
            version: 0,
            index: Arc::default(),
            states: Vec::new(),
            totals: Vec::new(),
        }
    }

    /// Indexes `snapshot` unless it is already in use. The state of replicas that remain is kept.
    pub fn adopt(&mut self, snapshot: &RoutingSnapshot) {
        if snapshot.version == self.version {
            return;
        }
        let index = CandidateIndex::build(snapshot, &self.zone);
        let states = index
            .records
            .iter()
            .map(|record| self.slot(record.group).map_or_else(Default::default, |s| self.states[s]))
            .collect();
        self.version = snapshot.version;
        self.index = Arc::new(index);
        self.states = states;
        self.totals =
            self.index.services.values().map(|service| self.sum_totals(service)).collect();
    }

    /// Total slots of all whole replicas of `service`. Other entries use the same slots.
    pub fn capacity(&self, service: &str) -> u64 {
        self.position(service).map_or(0, |position| self.totals[position].capacity)
    }

    /// Services with at least one replica, and the total slots of each.
    pub fn capacities(&self) -> impl Iterator<Item = (&ServiceName, u64)> {
        self.index.services.keys().zip(self.totals.iter().map(|total| total.capacity))
    }

    /// Chooses a replica and counts the request on it.
    ///
    /// Ranks (provider, zone) are tried in order. Within a rank, the replica preferred by the
    /// prompt's prefix is taken unless its load exceeds the bound. Otherwise the less loaded of two
    /// random replicas is taken: always using the lowest report would pile up requests on one
    /// replica until its next report. If the pick is loaded well above the mean, the next rank is
    /// considered too.
    pub fn choose<R: RngExt>(
        &mut self,
        now: TimePoint,
        request: &ChoiceRequest<'_>,
        random: &mut R,
    ) -> ChoiceOutcome {
        let Some(position) = self.position(request.service) else { return ChoiceOutcome::Absent };
        self.refresh_median(now, position);
        let Some(service) = self.index.services.values().nth(position) else {
            return ChoiceOutcome::Absent;
        };
        let view = ChoiceView { table: self, service, total: &self.totals[position], now, request };
        // A slow or failing replica is better than none.
        let picked = view.pick(false, random).or_else(|| view.pick(true, random));
        let Some(slot) = picked else { return view.unavailable_outcome() };
        self.states[slot].own_load += 1;
        self.totals[position].own_load += 1;
        ChoiceOutcome::Chosen(Arc::clone(&self.index.records[slot]))
    }

    /// Counts a request on `group` and returns `true` if the replica is usable and either lightly
    /// used or loaded with at most `bound_percent` of the mean. For callers that choose the replica
    /// by criteria of their own.
    pub fn claim(&mut self, now: TimePoint, group: GroupId, bound_percent: u32) -> bool {
        let Some(slot) = self.slot(group) else { return false };
        let name = self.index.records[slot].service.clone();
        let Some(position) = self.position(name.as_str()) else { return false };
        let route = RouteAction { load_bound_percent: bound_percent, ..RouteAction::default() };
        let request =
            ChoiceRequest { service: name.as_str(), route: &route, prefix: None, excluded: &[] };
        let Some(service) = self.index.services.values().nth(position) else { return false };
        let total = &self.totals[position];
        let view = ChoiceView { table: self, service, total, now, request: &request };
        if !view.is_usable(slot, false) || !view.is_under_bound(slot) {
            return false;
        }
        self.states[slot].own_load += 1;
        self.totals[position].own_load += 1;
        true
    }

    /// Releases a request from its replica and records the result and the load report. Does nothing
    /// if the replica is no longer in the table.
    pub fn release<R: RngExt>(
        &mut self,
        now: TimePoint,
        group: GroupId,
        result: AttemptResult,
        report: Option<&LoadReport>,
        random: &mut R,
    ) {
        let Some(slot) = self.slot(group) else { return };
        let position = self.position(self.index.records[slot].service.as_str());
        let mut unused = ServiceTotals::default();
        let total = position.map_or(&mut unused, |position| &mut self.totals[position]);
        let state = &mut self.states[slot];
        if state.own_load > 0 {
            state.own_load -= 1;
            total.own_load = total.own_load.saturating_sub(1);
        }
        if let Some(report) = report {
            let before = u64::from(state.other_load);
            state.record_report(now, report);
            total.other_load =
                (total.other_load + u64::from(state.other_load)).saturating_sub(before);
        }
        match result {
            AttemptResult::Answered => state.record_success(),
            AttemptResult::Refused(RefusalReason::QueueFull) => {
                state.back_off(now, BackoffCause::Full, random.random());
            }
            // The request caused the refusal, not the replica.
            AttemptResult::Refused(RefusalReason::DeadlinePassed | RefusalReason::Tombstoned) => {}
            AttemptResult::Refused(RefusalReason::EndpointBackoff { left_ms }) => {
                state.back_off_for(now, Duration::from_millis(u64::from(left_ms)));
            }
            AttemptResult::Refused(_) => state.back_off(now, BackoffCause::Down, random.random()),
            AttemptResult::Broken => state.record_failure(),
            AttemptResult::Ended => return,
        }
        state.update_ejection(now, SLOW_STEP_RATIO * total.median_step_micros, random.random());
    }

    /// Requests of this entry in flight on `group`.
    pub fn own_load(&self, group: GroupId) -> u32 {
        self.slot(group).map_or(0, |slot| self.states[slot].own_load)
    }

    /// Whether `group` is ejected because it is slow or fails too often.
    pub fn is_ejected(&self, group: GroupId) -> bool {
        self.slot(group).is_some_and(|slot| self.states[slot].is_ejected())
    }

    fn slot(&self, group: GroupId) -> Option<usize> {
        self.index.records.binary_search_by_key(&group, |record| record.group).ok()
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.index.services.keys().position(|service| service.as_str() == name)
    }

    fn sum_totals(&self, service: &ServiceIndex) -> ServiceTotals {
        let mut total = ServiceTotals::default();
        for slot in service.buckets.iter().flat_map(|bucket| &bucket.slots) {
            let state = &self.states[*slot as usize];
            total.replicas += 1;
            total.capacity += u64::from(self.index.records[*slot as usize].capacity);
            total.own_load += u64::from(state.own_load);
            total.other_load += u64::from(state.other_load);
        }
        total
    }

    /// Updates the median of the known step times, at most once per interval.
    fn refresh_median(&mut self, now: TimePoint, position: usize) {
        let total = &mut self.totals[position];
        let known = total.median_step_micros > 0.0;
        let interval = if known { MEDIAN_INTERVAL } else { FIRST_MEDIAN_INTERVAL };
        if now.since(total.median_at) < interval {
            return;
        }
        total.median_at = now;
        let Some(service) = self.index.services.values().nth(position) else { return };
        let slots = || service.buckets.iter().flat_map(|bucket| &bucket.slots).map(|s| *s as usize);
        let mut steps: Vec<f32> = slots()
            .map(|slot| self.states[slot].mean_step_micros)
            .filter(|step| *step > 0.0)
            .collect();
        if steps.is_empty() {
            return;
        }
        let middle = (steps.len() - 1) / 2;
        total.median_step_micros = *steps.select_nth_unstable_by(middle, f32::total_cmp).1;
        for slot in slots() {
            self.states[slot].eject_if_slow(now, SLOW_STEP_RATIO * total.median_step_micros);
        }
    }
}
