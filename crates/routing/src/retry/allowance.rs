//! The part of the retry allowance that one entry may use.

use std::collections::VecDeque;

use briartray_model::TimePoint;
use briartray_model::message::AllowanceUse;
use briartray_model::names::ServiceName;

use super::terms::{AllowanceTerms, SPENT_BUCKETS};

/// Ratio of the share that an entry asks for to the retries that it needed within the window.
const DEMAND_FACTOR: u64 = 2;

/// Share of the allowance of one service, and the retries that were taken from it.
#[derive(Debug, Clone, Default)]
pub struct AllowanceShare {
    share: u64,
    /// When the share expires.
    share_until: TimePoint,
    buckets: VecDeque<SpentBucket>,
    /// Share that the last report named as held.
    reported_held: u64,
    /// Demand in the last report.
    reported_demand: u64,
}

#[derive(Debug, Clone, Copy)]
struct SpentBucket {
    number: u64,
    taken: u64,
    /// Retries that neither the share nor the credit of requests allowed.
    refused: u64,
}

impl AllowanceShare {
    /// Whether the share has a retry left.
    pub fn has_retry(&mut self, now: TimePoint, terms: &AllowanceTerms) -> bool {
        self.used(now, terms) < self.held(now)
    }

    /// Takes one retry; `false` if none is left.
    pub fn take(&mut self, now: TimePoint, terms: &AllowanceTerms) -> bool {
        let has_retry = self.has_retry(now, terms);
        if has_retry {
            self.bucket(terms.bucket_at(now)).taken += 1;
        }
        has_retry
    }

    /// Counts a retry that was refused.
    pub fn count_refused(&mut self, now: TimePoint, terms: &AllowanceTerms) {
        self.expire(terms.bucket_at(now));
        self.bucket(terms.bucket_at(now)).refused += 1;
    }

    /// Whether to report at once: the entry needs more than its share, and has not asked for nearly
    /// as much.
    pub fn is_short(&self, now: TimePoint) -> bool {
        let demand = self.demand();
        demand > self.held(now) && demand >= self.reported_demand * 2
    }

    /// Returns what a report at `now` says about `service`.
    pub fn report(
        &mut self,
        now: TimePoint,
        terms: &AllowanceTerms,
        service: &ServiceName,
    ) -> AllowanceUse {
        let used = self.used(now, terms);
        self.reported_held = self.held(now);
        self.reported_demand = self.demand();
        let (held, demand) = (self.reported_held, self.reported_demand);
        AllowanceUse { service: service.clone(), held, used, demand }
    }

    /// Applies the answer to the newest report, which was sent at `sent_at`.
    pub fn grant(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        terms: &AllowanceTerms,
        share: u64,
    ) {
        // If the reported share has expired, the leader may have given it to another entry.
        let has_lapsed = self.reported_held > 0 && now >= self.share_until;
        self.share = if has_lapsed { 0 } else { share };
        self.share_until = sent_at.after(terms.lease);
    }

    /// Gives the share back.
    pub fn release(&mut self) {
        self.share = 0;
    }

    /// Retries taken within the window.
    pub fn used(&mut self, now: TimePoint, terms: &AllowanceTerms) -> u64 {
        self.expire(terms.bucket_at(now));
        self.buckets.iter().map(|bucket| bucket.taken).sum()
    }

    /// Share that may be used at `now`.
    pub fn held(&self, now: TimePoint) -> u64 {
        if now < self.share_until { self.share } else { 0 }
    }

    /// Whether no retry was taken or refused within the window.
    pub fn is_idle(&mut self, now: TimePoint, terms: &AllowanceTerms) -> bool {
        self.expire(terms.bucket_at(now));
        self.buckets.is_empty()
    }

    fn demand(&self) -> u64 {
        let needed: u64 = self.buckets.iter().map(|bucket| bucket.taken + bucket.refused).sum();
        needed * DEMAND_FACTOR
    }

    fn expire(&mut self, number: u64) {
        while self.buckets.front().is_some_and(|bucket| bucket.number + SPENT_BUCKETS <= number) {
            self.buckets.pop_front();
        }
    }

    fn bucket(&mut self, number: u64) -> &mut SpentBucket {
        if self.buckets.back().is_none_or(|bucket| bucket.number != number) {
            self.buckets.push_back(SpentBucket { number, taken: 0, refused: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
