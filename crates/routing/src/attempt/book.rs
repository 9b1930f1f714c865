//! Attempts known to one agent process.
//!
//! A tombstone is useful only while it is remembered. The bound needs no synchronized clocks: the
//! link proves an upper bound on the age of a dispatch, and the book refuses dispatches older than
//! [`MAX_DISPATCH_AGE`] while it remembers every settled attempt for the longer
//! [`TOMBSTONE_RETENTION`]. A full book refuses new attempts and never forgets early. A restarted
//! agent remembers nothing, but a dispatch names the process start that it is meant for, so its
//! successor never runs it.

use std::collections::VecDeque;
use std::time::Duration;

use briartray_model::message::TombstoneState;
use briartray_model::names::AttemptId;
use briartray_model::{SortedTable, TimePoint};

/// Maximum age of an accepted dispatch, counted from the last proof that the link works.
pub const MAX_DISPATCH_AGE: Duration = Duration::from_secs(10);

/// How long a settled attempt is remembered.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Limits of one book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BookLimits {
    /// Maximum number of remembered attempts.
    pub max_attempts: usize,
    /// Maximum age of an accepted dispatch.
    pub max_dispatch_age: Duration,
    /// How long settled attempts are remembered.
    pub retention: Duration,
}

impl Default for BookLimits {
    fn default() -> Self {
        Self {
            max_attempts: 65_536,
            max_dispatch_age: MAX_DISPATCH_AGE,
            retention: TOMBSTONE_RETENTION,
        }
    }
}

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Handed to the endpoint.
    Running,
    /// Ended after the endpoint was called.
    Ended,
    /// Never started and must never start.
    Tombstoned,
}

/// Whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginDecision {
    /// The attempt may start and is now marked as running.
    Start,
    /// The attempt is already known; starting it would run it a second time.
    Duplicate,
    /// A tombstone forbids the attempt.
    Tombstoned,
    /// The dispatch was in transit for too long; a tombstone for it may have been forgotten.
    TooOld,
    /// The book is full.
    Full,
}

/// Attempts by id, bounded in number and age.
#[derive(Debug, Default)]
pub struct AttemptBook {
    limits: BookLimits,
    states: SortedTable<AttemptId, AttemptState>,
    settled: VecDeque<(TimePoint, AttemptId)>,
}

impl AttemptBook {
    /// Creates an empty book.
    pub fn new(limits: BookLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Number of remembered attempts.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Marks `attempt` as running unless it is already known. `age` is an upper bound on the time
    /// that the dispatch was in transit.
    pub fn begin(&mut self, now: TimePoint, attempt: AttemptId, age: Duration) -> BeginDecision {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Tombstoned) => return BeginDecision::Tombstoned,
            Some(AttemptState::Running | AttemptState::Ended) => return BeginDecision::Duplicate,
            None => {}
        }
        if age > self.limits.max_dispatch_age {
            return BeginDecision::TooOld;
        }
        if self.states.len() >= self.limits.max_attempts {
            return BeginDecision::Full;
        }
        self.states.insert(attempt, AttemptState::Running);
        BeginDecision::Start
    }

    /// Marks a running attempt as ended; `started` tells whether the endpoint was called.
    pub fn end(&mut self, now: TimePoint, attempt: AttemptId, started: bool) {
        if let Some(state) = self.states.get_mut(&attempt)
            && *state == AttemptState::Running
        {
            *state = if started { AttemptState::Ended } else { AttemptState::Tombstoned };
            self.settled.push_back((now, attempt));
        }
    }

    /// Ensures that `attempt` does not start from now on, and returns its state. `age` is an upper
    /// bound on the time since its dispatch was sent.
    pub fn tombstone(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        age: Duration,
    ) -> TombstoneState {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Tombstoned) => return TombstoneState::NeverRuns,
            Some(AttemptState::Running) => return TombstoneState::Running,
            Some(AttemptState::Ended) => return TombstoneState::Ended,
            None => {}
        }
        // An attempt that ended long ago is forgotten. Reporting it as never run could make a
        // caller send a payment a second time, so a late request gets no definite answer.
        if age >= self.limits.retention || self.states.len() >= self.limits.max_attempts {
            return TombstoneState::CannotTell;
        }
        self.states.insert(attempt, AttemptState::Tombstoned);
        self.settled.push_back((now, attempt));
        TombstoneState::NeverRuns
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some((settled_at, attempt)) = self.settled.front().copied()
            && now.since(settled_at) > self.limits.retention
        {
            self.settled.pop_front();
            self.states.remove(&attempt);
        }
    }
}
