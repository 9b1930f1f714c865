//! Replicas with the load that this entry knows, and the choice among them.

use std::sync::Arc;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{GroupRecord, LoadReport, RefusalReason, RoutingSnapshot};
use briartray_model::names::{GroupId, ServiceName, ZoneName};
use briartray_model::rules::RouteAction;
use rand::RngExt;

use super::index::{CandidateIndex, ServiceIndex};
use super::prefix::PrefixDigest;
use super::state::{PushCause, ReplicaState};
use super::view::ChoiceView;

/// Step time over the median from which a replica counts as a straggler.
const STRAGGLER_RATIO: f32 = 2.0;

/// Time between two looks at the median step time of a service.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(250);

/// The same while no step time is known yet.
const FIRST_MEDIAN_INTERVAL: Duration = Duration::from_millis(20);

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Service that must serve.
    pub service: &'a str,
    /// How rules want the choice made.
    pub route: &'a RouteAction,
    /// Head of the prompt, where there is one.
    pub prefix: Option<PrefixDigest>,
    /// Groups that were tried before.
    pub excluded: &'a [GroupId],
}

/// Answer to a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceOutcome {
    /// This replica; the request is counted on it.
    Chosen(Arc<GroupRecord>),
    /// Replicas serve, and each is full for now.
    Full,
    /// Replicas exist, and none could be reached or was whole; they are left alone for this long.
    Down(Duration),
    /// No replica is left that could serve.
    Absent,
}

/// How one attempt ended, as far as the choice is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptResult {
    /// A whole answer came.
    Answered,
    /// The agent refused, or could not be reached.
    Refused(RefusalReason),
    /// The answer broke off.
    Broken,
    /// Nothing is known about the replica: the caller went away or time ran out.
    Ended,
}

/// Sums over one service, kept as reports come so that no choice has to add them up.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceTotals {
    replicas: u32,
    capacity: u64,
    own: u64,
    others: u64,
    pub(super) median_step: f32,
    median_at: TimePoint,
}

impl ServiceTotals {
    pub(super) fn mean_others(&self) -> f32 {
        self.others as f32 / self.replicas.max(1) as f32
    }

    /// Mean share of capacity in use.
    pub(super) fn mean_share(&self) -> f32 {
        (self.own + self.others) as f32 / self.capacity.max(1) as f32
    }
}

/// Load and health of every replica, as one entry knows them.
#[derive(Debug, Clone)]
pub struct ReplicaTable {
    zone: ZoneName,
    version: u64,
    pub(super) index: Arc<CandidateIndex>,
    pub(super) states: Vec<ReplicaState>,
    totals: Vec<ServiceTotals>,
}

impl ReplicaTable {
    /// A table without replicas, for an entry in `zone`.
    pub fn new(zone: &ZoneName) -> Self {
        Self {
            zone: zone.clone(),
            version: 0,
            index: Arc::default(),
            states: Vec::new(),
            totals: Vec::new(),
        }
    }

