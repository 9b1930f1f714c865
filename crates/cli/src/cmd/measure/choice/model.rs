//! Discrete-event simulation of entries, replicas and the network between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use briartray_model::TimePoint;
use briartray_model::message::LoadReport;
use briartray_model::plain_value;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::policy::{EntryPolicy, PolicyKind, make_table};
use super::replica::{EngineCost, ModelReplica, ReplicaRequest};

/// Time between two load reports of an engine, in microseconds.
const REPORT_INTERVAL_MICROS: u64 = 200_000;

/// Delay of a cache event, in microseconds.
const CACHE_EVENT_DELAY_MICROS: u64 = 200_000;

/// Share of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.02;

/// Delay before a request that found no replica with room chooses again, in microseconds.
const CHOICE_RETRY_MICROS: u64 = 5_000;

/// Factor on the step time of a slow replica.
const SLOW_REPLICA_STEP_FACTOR: f64 = 4.0;

/// Size and costs of the simulated fleet.
#[derive(Debug, Clone)]
pub(super) struct ModelPlan {
    pub(super) replicas: usize,
    pub(super) entries: usize,
    pub(super) zones: usize,
    /// Requests per second over all entries.
    pub(super) rate: f64,
    pub(super) prefixes: usize,
    /// Requests in one engine's batch.
    pub(super) batch: usize,
    cost: EngineCost,
    /// Prefixes in one engine's cache.
    max_cached_prefixes: usize,
    mean_tokens: u64,
    /// Delay between an entry and a replica of the same zone.
    same_zone_micros: u64,
    /// Delay between an entry and a replica of another zone.
    cross_zone_micros: u64,
    seconds: u64,
    /// Time at the start whose requests are not counted.
    warm_up_seconds: u64,
}

impl ModelPlan {
    /// The current size: 30 replicas in three zones and four entries.
    pub(super) fn current_size() -> Self {
        Self {
            replicas: 30,
            entries: 4,
            zones: 3,
            rate: 0.0,
            prefixes: 300,
            batch: 64,
            cost: EngineCost {
                step: 8_000.0,
                full_batch: 8_000.0,
                prefill_miss: 12_000.0,
                prefill_hit: 2_000.0,
            },
            max_cached_prefixes: 24,
            mean_tokens: 128,
            same_zone_micros: 100,
            cross_zone_micros: 1_000,
            seconds: 60,
            warm_up_seconds: 12,
        }
    }

    /// The size that the design targets.
    pub(super) fn design_size() -> Self {
        Self {
            replicas: 2_800,
            entries: 460,
            zones: 29,
            rate: 0.0,
            prefixes: 20_000,
            batch: 160,
            cost: EngineCost {
                step: 24_000.0,
                full_batch: 16_000.0,
                prefill_miss: 12_000.0,
                prefill_hit: 2_000.0,
            },
            max_cached_prefixes: 32,
            mean_tokens: 473,
            same_zone_micros: 250,
            cross_zone_micros: 15_000,
            seconds: 75,
            warm_up_seconds: 35,
        }
    }

    /// This plan at `share` of the request rate that the replicas sustain with every prefix cached.
    pub(super) fn at_load(&self, share: f64) -> Self {
        let batch = self.batch as f64;
        let decode = self.cost.step + self.cost.full_batch;
        let started = batch / self.mean_tokens as f64;
        let step = decode + started * self.cost.prefill_hit;
        let rate = self.replicas as f64 * started / (step / 1e6);
        Self { rate: share * rate, ..self.clone() }
    }

    pub(super) fn zone_of(&self, number: usize) -> usize {
        number % self.zones
    }

    fn delay(&self, entry: usize, replica: usize) -> u64 {
        let same = self.zone_of(entry) == self.zone_of(replica);
        if same { self.same_zone_micros } else { self.cross_zone_micros }
    }

    /// Every fiftieth replica, and at least one, is slow in the second quarter of the run.
    fn is_slow_replica(&self, replica: usize) -> bool {
        replica % 50 == 11
    }
}

plain_value! {
    /// Results of one policy.
    pub(super) struct ModelResult {
        /// Counted requests: those that arrived after the warm-up and received a first token.
        pub(super) answered: usize,
        pub(super) p50_ms: f64,
        pub(super) p95_ms: f64,
        pub(super) p99_ms: f64,
        pub(super) hit_percent: f64,
        pub(super) own_zone_percent: f64,
    }
}

