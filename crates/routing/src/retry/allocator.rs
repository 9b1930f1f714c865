//! Division of the retry allowance among the entries, on the leader.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use briartray_model::message::{AllowanceGrant, AllowanceReport, AllowanceUse};
use briartray_model::names::{NodeName, ServiceName};
use briartray_model::{SortedTable, TimePoint};

use super::AllowanceTerms;
use crate::admission::{HolderId, LimitBook, ShareRequest};

/// Extra time that the leader waits before it reuses a share, for clocks that run at different
/// speeds.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Limit on services in one report of an entry.
pub const MAX_REPORTED_SERVICES: usize = 64;

/// Limit on services whose allowance is divided.
const MAX_SERVICES: usize = 1024;

/// Shares of the retry allowance of each service.
#[derive(Debug)]
pub struct AllowanceAllocator {
    terms: AllowanceTerms,
    /// Start of the term; `None` if no earlier leader can have granted shares.
    since: Option<TimePoint>,
    services: SortedTable<ServiceName, LimitBook>,
}

impl AllowanceAllocator {
    /// Creates the state of a leader whose term begins at `now`. Until shares of an earlier leader
    /// have expired and no retry taken from them counts, it only confirms what entries hold.
    pub fn new(now: TimePoint, terms: AllowanceTerms, had_leader: bool) -> Self {
        Self { terms, since: had_leader.then_some(now), services: SortedTable::new() }
    }

    /// Processes the report with `nonce` of an entry. Returns its shares.
    pub fn renew(
        &mut self,
        now: TimePoint,
        entry: &NodeName,
        nonce: u64,
        report: &AllowanceReport,
    ) -> Vec<AllowanceGrant> {
        self.services.retain(|_, book| book.expire(now));
        let holder = holder_of(entry, report.incarnation);
        let mut grants = Vec::new();
        for AllowanceUse { service, held, used, demand } in &report.services {
            let (held, used, demand) = (*held, *used, *demand);
            let Some(book) = self.book(service) else { continue };
            if report.leaving {
                book.release(now, holder, nonce, used);
                continue;
            }
            let request = ShareRequest { nonce, demand, held, used };
            if let Some(share) = book.renew(now, holder, &request) {
                grants.push(AllowanceGrant { service: service.clone(), share });
            }
        }
        grants
    }

    /// Retries per window that entries hold or have used, over all services.
    pub fn committed(&self) -> u64 {
        self.services.values().map(LimitBook::committed).sum()
    }

    fn book(&mut self, service: &ServiceName) -> Option<&mut LimitBook> {
        if !self.services.contains_key(service) && self.services.len() >= MAX_SERVICES {
            return None;
        }
        let AllowanceTerms { retries, lease, .. } = self.terms;
        let (since, spent_time) = (self.since, self.terms.spent_time());
        Some(self.services.get_or_insert_with(service.clone(), || {
            LimitBook::open_counted(since, retries, lease + LEASE_MARGIN, spent_time)
        }))
    }
}

/// Identifier of one run of an entry's process.
fn holder_of(entry: &NodeName, incarnation: u64) -> HolderId {
    let mut hasher = DefaultHasher::new();
    (entry.as_str(), incarnation).hash(&mut hasher);
    HolderId(hasher.finish())
}
