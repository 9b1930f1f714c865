//! What models lacked and why hosts idled, as of the last plan and over time.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

use super::plan::{IdleCount, IdleReason, ModelSupply};

/// Supply of one service as of its last plan, and times since they were last taken.
#[derive(Debug, Clone, Default)]
pub struct ServiceSupply {
    /// Groups of each model, in the order of the engine's models.
    pub models: Vec<ModelSupply>,
    /// Free hosts by reason.
    pub idle: Vec<IdleCount>,
    counted_until: Option<TimePoint>,
    times: SupplyTimes,
}

/// Time that groups lacked and hosts idled, summed over groups and hosts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SupplyTimes {
    /// Time for which each model lacked groups: two groups for a second count as two seconds.
    pub lacking: SortedTable<String, Duration>,
    /// Time for which hosts idled, by reason.
    pub idle: SortedTable<IdleReason, Duration>,
}

/// Supply of all services.
#[derive(Debug, Clone, Default)]
pub struct SupplyMeter {
    services: SortedTable<ServiceName, ServiceSupply>,
}

impl SupplyMeter {
    /// Records what a plan of `service` at `now` counted; it holds until the next one.
    pub fn record(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        models: Vec<ModelSupply>,
        idle: Vec<IdleCount>,
    ) {
        let supply = self.services.get_or_insert_with(service.clone(), ServiceSupply::default);
        supply.count_until(now);
        (supply.models, supply.idle) = (models, idle);
    }

    /// Supply of each service.
    pub fn services(&self) -> &SortedTable<ServiceName, ServiceSupply> {
        &self.services
    }

    /// Returns the times of each service since the last call.
    pub fn take_times(&mut self, now: TimePoint) -> Vec<(ServiceName, SupplyTimes)> {
        let take = |(service, supply): (&ServiceName, &mut ServiceSupply)| {
            supply.count_until(now);
            (service.clone(), std::mem::take(&mut supply.times))
        };
        self.services.iter_mut().map(take).collect()
    }

    /// Drops services that are no longer `planned`.
    pub(super) fn retain(&mut self, planned: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| planned(service));
    }
}

impl ServiceSupply {
    /// Adds the time since the last call with the counts of the last plan.
    fn count_until(&mut self, now: TimePoint) {
        let elapsed = now.since(self.counted_until.replace(now).unwrap_or(now));
        let times = |count: usize| elapsed * u32::try_from(count).unwrap_or(u32::MAX);
        for supply in self.models.iter().filter(|supply| supply.lacking() > 0) {
            let sum =
                self.times.lacking.get_or_insert_with(supply.model.clone(), Duration::default);
            *sum += times(supply.lacking());
        }
        for count in &self.idle {
            *self.times.idle.get_or_insert_with(count.reason, Duration::default) +=
                times(count.hosts);
        }
    }
}
