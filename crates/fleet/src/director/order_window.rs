//! Limit on the orders in flight.
//!
//! Load pattern: thousands of endpoints start together, and each is ordered to join its group. When
//! all orders were sent at once, the answers queued up behind each other and all orders timed out;
//! each was sent again, and the leader did nothing else for the rest of its term.

use std::time::Duration;

use briartray_model::TimePoint;

/// Limit on orders in flight.
const MAX_ORDERS_IN_FLIGHT: usize = 128;

/// Time after which an order no longer counts as in flight. Its outcome is known within a quarter
/// of a second, unless the queue was full and dropped it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Counts orders in flight.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderWindow {
    /// When each order was sent, the oldest first.
    sent_at: Vec<TimePoint>,
}

impl OrderWindow {
    /// Number of orders that may be sent now.
    pub(super) fn capacity(&mut self, now: TimePoint) -> usize {
        let expired = self.sent_at.partition_point(|at| now.since(*at) >= ORDER_TIMEOUT);
        self.sent_at.drain(..expired);
        MAX_ORDERS_IN_FLIGHT.saturating_sub(self.sent_at.len())
    }

    /// Records `orders` orders as sent now.
    pub(super) fn record_sent(&mut self, now: TimePoint, orders: usize) {
        self.sent_at.extend(std::iter::repeat_n(now, orders));
    }

    /// Records the end of one order, answered or not.
    pub(super) fn record_finished(&mut self) {
        if !self.sent_at.is_empty() {
            self.sent_at.remove(0);
        }
    }
}
