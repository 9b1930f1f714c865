//! Where a request may go, and whether it is taken at all.
//!
//! A group that runs as many requests as it has slots answers a further one only when another
//! ends, seconds later: the caller's target is missed and the wait is lost. Such a request is
//! refused at once, with a time to come back at, while the rest stay on time. A target from which
//! nothing comes although something waits is left alone: it may lack a member, and every request
//! sent there would wait out the stall.

use std::time::Duration;

use briartray_model::names::{GroupId, IncarnationId, ServiceName, ZoneName};
use briartray_model::{SortedTable, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::choice::{Candidate, UsableTarget, draw, least_loaded};
use super::{LoadSample, TargetLoad};
use crate::deployment::{RouteBook, RouteRule};
use crate::limit::{EntryLimits, SendRoom};
use crate::message::{
    EndpointView, FleetView, GroupLoad, GroupPulse, GroupView, ViewUpdate, ViewVersion,
};

/// Silence of a group after which it is left alone, where its engine is not known.
const SILENT_GROUP: Duration = Duration::from_millis(450);

/// Factor on the limit of silence while no request of this entry has seen a byte: the first one
/// waits for a slot and its prompt.
const SILENT_FRESH: u32 = 2;

/// How long a target that failed is left alone before one request tries it.
const SUSPECT_FOR: Duration = Duration::from_millis(2_000);

/// Requests for each slot of a plain endpoint that may wait there; one takes 30 ms.
const PLAIN_QUEUE: f64 = 3.0;

/// Times that a target may count as slower than the quickest one. A group runs at the pace of its
/// slowest host, which may be a tenth of the usual one for seconds.
const MOST_SLOWNESS: f64 = 6.0;

/// A target, for as long as it lives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetId {
    /// A group of hosts.
    Group(GroupId),
    /// An endpoint that serves alone.
    Endpoint(IncarnationId),
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetId,
    /// The endpoint that takes it.
    pub endpoint: IncarnationId,
    /// Where that listens.
    pub address: String,
}

/// What a request needs of a target.
#[derive(Debug, Clone, Copy)]
pub struct TargetWish<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, where the service serves models.
    pub model: Option<&'a str>,
    /// Targets it was sent to already.
    pub tried: &'a [TargetId],
}

/// Why there is no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// None serves what was asked for.
    NoReplica,
    /// All are as full as they may be.
    Full,
    /// Those with room name limits under which nothing fits now.
    Limited {
        /// Time until something fits, as far as is known here.
        wait: Duration,
    },
}

/// All targets with what this entry knows of them.
#[derive(Debug)]
pub struct TargetTable {
    zone: ZoneName,
    view: FleetView,
    /// An update of another view came.
    misfits: bool,
    loads: SortedTable<TargetId, TargetLoad>,
    leaving: Vec<IncarnationId>,
    limits: EntryLimits,
    /// A request found no room since the leader has not shared out what a cold endpoint takes.
    wants_share: bool,
    random: ChaCha8Rng,
}

impl TargetTable {
    /// An empty table of an entry in `zone`.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            view: FleetView::default(),
            misfits: false,
            loads: SortedTable::new(),
            leaving: Vec::new(),
            limits: EntryLimits::default(),
            wants_share: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes what has changed. Where that is told of another view than the one held here, the next report
    /// asks for the whole one.
    pub fn update(&mut self, now: TimePoint, update: ViewUpdate) {
        let updated = self.view.updated(update);
        self.misfits = updated.is_none();
        if let Some(view) = updated {
            self.adopt(now, view);
        }
    }

    /// Takes a newer view.
    ///
    /// One of a leader that has not heard of all endpoints yet is better than none, as after a
    /// restart of everything, and worse than what the leader before it knew.
    pub fn adopt(&mut self, now: TimePoint, view: FleetView) {
        if view.partial && self.is_settled() {
            return;
        }
        let new_leader = view.version.term != self.view.version.term;
        self.limits.set_cold(now, &view.cold(), new_leader);
        self.view = view;
        let view = &self.view;
        self.loads.retain(|target, load| {
            load.own > 0
                || match target {
                    TargetId::Group(group) => view.groups.iter().any(|g| g.group == *group),
                    TargetId::Endpoint(id) => view.endpoints.iter().any(|e| e.id == *id),
                }
        });
    }

    /// Takes what the other entries have on the groups.
    pub fn take_loads(&mut self, now: TimePoint, loads: &[GroupLoad]) {
        let known = |group: GroupId| self.view.groups.iter().any(|known| known.group == group);
        let loads: Vec<&GroupLoad> = loads.iter().filter(|load| known(load.group)).collect();
        for load in loads {
            let target = TargetId::Group(load.group);
            self.load(&target).told_of_others(now, load.others);
        }
    }

    /// Takes endpoints that accept no new work; they never come back under the same id.
    pub fn mark_leaving(&mut self, leaving: Vec<IncarnationId>) {
        self.leaving = leaving;
    }

