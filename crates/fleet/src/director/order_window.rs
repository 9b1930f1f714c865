//! How many orders are under way at one time.
//!
//! Load pattern: thousands of endpoints start together, and each is told to join its group. Given all at
//! once, none was answered in its time, since their answers waited for each other; each was given again,
//! and the leader did nothing else for as long as it led.

use std::time::Duration;

use briartray_model::TimePoint;

/// Orders under way at one time.
const ORDERS_AT_ONCE: usize = 128;

/// Time after which an order counts as answered: its outcome is known within a quarter of a second, unless
/// the note of it found no room.
const OUTCOME_LOST: Duration = Duration::from_secs(1);

/// Counts orders that are under way.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderWindow {
    /// When each was given, the oldest first.
    given: Vec<TimePoint>,
}

impl OrderWindow {
    /// Orders that may be given now.
    pub(super) fn room(&mut self, now: TimePoint) -> usize {
        let lost = self.given.partition_point(|at| now.since(*at) >= OUTCOME_LOST);
        self.given.drain(..lost);
        ORDERS_AT_ONCE.saturating_sub(self.given.len())
    }

    /// Counts `orders` that are given now.
    pub(super) fn give(&mut self, now: TimePoint, orders: usize) {
        self.given.extend(std::iter::repeat_n(now, orders));
    }

    /// Counts one that was answered, or not.
    pub(super) fn end(&mut self) {
        if !self.given.is_empty() {
            self.given.remove(0);
        }
    }
}
