//! Traces from a seed: the same seed gives the same trace.
//!
//! Half of the restarts are agents that come back within seconds with their weights, half are
//! hosts that take minutes and lose them; the shares are the generator's, not the planner's.

mod shape;
mod small;

pub use shape::TraceShape;
pub use small::generate_small_trace;

use briartray_model::names::{DomainName, HostName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::shape::FleetShape;
use super::trace::{HostTrace, TraceEvent, TraceHeader, TraceLine, WeightState};

const SECOND: f64 = 1000.0;
const MINUTE: f64 = 60.0 * SECOND;
const HOUR: f64 = 60.0 * MINUTE;
const DAY: f64 = 24.0 * HOUR;

/// Every host has announced itself by then, and measuring begins.
const WARM_UP_MS: u64 = 600_000;

/// Share of single losses that another loss in the same fabric domain follows within minutes.
const SECOND_LOSS: f64 = 0.1;

/// Makes a trace of `shape` from `seed`.
pub fn generate_trace(shape: TraceShape, seed: u64) -> HostTrace {
    let fleet = FleetShape::of(shape);
    let mut writer = TraceWriter::new(&fleet, seed);
    writer.warm_up();
    writer.single_losses();
    writer.planned_stops();
    writer.domain_losses();
    writer.zone_losses();
    writer.migrations();
    let end_ms = WARM_UP_MS + (fleet.days * DAY) as u64;
    let mut lines = writer.lines;
    lines.retain(|line| line.at_ms < end_ms);
    lines.sort_by_key(|line| line.at_ms);
    let header = TraceHeader {
        trace: format!("{shape:?}, seed {seed}").to_lowercase(),
        end_ms,
        measure_from_ms: WARM_UP_MS,
        load_ms: fleet.load_ms,
        // Loads before measuring begins are free.
        parallel_loads: 0,
        rules: fleet.rules(0),
    };
    HostTrace { header, lines }
}

struct TraceWriter<'a> {
    fleet: &'a FleetShape,
    random: ChaCha8Rng,
    hosts: Vec<(u32, HostName)>,
    /// Until when each host is taken up with an earlier event, in milliseconds.
    busy: Vec<f64>,
    lines: Vec<TraceLine>,
}

