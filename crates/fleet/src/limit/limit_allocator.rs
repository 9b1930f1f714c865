//! Allocation of endpoint limits to entries, on the leader.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use briartray_model::names::{IncarnationId, NodeName};
use briartray_model::{SortedTable, TimePoint};
use briartray_routing::admission::{HolderId, LimitBook, ShareRequest};

use super::terms::lower_rate;
use super::{AdvertisedLimit, EndpointGrant, EndpointRate, LEASE_MARGIN, LimitReport, SHARE_LEASE};

/// Limit on tracked endpoints with a limit.
const MAX_TRACKED_ENDPOINTS: usize = 256;

/// Limit on endpoints that an entry is notified of without having reported them: about 2 KB in a
/// notice.
const MAX_UNREPORTED_GRANTS: usize = 64;

/// Time after the last report about an endpoint until it is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Time without demand after which an entry gives its place to another one. It is longer than the
/// window over which an endpoint counts requests, so the tokens of both entries never fall into one
/// window.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry that may send to an endpoint with a limit.
#[derive(Debug)]
struct LimitSender {
    holder: HolderId,
    /// When it last reported demand.
    last_demand: TimePoint,
}

/// Allocation for one endpoint that advertises a limit, or did so recently.
#[derive(Debug)]
struct EndpointAllocation {
    /// Limit that the endpoint advertises.
    limit: Option<EndpointRate>,
    /// Rate that it accepts while it is cold.
    cold: Option<EndpointRate>,
    /// When the endpoint advertised its current limit, or none.
    advertised_at: TimePoint,
    /// When an entry last reported on it.
    reported_at: TimePoint,
    book: LimitBook,
    senders: Vec<LimitSender>,
}

/// Allocations for all endpoints with a limit that the leader knows of.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    since: TimePoint,
    endpoints: SortedTable<IncarnationId, EndpointAllocation>,
}

impl LimitAllocator {
    /// Creates the state of a leader whose term begins at `now`.
    pub fn new(now: TimePoint) -> Self {
        Self { since: now, endpoints: SortedTable::new() }
    }

    /// Processes the reports of an entry. Returns its shares, and limits that it has not reported.
    pub fn renew(
        &mut self,
        now: TimePoint,
        entry: &NodeName,
        nonce: u64,
        reports: &[LimitReport],
    ) -> Vec<EndpointGrant> {
        self.endpoints.retain(|_, known| now.since(known.reported_at) < FORGET_AFTER);
        let holder = holder_of(entry);
        for report in reports {
            self.record_report(now, report);
        }
        let mut grants = Vec::new();
        let mut unreported_left = MAX_UNREPORTED_GRANTS;
        for (endpoint, known) in self.endpoints.iter_mut() {
            if known.rate().is_none() {
                continue;
            }
            let share = match reports.iter().find(|report| report.endpoint == *endpoint) {
                Some(report) => known.share(now, holder, nonce, report),
                None if unreported_left == 0 => continue,
                None => {
                    unreported_left -= 1;
                    0
                }
            };
            let share = EndpointRate(share);
            grants.push(EndpointGrant { endpoint: endpoint.clone(), limit: known.limit, share });
        }
        grants
    }

    /// Sets the cold endpoints, each with the rate that it accepts.
    pub fn set_cold(&mut self, now: TimePoint, cold: &SortedTable<IncarnationId, EndpointRate>) {
        for (endpoint, known) in self.endpoints.iter_mut() {
            known.set_cold(cold.get(endpoint).copied());
        }
        let since = self.since;
        for (endpoint, rate) in cold.iter() {
            let fresh = || EndpointAllocation::new(now, since, None);
            let known = self.endpoints.get_or_insert_with(endpoint.clone(), fresh);
            known.reported_at = now;
            known.set_cold(Some(*rate));
        }
    }

    /// Number of endpoints that advertise a limit.
    pub fn limited(&self) -> usize {
        self.endpoints.values().filter(|known| known.limit.is_some()).count()
    }

