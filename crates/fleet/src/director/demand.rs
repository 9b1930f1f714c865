//! How much work callers ask for, by model.
//!
//! Entries count what arrives, refused requests included, in time of a whole group. The sum is
//! smoothed over some seconds: a group takes a second to form and many to load, so a burst that
//! is over sooner is not worth chasing.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

use crate::message::{ModelDemand, WorkSum};

/// Time over which demand is smoothed.
const SMOOTHING: Duration = Duration::from_secs(4);

/// Time of counting before the figures are believed at all.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time after that in which they come to be believed wholly: prompts differ tenfold in length, and the
/// figures of the first seconds may be off by a half.
const TRUSTED_AFTER: Duration = Duration::from_secs(6);

/// Demand by service and model, for each second.
#[derive(Debug, Clone, Default)]
pub struct DemandBook {
    counts: SortedTable<(ServiceName, String), WorkSum>,
    rates: SortedTable<(ServiceName, String), WorkSum>,
    began: Option<TimePoint>,
    rolled: Option<TimePoint>,
}

impl DemandBook {
    /// Adds what an entry counted since its last report.
    pub fn add(&mut self, now: TimePoint, demand: &ModelDemand) {
        self.began.get_or_insert(now);
        let key = (demand.service.clone(), demand.model.clone());
        self.counts.get_or_insert_with(key, WorkSum::default).add(&demand.sum);
    }

    /// Folds what was added into the smoothed rates; called at a steady pace.
    pub fn roll(&mut self, now: TimePoint) {
        let Some(rolled) = self.rolled.replace(now) else { return };
        let span = now.since(rolled).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let weight = 1.0 - (-span / SMOOTHING.as_secs_f64()).exp();
        for (key, count) in self.counts.iter_mut() {
            let rate = self.rates.get_or_insert_with(key.clone(), WorkSum::default);
            let counted = std::mem::take(count);
            *rate = rate.times(1.0 - weight);
            rate.add(&counted.times(weight / span));
        }
    }

    /// How much the figures are believed, 0 to 1.
    pub fn trust(&self, now: TimePoint) -> f64 {
        let counted = now.since(self.began.unwrap_or(now)).saturating_sub(WARM_UP);
        (counted.as_secs_f64() / TRUSTED_AFTER.as_secs_f64()).min(1.0)
    }

    /// What callers ask of `model` in a second.
    pub fn of(&self, now: TimePoint, service: &ServiceName, model: &str) -> WorkSum {
        let age = now.since(self.began.unwrap_or(now));
        let rate =
            self.rates.get(&(service.clone(), model.to_owned())).copied().unwrap_or_default();
        // Smoothing began at nothing.
        let seen = 1.0 - (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        if seen > 0.0 { rate.times(1.0 / seen) } else { WorkSum::default() }
    }

    /// The smoothed rates in a few words.
    pub fn summary(&self) -> String {
        let tell = |((_, model), rate): (&(ServiceName, String), &WorkSum)| {
            format!("{model} {:.1}", rate.work_ms / 1e3)
        };
        self.rates.iter().map(tell).collect::<Vec<_>>().join(" ")
    }
}
