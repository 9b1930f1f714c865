//! Rate limits of endpoints as one entry knows and enforces them.

use std::time::Duration;

use briartray_model::names::IncarnationId;
use briartray_model::{SortedTable, TimePoint};

use super::terms::lower_rate;
use super::{
    AdvertisedLimit, BUCKET_CAPACITY_REQUESTS, COLD_BUCKET_CAPACITY_REQUESTS, EndpointGrant,
    EndpointRate, LIMIT_REPORTED_FOR, LimitHeader, LimitReport, SHARE_LEASE, SURPLUS_FROM_REQUESTS,
};

/// Limit on endpoints in one report.
const MAX_REPORTED_ENDPOINTS: usize = 64;

/// Time for which an endpoint still counts as cold if the view of a new leader does not say so. One
/// and a half heartbeats: the new leader may not have heard from the endpoint yet.
const COLD_WITH_NEW_LEADER: Duration = Duration::from_millis(2_000);

/// Time constant of the exponential smoothing of demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Demand below this rate, in requests per second, counts as none.
const MIN_DEMAND_PER_SECOND: f64 = 0.05;

/// Shortest time between two reports from which a rate is computed.
const MIN_REPORT_SPAN: Duration = Duration::from_millis(1);

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermit {
    /// The endpoint has no limit.
    Unlimited,
    /// The limit allows a request.
    Allowed,
    /// The limit allows a request, and the token bucket is nearly full: a token that is not used
    /// now is lost.
    Surplus,
    /// The limit allows no request now.
    Denied {
        /// Estimated time until it allows one.
        wait: Duration,
    },
}

/// What an entry knows of one endpoint that advertises a limit, or did so recently.
#[derive(Debug, Clone)]
struct LimitState {
    /// Limit in the latest answer to this entry, and when it arrived.
    heard: Option<(AdvertisedLimit, TimePoint)>,
    /// Limit that the endpoint advertises.
    limit: Option<EndpointRate>,
    /// Rate that it accepts while it is cold.
    cold: Option<EndpointRate>,
    /// End of the cold period if the view of a new leader does not list the endpoint.
    cold_until: Option<TimePoint>,
    share: EndpointRate,
    /// When the share expires.
    share_until: TimePoint,
    /// Tokens in the bucket at `tokens_at`.
    tokens: f64,
    tokens_at: TimePoint,
    /// Requests since the last report that could have gone to the endpoint.
    wanted: u32,
    /// Smoothed demand, in requests per second.
    demand: f64,
    /// Share that the last report named.
    reported_share: EndpointRate,
    /// Whether a request could have gone to it since it became cold.
    wanted_while_cold: bool,
}

/// The latest report, whose answer may bring shares.
#[derive(Debug, Clone, Copy)]
struct LastReport {
    nonce: u64,
    sent_at: TimePoint,
}

/// All limits that an entry knows of.
#[derive(Debug, Clone, Default)]
pub struct EntryLimits {
    endpoints: SortedTable<IncarnationId, LimitState>,
    last_report: Option<LastReport>,
}

impl EntryLimits {
    /// Processes the limit header of an answer from `endpoint`. Returns whether to report it to the
    /// leader at once.
    pub fn record_header(
        &mut self,
        now: TimePoint,
        endpoint: &IncarnationId,
        header: LimitHeader,
    ) -> bool {
        let LimitHeader::Advertised(named) = header else { return false };
        let rate = match named {
            AdvertisedLimit::Open if !self.endpoints.contains_key(endpoint) => return false,
            AdvertisedLimit::Open => None,
            AdvertisedLimit::Rate(rate) => Some(rate),
        };
        let fresh = || LimitState::new(now);
        let known = self.endpoints.get_or_insert_with(endpoint.clone(), fresh);
        known.heard = Some((named, now));
        std::mem::replace(&mut known.limit, rate).is_some() != rate.is_some()
    }

