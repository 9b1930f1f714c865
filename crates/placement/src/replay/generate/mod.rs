//! Generated traces; the same seed gives the same trace.
//!
//! Half of the restarts are agent restarts that take seconds and keep the weights, half are host
//! restarts that take minutes and lose them. The planner does not know these shares.

mod shape;
mod small;

pub use shape::TraceShape;
pub use small::generate_small_trace;

use briartray_model::names::{DomainName, HostName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::shape::FleetShape;
use super::trace::{HostTrace, TraceEvent, TraceHeader, TraceLine, WeightState};

const SECOND_MS: f64 = 1000.0;
const MINUTE_MS: f64 = 60.0 * SECOND_MS;
const HOUR_MS: f64 = 60.0 * MINUTE_MS;
const DAY_MS: f64 = 24.0 * HOUR_MS;

/// Time at which all hosts have announced themselves and measuring begins, in milliseconds.
const WARM_UP_MS: u64 = 600_000;

/// Share of single losses that are followed by another in the same fabric domain within minutes.
const SECOND_LOSS_SHARE: f64 = 0.1;

/// Generates a trace of `shape` from `seed`.
pub fn generate_trace(shape: TraceShape, seed: u64) -> HostTrace {
    let fleet = FleetShape::of(shape);
    let mut builder = TraceBuilder::new(&fleet, seed);
    builder.add_hosts();
    builder.single_losses();
    builder.planned_stops();
    builder.domain_losses();
    builder.zone_losses();
    builder.migrations();
    let end_ms = WARM_UP_MS + (fleet.days * DAY_MS) as u64;
    let mut lines = builder.lines;
    lines.retain(|line| line.at_ms < end_ms);
    lines.sort_by_key(|line| line.at_ms);
    let header = TraceHeader {
        trace: format!("{shape:?}, seed {seed}").to_lowercase(),
        end_ms,
        measure_from_ms: WARM_UP_MS,
        load_ms: fleet.load_ms,
        // Loads are not limited until measuring begins.
        parallel_loads: 0,
        rules: fleet.rules(0),
    };
    HostTrace { header, lines }
}

/// State of the generation of a trace.
struct TraceBuilder<'a> {
    fleet: &'a FleetShape,
    random: ChaCha8Rng,
    /// Hosts with the number of their fabric domain.
    hosts: Vec<(u32, HostName)>,
    /// Time until which an earlier event affects each host, in milliseconds; by index in `hosts`.
    busy_until_ms: Vec<f64>,
    lines: Vec<TraceLine>,
}

