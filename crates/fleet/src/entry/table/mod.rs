//! Targets of an entry: which one gets a request, and whether the request is admitted.
//!
//! A group with all slots in use starts a further request only when another one ends, seconds
//! later, so the caller's latency target is missed anyway. Such a request is refused at once with a
//! retry time, and the others stay on time. A target that sends nothing although requests wait
//! there becomes suspect and gets no new requests: its group may have lost a member, and every
//! request sent there would wait until the stall ends.

mod silence;

use std::time::Duration;

use briartray_model::names::{GroupId, IncarnationId, ServiceName, ZoneName};
use briartray_model::{SortedTable, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::exclusion::{ChoiceDetail, ExclusionWait, shorter_wait};
use super::forecast::ForecastTerms;
use super::selection::{
    TargetCandidate, UsableTarget, endpoint_candidates, group_candidates, select_by_weight,
    select_least_loaded,
};
use super::{ChoiceRefusal, HoldBook, LoadSample, SendHold, ShareBook, TargetLoad};
use crate::deployment::{RequestWork, RouteBook, RouteRule};
use crate::limit::{EntryLimits, SendPermit};
use crate::message::{
    EndpointView, FleetView, GroupActivity, GroupLoad, GroupView, ViewUpdate, ViewVersion,
};

/// Time for which a failed target is suspect, until one request tries it again.
const SUSPECT_PERIOD: Duration = Duration::from_millis(2_000);

/// Upper bound of the factor by which a target counts as slower than the fastest one. A group runs
/// at the speed of its slowest host, which may be a tenth of the usual speed for seconds.
const MAX_SLOWNESS: f64 = 6.0;

/// Identifies a target; never reused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetId {
    /// A group of hosts.
    Group(GroupId),
    /// An endpoint that serves without a group.
    Endpoint(IncarnationId),
}

/// Target that was selected for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetId,
    /// Endpoint that receives the request.
    pub endpoint: IncarnationId,
    /// Address that the endpoint listens on.
    pub address: String,
}

/// Requirements of a request on its target.
#[derive(Debug, Clone, Copy)]
pub struct TargetQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, if the service serves models.
    pub model: Option<&'a str>,
    /// Targets that the request was already sent to.
    pub tried: &'a [TargetId],
    /// Terms of admission by latency; `None` admits by slots alone.
    pub latency: Option<LatencyTerms>,
}

/// Terms on which a group may be chosen so that neither the request nor those that run there are
/// late.
#[derive(Debug, Clone, Copy)]
pub struct LatencyTerms {
    /// Work of the request.
    pub work: RequestWork,
    /// Time in which its first event has to arrive; `None` for a stream that is resumed.
    pub budget: Option<Duration>,
    /// Longest gap between events that streams of the service may have.
    pub gap: Option<Duration>,
    /// Forecast up to which the last slots of a group are kept free; `None` uses all slots.
    pub headroom_within: Option<Duration>,
}

/// All targets of an entry, with its knowledge of their load and limits.
#[derive(Debug)]
pub struct TargetTable {
    zone: ZoneName,
    view: FleetView,
    /// Whether an update for a different view was received.
    needs_whole_view: bool,
    loads: SortedTable<TargetId, TargetLoad>,
    holds: HoldBook,
    limits: EntryLimits,
    shares: ShareBook,
    /// Whether a request needs a share of a cold endpoint's rate that the leader does not know of
    /// yet.
    share_requested: bool,
    /// What was known at the latest refusal.
    choice_detail: ChoiceDetail,
    random: ChaCha8Rng,
}

impl TargetTable {
    /// Creates an empty table for an entry in `zone`; `seed` seeds the random selection.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            view: FleetView::default(),
            needs_whole_view: false,
            loads: SortedTable::new(),
            holds: HoldBook::default(),
            limits: EntryLimits::default(),
            shares: ShareBook::default(),
            share_requested: false,
            choice_detail: ChoiceDetail::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies an update. If the update is for another view than the one held here, the next report
    /// asks for a whole view.
    pub fn update(&mut self, now: TimePoint, update: ViewUpdate) {
        let updated = self.view.with_update(update);
        self.needs_whole_view = updated.is_none();
        if let Some(view) = updated {
            self.adopt(now, view);
        }
    }