    fn record_report(&mut self, now: TimePoint, report: &LimitReport) {
        let known = self.endpoints.contains_key(&report.endpoint);
        let has_limit = report.heard.is_some() || report.known.is_some();
        if !known && (self.endpoints.len() >= MAX_TRACKED_ENDPOINTS || !has_limit) {
            return;
        }
        let since = self.since;
        let fresh = || EndpointAllocation::new(now, since, report.known);
        let known = self.endpoints.get_or_insert_with(report.endpoint.clone(), fresh);
        known.reported_at = now;
        if let Some((named, age)) = report.heard {
            known.record_limit(now, named, Duration::from_millis(age));
        }
    }
}

impl EndpointAllocation {
    /// Creates the allocation for an endpoint, with the limit that an entry knows.
    fn new(now: TimePoint, leader_since: TimePoint, limit: Option<EndpointRate>) -> Self {
        let lease = SHARE_LEASE + LEASE_MARGIN;
        // Shares of an earlier leader may still be in use at first; after one lease none is.
        let opened_at = if now.since(leader_since) < lease { now } else { TimePoint::default() };
        Self {
            limit,
            cold: None,
            advertised_at: TimePoint::default(),
            reported_at: now,
            book: LimitBook::open(opened_at, limit.unwrap_or_default().shared().0, lease),
            senders: Vec::new(),
        }
    }

    /// Records that the endpoint advertised `named`, `age` ago. Reports arrive out of order, since
    /// each entry passes on answers at its own time.
    fn record_limit(&mut self, now: TimePoint, named: AdvertisedLimit, age: Duration) {
        // Shifted by the reporting period, since a leader that has just started has a clock near
        // zero.
        let advertised_at = now.after(super::LIMIT_REPORTED_FOR.saturating_sub(age));
        if advertised_at < self.advertised_at {
            return;
        }
        self.advertised_at = advertised_at;
        self.limit = match named {
            AdvertisedLimit::Rate(rate) => Some(rate),
            AdvertisedLimit::Open => None,
        };
        self.update_limit();
    }

    fn set_cold(&mut self, cold: Option<EndpointRate>) {
        if self.cold != cold {
            self.cold = cold;
            self.update_limit();
        }
    }

    /// Rate that it accepts from all entries together.
    fn rate(&self) -> Option<EndpointRate> {
        lower_rate(self.limit, self.cold)
    }

    fn update_limit(&mut self) {
        self.book.set_limit(self.rate().unwrap_or_default().shared().0);
    }

    /// Returns the share of `holder`, in thousandths of a request per second.
    fn share(&mut self, now: TimePoint, holder: HolderId, nonce: u64, report: &LimitReport) -> u64 {
        self.book.expire(now);
        if !self.admit_sender(now, holder, report.demand) {
            return 0;
        }
        let ask = ShareRequest { nonce, demand: report.demand.0, held: report.held.0, used: 0 };
        self.book.renew(now, holder, &ask).unwrap_or(0)
    }

    /// Whether `holder` is among the entries that may send; admits it if there is a place.
    fn admit_sender(&mut self, now: TimePoint, holder: HolderId, demand: EndpointRate) -> bool {
        self.senders.retain(|sender| now.since(sender.last_demand) < SENDER_IDLE_TIMEOUT);
        let max_senders = self.max_senders();
        self.senders.truncate(max_senders);
        let wants = demand.0 > 0;
        if let Some(sender) = self.senders.iter_mut().find(|sender| sender.holder == holder) {
            sender.last_demand = if wants { now } else { sender.last_demand };
            return true;
        }
        let admitted = wants && self.senders.len() < max_senders;
        if admitted {
            self.senders.push(LimitSender { holder, last_demand: now });
        }
        admitted
    }

    /// Number of entries that may hold a share at one time: one, plus one for each request per
    /// second. The tokens of all of them then stay within half of what the limit allows in some
    /// seconds. The rate of a cold endpoint is measured over one second, so it gets half as many.
    fn max_senders(&self) -> usize {
        let rate = self.rate().unwrap_or_default().as_per_second();
        let senders = if self.cold.is_some() { rate / 2.0 } else { rate };
        // The cast saturates.
        senders as usize + 1
    }
}

/// Identifier of an entry in the allocations.
fn holder_of(entry: &NodeName) -> HolderId {
    let mut hasher = DefaultHasher::new();
    entry.as_str().hash(&mut hasher);
    HolderId(hasher.finish())
}