impl<'a> TraceBuilder<'a> {
    fn new(fleet: &'a FleetShape, seed: u64) -> Self {
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            busy_until_ms: Vec::new(),
            lines: Vec::new(),
        }
    }

    fn push_event(&mut self, at: f64, event: TraceEvent) {
        self.lines.push(TraceLine { at_ms: at.max(0.0) as u64, event });
    }

    fn add_hosts(&mut self) {
        for (domain, event) in self.fleet.hosts() {
            if let TraceEvent::Arrive { host, .. } = &event {
                self.hosts.push((domain, host.clone()));
                self.busy_until_ms.push(0.0);
            }
            self.push_event(0.0, event);
        }
        let parallel_loads = self.fleet.parallel_loads;
        let end = WARM_UP_MS as f64 - 1.0;
        self.push_event(end, TraceEvent::WeightStore { parallel_loads });
        self.push_event(end, TraceEvent::Rules { rules: self.fleet.rules(parallel_loads) });
    }

    /// A random time after the warm-up, in milliseconds.
    fn random_time(&mut self) -> f64 {
        WARM_UP_MS as f64 + self.random.random_range(0.0..self.fleet.days * DAY_MS)
    }

    /// A time between `low` and `high`, drawn from the log-uniform distribution.
    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        self.random.random_range(low.ln()..high.ln()).exp()
    }

    /// Number of events over the trace, at `rate` events per host and day.
    fn event_count(&self, rate: f64) -> usize {
        (rate * self.fleet.days * self.hosts.len() as f64).round() as usize
    }

    fn single_losses(&mut self) {
        let (restarts, failures) =
            (self.event_count(self.fleet.restart_rate), self.event_count(self.fleet.failure_rate));
        for number in 0..restarts + failures {
            let at = self.random_time();
            let index = self.random.random_range(0..self.hosts.len());
            let permanent = number >= restarts;
            self.lose_host(at, index, permanent);
            if self.random.random_bool(SECOND_LOSS_SHARE) {
                let again = at + self.random.random_range(20.0 * SECOND_MS..4.0 * MINUTE_MS);
                let other = self.neighbour(index);
                self.lose_host(again, other, false);
            }
        }
    }

    /// Another host of the same fabric domain, near in the list; the host itself if there is none.
    fn neighbour(&mut self, index: usize) -> usize {
        let domain = self.hosts[index].0;
        let near: Vec<usize> = (index.saturating_sub(20)..self.hosts.len().min(index + 20))
            .filter(|other| *other != index && self.hosts[*other].0 == domain)
            .collect();
        if near.is_empty() { index } else { near[self.random.random_range(0..near.len())] }
    }

    fn lose_host(&mut self, at: f64, index: usize, permanent: bool) {
        if at < self.busy_until_ms[index] {
            return;
        }
        let (absence_ms, weights) = if permanent {
            (self.random.random_range(4.0 * HOUR_MS..24.0 * HOUR_MS), WeightState::Lost)
        } else if self.random.random_bool(0.5) {
            (self.log_uniform(3.0 * SECOND_MS, 30.0 * SECOND_MS), WeightState::Kept)
        } else {
            (self.log_uniform(90.0 * SECOND_MS, 8.0 * MINUTE_MS), WeightState::Lost)
        };
        self.busy_until_ms[index] = at + absence_ms + MINUTE_MS;
        let host = self.hosts[index].1.clone();
        self.push_event(at, TraceEvent::Lost { host: host.clone() });
        self.push_event(at + absence_ms, TraceEvent::Back { host, weights });
    }

    fn planned_stops(&mut self) {
        for _ in 0..self.event_count(self.fleet.stop_rate) {
            let at = self.random_time();
            let index = self.random.random_range(0..self.hosts.len());
            if at < self.busy_until_ms[index] {
                continue;
            }
            let notice_ms = self.random.random_range(5.0 * MINUTE_MS..15.0 * MINUTE_MS);
            let absence_ms = self.random.random_range(20.0 * MINUTE_MS..HOUR_MS);
            self.busy_until_ms[index] = at + notice_ms + absence_ms + MINUTE_MS;
            let host = self.hosts[index].1.clone();
            self.push_event(at, TraceEvent::Leaving { host: host.clone() });
            self.push_event(at + notice_ms, TraceEvent::Lost { host: host.clone() });
            let weights = WeightState::Lost;
            self.push_event(at + notice_ms + absence_ms, TraceEvent::Back { host, weights });
        }
    }

    fn domain_losses(&mut self) {
        let domains = self.fleet.zones * self.fleet.domains_per_zone;
        let losses = self.fleet.switches + self.fleet.power_cuts;
        for number in 0..losses {
            let at = self.random_time();
            // The first domains are reserved for migrations.
            let domain = self.random.random_range(self.fleet.migrations..domains);
            let switch = number < self.fleet.switches;
            let (absence_ms, weights) = if switch {
                (self.random.random_range(30.0 * SECOND_MS..3.0 * MINUTE_MS), WeightState::Kept)
            } else {
                (self.random.random_range(10.0 * MINUTE_MS..30.0 * MINUTE_MS), WeightState::Lost)
            };
            self.lose_domain(at, domain, absence_ms, weights);
        }
    }

    fn lose_domain(&mut self, at: f64, domain: u32, absence_ms: f64, weights: WeightState) {
        let domain = DomainName::new(&format!("old-{domain:03}"));
        self.push_event(at, TraceEvent::DomainDark { domain: domain.clone() });
        let spread_ms = 20_000;
        self.push_event(at + absence_ms, TraceEvent::DomainBack { domain, weights, spread_ms });
    }

    fn zone_losses(&mut self) {
        for _ in 0..self.fleet.zone_losses {
            let at = self.random_time();
            let zone = self.random.random_range(0..self.fleet.zones);
            let absence_ms = self.random.random_range(5.0 * MINUTE_MS..15.0 * MINUTE_MS);
            for index in 0..self.fleet.domains_per_zone {
                let domain = zone + index * self.fleet.zones;
                self.lose_domain(at, domain, absence_ms, WeightState::Lost);
            }
        }
    }

    /// Moves the first domains to another provider.
    ///
    /// The new hosts arrive over an hour, then the old ones announce to leave. They disappear one
    /// by one between 30 and 90 minutes later.
    fn migrations(&mut self) {
        for domain in 0..self.fleet.migrations {
            let at = WARM_UP_MS as f64
                + (f64::from(domain) + 0.5) * self.fleet.days * DAY_MS
                    / f64::from(self.fleet.migrations);
            self.arrivals(at, domain);
            let old: Vec<usize> =
                (0..self.hosts.len()).filter(|index| self.hosts[*index].0 == domain).collect();
            for index in old {
                let host = self.hosts[index].1.clone();
                let lost_at = at + self.random.random_range(1.5 * HOUR_MS..2.5 * HOUR_MS);
                self.push_event(at + HOUR_MS, TraceEvent::Leaving { host: host.clone() });
                self.push_event(lost_at, TraceEvent::Lost { host });
                // Later events of the host are removed.
                let name = &self.hosts[index].1;
                self.lines.retain(|line| {
                    (line.at_ms as f64) <= lost_at || !affects_host(&line.event, name)
                });
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
                let when = at + self.random.random_range(0.0..HOUR_MS);
                self.push_event(when, event);
            }
        }
    }
}

fn affects_host(event: &TraceEvent, name: &HostName) -> bool {
    match event {
        TraceEvent::Lost { host }
        | TraceEvent::Back { host, .. }
        | TraceEvent::Leaving { host } => host == name,
        _ => false,
    }
}