    /// Replaces the view.
    ///
    /// A partial view, of a leader that has not heard from all endpoints, is better than none, as
    /// after a restart of the whole deployment, but worse than the complete view of the previous
    /// leader.
    pub fn adopt(&mut self, now: TimePoint, view: FleetView) {
        if view.partial && self.is_settled() {
            return;
        }
        let new_leader = view.version.term != self.view.version.term;
        self.limits.set_cold(now, &view.cold(), new_leader);
        self.view = view;
        let view = &self.view;
        self.loads.retain(|target, load| {
            load.own_requests > 0
                || match target {
                    TargetId::Group(group) => view.groups.iter().any(|g| g.group == *group),
                    TargetId::Endpoint(id) => view.endpoints.iter().any(|e| e.id == *id),
                }
        });
    }

    /// Records the requests and unread prompts that the other entries have on the groups.
    pub fn record_other_loads(&mut self, now: TimePoint, loads: &[GroupLoad]) {
        let known = |group: GroupId| self.view.groups.iter().any(|known| known.group == group);
        let loads: Vec<&GroupLoad> = loads.iter().filter(|load| known(load.group)).collect();
        for load in loads {
            let target = TargetId::Group(load.group);
            self.load(&target).record_others(now, load.others);
            self.load(&target).unread.record_others(now, load.unread_ms);
        }
    }

    /// Endpoints that accept no requests from this entry.
    pub fn holds(&self) -> &HoldBook {
        &self.holds
    }

    /// Endpoints that accept no requests from this entry, for changes.
    pub fn holds_mut(&mut self) -> &mut HoldBook {
        &mut self.holds
    }

    /// Removes holds that are over.
    pub fn prune_holds(&mut self, now: TimePoint) {
        let view = &self.view;
        self.holds.prune(now, |id| {
            view.groups.iter().any(|group| group.head == *id)
                || view.endpoints.iter().any(|endpoint| endpoint.id == *id)
        });
    }

    /// Version of the view, for the next report; the default version if a whole view is needed.
    pub fn version(&self) -> ViewVersion {
        if self.needs_whole_view { ViewVersion::default() } else { self.view.version }
    }

    /// Whether the view is complete: its leader had heard from all endpoints.
    pub fn is_settled(&self) -> bool {
        !self.view.partial && !self.is_empty()
    }

    /// Number of entries that share limits, including this one.
    pub fn entries(&self) -> usize {
        self.view.entries
    }

    /// Whether there is no target at all.
    pub fn is_empty(&self) -> bool {
        self.view.endpoints.is_empty() && !self.view.groups.iter().any(|group| group.open)
    }

    /// Whether any target serves `service`, and `model` if the service serves models.
    pub fn serves(&self, service: &ServiceName, model: Option<&str>) -> bool {
        let group = |group: &GroupView| {
            group.open && group.service == *service && Some(&*group.model) == model
        };
        let endpoint = |endpoint: &EndpointView| endpoint.service == *service;
        self.view.groups.iter().any(group) || self.view.endpoints.iter().any(endpoint)
    }

    /// Selects the service for a request under `rule`, at random by weight; `None` if all weights
    /// are zero.
    pub fn pick_service(&mut self, rule: &RouteRule) -> Option<ServiceName> {
        let total: u32 = rule.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.random.random_range(0..total);
        for target in &rule.targets {
            if drawn < target.weight {
                return Some(target.service.clone());
            }
            drawn -= target.weight;
        }
        None
    }