    /// Indexes `snapshot` unless it is the one in use; what is known of its replicas stays.
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
        self.totals = self.index.services.values().map(|service| self.sum(service)).collect();
    }

    /// Slots of whole replicas of `service`, all entries together.
    pub fn capacity(&self, service: &str) -> u64 {
        self.service(service).map_or(0, |number| self.totals[number].capacity)
    }

    /// Services with at least one replica, with their capacity.
    pub fn capacities(&self) -> impl Iterator<Item = (&ServiceName, u64)> {
        self.index.services.keys().zip(self.totals.iter().map(|total| total.capacity))
    }

    /// Chooses a replica and counts the request on it.
    ///
    /// Ranks of replicas (provider, zone) are tried in order. Within a rank the replica that a
    /// prompt's prefix prefers is taken unless it is loaded over the bound, else the less loaded
    /// of two random ones: sending everyone to the lowest report would pile requests on one
    /// replica until the next report. A rank whose pick is loaded over the bound spills over.
    pub fn choose<R: RngExt>(
        &mut self,
        now: TimePoint,
        request: &ChoiceRequest<'_>,
        random: &mut R,
    ) -> ChoiceOutcome {
        let Some(number) = self.service(request.service) else { return ChoiceOutcome::Absent };
        self.refresh_median(now, number);
        let Some(service) = self.index.services.values().nth(number) else {
            return ChoiceOutcome::Absent;
        };
        let view = ChoiceView { table: self, service, total: &self.totals[number], now, request };
        // Slow or failing replicas are better than none.
        let picked = view.pick(false, random).or_else(|| view.pick(true, random));
        let Some(slot) = picked else { return view.none_left() };
        self.states[slot].own += 1;
        self.totals[number].own += 1;
        ChoiceOutcome::Chosen(Arc::clone(&self.index.records[slot]))
    }

    /// Counts a request on `group` if it is usable and loaded no more than `bound_percent` of the
    /// mean; for callers that have a reason of their own to prefer it.
    pub fn claim(&mut self, now: TimePoint, group: GroupId, bound_percent: u32) -> bool {
        let Some(slot) = self.slot(group) else { return false };
        let name = self.index.records[slot].service.clone();
        let Some(number) = self.service(name.as_str()) else { return false };
        let route = RouteAction { load_bound_percent: bound_percent, ..RouteAction::default() };
        let asked =
            ChoiceRequest { service: name.as_str(), route: &route, prefix: None, excluded: &[] };
        let Some(service) = self.index.services.values().nth(number) else { return false };
        let total = &self.totals[number];
        let view = ChoiceView { table: self, service, total, now, request: &asked };
        if !view.is_usable(slot, false) || !view.is_under_bound(slot) {
            return false;
        }
        self.states[slot].own += 1;
        self.totals[number].own += 1;
        true
    }

    /// Counts a request off its replica, with what was learnt there.
    pub fn release<R: RngExt>(
        &mut self,
        now: TimePoint,
        group: GroupId,
        result: AttemptResult,
        report: Option<&LoadReport>,
        random: &mut R,
    ) {
        let Some(slot) = self.slot(group) else { return };
        let number = self.service(self.index.records[slot].service.as_str());
        let mut loose = ServiceTotals::default();
        let total = number.map_or(&mut loose, |number| &mut self.totals[number]);
        let state = &mut self.states[slot];
        if state.own > 0 {
            state.own -= 1;
            total.own = total.own.saturating_sub(1);
        }
        if let Some(report) = report {
            let before = u64::from(state.others);
            state.report(now, report);
            total.others = (total.others + u64::from(state.others)).saturating_sub(before);
        }
        match result {
            AttemptResult::Answered => state.succeed(),
            AttemptResult::Refused(RefusalReason::QueueFull) => {
                state.push_back(now, PushCause::Full, random.random());
            }
            // The request itself was at fault, not the replica.
            AttemptResult::Refused(RefusalReason::DeadlinePassed | RefusalReason::Tombstoned) => {}
            AttemptResult::Refused(_) => state.push_back(now, PushCause::Down, random.random()),
            AttemptResult::Broken => state.fail(),
            AttemptResult::Ended => return,
        }
        state.judge(now, STRAGGLER_RATIO * total.median_step, random.random());
    }

    /// Requests of this entry in flight on `group`.
    pub fn own_load(&self, group: GroupId) -> u32 {
        self.slot(group).map_or(0, |slot| self.states[slot].own)
    }

    /// Whether `group` is eased out as a straggler.
    pub fn is_straggler(&self, group: GroupId) -> bool {
        self.slot(group).is_some_and(|slot| self.states[slot].is_eased())
    }

    fn slot(&self, group: GroupId) -> Option<usize> {
        self.index.records.binary_search_by_key(&group, |record| record.group).ok()
    }

    fn service(&self, name: &str) -> Option<usize> {
        self.index.services.keys().position(|service| service.as_str() == name)
    }

    fn sum(&self, service: &ServiceIndex) -> ServiceTotals {
        let mut total = ServiceTotals::default();
        for slot in service.buckets.iter().flat_map(|bucket| &bucket.slots) {
            let state = &self.states[*slot as usize];
            total.replicas += 1;
            total.capacity += u64::from(self.index.records[*slot as usize].capacity);
            total.own += u64::from(state.own);
            total.others += u64::from(state.others);
        }
        total
    }

    /// Takes the median of the known step times, at most once per interval.
    fn refresh_median(&mut self, now: TimePoint, number: usize) {
        let total = &mut self.totals[number];
        let known = total.median_step > 0.0;
        let interval = if known { MEDIAN_INTERVAL } else { FIRST_MEDIAN_INTERVAL };
        if now.since(total.median_at) < interval {
            return;
        }
        total.median_at = now;
        let Some(service) = self.index.services.values().nth(number) else { return };
        let slots = || service.buckets.iter().flat_map(|bucket| &bucket.slots).map(|s| *s as usize);
        let mut steps: Vec<f32> =
            slots().map(|slot| self.states[slot].step).filter(|step| *step > 0.0).collect();
        if steps.is_empty() {
            return;
        }
        let middle = (steps.len() - 1) / 2;
        total.median_step = *steps.select_nth_unstable_by(middle, f32::total_cmp).1;
        for slot in slots() {
            self.states[slot].notice(now, STRAGGLER_RATIO * total.median_step);
        }
    }
}
