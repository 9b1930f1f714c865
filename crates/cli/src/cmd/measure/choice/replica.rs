//! A model engine with continuous batching and a bounded prefix cache.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// What one engine costs, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineCost {
    /// A step with an empty batch.
    pub(super) step: f64,
    /// Added to a step with a full batch.
    pub(super) full_batch: f64,
    /// Reading a prompt whose prefix is not cached.
    pub(super) miss: f64,
    /// Reading a prompt whose prefix is cached.
    pub(super) hit: f64,
}

/// A request at a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaRequest {
    pub(super) number: usize,
    pub(super) prefix: u32,
    pub(super) tokens: u64,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub(super) struct StepResult {
    /// Requests whose first token is out, with whether their prefix was cached.
    pub(super) first: Vec<(usize, bool)>,
    /// Requests that are done.
    pub(super) done: Vec<usize>,
}

/// One replica.
#[derive(Debug)]
pub(super) struct ModelReplica {
    cost: EngineCost,
    batch: usize,
    cache_limit: usize,
    /// Factor on every step.
    pub(super) slowness: f64,
    pub(super) is_stepping: bool,
    step_number: u64,
    step_micros: f64,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    starting: Vec<(usize, bool)>,
    waiting: VecDeque<ReplicaRequest>,
    cache: VecDeque<u32>,
    evicted: Vec<u32>,
}

impl ModelReplica {
    pub(super) fn new(cost: EngineCost, batch: usize, cache_limit: usize) -> Self {
        Self {
            cost,
            batch,
            cache_limit,
            slowness: 1.0,
            is_stepping: false,
            step_number: 0,
            step_micros: cost.step,
            ends: BinaryHeap::new(),
            starting: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            evicted: Vec::new(),
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.ends.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn step_micros(&self) -> u32 {
        self.step_micros as u32
    }

    pub(super) fn submit(&mut self, request: ReplicaRequest) {
        self.waiting.push_back(request);
    }

    /// Fills the batch and returns how long the step takes; `None` when there is nothing to do.
    pub(super) fn begin_step(&mut self) -> Option<f64> {
        let mut reading = 0.0;
        while self.ends.len() < self.batch {
            let Some(request) = self.waiting.pop_front() else { break };
            let hit = self.read_prefix(request.prefix);
            reading += if hit { self.cost.hit } else { self.cost.miss };
            self.ends.push(Reverse((self.step_number + request.tokens, request.number)));
            self.starting.push((request.number, hit));
        }
        if self.ends.is_empty() {
            self.is_stepping = false;
            return None;
        }
        self.is_stepping = true;
        let filled = self.ends.len() as f64 / self.batch as f64;
        let decode = self.cost.step + self.cost.full_batch * filled;
        let took = self.slowness * (decode + reading);
        self.step_micros += 0.2 * (took - self.step_micros);
        Some(took)
    }

    /// Ends the step that was begun.
    pub(super) fn end_step(&mut self) -> StepResult {
        self.step_number += 1;
        let first = std::mem::take(&mut self.starting);
        let mut done = Vec::new();
        while let Some(Reverse((end, number))) = self.ends.peek().copied() {
            if end > self.step_number {
                break;
            }
            self.ends.pop();
            done.push(number);
        }
        StepResult { first, done }
    }

    /// Uses the cache; the prefix used longest ago makes room.
    fn read_prefix(&mut self, prefix: u32) -> bool {
        let known = self.cache.iter().position(|other| *other == prefix);
        if let Some(place) = known {
            self.cache.remove(place);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.cache_limit {
            self.evicted.extend(self.cache.pop_front());
        }
        known.is_some()
    }

    /// Prefixes that left the cache since the last call.
    pub(super) fn take_evicted(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.evicted)
    }

    /// Whether `prefix` is in the cache.
    pub(super) fn holds(&self, prefix: u32) -> bool {
        self.cache.contains(&prefix)
    }
}