    /// Selects the target for a request to `service`, and for `model` if the service serves models.
    ///
    /// # Errors
    /// A `ChoiceRefusal` if no target can take the request.
    pub fn choose(
        &mut self,
        now: TimePoint,
        book: &RouteBook,
        query: &TargetQuery<'_>,
    ) -> Result<TargetChoice, ChoiceRefusal> {
        let TargetQuery { service, model, tried, latency } = *query;
        let engine = book.service(service).and_then(|spec| spec.engine.as_ref());
        let slots = engine.map(|engine| engine.slots as f64);
        let candidates = match (slots, model) {
            (Some(slots), Some(model)) => {
                group_candidates(&self.view, &self.zone, (service, model), slots)
            }
            (None, _) => endpoint_candidates(&self.view, &self.zone, service),
            (Some(_), None) => Vec::new(),
        };
        let fraction = self.shares.fraction(now, service, model.unwrap_or(""), self.entries());
        let engine_model = engine
            .zip(model)
            .and_then(|(engine, model)| engine.model(model).map(|spec| (engine, spec)));
        let terms = engine_model.zip(latency).map(|((engine, model), latency)| ForecastTerms {
            engine,
            model,
            latency,
            fraction,
        });
        let choice = self.select(now, candidates, tried, fraction, terms)?;
        if let Some((engine, spec)) = engine_model {
            self.load(&choice.target).silence_limit = Some(engine.silence_limit(spec));
        }
        Ok(choice)
    }

