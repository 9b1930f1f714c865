//! Demand of callers by model.
//!
//! Entries count the requests that arrive, refused ones included, as the time that a whole group
//! needs for them. The sum is smoothed over several seconds: a group takes a second to form and
//! many seconds to load, so reacting to a shorter burst does not pay.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

use crate::message::{ModelDemand, WorkSum};

/// Time constant of the exponential smoothing.
const SMOOTHING_TIME: Duration = Duration::from_secs(4);

/// Time constant of the smoothing that decides on loads for idle hosts: that of a load. A wave of
/// the demand with a period of 17 s is reduced to a sixth.
const STEADY_TIME: Duration = Duration::from_secs(16);

/// Time of counting before the rates are trusted at all.
const MIN_COUNTING_TIME: Duration = Duration::from_secs(3);

/// Time after [`MIN_COUNTING_TIME`] until the rates are fully trusted: prompt lengths differ
/// tenfold, and the rates of the first seconds may be off by a half.
const FULL_TRUST_TIME: Duration = Duration::from_secs(6);

/// Demand per second by service and model.
#[derive(Debug, Clone, Default)]
pub struct DemandBook {
    counts: SortedTable<(ServiceName, String), WorkSum>,
    rates: SortedTable<(ServiceName, String), WorkSum>,
    /// Rates smoothed over [`STEADY_TIME`].
    steady_rates: SortedTable<(ServiceName, String), WorkSum>,
    started_at: Option<TimePoint>,
    last_update: Option<TimePoint>,
}

impl DemandBook {
    /// Adds what an entry counted since its last report.
    pub fn add(&mut self, now: TimePoint, demand: &ModelDemand) {
        self.started_at.get_or_insert(now);
        let key = (demand.service.clone(), demand.model.clone());
        self.counts.get_or_insert_with(key, WorkSum::default).add(&demand.sum);
    }

    /// Moves the added counts into the smoothed rates; called at regular intervals.
    pub fn update_rates(&mut self, now: TimePoint) {
        let Some(last_update) = self.last_update.replace(now) else { return };
        let span = now.since(last_update).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        for (key, count) in self.counts.iter_mut() {
            let counted = std::mem::take(count);
            let smoothed =
                [(&mut self.rates, SMOOTHING_TIME), (&mut self.steady_rates, STEADY_TIME)];
            for (rates, time) in smoothed {
                let weight = covered_weight(span, time);
                let rate = rates.get_or_insert_with(key.clone(), WorkSum::default);
                *rate = rate.times(1.0 - weight);
                rate.add(&counted.times(weight / span));
            }
        }
    }

    /// Weight of the measured demand, from 0 (not trusted) to 1.
    pub fn trust(&self, now: TimePoint) -> f64 {
        let counted = now.since(self.started_at.unwrap_or(now)).saturating_sub(MIN_COUNTING_TIME);
        (counted.as_secs_f64() / FULL_TRUST_TIME.as_secs_f64()).min(1.0)
    }

    /// Demand for `model` per second.
    pub fn rate(&self, now: TimePoint, service: &ServiceName, model: &str) -> WorkSum {
        let rate = self.rates.get(&(service.clone(), model.to_owned()));
        self.unbiased(now, rate, SMOOTHING_TIME)
    }

    /// Demand for `model` per second, averaged over the time of a load.
    pub fn steady_rate(&self, now: TimePoint, service: &ServiceName, model: &str) -> WorkSum {
        let rate = self.steady_rates.get(&(service.clone(), model.to_owned()));
        self.unbiased(now, rate, STEADY_TIME)
    }

    /// `rate` without the bias of its start at zero: divided by the weight that the time of counting
    /// covers.
    fn unbiased(&self, now: TimePoint, rate: Option<&WorkSum>, time: Duration) -> WorkSum {
        let age = now.since(self.started_at.unwrap_or(now));
        let covered = covered_weight(age.as_secs_f64(), time);
        match rate {
            Some(rate) if covered > 0.0 => rate.times(1.0 / covered),
            _ => WorkSum::default(),
        }
    }

    /// Smoothed rates as one line for the log.
    pub fn summary(&self) -> String {
        let describe = |((_, model), rate): (&(ServiceName, String), &WorkSum)| {
            format!("{model} {:.1}", rate.work_ms / 1e3)
        };
        self.rates.iter().map(describe).collect::<Vec<_>>().join(" ")
    }
}

/// Weight of the last `span` seconds in an exponential smoothing with the constant `time`.
fn covered_weight(span: f64, time: Duration) -> f64 {
    1.0 - (-span / time.as_secs_f64()).exp()
}
