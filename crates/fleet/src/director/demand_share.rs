//! Shares of the free capacity of each model, by the demand of each entry.
//!
//! Callers reach entries unevenly, and load moves between zones within seconds. With equal shares a
//! busy entry refuses requests while others leave their shares unused. The leader therefore divides
//! the free capacity in proportion to the demand of the last seconds, weighted by group time.
//!
//! Every entry keeps a part of an equal share: its demand may rise at any time, and an entry that
//! may send nothing would refuse all requests until the leader has counted them.
//!
//! Shares are hints. Entries hold answers of different ages, so the shares in use may exceed the
//! whole; what protects the slots of a group is the load that the group and the leader report.

use std::time::Duration;

use briartray_model::names::{NodeName, ServiceName};
use briartray_model::{SortedTable, TimePoint};

use super::FleetDirector;
use crate::entry::{SHARE_LIFETIME, report_interval};
use crate::message::{DemandShare, ModelDemand};

/// Time constant of the exponential smoothing. A report covers a quarter of a second, in which an
/// entry gets a few requests; a wave of 17 s has to be followed.
const SMOOTHING_TIME: Duration = Duration::from_secs(2);

/// Time for which the demand of an entry is counted before it is used. Until then the entry counts
/// with the mean of the others.
const MIN_COUNTING_TIME: Duration = Duration::from_secs(1);

/// Time after the first report of an entry in which others are taken to have waited with it in the
/// entry's queue, which holds up to 16 reports while no control host can be reached.
const QUEUED_REPORT_TIME: Duration = Duration::from_millis(100);

/// Intervals between two reports of an entry without any after which it drops out.
const MAX_MISSED_REPORTS: u32 = 3;

/// Part of an equal share that every entry keeps.
const FLOOR_OF_EQUAL: f64 = 0.25;

/// Smallest share that a message can state.
const MIN_SHARE: f64 = 1e-3;

/// Demand of all entries, in milliseconds of group time per second, below which no shares are derived
/// from it: a thousandth of one group.
const MIN_TOTAL_RATE: f64 = 1.0;

/// Longest time between two reports, of any entries, that counts towards dropping out. When no entry
/// is heard, the fault is most likely on the leader's side.
const MAX_LISTENING_GAP: Duration = Duration::from_millis(500);

/// Demand of each entry for each model, and the shares that follow from it.
#[derive(Debug, Clone, Default)]
pub struct ShareTracker {
    /// Services whose capacity is shared by demand, sorted.
    services: Vec<ServiceName>,
    /// Position of each model in the rates of an entry.
    positions: SortedTable<(ServiceName, String), usize>,
    entries: SortedTable<NodeName, EntryDemand>,
    last_report_at: Option<TimePoint>,
    /// Time during which entries were heard.
    listened: Duration,
}

/// Demand of one entry.
#[derive(Debug, Clone)]
struct EntryDemand {
    first_report_at: TimePoint,
    last_report_at: TimePoint,
    /// Value of `listened` at the last report.
    heard_at: Duration,
    /// Smoothed demand for each model, in milliseconds of group time per second, from a start of
    /// zero.
    rates: Vec<f64>,
    /// Factor that removes the bias of that start; `None` while too little was counted.
    correction: Option<f64>,
}

/// Terms by which the capacity of one model is divided.
#[derive(Debug, Clone, Copy)]
struct ModelDivision {
    /// Smallest share of an entry.
    floor: f64,
    /// Share per unit of demand.
    scale: f64,
    /// Demand that an entry counts with until its own is known.
    usual_rate: f64,
}

impl ShareTracker {
    /// Sets the services whose capacity is shared by demand; without any, nothing is counted. A
    /// change restarts the counting.
    pub fn set_services(&mut self, mut services: Vec<ServiceName>) {
        services.sort_unstable();
        if services != self.services {
            *self = Self { services, ..Self::default() };
        }
    }

    /// Records the demand that `entry` counted since its previous report.
    pub fn take(&mut self, now: TimePoint, entry: &NodeName, demand: &[ModelDemand]) {
        if self.services.is_empty() {
            return;
        }
        let gap = now.since(self.last_report_at.replace(now).unwrap_or(now));
        self.listened += gap.min(MAX_LISTENING_GAP);
        let (listened, lifetime) = (self.listened, self.lifetime());
        let is_counted = |known: &&mut EntryDemand| {
            known.is_live(listened, lifetime)
                && now.since(known.first_report_at) >= QUEUED_REPORT_TIME
        };
        let Some(record) = self.entries.get_mut(entry).filter(is_counted) else {
            // The time that the first reports cover is not known, so their demand is left out.
            self.entries.insert(entry.clone(), EntryDemand::new(now, listened));
            return;
        };
        let gain = record.advance(now, listened);
        for demand in demand.iter().filter(|demand| demand.sum.work_ms.is_finite()) {
            if self.services.binary_search(&demand.service).is_err() {
                continue;
            }
            let next = self.positions.len();
            let key = (demand.service.clone(), demand.model.clone());
            let position = *self.positions.get_or_insert_with(key, || next);
            record.add(position, demand.sum.work_ms.max(0.0) * gain);
        }
    }

    /// Removes an entry that has left.
    pub fn forget(&mut self, entry: &NodeName) {
        self.entries.remove(entry);
    }

    /// Shares of `entry` in all models whose demand is known. For any other model an equal share
    /// applies.
    pub fn shares_of(&self, entry: &NodeName) -> Vec<DemandShare> {
        let Some(record) = self.entries.get(entry).filter(|record| self.is_live(record)) else {
            return Vec::new();
        };
        let share = |((service, model), position): (&(ServiceName, String), &usize)| {
            let division = self.division(*position)?;
            let permille = permille(division.share(record, *position));
            Some(DemandShare { service: service.clone(), model: model.clone(), permille })
        };
        self.positions.iter().filter_map(share).collect()
    }

