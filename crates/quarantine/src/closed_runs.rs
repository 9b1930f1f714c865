//! Runs whose connections were closed, until it is checked whether their endpoint has crashed.

use std::collections::VecDeque;
use std::time::Duration;

use briartray_model::TimePoint;

/// Time from the end of a connection to the check whether its endpoint has crashed since. The endpoint may
/// go on with the request for a moment. Shorter than the interval at which crashes count separately, so
/// that crashes at the same time still count as one.
pub const CHECK_DELAY: Duration = Duration::from_millis(240);

/// Closed runs of one endpoint, oldest first.
#[derive(Debug, Clone)]
pub struct ClosedRuns<R> {
    runs: VecDeque<(TimePoint, R)>,
}

impl<R> Default for ClosedRuns<R> {
    fn default() -> Self {
        Self { runs: VecDeque::new() }
    }
}

impl<R> ClosedRuns<R> {
    /// Adds a run whose connection was closed at `now`.
    pub fn push(&mut self, now: TimePoint, run: R) {
        self.runs.push_back((now, run));
    }

    /// When the next check is due; `None` if no run is left.
    pub fn due_at(&self) -> Option<TimePoint> {
        self.runs.front().map(|(closed, _)| closed.after(CHECK_DELAY))
    }

    /// Takes the runs whose check is due, with the time when the last of them was closed: only what the
    /// endpoint did after it tells that it has outlived all of them.
    pub fn take_due(&mut self, now: TimePoint) -> Option<(TimePoint, Vec<R>)> {
        let is_due = |closed: TimePoint| now >= closed.after(CHECK_DELAY);
        let count = self.runs.partition_point(|(closed, _)| is_due(*closed));
        let mut last = None;
        let mut runs = Vec::with_capacity(count);
        for (closed, run) in self.runs.drain(..count) {
            last = Some(closed);
            runs.push(run);
        }
        last.map(|closed| (closed, runs))
    }
}
