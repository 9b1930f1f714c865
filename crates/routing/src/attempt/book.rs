//! The attempts that one agent has seen.

use std::collections::VecDeque;

use briartray_model::SortedTable;
use briartray_model::message::TombstoneState;
use briartray_model::names::AttemptId;

/// Attempts remembered at most; the oldest ended ones are forgotten first.
const MAX_REMEMBERED: usize = 16_384;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Handed to the endpoint.
    Running,
    /// Over.
    Ended,
    /// Must never start.
    Tombstoned,
}

/// Answer to the question whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginDecision {
    /// It may, and is now running.
    Start,
    /// It was seen before; starting it again would run it twice.
    Duplicate,
    /// A tombstone came first.
    Tombstoned,
}

/// Attempts by id, bounded.
#[derive(Debug, Default)]
pub struct AttemptBook {
    states: SortedTable<AttemptId, AttemptState>,
    settled: VecDeque<AttemptId>,
}

impl AttemptBook {
    /// An empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks `attempt` as running unless it was seen before.
    pub fn begin(&mut self, attempt: AttemptId) -> BeginDecision {
        match self.states.get(&attempt) {
            None => {
                self.states.insert(attempt, AttemptState::Running);
                BeginDecision::Start
            }
            Some(AttemptState::Tombstoned) => BeginDecision::Tombstoned,
            Some(AttemptState::Running | AttemptState::Ended) => BeginDecision::Duplicate,
        }
    }

    /// Marks a running attempt as over.
    pub fn end(&mut self, attempt: AttemptId) {
        if let Some(state) = self.states.get_mut(&attempt)
            && *state == AttemptState::Running
        {
            *state = AttemptState::Ended;
            self.settle(attempt);
        }
    }

    /// Makes sure that `attempt` does not start from now on, and tells whether it had.
    pub fn tombstone(&mut self, attempt: AttemptId) -> TombstoneState {
        match self.states.get(&attempt) {
            None => {
                self.states.insert(attempt, AttemptState::Tombstoned);
                self.settle(attempt);
                TombstoneState::NeverRuns
            }
            Some(AttemptState::Tombstoned) => TombstoneState::NeverRuns,
            Some(AttemptState::Running) => TombstoneState::Running,
            Some(AttemptState::Ended) => TombstoneState::Ended,
        }
    }

    fn settle(&mut self, attempt: AttemptId) {
        self.settled.push_back(attempt);
        if self.settled.len() > MAX_REMEMBERED
            && let Some(oldest) = self.settled.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}