    /// Whether the endpoint takes no new work.
    pub fn is_leaving(&self, id: &IncarnationId) -> bool {
        self.leaving.contains(id)
    }

    /// Version of the view; the first one of all where a whole view is wanted.
    pub fn version(&self) -> ViewVersion {
        if self.misfits { ViewVersion::default() } else { self.view.version }
    }

    /// Whether the view is of a leader that had heard of all endpoints.
    pub fn is_settled(&self) -> bool {
        !self.view.partial && !self.is_empty()
    }

    /// Entries that share limits with this one.
    pub fn entries(&self) -> usize {
        self.view.entries
    }

    /// Whether anything can be sent anywhere.
    pub fn is_empty(&self) -> bool {
        self.view.endpoints.is_empty() && !self.view.groups.iter().any(|group| group.open)
    }

    /// Whether anything serves `service`, and `model` where it serves models.
    pub fn serves(&self, service: &ServiceName, model: Option<&str>) -> bool {
        let group = |group: &GroupView| {
            group.open && group.service == *service && Some(&*group.model) == model
        };
        let endpoint = |endpoint: &EndpointView| endpoint.service == *service;
        self.view.groups.iter().any(group) || self.view.endpoints.iter().any(endpoint)
    }

    /// The service a request under `rule` goes to, by the weights of the rule.
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

    /// The target for a request to `service`, for `model` where it serves models.
    ///
    /// # Errors
    /// A `ChoiceRefusal` when there is none.
    pub fn choose(
        &mut self,
        now: TimePoint,
        book: &RouteBook,
        wish: &TargetWish<'_>,
    ) -> Result<TargetChoice, ChoiceRefusal> {
        let TargetWish { service, model, tried } = *wish;
        let engine = book.service(service).and_then(|spec| spec.engine.as_ref());
        let slots = engine.map(|engine| engine.slots as f64);
        let candidates = match (slots, model) {
            (Some(slots), Some(model)) => self.groups(service, model, slots),
            (None, _) => self.endpoints(service),
            (Some(_), None) => Vec::new(),
        };
        let choice = self.best(now, candidates, tried)?;
        if let Some((engine, spec)) = engine
            .zip(model)
            .and_then(|(engine, model)| engine.model(model).map(|spec| (engine, spec)))
        {
            self.load(&choice.target).silence_limit = Some(engine.silence_limit(spec));
        }
        Ok(choice)
    }

