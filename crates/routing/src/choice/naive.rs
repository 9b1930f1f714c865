//! Simple ways to choose, which tests and measurements set the real one against.

use briartray_model::SortedTable;
use briartray_model::message::LoadReport;
use briartray_model::names::GroupId;
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

/// A naive choice among replicas.
#[derive(Debug)]
pub struct NaiveChoice {
    policy: NaivePolicy,
    next: usize,
    reports: SortedTable<GroupId, LoadReport>,
}

impl NaiveChoice {
    /// A choice by `policy`.
    pub fn new(policy: NaivePolicy) -> Self {
        Self { policy, next: 0, reports: SortedTable::new() }
    }

    /// Chooses among `groups`, which must not be empty.
    pub fn choose<R: RngExt>(&mut self, groups: &[GroupId], random: &mut R) -> GroupId {
        match self.policy {
            NaivePolicy::Random => groups[random.random_range(0..groups.len())],
            NaivePolicy::RoundRobin => {
                self.next = (self.next + 1) % groups.len();
                groups[self.next]
            }
            NaivePolicy::LeastReported => groups
                .iter()
                .copied()
                .min_by_key(|group| {
                    self.reports.get(group).map_or(0, |report| report.in_flight + report.queued)
                })
                .unwrap_or_default(),
        }
    }

    /// Takes a report in.
    pub fn report(&mut self, group: GroupId, report: LoadReport) {
        self.reports.insert(group, report);
    }
}
