//! Entries, replicas and the network between them in simulated time.

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
const REPORT_MICROS: u64 = 200_000;

/// How late cache events come, in microseconds.
const EVENT_MICROS: u64 = 200_000;

/// Share of cache events that never come.
const EVENT_LOSS: f64 = 0.02;

/// Wait of a request for which no replica has room, in microseconds.
const BUSY_MICROS: u64 = 5_000;

/// Factor on the steps of a straggler.
const STRAGGLER_SLOWNESS: f64 = 4.0;

/// What is simulated.
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
    cache_limit: usize,
    mean_tokens: u64,
    near_micros: u64,
    far_micros: u64,
    seconds: u64,
    warm_seconds: u64,
}

impl ModelPlan {
    /// Thirty replicas in three zones behind four entries.
    pub(super) fn today() -> Self {
        Self {
            replicas: 30,
            entries: 4,
            zones: 3,
            rate: 0.0,
            prefixes: 300,
            batch: 64,
            cost: EngineCost { step: 8_000.0, full_batch: 8_000.0, miss: 12_000.0, hit: 2_000.0 },
            cache_limit: 24,
            mean_tokens: 128,
            near_micros: 100,
            far_micros: 1_000,
            seconds: 60,
            warm_seconds: 12,
        }
    }

    /// The size that the design aims for.
    pub(super) fn design() -> Self {
        Self {
            replicas: 2_800,
            entries: 460,
            zones: 29,
            rate: 0.0,
            prefixes: 20_000,
            batch: 160,
            cost: EngineCost { step: 24_000.0, full_batch: 16_000.0, miss: 12_000.0, hit: 2_000.0 },
            cache_limit: 32,
            mean_tokens: 473,
            near_micros: 250,
            far_micros: 15_000,
            seconds: 75,
            warm_seconds: 35,
        }
    }

    /// The same at `share` of what the replicas can do when every prefix is cached.
    pub(super) fn at_load(&self, share: f64) -> Self {
        let batch = self.batch as f64;
        let decode = self.cost.step + self.cost.full_batch;
        let started = batch / self.mean_tokens as f64;
        let step = decode + started * self.cost.hit;
        let rate = self.replicas as f64 * started / (step / 1e6);
        Self { rate: share * rate, ..self.clone() }
    }

    pub(super) fn zone_of(&self, number: usize) -> usize {
        number % self.zones
    }

    fn delay(&self, entry: usize, replica: usize) -> u64 {
        let same = self.zone_of(entry) == self.zone_of(replica);
        if same { self.near_micros } else { self.far_micros }
    }

    /// Every fiftieth replica, and at least one, is a straggler in the second quarter of time.
    fn is_straggler(&self, replica: usize) -> bool {
        replica % 50 == 11
    }
}

plain_value! {
    /// What one policy came to.
    pub(super) struct ModelResult {
        /// Requests whose first token was counted.
        pub(super) answered: usize,
        pub(super) p50_ms: f64,
        pub(super) p95_ms: f64,
        pub(super) p99_ms: f64,
        pub(super) hit_percent: f64,
        pub(super) own_zone_percent: f64,
    }
}

/// One thing that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive,
    Choose(usize),
    Submit(usize),
    Step(usize),
    End(usize),
    Report,
    Cache { prefix: u32, replica: usize, stored: bool },
    SetSlow(bool),
}

#[derive(Debug, Clone, Copy)]
struct ModelRequest {
    arrived: u64,
    entry: usize,
    replica: usize,
    prefix: u32,
    tokens: u64,
}

struct Model<'a> {
    plan: &'a ModelPlan,
    kind: PolicyKind,
    load: ChaCha8Rng,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    event_number: u64,
    replicas: Vec<ModelReplica>,
    reports: Vec<LoadReport>,
    entries: Vec<EntryPolicy>,
    requests: Vec<ModelRequest>,
    /// Cumulated shares of prefixes, by popularity.
    popularity: Vec<f64>,
    first_micros: Vec<u64>,
    hits: usize,
    own_zone: usize,
}

/// Runs `plan` with every entry choosing by `kind`; the load depends on `seed` alone.
pub(super) fn run_model(plan: &ModelPlan, kind: PolicyKind, seed: u64) -> ModelResult {
    let shared: Vec<_> = (0..plan.zones).map(|zone| make_table(plan, zone)).collect();
    let entries = (0..plan.entries)
        .map(|number| EntryPolicy::new(kind, plan, number, &shared[plan.zone_of(number)]))
        .collect();
    let make = |_| ModelReplica::new(plan.cost, plan.batch, plan.cache_limit);
    let mut model = Model {
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
        popularity: popularity(plan.prefixes),
        first_micros: Vec::new(),
        hits: 0,
        own_zone: 0,
    };
    model.run();
    model.result()
}

