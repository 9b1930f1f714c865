//! Limits of one team under one rule at one entry.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{RuleName, TeamName};

/// Size of the token bucket, as the time in which the rate fills it.
const BURST_DURATION: Duration = Duration::from_millis(500);

/// Weight of a new sample in the moving average of the arrival rate.
const ARRIVAL_WEIGHT: f64 = 0.3;

/// Time in which the demanded rate is to drain the queue of waiting requests.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Ratio of the demand to the current use, so that an entry under rising load has room to grow.
const DEMAND_HEADROOM: f64 = 1.25;

/// Time after which an unused limit is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Expected wait while this entry holds no share. The next renewal is expected to grant one.
const GRANT_WAIT: Duration = Duration::from_millis(500);

/// Identifies a limit: each rule limits each of its teams separately.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitKey {
    /// Rule that decided on admission.
    pub rule: RuleName,
    /// Team of the caller.
    pub team: TeamName,
}

/// Demand and held share of one limit at one entry. Rates are in thousandths of a request per
/// second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitUsage {
    /// The limit.
    pub key: LimitKey,
    /// Concurrent requests that the entry could use.
    pub running_demand: u64,
    /// Concurrent requests that the entry may have.
    pub running_held: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Rate that the entry could use.
    pub rate_demand: u64,
    /// Rate that the entry may use.
    pub rate_held: u64,
}

/// Concurrency limit and token bucket of one team, as far as this entry may use them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    concurrency: Option<u32>,
    rate: Option<f64>,
    /// End of the share's lease; `None` if it does not expire.
    expires_at: Option<TimePoint>,
    in_flight: u32,
    tokens: f64,
    refilled_at: TimePoint,
    arrivals: u32,
    arrival_rate: f64,
    sampled_at: TimePoint,
    used_at: TimePoint,
    /// Whether the last renewal reported a share as held.
    reported_share: bool,
}

impl TeamLimit {
    /// Creates a limit with the part that this entry may use; `rate` is in requests per second.
    pub fn new(now: TimePoint, concurrency: Option<u32>, rate: Option<f64>) -> Self {
        Self {
            concurrency,
            rate,
            expires_at: None,
            in_flight: 0,
            tokens: rate.map_or(0.0, burst),
            refilled_at: now,
            arrivals: 0,
            arrival_rate: 0.0,
            sampled_at: now,
            used_at: now,
            reported_share: false,
        }
    }

    /// Changes the part that this entry may use and its expiry, also while requests are in flight.
    pub fn set(
        &mut self,
        now: TimePoint,
        concurrency: Option<u32>,
        rate: Option<f64>,
        expires_at: Option<TimePoint>,
    ) {
        self.refill(now);
        let had_no_rate = self.rate.is_none_or(|rate| rate <= 0.0);
        if had_no_rate {
            self.tokens = rate.map_or(0.0, burst);
        }
        self.concurrency = concurrency;
        self.rate = rate;
        self.expires_at = expires_at;
        self.tokens = self.tokens.min(rate.map_or(0.0, burst));
    }

    /// Whether a grant in reply to the last renewal may still be applied.
    ///
    /// If the share that the renewal reported has expired since, another entry may hold it by now.
    pub(super) fn accepts_grant(&self, now: TimePoint) -> bool {
        !self.reported_share || self.is_valid(now)
    }

    /// Counts the arrival of a request.
    pub(super) fn count_arrival(&mut self, now: TimePoint) {
        self.arrivals = self.arrivals.saturating_add(1);
        self.used_at = now;
    }

    /// Whether one more request may start now.
    pub fn has_room(&mut self, now: TimePoint) -> bool {
        self.refill(now);
        let by_count = self.concurrency.is_none_or(|max_running| self.in_flight < max_running);
        let by_rate = self.rate.is_none_or(|rate| rate > 0.0 && self.tokens >= 1.0);
        self.is_valid(now) && by_count && by_rate
    }

    /// Counts the start of a request and takes its token.
    pub fn begin(&mut self) {
        self.in_flight += 1;
        if self.rate.is_some() {
            self.tokens -= 1.0;
        }
    }

    /// Counts the end of a request; returns its token if `ran` is false.
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

    /// Returns demand and held share, with `waiting` requests in the queue. Updates the arrival
    /// rate.
    pub(super) fn usage(&mut self, now: TimePoint, key: &LimitKey, waiting: u32) -> LimitUsage {
        let elapsed = now.since(self.sampled_at).as_secs_f64();
        if elapsed > 0.0 {
            let sample = f64::from(std::mem::take(&mut self.arrivals)) / elapsed;
            self.arrival_rate += ARRIVAL_WEIGHT * (sample - self.arrival_rate);
            self.sampled_at = now;
        }
        let valid = self.is_valid(now);
        self.reported_share = valid && self.expires_at.is_some();
        let wanted = f64::from(self.in_flight + waiting);
        let rate = self.arrival_rate + f64::from(waiting) / BACKLOG_DRAIN_TIME.as_secs_f64();
        let share = if valid { self.concurrency.unwrap_or(0) } else { 0 };
        let rate_share = if valid { self.rate.unwrap_or(0.0) } else { 0.0 };
        LimitUsage {
            key: key.clone(),
            running_demand: whole_units(DEMAND_HEADROOM * wanted),
            running_held: u64::from(share),
            in_flight: u64::from(self.in_flight),
            rate_demand: whole_units(DEMAND_HEADROOM * rate * 1000.0),
            rate_held: whole_units(rate_share * 1000.0),
        }
    }

    /// Whether the limit can be removed without losing state.
    pub(super) fn is_idle(&self, now: TimePoint) -> bool {
        self.in_flight == 0 && now.since(self.used_at) > IDLE_TIMEOUT
    }

    /// Estimated time in seconds until one more request may start after `ahead` others.
    pub(super) fn expected_wait(
        &mut self,
        now: TimePoint,
        ahead: f64,
        mean_time: Option<f64>,
    ) -> f64 {
        self.refill(now);
        if !self.is_valid(now) || self.concurrency == Some(0) || self.rate == Some(0.0) {
            return GRANT_WAIT.as_secs_f64();
        }
        let by_rate = self.rate.map_or(0.0, |rate| (ahead + 1.0 - self.tokens).max(0.0) / rate);
        let free = self
            .concurrency
            .map(|max_running| f64::from(max_running.saturating_sub(self.in_flight)));
        let by_count = match (self.concurrency, free, mean_time) {
            (Some(max_running), Some(free), Some(mean)) if ahead + 1.0 > free => {
                (ahead + 1.0 - free) * mean / f64::from(max_running.max(1))
            }
            _ => 0.0,
        };
        by_rate.max(by_count)
    }

    fn is_valid(&self, now: TimePoint) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if let Some(rate) = self.rate {
            self.tokens = (self.tokens + rate * elapsed).min(burst(rate));
        }
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_DURATION.as_secs_f64()).max(1.0)
}

fn whole_units(amount: f64) -> u64 {
    amount.ceil() as u64
}
