//! Limits of one team under one rule, at one entry.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{RuleName, TeamName};

/// Time whose worth of rate may be used at once.
const BURST: Duration = Duration::from_millis(500);

/// Part of a new sample in the running rate of arrivals.
const ARRIVAL_WEIGHT: f64 = 0.3;

/// Time in which requests that wait should be let through by the rate that is asked for.
const BACKLOG: Duration = Duration::from_secs(2);

/// What is asked for over what could be used now, so that a rising load finds room.
const HEADROOM: f64 = 1.25;

/// Time after which an unused limit is forgotten.
const IDLE_AFTER: Duration = Duration::from_secs(60);

/// Expected wait while this entry holds no share: the next renewal brings one.
const GRANT_WAIT: Duration = Duration::from_millis(500);

/// Which limit a request falls under: each rule limits each of its teams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitKey {
    /// The rule that decided on admission.
    pub rule: RuleName,
    /// The team.
    pub team: TeamName,
}

/// What one entry could use of a limit and what it holds; rates in thousandths per second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitUse {
    /// Which limit.
    pub key: LimitKey,
    /// Requests in flight that it could use.
    pub running_demand: u64,
    /// Requests in flight that it may have.
    pub running_held: u64,
    /// Requests in flight that it has.
    pub in_flight: u64,
    /// Rate that it could use.
    pub rate_demand: u64,
    /// Rate that it may use.
    pub rate_held: u64,
}

/// Concurrency and rate of one team, as far as this entry may use them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    concurrency: Option<u32>,
    rate: Option<f64>,
    /// When the share runs out; never when absent.
    until: Option<TimePoint>,
    in_flight: u32,
    tokens: f64,
    filled_at: TimePoint,
    arrived: u32,
    arrival_rate: f64,
    counted_at: TimePoint,
    used_at: TimePoint,
    /// Whether the last renewal told of a share.
    told_share: bool,
}

impl TeamLimit {
    /// A limit of which this entry may use the given part.
    pub fn new(now: TimePoint, concurrency: Option<u32>, rate: Option<f64>) -> Self {
        Self {
            concurrency,
            rate,
            until: None,
            in_flight: 0,
            tokens: rate.map_or(0.0, burst),
            filled_at: now,
            arrived: 0,
            arrival_rate: 0.0,
            counted_at: now,
            used_at: now,
            told_share: false,
        }
    }

    /// Changes what may be used, in the middle of things, and until when.
    pub fn set(
        &mut self,
        now: TimePoint,
        concurrency: Option<u32>,
        rate: Option<f64>,
        until: Option<TimePoint>,
    ) {
        self.refill(now);
        let held_none = self.rate.is_none_or(|rate| rate <= 0.0);
        if held_none {
            self.tokens = rate.map_or(0.0, burst);
        }
        self.concurrency = concurrency;
        self.rate = rate;
        self.until = until;
        self.tokens = self.tokens.min(rate.map_or(0.0, burst));
    }

    /// Whether an answer to the last renewal may still be taken.
    ///
    /// When the share that was told of has run out meanwhile, another entry may have it by now.
    pub(super) fn takes_grant(&self, now: TimePoint) -> bool {
        !self.told_share || self.is_valid(now)
    }

    /// Notes that a request came under this limit.
    pub(super) fn arrive(&mut self, now: TimePoint) {
        self.arrived = self.arrived.saturating_add(1);
        self.used_at = now;
    }

    /// Whether one more request may start now.
    pub fn has_room(&mut self, now: TimePoint) -> bool {
        self.refill(now);
        let by_count = self.concurrency.is_none_or(|most| self.in_flight < most);
        let by_rate = self.rate.is_none_or(|rate| rate > 0.0 && self.tokens >= 1.0);
        self.is_valid(now) && by_count && by_rate
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

    /// What could be used and what is held, with `waiting` requests under this limit.
    pub(super) fn usage(&mut self, now: TimePoint, key: &LimitKey, waiting: u32) -> LimitUse {
        let passed = now.since(self.counted_at).as_secs_f64();
        if passed > 0.0 {
            let sample = f64::from(std::mem::take(&mut self.arrived)) / passed;
            self.arrival_rate += ARRIVAL_WEIGHT * (sample - self.arrival_rate);
            self.counted_at = now;
        }
        let valid = self.is_valid(now);
        self.told_share = valid && self.until.is_some();
        let wanted = f64::from(self.in_flight + waiting);
        let rate = self.arrival_rate + f64::from(waiting) / BACKLOG.as_secs_f64();
        let share = if valid { self.concurrency.unwrap_or(0) } else { 0 };
        let rate_share = if valid { self.rate.unwrap_or(0.0) } else { 0.0 };
        LimitUse {
            key: key.clone(),
            running_demand: whole_units(HEADROOM * wanted),
            running_held: u64::from(share),
            in_flight: u64::from(self.in_flight),
            rate_demand: whole_units(HEADROOM * rate * 1000.0),
            rate_held: whole_units(rate_share * 1000.0),
        }
    }

    /// Whether nothing would be lost by forgetting it.
    pub(super) fn is_idle(&self, now: TimePoint) -> bool {
        self.in_flight == 0 && now.since(self.used_at) > IDLE_AFTER
    }

    /// Time in seconds until `ahead` others and then one more may have started.
    pub(super) fn wait(&mut self, now: TimePoint, ahead: f64, mean_time: Option<f64>) -> f64 {
        self.refill(now);
        if !self.is_valid(now) || self.concurrency == Some(0) || self.rate == Some(0.0) {
            return GRANT_WAIT.as_secs_f64();
        }
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

    fn is_valid(&self, now: TimePoint) -> bool {
        self.until.is_none_or(|until| now < until)
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

fn whole_units(amount: f64) -> u64 {
    amount.ceil() as u64
}