    /// Records that a request was sent to `target`.
    pub fn begin(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).begin(now);
    }

    /// Rate limits of the endpoints.
    pub fn limits(&mut self) -> &mut EntryLimits {
        &mut self.limits
    }

    /// Shares of this entry by demand.
    pub fn shares_mut(&mut self) -> &mut ShareBook {
        &mut self.shares
    }

    /// Returns and clears whether the leader should be notified that a share of a cold endpoint's
    /// rate is needed.
    pub fn take_share_request(&mut self) -> bool {
        std::mem::take(&mut self.share_requested)
    }

    /// What was known when a request was last refused.
    pub fn choice_detail(&self) -> ChoiceDetail {
        self.choice_detail
    }

    /// Records that a request to `target` ended.
    pub fn end(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).end(now);
    }

    /// Records that the first part of an answer from `target` arrived `took` after the request.
    pub fn first_part(&mut self, now: TimePoint, target: &TargetId, took: Duration) {
        self.load(target).first_part(now, took);
    }

    /// Records the load that `target` reported.
    pub fn sample(&mut self, now: TimePoint, target: &TargetId, sample: LoadSample) {
        self.load(target).sample(now, sample);
    }

    /// Records that `target` failed, which makes it suspect for a while.
    pub fn failed(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).suspect_until = Some(now.after(SUSPECT_PERIOD));
    }

    /// Returns what this entry observed of the groups, for its report.
    pub fn group_activity(&self, now: TimePoint) -> Vec<GroupActivity> {
        let activity = |(target, load): (&TargetId, &TargetLoad)| match target {
            TargetId::Group(group) => Some(GroupActivity {
                group: *group,
                quiet_ms: load
                    .last_byte_at
                    .map(|at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)),
                running: load.own_requests,
                suspect: load.is_suspect(now),
                unread_ms: load.unread.own_ms(),
            }),
            TargetId::Endpoint(_) => None,
        };
        self.loads.iter().filter(|(_, load)| load.needs_report(now)).filter_map(activity).collect()
    }

    /// Estimated load of `target`, for changes.
    pub fn load(&mut self, target: &TargetId) -> &mut TargetLoad {
        self.loads.get_or_insert_with(target.clone(), TargetLoad::default)
    }

    /// Selects among `candidates` without those already tried and, for groups, suspect ones. Of a
    /// group's free capacity this entry may fill `fraction`.
    fn select(
        &mut self,
        now: TimePoint,
        candidates: Vec<TargetCandidate>,
        tried: &[TargetId],
        fraction: f64,
        terms: Option<ForecastTerms<'_>>,
    ) -> Result<TargetChoice, ChoiceRefusal> {
        let (mut usable, excluded) = self.usable_targets(now, candidates, tried, fraction, terms);
        if usable.iter().any(|target| !target.deferred && !target.suspect) {
            usable.retain(|target| !target.deferred);
        }
        // Prefer endpoints with a nearly full token bucket, which would otherwise idle beside
        // others that are selected more often.
        if usable.iter().any(|target| target.surplus && !target.suspect) {
            usable.retain(|target| target.surplus);
        }
        let chosen = if usable.iter().any(|target| target.candidate.capacity_shared) {
            // A request sent to a silent group would be stuck there for seconds.
            usable.retain(|target| !target.suspect);
            select_by_weight(&mut self.random, usable)
        } else {
            select_least_loaded(&mut self.random, usable)
        };
        chosen.map(|target| target.candidate.choice).ok_or_else(|| {
            self.choice_detail = excluded.detail();
            excluded.refusal()
        })
    }

    /// Returns the candidates that may get a request now, and how long the others may not.
    fn usable_targets(
        &mut self,
        now: TimePoint,
        candidates: Vec<TargetCandidate>,
        tried: &[TargetId],
        fraction: f64,
        terms: Option<ForecastTerms<'_>>,
    ) -> (Vec<UsableTarget>, ExclusionWait) {
        let slowness = self.slowness(now, &candidates);
        let mut usable = Vec::new();
        let mut excluded = ExclusionWait::default();
        for (candidate, slowness) in candidates.into_iter().zip(slowness) {
            let endpoint = &candidate.choice.endpoint;
            match self.holds.hold(now, endpoint) {
                None => {}
                Some(SendHold::Leaving) => continue,
                Some(SendHold::Backoff { left }) => {
                    excluded.backoff = shorter_wait(excluded.backoff, left);
                    continue;
                }
            }
            if tried.contains(&candidate.choice.target) {
                continue;
            }
            let forecast = terms.map(|terms| {
                let target = candidate.choice.target.clone();
                let load = self.loads.get_or_insert_with(target, TargetLoad::default);
                terms.forecast(now, load, &mut self.random)
            });
            let load = self.loads.get(&candidate.choice.target);
            let total = load.map_or(0.0, |load| load.total(now));
            let suspect = load.is_some_and(|load| load.is_suspect(now));
            if let Some(age) = load.and_then(|load| load.known_age(now)) {
                excluded.known = shorter_wait(excluded.known, age);
            }
            // A silent group is left out later, whatever its forecast.
            if let Some(forecast) = forecast.filter(|_| !suspect) {
                excluded.note_forecast(forecast.first_ms);
            }
            // A plain endpoint works off its queue quickly; a queue at a group makes every answer
            // late.
            let free = match load {
                Some(load) if candidate.capacity_shared => {
                    let part = terms.zip(forecast).map(|(terms, known)| terms.slot_part(&known));
                    load.free_share(now, candidate.slots * part.unwrap_or(1.0), fraction)
                }
                _ => candidate.slots - total,
            };
            if free < 1.0 && free <= self.random.random_range(0.0..1.0) {
                excluded.full = true;
                continue;
            }
            let admits = terms.zip(forecast).is_none_or(|(terms, known)| terms.admits(&known));
            if !admits && !suspect {
                excluded.late = true;
                continue;
            }
            self.share_requested |= self.limits.record_demand(endpoint);
            let surplus = match self.limits.permit(now, endpoint) {
                SendPermit::Denied { wait } => {
                    excluded.limited = shorter_wait(excluded.limited, wait);
                    continue;
                }
                permit => permit == SendPermit::Surplus,
            };
            let usual_part = self.holds.usual_part(now, endpoint);
            let deferred = usual_part < 1.0 && self.random.random_range(0.0..1.0) >= usual_part;
            let deferred = deferred || forecast.is_some_and(|forecast| forecast.is_deferred);
            usable.push(UsableTarget {
                candidate,
                total,
                slowness,
                suspect,
                deferred,
                surplus,
                forecast,
            });
        }
        (usable, excluded)
    }

    /// Returns the factor by which each candidate is slower than the fastest one, by time to the
    /// first part.
    fn slowness(&self, now: TimePoint, candidates: &[TargetCandidate]) -> Vec<f64> {
        let first = |candidate: &TargetCandidate| {
            self.loads.get(&candidate.choice.target).and_then(|load| load.recent_first_part(now))
        };
        let fastest = candidates.iter().filter_map(first).fold(f64::INFINITY, f64::min);
        let factor = |candidate| first(candidate).map_or(1.0, |took| took / fastest);
        candidates.iter().map(|candidate| factor(candidate).clamp(1.0, MAX_SLOWNESS)).collect()
    }
}