impl<'a> TraceWriter<'a> {
    fn new(fleet: &'a FleetShape, seed: u64) -> Self {
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            busy: Vec::new(),
            lines: Vec::new(),
        }
    }

    fn write(&mut self, at: f64, event: TraceEvent) {
        self.lines.push(TraceLine { at_ms: at.max(0.0) as u64, event });
    }

    fn warm_up(&mut self) {
        for (domain, event) in self.fleet.hosts() {
            if let TraceEvent::Arrive { host, .. } = &event {
                self.hosts.push((domain, host.clone()));
                self.busy.push(0.0);
            }
            self.write(0.0, event);
        }
        let parallel_loads = self.fleet.parallel_loads;
        let end = WARM_UP_MS as f64 - 1.0;
        self.write(end, TraceEvent::WeightStore { parallel_loads });
        self.write(end, TraceEvent::Rules { rules: self.fleet.rules(parallel_loads) });
    }

    fn start(&mut self) -> f64 {
        WARM_UP_MS as f64 + self.random.random_range(0.0..self.fleet.days * DAY)
    }

    /// A time between `low` and `high` with every order of magnitude equally likely.
    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        self.random.random_range(low.ln()..high.ln()).exp()
    }

    fn count(&self, rate: f64) -> usize {
        (rate * self.fleet.days * self.hosts.len() as f64).round() as usize
    }

    fn single_losses(&mut self) {
        let (restarts, failures) =
            (self.count(self.fleet.restart_rate), self.count(self.fleet.failure_rate));
        for number in 0..restarts + failures {
            let at = self.start();
            let index = self.random.random_range(0..self.hosts.len());
            let gone = number >= restarts;
            self.lose_one(at, index, gone);
            if self.random.random_bool(SECOND_LOSS) {
                let again = at + self.random.random_range(20.0 * SECOND..4.0 * MINUTE);
                let other = self.neighbour(index);
                self.lose_one(again, other, false);
            }
        }
    }

    fn neighbour(&mut self, index: usize) -> usize {
        let domain = self.hosts[index].0;
        let near: Vec<usize> = (index.saturating_sub(20)..self.hosts.len().min(index + 20))
            .filter(|other| *other != index && self.hosts[*other].0 == domain)
            .collect();
        if near.is_empty() { index } else { near[self.random.random_range(0..near.len())] }
    }

    fn lose_one(&mut self, at: f64, index: usize, gone: bool) {
        if at < self.busy[index] {
            return;
        }
        let (away, weights) = if gone {
            (self.random.random_range(4.0 * HOUR..24.0 * HOUR), WeightState::Lost)
        } else if self.random.random_bool(0.5) {
            (self.log_uniform(3.0 * SECOND, 30.0 * SECOND), WeightState::Kept)
        } else {
            (self.log_uniform(90.0 * SECOND, 8.0 * MINUTE), WeightState::Lost)
        };
        self.busy[index] = at + away + MINUTE;
        let host = self.hosts[index].1.clone();
        self.write(at, TraceEvent::Lost { host: host.clone() });
        self.write(at + away, TraceEvent::Back { host, weights });
    }

    fn planned_stops(&mut self) {
        for _ in 0..self.count(self.fleet.stop_rate) {
            let at = self.start();
            let index = self.random.random_range(0..self.hosts.len());
            if at < self.busy[index] {
                continue;
            }
            let notice = self.random.random_range(5.0 * MINUTE..15.0 * MINUTE);
            let away = self.random.random_range(20.0 * MINUTE..HOUR);
            self.busy[index] = at + notice + away + MINUTE;
            let host = self.hosts[index].1.clone();
            self.write(at, TraceEvent::Leaving { host: host.clone() });
            self.write(at + notice, TraceEvent::Lost { host: host.clone() });
            let weights = WeightState::Lost;
            self.write(at + notice + away, TraceEvent::Back { host, weights });
        }
    }

    fn domain_losses(&mut self) {
        let domains = self.fleet.zones * self.fleet.domains_per_zone;
        let losses = self.fleet.switches + self.fleet.power_cuts;
        for number in 0..losses {
            let at = self.start();
            // The first domains are left to migrations.
            let domain = self.random.random_range(self.fleet.migrations..domains);
            let switch = number < self.fleet.switches;
            let (away, weights) = if switch {
                (self.random.random_range(30.0 * SECOND..3.0 * MINUTE), WeightState::Kept)
            } else {
                (self.random.random_range(10.0 * MINUTE..30.0 * MINUTE), WeightState::Lost)
            };
            self.lose_domain(at, domain, away, weights);
        }
    }

    fn lose_domain(&mut self, at: f64, domain: u32, away: f64, weights: WeightState) {
        let domain = DomainName::new(&format!("old-{domain:03}"));
        self.write(at, TraceEvent::DomainDark { domain: domain.clone() });
        let spread_ms = 20_000;
        self.write(at + away, TraceEvent::DomainBack { domain, weights, spread_ms });
    }

    fn zone_losses(&mut self) {
        for _ in 0..self.fleet.zone_losses {
            let at = self.start();
            let zone = self.random.random_range(0..self.fleet.zones);
            let away = self.random.random_range(5.0 * MINUTE..15.0 * MINUTE);
            for index in 0..self.fleet.domains_per_zone {
                let domain = zone + index * self.fleet.zones;
                self.lose_domain(at, domain, away, WeightState::Lost);
            }
        }
    }

    /// Moves the first domains to another provider: its hosts arrive over an hour, the old ones
    /// are marked as leaving, and they go one by one over the hour after that.
    fn migrations(&mut self) {
        for domain in 0..self.fleet.migrations {
            let at = WARM_UP_MS as f64
                + (f64::from(domain) + 0.5) * self.fleet.days * DAY
                    / f64::from(self.fleet.migrations);
            self.arrivals(at, domain);
            let old: Vec<usize> =
                (0..self.hosts.len()).filter(|index| self.hosts[*index].0 == domain).collect();
            for index in old {
                let host = self.hosts[index].1.clone();
                let gone = at + self.random.random_range(1.5 * HOUR..2.5 * HOUR);
                self.write(at + HOUR, TraceEvent::Leaving { host: host.clone() });
                self.write(gone, TraceEvent::Lost { host });
                // Whatever else was to befall the host after that does not happen.
                let name = &self.hosts[index].1;
                self.lines
                    .retain(|line| (line.at_ms as f64) <= gone || !concerns(&line.event, name));
            }
        }
    }

    fn arrivals(&mut self, at: f64, domain: u32) {
        let domains = self.fleet.zones * self.fleet.domains_per_zone;
        let services = self.fleet.services.clone();
        for service in &services {
            let groups =
                service.replicas / domains + u32::from(domain < service.replicas % domains);
            for number in 0..groups * service.hosts {
                let event = self.fleet.host(service, domain, number, "new");
                let when = at + self.random.random_range(0.0..HOUR);
                self.write(when, event);
            }
        }
    }
}

fn concerns(event: &TraceEvent, name: &HostName) -> bool {
    match event {
        TraceEvent::Lost { host }
        | TraceEvent::Back { host, .. }
        | TraceEvent::Leaving { host } => host == name,
        _ => false,
    }
}
