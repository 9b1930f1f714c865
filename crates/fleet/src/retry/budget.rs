//! The retry budget as one entry keeps it.

use briartray_model::message::{AllowanceGrant, AllowanceReport, AllowanceUse};
use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};
use briartray_routing::retry::{AllowanceShare, AllowanceTerms, MAX_REPORTED_SERVICES};

use super::credit::RequestCredit;
use super::terms::RetryTerms;

/// Part of the budget that a retry was taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySource {
    /// What the requests of this entry earned.
    Credit,
    /// This entry's share of the allowance.
    Allowance,
}

impl RetrySource {
    /// Stable code for metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Credit => "credit",
            Self::Allowance => "allowance",
        }
    }
}

/// A retry that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPermit {
    /// Where it was taken from.
    pub source: RetrySource,
    /// Whether to report to the leader at once, since the entry needs more than its share.
    pub report_due: bool,
}

/// State of the budget of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryUsage {
    /// Requests that earn retries.
    pub requests: u32,
    /// Share of the allowance.
    pub share: u64,
    /// Retries that were taken from it within the window.
    pub used: u64,
}

/// Retry budget of one entry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    terms: RetryTerms,
    incarnation: u64,
    services: SortedTable<ServiceName, ServiceBudget>,
    /// Services of the deployment plan, sorted.
    planned: Vec<ServiceName>,
    last_report: Option<LastReport>,
    is_leaving: bool,
}

/// The latest report, whose answer may bring shares.
#[derive(Debug, Clone, Copy)]
struct LastReport {
    nonce: u64,
    sent_at: TimePoint,
}

#[derive(Debug, Clone, Default)]
struct ServiceBudget {
    credit: RequestCredit,
    allowance: AllowanceShare,
}

impl RetryBudget {
    /// Creates the budget of a process that starts; `incarnation` identifies this run of it.
    pub fn new(terms: RetryTerms, incarnation: u64) -> Self {
        Self {
            terms,
            incarnation,
            services: SortedTable::new(),
            planned: Vec::new(),
            last_report: None,
            is_leaving: false,
        }
    }

    /// Sets the services of the deployment plan. The entry asks for shares for them before their
    /// first requests.
    pub fn set_services(&mut self, mut services: Vec<ServiceName>) {
        services.sort_unstable();
        for service in &services {
            self.services.get_or_insert_with(service.clone(), ServiceBudget::default);
        }
        self.planned = services;
    }

    /// Counts a request to `service`.
    pub fn request(&mut self, now: TimePoint, service: &ServiceName) {
        let (number, ratio) = (self.terms.allowance.bucket_at(now), self.terms.ratio);
        let budget = self.services.get_or_insert_with(service.clone(), ServiceBudget::default);
        budget.credit.earn(number, ratio);
    }

    /// Whether the budget of `service` has a retry left.
    pub fn allows(&mut self, now: TimePoint, service: &ServiceName) -> bool {
        let number = self.terms.allowance.bucket_at(now);
        let Some(budget) = self.services.get_mut(service) else { return false };
        budget.credit.has_retry(number) || budget.allowance.has_retry(now, &self.terms.allowance)
    }

    /// Takes one retry out of the budget of `service`; `None` if the budget is used up.
    pub fn take(&mut self, now: TimePoint, service: &ServiceName) -> Option<RetryPermit> {
        let number = self.terms.allowance.bucket_at(now);
        let budget = self.services.get_mut(service)?;
        let source = if budget.credit.take(number) {
            RetrySource::Credit
        } else if budget.allowance.take(now, &self.terms.allowance) {
            RetrySource::Allowance
        } else {
            return None;
        };
        let report_due = !self.is_leaving && budget.allowance.is_short(now);
        Some(RetryPermit { source, report_due })
    }

    /// Counts a retry to `service` that the budget did not allow. Returns whether to report to the
    /// leader at once.
    pub fn refuse(&mut self, now: TimePoint, service: &ServiceName) -> bool {
        let Some(budget) = self.services.get_mut(service) else { return false };
        budget.allowance.count_refused(now, &self.terms.allowance);
        !self.is_leaving && budget.allowance.is_short(now)
    }

    /// Returns what the report with `nonce` says about the allowance.
    pub fn report(&mut self, now: TimePoint, nonce: u64) -> AllowanceReport {
        self.last_report = Some(LastReport { nonce, sent_at: now });
        let (terms, planned) = (&self.terms.allowance, &self.planned);
        self.services.retain(|service, budget| {
            planned.binary_search(service).is_ok() || !budget.is_idle(now, terms)
        });
        let mut budgets: Vec<(&ServiceName, &mut ServiceBudget)> =
            self.services.iter_mut().collect();
        // If there are too many, those without requests go without a share.
        budgets.sort_by_key(|(_, budget)| budget.credit.is_empty());
        let tell = |(service, budget): (&ServiceName, &mut ServiceBudget)| -> AllowanceUse {
            budget.allowance.report(now, terms, service)
        };
        let services = budgets.into_iter().map(tell).take(MAX_REPORTED_SERVICES).collect();
        AllowanceReport { incarnation: self.incarnation, leaving: self.is_leaving, services }
    }

    /// Processes the answer to the report with `nonce`. Only the answer to the newest report
    /// counts, since the leader assumes that earlier answers are not used any more.
    pub fn grant(&mut self, now: TimePoint, nonce: u64, grants: &[AllowanceGrant]) {
        let Some(report) = self.last_report.filter(|report| report.nonce == nonce) else { return };
        if self.is_leaving {
            return;
        }
        for grant in grants {
            if let Some(budget) = self.services.get_mut(&grant.service) {
                budget.allowance.grant(now, report.sent_at, &self.terms.allowance, grant.share);
            }
        }
    }

    /// Gives all shares back, for a process that is stopping. The next report tells the leader.
    pub fn release(&mut self) {
        self.is_leaving = true;
        self.services.values_mut().for_each(|budget| budget.allowance.release());
    }

    /// State of the budget of `service`.
    pub fn usage(&mut self, now: TimePoint, service: &ServiceName) -> RetryUsage {
        let Some(budget) = self.services.get_mut(service) else {
            return RetryUsage { requests: 0, share: 0, used: 0 };
        };
        budget.credit.expire(self.terms.allowance.bucket_at(now));
        RetryUsage {
            requests: budget.credit.requests(),
            share: budget.allowance.held(now),
            used: budget.allowance.used(now, &self.terms.allowance),
        }
    }
}

impl ServiceBudget {
    /// Whether the service got no requests and no retries within the window.
    fn is_idle(&mut self, now: TimePoint, terms: &AllowanceTerms) -> bool {
        self.credit.expire(terms.bucket_at(now));
        self.credit.is_empty() && self.allowance.is_idle(now, terms)
    }
}
