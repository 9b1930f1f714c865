//! Rate at which an entry's own requests end on each model.
//!
//! A request that ends frees a slot of a group, so the rate tells how soon this entry may send the
//! next ones. Requests of other entries free slots too, but for those entries.

use std::collections::VecDeque;
use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

/// Time over which ends are counted. Load doubles within seconds, so a longer window lags behind it;
/// a shorter one holds too few ends of one entry.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Ends of an entry's own requests by model, within the last second.
#[derive(Debug, Clone, Default)]
pub struct CompletionRate {
    ends: SortedTable<(ServiceName, String), VecDeque<TimePoint>>,
}

impl CompletionRate {
    /// Records that a request for `model` of `service` ended at `now`.
    pub fn record(&mut self, now: TimePoint, service: &ServiceName, model: &str) {
        let key = (service.clone(), model.to_owned());
        let times = self.ends.get_or_insert_with(key, VecDeque::new);
        while times.front().is_some_and(|at| !is_recent(now, *at)) {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// Number of requests for `model` of `service` that ended per second, over the last second.
    pub fn per_second(&self, now: TimePoint, service: &ServiceName, model: &str) -> f64 {
        let wanted = (service.as_str(), model);
        let times = self.ends.find(|(service, model)| (service.as_str(), &**model).cmp(&wanted));
        let recent =
            times.map_or(0, |times| times.len() - times.partition_point(|at| !is_recent(now, *at)));
        recent as f64 / RATE_WINDOW.as_secs_f64()
    }
}

/// Whether `at` lies within the window that ends at `now`.
fn is_recent(now: TimePoint, at: TimePoint) -> bool {
    now.since(at) < RATE_WINDOW
}