    /// For each model, the number of entries and the lowest and highest share, as one line for the
    /// log; empty while equal shares apply.
    pub fn summary(&self) -> String {
        let describe = |((service, model), position): (&(ServiceName, String), &usize)| {
            let division = self.division(*position)?;
            let share = |(name, record)| (permille(division.share(record, *position)), name);
            let shares: Vec<(u16, &NodeName)> = self.live().map(share).collect();
            let (low, low_entry) = shares.iter().min()?;
            let (high, high_entry) = shares.iter().max()?;
            let entries = shares.len();
            Some(format!(
                "{service}/{model} {entries} entries, {low} permille at {low_entry} to {high} at \
                 {high_entry}"
            ))
        };
        self.positions.iter().filter_map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Time without a report after which an entry drops out. It keeps the last share it was given
    /// for its lifetime, so its part is not given away before.
    fn lifetime(&self) -> Duration {
        (report_interval(self.entries.len()) * MAX_MISSED_REPORTS).max(SHARE_LIFETIME)
    }

    fn is_live(&self, record: &EntryDemand) -> bool {
        record.is_live(self.listened, self.lifetime())
    }

    fn live(&self) -> impl Iterator<Item = (&NodeName, &EntryDemand)> {
        let (listened, lifetime) = (self.listened, self.lifetime());
        self.entries.iter().filter(move |(_, record)| record.is_live(listened, lifetime))
    }

    /// Terms for the model at `position`; `None` while its demand is not known.
    fn division(&self, position: usize) -> Option<ModelDivision> {
        let rates: Vec<Option<f64>> =
            self.live().map(|(_, record)| record.rate(position)).collect();
        let counted = rates.iter().flatten().count();
        if counted == 0 {
            return None;
        }
        let usual_rate = rates.iter().flatten().sum::<f64>() / counted as f64;
        let rates: Vec<f64> = rates.iter().map(|rate| rate.unwrap_or(usual_rate)).collect();
        let total: f64 = rates.iter().sum();
        if total < MIN_TOTAL_RATE {
            return None;
        }
        let equal = 1.0 / rates.len() as f64;
        let floor = (FLOOR_OF_EQUAL * equal).max(MIN_SHARE).min(equal);
        let scale = scale_above(floor, &rates, total);
        Some(ModelDivision { floor, scale, usual_rate })
    }
}

impl EntryDemand {
    fn new(now: TimePoint, listened: Duration) -> Self {
        Self {
            first_report_at: now,
            last_report_at: now,
            heard_at: listened,
            rates: Vec::new(),
            correction: None,
        }
    }

    /// Decays the rates up to `now` and returns the rate that one unit of demand since the previous
    /// report adds.
    fn advance(&mut self, now: TimePoint, listened: Duration) -> f64 {
        let span = now.since(self.last_report_at).as_secs_f64();
        self.last_report_at = now;
        self.heard_at = listened;
        let smoothing = SMOOTHING_TIME.as_secs_f64();
        let decay = (-span / smoothing).exp();
        let counted = now.since(self.first_report_at);
        self.correction = (counted >= MIN_COUNTING_TIME)
            .then(|| 1.0 / (1.0 - (-counted.as_secs_f64() / smoothing).exp()));
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
        // The limit for a span of zero: two reports of one moment.
        if span > 0.0 { (1.0 - decay) / span } else { 1.0 / smoothing }
    }

    fn add(&mut self, position: usize, rate: f64) {
        if self.rates.len() <= position {
            self.rates.resize(position + 1, 0.0);
        }
        self.rates[position] += rate;
    }

    fn is_live(&self, listened: Duration, lifetime: Duration) -> bool {
        listened.saturating_sub(self.heard_at) < lifetime
    }

    /// Demand for the model at `position`; `None` while too little was counted.
    fn rate(&self, position: usize) -> Option<f64> {
        let rate = self.rates.get(position).copied().unwrap_or(0.0);
        self.correction.map(|correction| rate * correction)
    }
}

impl ModelDivision {
    fn share(&self, record: &EntryDemand, position: usize) -> f64 {
        let rate = record.rate(position).unwrap_or(self.usual_rate);
        (rate * self.scale).max(self.floor)
    }
}

/// Share per unit of demand such that the shares, none below `floor`, sum to one.
fn scale_above(floor: f64, rates: &[f64], total: f64) -> f64 {
    let mut scale = 1.0 / total;
    let mut at_floor = 0;
    loop {
        let below = |rate: &&f64| **rate * scale < floor;
        let count = rates.iter().filter(below).count();
        // Raising some shares to the floor lowers the others, which may put more at the floor.
        // Rounding may lower the count again by a rate close to the floor.
        if count <= at_floor || count == rates.len() {
            return scale;
        }
        at_floor = count;
        let above: f64 = rates.iter().filter(|rate| **rate * scale >= floor).sum();
        scale = (1.0 - floor * count as f64) / above;
    }
}

fn permille(share: f64) -> u16 {
    (share * 1e3).round().clamp(0.0, 1e3) as u16
}

impl FleetDirector {
    /// Sets the services whose capacity is shared by demand.
    pub fn set_shared_services(&mut self, services: Vec<ServiceName>) {
        self.shares.set_services(services);
    }

    /// Shares of `entry` by demand, for the answer to its report.
    pub fn demand_shares(&self, entry: &NodeName) -> Vec<DemandShare> {
        self.shares.shares_of(entry)
    }

    /// Shares by demand as one line for the log; empty while equal shares apply.
    pub fn share_summary(&self) -> String {
        self.shares.summary()
    }
}
