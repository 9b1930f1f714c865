//! Simple ways to choose, which tests and measurements set the real one against.

use rand::RngExt;

/// How a naive choice is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NaivePolicy {
    /// Any replica.
    Random,
    /// Each replica in turn.
    RoundRobin,
    /// The one with the least load by the last report.
    LeastReported,
}

/// A naive choice among replicas that are known by position.
#[derive(Debug, Clone)]
pub struct NaiveChoice {
    policy: NaivePolicy,
    next: usize,
    reports: Vec<u32>,
}

impl NaiveChoice {
    /// A choice by `policy` among `count` replicas, in turn from `first` on.
    pub fn new(policy: NaivePolicy, count: usize, first: usize) -> Self {
        Self { policy, next: first % count, reports: vec![0; count] }
    }

    /// Chooses a replica.
    pub fn choose<R: RngExt>(&mut self, random: &mut R) -> usize {
        let count = self.reports.len();
        match self.policy {
            NaivePolicy::Random => random.random_range(0..count),
            NaivePolicy::RoundRobin => {
                self.next = (self.next + 1) % count;
                self.next
            }
            NaivePolicy::LeastReported => {
                let least = self.reports.iter().enumerate().min_by_key(|(_, load)| **load);
                least.map_or(0, |(position, _)| position)
            }
        }
    }

    /// Takes the reported load of a replica in.
    pub fn report(&mut self, position: usize, load: u32) {
        self.reports[position] = load;
    }
}
