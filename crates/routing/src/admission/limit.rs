//! Limits of one team under one rule, at one entry.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{RuleName, TeamName};

/// Time whose worth of rate may be used at once.
const BURST: Duration = Duration::from_millis(500);

/// Which limit a request falls under: each rule limits each of its teams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitKey {
    /// The rule that decided on admission.
    pub rule: RuleName,
    /// The team.
    pub team: TeamName,
}

/// Concurrency and rate of one team, as far as this entry may use them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    concurrency: Option<u32>,
    rate: Option<f64>,
    in_flight: u32,
    tokens: f64,
    filled_at: TimePoint,
}

impl TeamLimit {
    /// A limit that has not been used.
    pub fn new(now: TimePoint, concurrency: Option<u32>, rate: Option<f64>) -> Self {
        let tokens = rate.map_or(0.0, burst);
        Self { concurrency, rate, in_flight: 0, tokens, filled_at: now }
    }

    /// Changes what may be used, in the middle of things.
    pub fn set(&mut self, now: TimePoint, concurrency: Option<u32>, rate: Option<f64>) {
        self.refill(now);
        if self.rate.is_none() {
            self.tokens = rate.map_or(0.0, burst);
        }
        self.concurrency = concurrency;
        self.rate = rate;
        self.tokens = self.tokens.min(rate.map_or(0.0, burst));
    }

    /// Whether one more request may start now.
    pub fn has_room(&mut self, now: TimePoint) -> bool {
        self.refill(now);
        let by_count = self.concurrency.is_none_or(|most| self.in_flight < most);
        let by_rate = self.rate.is_none() || self.tokens >= 1.0;
        by_count && by_rate
    }

    /// Counts one request in.
    pub fn begin(&mut self) {
        self.in_flight += 1;
        if self.rate.is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Counts one request off; `ran` tells whether it used its share of the rate.
    pub fn end(&mut self, ran: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !ran && self.rate.is_some() {
            self.tokens += 1.0;
        }
    }

    /// Requests in flight under this limit.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether nothing would be lost by forgetting it.
    pub(super) fn is_idle(&mut self, now: TimePoint) -> bool {
        self.refill(now);
        self.in_flight == 0 && self.rate.is_none_or(|rate| self.tokens >= burst(rate))
    }

    /// Time in seconds until `ahead` others and then one more may have started.
    pub(super) fn wait(&mut self, now: TimePoint, ahead: f64, mean_time: Option<f64>) -> f64 {
        self.refill(now);
        let by_rate = self.rate.map_or(0.0, |rate| (ahead + 1.0 - self.tokens).max(0.0) / rate);
        let free = self.concurrency.map(|most| f64::from(most.saturating_sub(self.in_flight)));
        let by_count = match (self.concurrency, free, mean_time) {
            (Some(most), Some(free), Some(mean)) if ahead + 1.0 > free => {
                (ahead + 1.0 - free) * mean / f64::from(most.max(1))
            }
            _ => 0.0,
        };
        by_rate.max(by_count)
    }

    fn refill(&mut self, now: TimePoint) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        if let Some(rate) = self.rate {
            self.tokens = (self.tokens + rate * passed).min(burst(rate));
        }
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}
