//! Model of an engine with continuous batching and a bounded prefix cache.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Processing times of one engine, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineCost {
    /// Base time of a step.
    pub(super) step: f64,
    /// Time that a full batch adds to a step; a smaller batch adds its share.
    pub(super) full_batch: f64,
    /// Prefill of a prompt whose prefix is not cached.
    pub(super) prefill_miss: f64,
    /// Prefill of a prompt whose prefix is cached.
    pub(super) prefill_hit: f64,
}

/// A request sent to a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReplicaRequest {
    pub(super) number: usize,
    pub(super) prefix: u32,
    pub(super) tokens: u64,
}

/// Requests that a step affected.
#[derive(Debug, Default)]
pub(super) struct StepResult {
    /// Requests that produced their first token, each with whether its prefix was cached.
    pub(super) first: Vec<(usize, bool)>,
    /// Requests that produced their last token.
    pub(super) done: Vec<usize>,
}

/// A replica, as its engine and prefix cache.
#[derive(Debug)]
pub(super) struct ModelReplica {
    cost: EngineCost,
    batch: usize,
    max_cached_prefixes: usize,
    /// Factor on the time of every step.
    pub(super) step_factor: f64,
    pub(super) is_stepping: bool,
    step_number: u64,
    /// Moving average of the step time.
    step_micros: f64,
    /// Requests in the batch, each with the step in which it ends.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    /// Requests that joined the batch in this step, each with whether its prefix was cached.
    joined: Vec<(usize, bool)>,
    waiting: VecDeque<ReplicaRequest>,
    /// Cached prefixes, the least recently used first.
    cache: VecDeque<u32>,
    evicted: Vec<u32>,
}

impl ModelReplica {
    pub(super) fn new(cost: EngineCost, batch: usize, max_cached_prefixes: usize) -> Self {
        Self {
            cost,
            batch,
            max_cached_prefixes,
            step_factor: 1.0,
            is_stepping: false,
            step_number: 0,
            step_micros: cost.step,
            running: BinaryHeap::new(),
            joined: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            evicted: Vec::new(),
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn step_micros(&self) -> u32 {
        self.step_micros as u32
    }

    pub(super) fn submit(&mut self, request: ReplicaRequest) {
        self.waiting.push_back(request);
    }

    /// Fills the batch and returns the time of the step in microseconds; `None` when idle.
    pub(super) fn begin_step(&mut self) -> Option<f64> {
        let mut prefill = 0.0;
        while self.running.len() < self.batch {
            let Some(request) = self.waiting.pop_front() else { break };
            let hit = self.access_prefix(request.prefix);
            prefill += if hit { self.cost.prefill_hit } else { self.cost.prefill_miss };
            self.running.push(Reverse((self.step_number + request.tokens, request.number)));
            self.joined.push((request.number, hit));
        }
        if self.running.is_empty() {
            self.is_stepping = false;
            return None;
        }
        self.is_stepping = true;
        let filled = self.running.len() as f64 / self.batch as f64;
        let decode = self.cost.step + self.cost.full_batch * filled;
        let duration_micros = self.step_factor * (decode + prefill);
        self.step_micros += 0.2 * (duration_micros - self.step_micros);
        Some(duration_micros)
    }

    /// Ends the current step.
    pub(super) fn end_step(&mut self) -> StepResult {
        self.step_number += 1;
        let first = std::mem::take(&mut self.joined);
        let mut done = Vec::new();
        while let Some(Reverse((end, number))) = self.running.peek().copied() {
            if end > self.step_number {
                break;
            }
            self.running.pop();
            done.push(number);
        }
        StepResult { first, done }
    }

    /// Marks a prefix as used, and evicts the least recently used one when the cache is over its
    /// limit; returns whether the prefix was cached.
    fn access_prefix(&mut self, prefix: u32) -> bool {
        let known = self.cache.iter().position(|other| *other == prefix);
        if let Some(place) = known {
            self.cache.remove(place);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.max_cached_prefixes {
            self.evicted.extend(self.cache.pop_front());
        }
        known.is_some()
    }

    /// Takes the prefixes evicted since the last call.
    pub(super) fn take_evicted(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.evicted)
    }

    /// Whether `prefix` is in the cache.
    pub(super) fn holds(&self, prefix: u32) -> bool {
        self.cache.contains(&prefix)
    }
}
