//! The attempts that one agent process has seen.
//!
//! A tombstone is worth something only while it is remembered. The bound works without comparing
//! clocks: the link proves how long an order can have been on its way, and the book refuses
//! orders older than [`MAX_ORDER_AGE`] while it remembers every settled attempt for
//! [`TOMBSTONE_MEMORY`], which is longer. When it has no room left it refuses new work rather
//! than forget early. An agent that restarted remembers nothing; orders name the start of the
//! process they are meant for, so none of them reaches its successor.

use std::collections::VecDeque;
use std::time::Duration;

use briartray_model::message::TombstoneState;
use briartray_model::names::AttemptId;
use briartray_model::{SortedTable, TimePoint};

/// Oldest order that is taken, counted from the last proof that the path works.
pub const MAX_ORDER_AGE: Duration = Duration::from_secs(10);

/// How long a settled attempt is remembered.
pub const TOMBSTONE_MEMORY: Duration = Duration::from_secs(60);

/// Bounds of one book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BookLimits {
    /// Attempts remembered at most.
    pub attempts: usize,
    /// Oldest order that is taken.
    pub order_age: Duration,
    /// How long settled attempts are remembered.
    pub memory: Duration,
}

impl Default for BookLimits {
    fn default() -> Self {
        Self { attempts: 65_536, order_age: MAX_ORDER_AGE, memory: TOMBSTONE_MEMORY }
    }
}

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// Handed to the endpoint.
    Running,
    /// Over.
    Ended,
    /// Never started and must never start.
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
    /// It was on its way for too long; its tombstone may be forgotten.
    TooOld,
    /// The book is full.
    Full,
}

/// Attempts by id, bounded in number and time.
#[derive(Debug, Default)]
pub struct AttemptBook {
    limits: BookLimits,
    states: SortedTable<AttemptId, AttemptState>,
    settled: VecDeque<(TimePoint, AttemptId)>,
}

impl AttemptBook {
    /// An empty book.
    pub fn new(limits: BookLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Attempts that are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Marks `attempt` as running unless it was seen before. `age` bounds how long the order can
    /// have been on its way.
    pub fn begin(&mut self, now: TimePoint, attempt: AttemptId, age: Duration) -> BeginDecision {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Tombstoned) => return BeginDecision::Tombstoned,
            Some(AttemptState::Running | AttemptState::Ended) => return BeginDecision::Duplicate,
            None => {}
        }
        if age > self.limits.order_age {
            return BeginDecision::TooOld;
        }
        if self.states.len() >= self.limits.attempts {
            return BeginDecision::Full;
        }
        self.states.insert(attempt, AttemptState::Running);
        BeginDecision::Start
    }

    /// Marks a running attempt as over; `started` tells whether the endpoint was called.
    pub fn end(&mut self, now: TimePoint, attempt: AttemptId, started: bool) {
        if let Some(state) = self.states.get_mut(&attempt)
            && *state == AttemptState::Running
        {
            *state = if started { AttemptState::Ended } else { AttemptState::Tombstoned };
            self.settled.push_back((now, attempt));
        }
    }

    /// Makes sure that `attempt` does not start from now on, and tells whether it had. `age`
    /// bounds the time since its dispatch was sent.
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
        // An attempt that ended long ago is forgotten. To call it never run would be a lie that
        // makes a caller send a payment again, so a late question gets no answer.
        if age >= self.limits.memory || self.states.len() >= self.limits.attempts {
            return TombstoneState::CannotTell;
        }
        self.states.insert(attempt, AttemptState::Tombstoned);
        self.settled.push_back((now, attempt));
        TombstoneState::NeverRuns
    }

    fn expire(&mut self, now: TimePoint) {
        while let Some((since, attempt)) = self.settled.front().copied()
            && now.since(since) > self.limits.memory
        {
            self.settled.pop_front();
            self.states.remove(&attempt);
        }
    }
}