    /// A request was sent to `target`.
    pub fn begin(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).begin(now);
    }

    /// The limits that endpoints name.
    pub fn limits(&mut self) -> &mut EntryLimits {
        &mut self.limits
    }

    /// Whether a share of what a cold endpoint takes is wanted, of which the leader has not been told.
    pub fn take_wanted_share(&mut self) -> bool {
        std::mem::take(&mut self.wants_share)
    }

    /// A request ended at `target`.
    pub fn end(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).end(now);
    }

    /// Bytes came from `target`.
    pub fn moved(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).moved(now);
    }

    /// The first part of an answer came from `target` after `took`.
    pub fn first_part(&mut self, now: TimePoint, target: &TargetId, took: Duration) {
        self.load(target).first_part(now, took);
    }

    /// `target` told its load.
    pub fn sample(&mut self, now: TimePoint, target: &TargetId, sample: LoadSample) {
        self.load(target).sample(now, sample);
    }

    /// `target` failed; it is left alone for a while.
    pub fn failed(&mut self, now: TimePoint, target: &TargetId) {
        self.load(target).suspect_until = Some(now.after(SUSPECT_FOR));
    }

    /// Groups that have gone silent since the last look; they are left alone from now on.
    pub fn find_silent(&mut self, now: TimePoint) -> Vec<GroupId> {
        let mut silent = Vec::new();
        for (target, load) in self.loads.iter_mut() {
            let TargetId::Group(group) = target else { continue };
            let limit = load.silence_limit.unwrap_or(SILENT_GROUP);
            let limit = if load.moved.is_some() { limit } else { limit * SILENT_FRESH };
            let quiet = load.silence(now).is_some_and(|silence| silence >= limit);
            if quiet && !load.is_suspect(now) {
                load.suspect_until = Some(now.after(SUSPECT_FOR));
                silent.push(*group);
            }
        }
        silent
    }

    /// Whether nothing more is to be expected of `target`.
    ///
    /// One that takes no new work is not given up: a group that closes for a planned reason ends
    /// what runs, and a request that was moved away could find no other place.
    pub fn is_given_up(&self, now: TimePoint, target: &TargetId) -> bool {
        self.loads.get(target).is_some_and(|load| load.is_suspect(now))
    }

    /// Whether something of this entry waits on a target that was given up.
    pub fn waits_on_silent(&self, now: TimePoint) -> bool {
        self.loads.values().any(|load| load.own > 0 && load.is_suspect(now))
    }

    /// What this entry saw of the groups.
    pub fn pulses(&self, now: TimePoint) -> Vec<GroupPulse> {
        let pulse = |(target, load): (&TargetId, &TargetLoad)| match target {
            TargetId::Group(group) => Some(GroupPulse {
                group: *group,
                quiet_ms: load
                    .moved
                    .map(|at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)),
                running: load.own,
                suspect: load.is_suspect(now),
            }),
            TargetId::Endpoint(_) => None,
        };
        self.loads.iter().filter(|(_, load)| load.is_news(now)).filter_map(pulse).collect()
    }

    fn load(&mut self, target: &TargetId) -> &mut TargetLoad {
        self.loads.get_or_insert_with(target.clone(), TargetLoad::default)
    }

    fn groups(&self, service: &ServiceName, model: &str, slots: f64) -> Vec<Candidate> {
        let fits = |group: &&GroupView| {
            group.open
                && group.service == *service
                && group.model == model
                && !self.leaving.contains(&group.head)
        };
        let candidate = |group: &GroupView| Candidate {
            choice: TargetChoice {
                target: TargetId::Group(group.group),
                endpoint: group.head.clone(),
                address: group.address.clone(),
            },
            near: group.zone == self.zone,
            slots,
            shared: true,
        };
        self.view.groups.iter().filter(fits).map(candidate).collect()
    }

    fn endpoints(&self, service: &ServiceName) -> Vec<Candidate> {
        let fits = |endpoint: &&EndpointView| {
            endpoint.service == *service && !self.leaving.contains(&endpoint.id)
        };
        let candidate = |endpoint: &EndpointView| Candidate {
            choice: TargetChoice {
                target: TargetId::Endpoint(endpoint.id.clone()),
                endpoint: endpoint.id.clone(),
                address: endpoint.address.clone(),
            },
            near: endpoint.zone == self.zone,
            slots: endpoint.slots as f64 * PLAIN_QUEUE,
            shared: false,
        };
        self.view.endpoints.iter().filter(fits).map(candidate).collect()
    }

    /// The candidate to send to: neither tried nor, for groups, left alone.
    fn best(
        &mut self,
        now: TimePoint,
        candidates: Vec<Candidate>,
        tried: &[TargetId],
    ) -> Result<TargetChoice, ChoiceRefusal> {
        let slowness = self.slowness(now, &candidates);
        let mut usable = Vec::new();
        let mut full = false;
        let mut limited: Option<Duration> = None;
        for (candidate, slowness) in candidates.into_iter().zip(slowness) {
            if tried.contains(&candidate.choice.target) {
                continue;
            }
            let load = self.loads.get(&candidate.choice.target);
            let total = load.map_or(0.0, |load| load.total(now));
            let suspect = load.is_some_and(|load| load.is_suspect(now));
            // A queue at a plain endpoint is short; one at a group makes every answer late.
            let room = match load {
                Some(load) if candidate.shared => load.room(now, candidate.slots, self.entries()),
                _ => candidate.slots - total,
            };
            if room < 1.0 && room <= self.random.random_range(0.0..1.0) {
                full = true;
                continue;
            }
            let endpoint = &candidate.choice.endpoint;
            self.wants_share |= self.limits.want(endpoint);
            let spare = match self.limits.room(now, endpoint) {
                SendRoom::None { wait } => {
                    limited = Some(limited.map_or(wait, |known| known.min(wait)));
                    continue;
                }
                room => room == SendRoom::Spare,
            };
            usable.push(UsableTarget { candidate, total, slowness, suspect, spare });
        }
        // What an endpoint takes is used up, or it would stand idle among others that are drawn more often.
        if usable.iter().any(|target| target.spare && !target.suspect) {
            usable.retain(|target| target.spare);
        }
        let chosen = if usable.iter().any(|target| target.candidate.shared) {
            // A silent group holds what it is sent for seconds.
            usable.retain(|target| !target.suspect);
            draw(&mut self.random, usable)
        } else {
            least_loaded(&mut self.random, usable)
        };
        let refusal = match limited {
            _ if full => ChoiceRefusal::Full,
            Some(wait) => ChoiceRefusal::Limited { wait },
            None => ChoiceRefusal::NoReplica,
        };
        chosen.map(|target| target.candidate.choice).ok_or(refusal)
    }

    /// How many times slower than the quickest candidate each one is, by its first parts.
    fn slowness(&self, now: TimePoint, candidates: &[Candidate]) -> Vec<f64> {
        let first = |candidate: &Candidate| {
            self.loads.get(&candidate.choice.target).and_then(|load| load.first_now(now))
        };
        let quickest = candidates.iter().filter_map(first).fold(f64::INFINITY, f64::min);
        let times = |candidate| first(candidate).map_or(1.0, |took| took / quickest);
        candidates.iter().map(|candidate| times(candidate).clamp(1.0, MOST_SLOWNESS)).collect()
    }
}