/// An event of the simulation; a `usize` is the index of a request or of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive,
    Choose(usize),
    Submit(usize),
    Step(usize),
    End(usize),
    Report,
    CacheEvent { prefix: u32, replica: usize, stored: bool },
    SetSlowReplicas(bool),
}

#[derive(Debug, Clone, Copy)]
struct ModelRequest {
    arrived: u64,
    entry: usize,
    replica: usize,
    prefix: u32,
    tokens: u64,
}

struct ChoiceModel<'a> {
    plan: &'a ModelPlan,
    kind: PolicyKind,
    /// Random numbers of the load, separate so that the load is the same for every policy.
    load: ChaCha8Rng,
    /// Random numbers of the choices and of lost cache events.
    random: ChaCha8Rng,
    /// Scheduled events by time and event number.
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    /// Orders events of the same time by their creation.
    event_number: u64,
    replicas: Vec<ModelReplica>,
    /// Last load report of each replica.
    reports: Vec<LoadReport>,
    entries: Vec<EntryPolicy>,
    requests: Vec<ModelRequest>,
    /// Cumulative shares of the prefixes, the most popular first.
    cumulative_popularity: Vec<f64>,
    first_token_micros: Vec<u64>,
    hits: usize,
    /// Counted requests that ran in the zone of their entry.
    own_zone: usize,
}

/// Simulates `plan` with every entry choosing by `kind`; the load depends only on `seed`.
pub(super) fn run_model(plan: &ModelPlan, kind: PolicyKind, seed: u64) -> ModelResult {
    let shared: Vec<_> = (0..plan.zones).map(|zone| make_table(plan, zone)).collect();
    let entries = (0..plan.entries)
        .map(|number| EntryPolicy::new(kind, plan, number, &shared[plan.zone_of(number)]))
        .collect();
    let make = |_| ModelReplica::new(plan.cost, plan.batch, plan.max_cached_prefixes);
    let mut model = ChoiceModel {
        plan,
        kind,
        load: ChaCha8Rng::seed_from_u64(seed),
        random: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        events: BinaryHeap::new(),
        event_number: 0,
        replicas: (0..plan.replicas).map(make).collect(),
        reports: vec![LoadReport::default(); plan.replicas],
        entries,
        requests: Vec::new(),
        cumulative_popularity: cumulative_popularity(plan.prefixes),
        first_token_micros: Vec::new(),
        hits: 0,
        own_zone: 0,
    };
    model.run();
    model.result()
}

/// Cumulative shares of a Zipf distribution with exponent 0.8, as when a company uses a few prompt
/// templates most of the time.
fn cumulative_popularity(count: usize) -> Vec<f64> {
    let mut sum = 0.0;
    let mut shares: Vec<f64> = (1..=count)
        .map(|rank| {
            sum += 1.0 / (rank as f64).powf(0.8);
            sum
        })
        .collect();
    shares.iter_mut().for_each(|share| *share /= sum);
    shares
}

