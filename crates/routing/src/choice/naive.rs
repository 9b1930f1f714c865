//! Simple load balancing policies, used as baselines in tests and measurements.

use rand::RngExt;

/// Baseline policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NaivePolicy {
    /// Uniformly random.
    Random,
    /// Round robin.
    RoundRobin,
    /// Lowest load in the last report.
    LeastReported,
}

/// Baseline balancer over replicas that are identified by position.
#[derive(Debug, Clone)]
pub struct NaiveChoice {
    policy: NaivePolicy,
    next: usize,
    reports: Vec<u32>,
}

impl NaiveChoice {
    /// Creates a balancer over `count` replicas. Round robin starts after `first`.
    pub fn new(policy: NaivePolicy, count: usize, first: usize) -> Self {
        Self { policy, next: first % count, reports: vec![0; count] }
    }

    /// Returns the position of the chosen replica.
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

    /// Stores the reported load of the replica at `position`, in requests.
    pub fn report(&mut self, position: usize, load: u32) {
        self.reports[position] = load;
    }
}
