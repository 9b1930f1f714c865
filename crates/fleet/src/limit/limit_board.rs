//! The limits of endpoints as the leader shares them out.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use briartray_model::names::{IncarnationId, NodeName};
use briartray_model::{SortedTable, TimePoint};
use briartray_routing::admission::{HolderId, LimitBook, ShareRequest};

use super::terms::lower;
use super::{EndpointGrant, EndpointRate, LEASE_MARGIN, LimitReport, NamedLimit, SHARE_LEASE};

/// Endpoints with a limit that are kept.
const MAX_LIMITED: usize = 256;

/// Endpoints with a limit that an entry is told of beyond those that it reports: about 2 KB in a notice.
const MAX_TOLD: usize = 64;

/// Time without a word of any entry after which an endpoint is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Time without demand after which an entry makes room for another one. It is longer than the time over which an
/// endpoint counts, so what both have saved up is not sent at once.
const SENDER_IDLE: Duration = Duration::from_secs(5);

/// An entry that may send to an endpoint with a limit.
#[derive(Debug)]
struct LimitSender {
    holder: HolderId,
    /// When it had something to send.
    wanted: TimePoint,
}

/// One endpoint that names a limit, or did so a moment ago.
#[derive(Debug)]
struct BoardEndpoint {
    /// The limit that it names.
    limit: Option<EndpointRate>,
    /// What it takes while it is cold.
    cold: Option<EndpointRate>,
    /// When the endpoint named its limit, or none.
    said: TimePoint,
    /// When an entry spoke of it last.
    heard: TimePoint,
    book: LimitBook,
    senders: Vec<LimitSender>,
}

/// All limits that a leader knows of.
#[derive(Debug, Default)]
pub struct LimitBoard {
    since: TimePoint,
    endpoints: SortedTable<IncarnationId, BoardEndpoint>,
}

impl LimitBoard {
    /// The board of a leader that begins at `now`.
    pub fn new(now: TimePoint) -> Self {
        Self { since: now, endpoints: SortedTable::new() }
    }

    /// Takes what an entry reports and answers with its shares, and with limits that it does not know of.
    pub fn renew(
        &mut self,
        now: TimePoint,
        entry: &NodeName,
        nonce: u64,
        reports: &[LimitReport],
    ) -> Vec<EndpointGrant> {
        self.endpoints.retain(|_, known| now.since(known.heard) < FORGET_AFTER);
        let holder = holder_of(entry);
        for report in reports {
            self.take(now, report);
        }
        let mut grants = Vec::new();
        let mut untold = MAX_TOLD;
        for (endpoint, known) in self.endpoints.iter_mut() {
            if known.rate().is_none() {
                continue;
            }
            let share = match reports.iter().find(|report| report.endpoint == *endpoint) {
                Some(report) => known.share(now, holder, nonce, report),
                None if untold == 0 => continue,
                None => {
                    untold -= 1;
                    0
                }
            };
            let share = EndpointRate(share);
            grants.push(EndpointGrant { endpoint: endpoint.clone(), limit: known.limit, share });
        }
        grants
    }

    /// Takes the endpoints that are cold now, with what each takes.
    pub fn set_cold(&mut self, now: TimePoint, cold: &SortedTable<IncarnationId, EndpointRate>) {
        for (endpoint, known) in self.endpoints.iter_mut() {
            known.set_cold(cold.get(endpoint).copied());
        }
        let since = self.since;
        for (endpoint, rate) in cold.iter() {
            let fresh = || BoardEndpoint::new(now, since, None);
            let known = self.endpoints.get_or_insert_with(endpoint.clone(), fresh);
            known.heard = now;
            known.set_cold(Some(*rate));
        }
    }

    /// Endpoints that name a limit.
    pub fn limited(&self) -> usize {
        self.endpoints.values().filter(|known| known.limit.is_some()).count()
    }