/// Popularity that falls with the rank, as the few templates of a firm do.
fn popularity(count: usize) -> Vec<f64> {
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

impl Model<'_> {
    fn run(&mut self) {
        let end = self.plan.seconds * 1_000_000;
        self.push(0, ModelEvent::Arrive);
        self.push(0, ModelEvent::Report);
        self.push(end / 4, ModelEvent::SetSlow(true));
        self.push(end / 2, ModelEvent::SetSlow(false));
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= end {
                return;
            }
            self.handle(now, event);
        }
    }

    fn push(&mut self, at: u64, event: ModelEvent) {
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
            ModelEvent::Cache { prefix, replica, stored } => {
                for entry in &mut self.entries {
                    entry.learn(prefix, replica, stored);
                }
            }
            ModelEvent::SetSlow(slow) => {
                for (number, replica) in self.replicas.iter_mut().enumerate() {
                    let slow = slow && self.plan.is_straggler(number);
                    replica.slowness = if slow { STRAGGLER_SLOWNESS } else { 1.0 };
                }
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let draw: f64 = self.load.random();
        let gap = -(1.0 - draw).ln() / self.plan.rate * 1e6;
        self.push(now + gap as u64, ModelEvent::Arrive);
        let rank: f64 = self.load.random();
        let prefix = self.popularity.partition_point(|share| *share < rank);
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
            return self.push(now + BUSY_MICROS, ModelEvent::Choose(number));
        };
        self.requests[number].replica = replica;
        let delay = self.plan.delay(request.entry, replica);
        self.push(now + delay, ModelEvent::Submit(number));
    }

    fn submit(&mut self, now: u64, number: usize) {
        let ModelRequest { replica, prefix, tokens, .. } = self.requests[number];
        if self.kind.wants_events() && !self.replicas[replica].holds(prefix) {
            self.tell_event(now, prefix, replica, true);
        }
        self.replicas[replica].submit(ReplicaRequest { number, prefix, tokens });
        if !self.replicas[replica].is_stepping {
            self.begin_step(now, replica);
        }
    }

    fn tell_event(&mut self, now: u64, prefix: u32, replica: usize, stored: bool) {
        if !self.random.random_bool(EVENT_LOSS) {
            self.push(now + EVENT_MICROS, ModelEvent::Cache { prefix, replica, stored });
        }
    }

    fn begin_step(&mut self, now: u64, replica: usize) {
        let evicted = self.replicas[replica].take_evicted();
        if self.kind.wants_events() {
            for prefix in evicted {
                self.tell_event(now, prefix, replica, false);
            }
        }
        if let Some(took) = self.replicas[replica].begin_step() {
            self.push(now + took as u64, ModelEvent::Step(replica));
        }
    }

    fn step(&mut self, now: u64, replica: usize) {
        let result = self.replicas[replica].end_step();
        for (number, hit) in result.first {
            self.count_first(now, number, hit);
        }
        for number in result.done {
            let delay = self.plan.delay(self.requests[number].entry, replica);
            self.push(now + delay, ModelEvent::End(number));
        }
        self.begin_step(now, replica);
    }

    fn count_first(&mut self, now: u64, number: usize, hit: bool) {
        let request = self.requests[number];
        if request.arrived < self.plan.warm_seconds * 1_000_000 {
            return;
        }
        let delay = self.plan.delay(request.entry, request.replica);
        self.first_micros.push(now + delay - request.arrived);
        self.hits += usize::from(hit);
        let own = self.plan.zone_of(request.entry) == self.plan.zone_of(request.replica);
        self.own_zone += usize::from(own);
    }

    fn end(&mut self, now: u64, number: usize) {
        let ModelRequest { entry, replica, .. } = self.requests[number];
        let report = self.reports[replica];
        self.entries[entry].release(TimePoint(now), replica, &report, &mut self.random);
    }

    /// Engines report from time to time; what agents pass on is as old as the last report.
    fn report(&mut self, now: u64) {
        for (report, replica) in self.reports.iter_mut().zip(&self.replicas) {
            *report = LoadReport {
                in_flight: replica.in_flight(),
                queued: 0,
                capacity: u32::try_from(self.plan.batch).unwrap_or(u32::MAX),
                step_micros: replica.step_micros(),
            };
        }
        self.push(now + REPORT_MICROS, ModelEvent::Report);
    }

    fn result(mut self) -> ModelResult {
        self.first_micros.sort_unstable();
        let count = self.first_micros.len().max(1);
        let at = |share: f64| {
            let place = ((count as f64 * share) as usize).min(count - 1);
            self.first_micros.get(place).copied().unwrap_or_default() as f64 / 1000.0
        };
        ModelResult {
            answered: self.first_micros.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            hit_percent: 100.0 * self.hits as f64 / count as f64,
            own_zone_percent: 100.0 * self.own_zone as f64 / count as f64,
        }
    }
}