    /// Whether a request may be sent to `endpoint` now.
    pub fn permit(&self, now: TimePoint, endpoint: &IncarnationId) -> SendPermit {
        let limited = self.endpoints.get(endpoint).filter(|known| known.rate(now).is_some());
        limited.map_or(SendPermit::Unlimited, |known| known.permit(now))
    }

    /// Sets the cold endpoints of a fleet view, each with the rate that it accepts from all entries
    /// together. The first view of a new leader (`new_leader`) may lack endpoints that the leader
    /// has not heard from yet.
    pub fn set_cold(
        &mut self,
        now: TimePoint,
        cold: &SortedTable<IncarnationId, EndpointRate>,
        new_leader: bool,
    ) {
        for (endpoint, known) in self.endpoints.iter_mut() {
            if known.cold.is_none() || cold.contains_key(endpoint) {
                continue;
            }
            if new_leader {
                known.cold_until = Some(now.after(COLD_WITH_NEW_LEADER));
            }
            known.cold = known.cold.filter(|_| known.cold_until.is_some_and(|until| now < until));
        }
        for (endpoint, rate) in cold.iter() {
            let fresh = || LimitState::new(now);
            let known = self.endpoints.get_or_insert_with(endpoint.clone(), fresh);
            known.wanted_while_cold &= known.cold.is_some();
            known.cold = Some(*rate);
            known.cold_until = None;
        }
    }

    /// Records that a request could go to `endpoint`, whether or not the limit allows it. Returns
    /// whether to report to the leader at once.
    pub fn record_demand(&mut self, endpoint: &IncarnationId) -> bool {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return false };
        known.wanted = known.wanted.saturating_add(1);
        let first = known.cold.is_some() && !std::mem::replace(&mut known.wanted_while_cold, true);
        first && known.reported_share.0 == 0
    }

    /// Takes a token for a request that is sent to `endpoint`.
    pub fn send(&mut self, now: TimePoint, endpoint: &IncarnationId) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.refill(now);
            known.tokens = (known.tokens - 1.0).max(0.0);
        }
    }

    /// Returns what the report with `nonce` says about limits.
    pub fn report(&mut self, now: TimePoint, nonce: u64) -> Vec<LimitReport> {
        let before = self.last_report.map_or(now, |report| report.sent_at);
        let span = now.since(before).max(MIN_REPORT_SPAN);
        self.last_report = Some(LastReport { nonce, sent_at: now });
        self.endpoints
            .retain(|_, known| known.rate(now).is_some() || known.recent_limit(now).is_some());
        let tell = |(endpoint, known): (&IncarnationId, &mut LimitState)| {
            known.smooth_demand(span);
            known.reported_share = known.held(now);
            LimitReport {
                endpoint: endpoint.clone(),
                heard: known.recent_limit(now),
                known: known.limit,
                demand: EndpointRate::per_second(known.demand),
                held: known.reported_share,
            }
        };
        self.endpoints.iter_mut().map(tell).take(MAX_REPORTED_ENDPOINTS).collect()
    }

    /// Processes the answer to the report with `nonce`. Only the answer to the newest report
    /// counts, since the leader assumes that earlier answers are not used any more.
    pub fn grant(&mut self, now: TimePoint, nonce: u64, grants: &[EndpointGrant]) {
        let Some(report) = self.last_report.filter(|report| report.nonce == nonce) else { return };
        // An endpoint that the leader does not list has no limit, unless it advertised one to this
        // entry recently.
        let granted = |id: &IncarnationId| grants.iter().any(|grant| grant.endpoint == *id);
        for (endpoint, known) in self.endpoints.iter_mut() {
            if !granted(endpoint) && !known.heard_limit_recently(now) {
                known.limit = None;
            }
        }
        for grant in grants {
            let fresh = || LimitState::new(now);
            let known = self.endpoints.get_or_insert_with(grant.endpoint.clone(), fresh);
            known.refill(now);
            // If the share has expired, the leader may have given it to another entry.
            let lapsed = known.reported_share.0 > 0 && now >= known.share_until;
            known.share = if lapsed { EndpointRate::default() } else { grant.share };
            known.share_until = report.sent_at.after(SHARE_LEASE);
            if known.heard.is_none_or(|(_, at)| at <= report.sent_at) {
                known.limit = grant.limit;
            }
        }
    }

    /// Number of endpoints that are known to advertise a limit or to be cold.
    pub fn limited(&self, now: TimePoint) -> usize {
        self.endpoints.values().filter(|known| known.rate(now).is_some()).count()
    }
}