    fn take(&mut self, now: TimePoint, report: &LimitReport) {
        let known = self.endpoints.contains_key(&report.endpoint);
        let tells = report.heard.is_some() || report.known.is_some();
        if !known && (self.endpoints.len() >= MAX_LIMITED || !tells) {
            return;
        }
        let since = self.since;
        let fresh = || BoardEndpoint::new(now, since, report.known);
        let known = self.endpoints.get_or_insert_with(report.endpoint.clone(), fresh);
        known.heard = now;
        if let Some((named, age)) = report.heard {
            known.say(now, named, Duration::from_millis(age));
        }
    }
}

impl BoardEndpoint {
    /// An endpoint that the leader hears of for the first time, with the limit that an entry knows of.
    fn new(now: TimePoint, leader_since: TimePoint, limit: Option<EndpointRate>) -> Self {
        let lease = SHARE_LEASE + LEASE_MARGIN;
        // Shares of an earlier leader may still be held at first; later nobody has any.
        let opened = if now.since(leader_since) < lease { now } else { TimePoint::default() };
        Self {
            limit,
            cold: None,
            said: TimePoint::default(),
            heard: now,
            book: LimitBook::open(opened, limit.unwrap_or_default().shared().0, lease),
            senders: Vec::new(),
        }
    }

    /// The endpoint named `limit` before `age`. Answers overtake each other on their way through entries.
    fn say(&mut self, now: TimePoint, named: NamedLimit, age: Duration) {
        // Ahead of the clock by as long as reports tell of an answer: the leader may have just started.
        let said = now.after(super::TOLD_FOR.saturating_sub(age));
        if said < self.said {
            return;
        }
        self.said = said;
        self.limit = match named {
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Open => None,
        };
        self.set_book();
    }

    fn set_cold(&mut self, cold: Option<EndpointRate>) {
        if self.cold != cold {
            self.cold = cold;
            self.set_book();
        }
    }

    /// What it takes from all entries together.
    fn rate(&self) -> Option<EndpointRate> {
        lower(self.limit, self.cold)
    }

    fn set_book(&mut self) {
        self.book.set_limit(self.rate().unwrap_or_default().shared().0);
    }

    /// The share of `holder`, in thousandths of a request a second.
    fn share(&mut self, now: TimePoint, holder: HolderId, nonce: u64, report: &LimitReport) -> u64 {
        self.book.expire(now);
        if !self.seat(now, holder, report.demand) {
            return 0;
        }
        let ask = ShareRequest { nonce, demand: report.demand.0, held: report.held.0, used: 0 };
        self.book.renew(now, holder, &ask).unwrap_or(0)
    }

    /// Whether `holder` is one of the entries that may send.
    fn seat(&mut self, now: TimePoint, holder: HolderId, demand: EndpointRate) -> bool {
        self.senders.retain(|sender| now.since(sender.wanted) < SENDER_IDLE);
        let seats = self.seats();
        self.senders.truncate(seats);
        let wants = demand.0 > 0;
        if let Some(sender) = self.senders.iter_mut().find(|sender| sender.holder == holder) {
            sender.wanted = if wants { now } else { sender.wanted };
            return true;
        }
        let seated = wants && self.senders.len() < seats;
        if seated {
            self.senders.push(LimitSender { holder, wanted: now });
        }
        seated
    }

    /// Entries that may hold a share at one time: one, and one for each request a second. What they may all have
    /// saved up then stays within half of what the limit allows in some seconds. A cold endpoint is counted over
    /// one second, and gets half as many.
    fn seats(&self) -> usize {
        let rate = self.rate().unwrap_or_default().as_per_second();
        let seats = if self.cold.is_some() { rate / 2.0 } else { rate };
        // The cast saturates.
        seats as usize + 1
    }
}

/// The holder that an entry is in the books.
fn holder_of(entry: &NodeName) -> HolderId {
    let mut hasher = DefaultHasher::new();
    entry.as_str().hash(&mut hasher);
    HolderId(hasher.finish())
}