impl ChoiceModel<'_> {
    fn run(&mut self) {
        let end = self.plan.seconds * 1_000_000;
        self.schedule(0, ModelEvent::Arrive);
        self.schedule(0, ModelEvent::Report);
        self.schedule(end / 4, ModelEvent::SetSlowReplicas(true));
        self.schedule(end / 2, ModelEvent::SetSlowReplicas(false));
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= end {
                return;
            }
            self.handle(now, event);
        }
    }

    fn schedule(&mut self, at: u64, event: ModelEvent) {
        self.event_number += 1;
        self.events.push(Reverse((at, self.event_number, event)));
    }

    fn handle(&mut self, now: u64, event: ModelEvent) {
        match event {
            ModelEvent::Arrive => self.arrive(now),
            ModelEvent::Choose(number) => self.choose(now, number),
            ModelEvent::Submit(number) => self.submit(now, number),
            ModelEvent::Step(replica) => self.step(now, replica),
            ModelEvent::End(number) => self.end(now, number),
            ModelEvent::Report => self.report(now),
            ModelEvent::CacheEvent { prefix, replica, stored } => {
                for entry in &mut self.entries {
                    entry.apply_cache_event(prefix, replica, stored);
                }
            }
            ModelEvent::SetSlowReplicas(slow) => {
                for (number, replica) in self.replicas.iter_mut().enumerate() {
                    let slow = slow && self.plan.is_slow_replica(number);
                    replica.step_factor = if slow { SLOW_REPLICA_STEP_FACTOR } else { 1.0 };
                }
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let draw: f64 = self.load.random();
        let gap = -(1.0 - draw).ln() / self.plan.rate * 1e6;
        self.schedule(now + gap as u64, ModelEvent::Arrive);
        let rank: f64 = self.load.random();
        let prefix = self.cumulative_popularity.partition_point(|share| *share < rank);
        let request = ModelRequest {
            arrived: now,
            entry: self.load.random_range(0..self.plan.entries),
            replica: 0,
            prefix: u32::try_from(prefix).unwrap_or(u32::MAX),
            tokens: self.load.random_range(1..2 * self.plan.mean_tokens),
        };
        self.requests.push(request);
        self.choose(now, self.requests.len() - 1);
    }

    fn choose(&mut self, now: u64, number: usize) {
        let request = self.requests[number];
        let entry = &mut self.entries[request.entry];
        let Some(replica) = entry.choose(TimePoint(now), request.prefix, &mut self.random) else {
            return self.schedule(now + CHOICE_RETRY_MICROS, ModelEvent::Choose(number));
        };
        self.requests[number].replica = replica;
        let delay = self.plan.delay(request.entry, replica);
        self.schedule(now + delay, ModelEvent::Submit(number));
    }

    fn submit(&mut self, now: u64, number: usize) {
        let ModelRequest { replica, prefix, tokens, .. } = self.requests[number];
        if self.kind.uses_cache_events() && !self.replicas[replica].holds(prefix) {
            self.schedule_cache_event(now, prefix, replica, true);
        }
        self.replicas[replica].submit(ReplicaRequest { number, prefix, tokens });
        if !self.replicas[replica].is_stepping {
            self.begin_step(now, replica);
        }
    }

    fn schedule_cache_event(&mut self, now: u64, prefix: u32, replica: usize, stored: bool) {
        if !self.random.random_bool(CACHE_EVENT_LOSS) {
            self.schedule(
                now + CACHE_EVENT_DELAY_MICROS,
                ModelEvent::CacheEvent { prefix, replica, stored },
            );
        }
    }

    fn begin_step(&mut self, now: u64, replica: usize) {
        let evicted = self.replicas[replica].take_evicted();
        if self.kind.uses_cache_events() {
            for prefix in evicted {
                self.schedule_cache_event(now, prefix, replica, false);
            }
        }
        if let Some(duration_micros) = self.replicas[replica].begin_step() {
            self.schedule(now + duration_micros as u64, ModelEvent::Step(replica));
        }
    }

    fn step(&mut self, now: u64, replica: usize) {
        let result = self.replicas[replica].end_step();
        for (number, hit) in result.first {
            self.count_first_token(now, number, hit);
        }
        for number in result.done {
            let delay = self.plan.delay(self.requests[number].entry, replica);
            self.schedule(now + delay, ModelEvent::End(number));
        }
        self.begin_step(now, replica);
    }

    fn count_first_token(&mut self, now: u64, number: usize, hit: bool) {
        let request = self.requests[number];
        if request.arrived < self.plan.warm_up_seconds * 1_000_000 {
            return;
        }
        let delay = self.plan.delay(request.entry, request.replica);
        self.first_token_micros.push(now + delay - request.arrived);
        self.hits += usize::from(hit);
        let own = self.plan.zone_of(request.entry) == self.plan.zone_of(request.replica);
        self.own_zone += usize::from(own);
    }

    fn end(&mut self, now: u64, number: usize) {
        let ModelRequest { entry, replica, .. } = self.requests[number];
        let report = self.reports[replica];
        self.entries[entry].release(TimePoint(now), replica, &report, &mut self.random);
    }

    /// Takes the load report of every engine; until the next one, agents pass on these values.
    fn report(&mut self, now: u64) {
        for (report, replica) in self.reports.iter_mut().zip(&self.replicas) {
            *report = LoadReport {
                in_flight: replica.in_flight(),
                queued: 0,
                capacity: u32::try_from(self.plan.batch).unwrap_or(u32::MAX),
                step_micros: replica.step_micros(),
            };
        }
        self.schedule(now + REPORT_INTERVAL_MICROS, ModelEvent::Report);
    }

    fn result(mut self) -> ModelResult {
        self.first_token_micros.sort_unstable();
        let count = self.first_token_micros.len().max(1);
        let at = |share: f64| {
            let place = ((count as f64 * share) as usize).min(count - 1);
            self.first_token_micros.get(place).copied().unwrap_or_default() as f64 / 1000.0
        };
        ModelResult {
            answered: self.first_token_micros.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            hit_percent: 100.0 * self.hits as f64 / count as f64,
            own_zone_percent: 100.0 * self.own_zone as f64 / count as f64,
        }
    }
}