impl LimitState {
    fn new(now: TimePoint) -> Self {
        Self {
            heard: None,
            limit: None,
            cold: None,
            cold_until: None,
            wanted_while_cold: false,
            share: EndpointRate::default(),
            share_until: now,
            tokens: 0.0,
            tokens_at: now,
            wanted: 0,
            demand: 0.0,
            reported_share: EndpointRate::default(),
        }
    }

    /// Rate that it accepts from all entries together.
    fn rate(&self, now: TimePoint) -> Option<EndpointRate> {
        lower_rate(self.limit, self.cold_rate(now))
    }

    /// Rate that it accepts while it is cold.
    fn cold_rate(&self, now: TimePoint) -> Option<EndpointRate> {
        self.cold.filter(|_| self.cold_until.is_none_or(|until| now < until))
    }

    /// Capacity of the token bucket.
    fn bucket_capacity(&self, now: TimePoint) -> f64 {
        if self.cold_rate(now).is_some() {
            COLD_BUCKET_CAPACITY_REQUESTS
        } else {
            BUCKET_CAPACITY_REQUESTS
        }
    }

    /// Limit that was heard recently, with its age in milliseconds.
    fn recent_limit(&self, now: TimePoint) -> Option<(AdvertisedLimit, u64)> {
        let (named, at) = self.heard?;
        let age = now.since(at);
        let millis = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        (age < LIMIT_REPORTED_FOR).then_some((named, millis))
    }

    /// Whether an answer to this entry advertised a limit recently.
    fn heard_limit_recently(&self, now: TimePoint) -> bool {
        matches!(self.recent_limit(now), Some((AdvertisedLimit::Rate(_), _)))
    }

    fn smooth_demand(&mut self, span: Duration) {
        let rate = f64::from(std::mem::take(&mut self.wanted)) / span.as_secs_f64();
        let kept = (-span.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let demand = rate + (self.demand - rate) * kept;
        self.demand = if demand < MIN_DEMAND_PER_SECOND { 0.0 } else { demand };
    }

    fn held(&self, now: TimePoint) -> EndpointRate {
        if now < self.share_until { self.share } else { EndpointRate::default() }
    }

    /// Tokens in the bucket at `now`.
    fn tokens_now(&self, now: TimePoint) -> f64 {
        let used = now.min(self.share_until).since(self.tokens_at).as_secs_f64();
        (self.tokens + used * self.share.as_per_second()).min(self.bucket_capacity(now))
    }

    fn refill(&mut self, now: TimePoint) {
        // Tokens expire with their share, which another entry may hold now.
        self.tokens = if now < self.share_until { self.tokens_now(now) } else { 0.0 };
        self.tokens_at = now;
    }

    fn permit(&self, now: TimePoint) -> SendPermit {
        let share = self.held(now).as_per_second();
        let tokens = if now < self.share_until { self.tokens_now(now) } else { 0.0 };
        if tokens >= SURPLUS_FROM_REQUESTS {
            SendPermit::Surplus
        } else if tokens >= 1.0 {
            SendPermit::Allowed
        } else {
            // Without a share of its own, the entry waits until the whole limit allows one request.
            let limit = self.rate(now).unwrap_or_default().shared().as_per_second();
            let rate = if share > 0.0 { share } else { limit };
            SendPermit::Denied { wait: Duration::from_secs_f64((1.0 - tokens) / rate) }
        }
    }
}
