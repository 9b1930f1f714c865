//! The retry budget as requests use it: counting, taking, and reports to the leader when it runs short.

use briartray_fleet::retry::RetryUsage;
use briartray_model::names::ServiceName;

use super::state::EntryState;

impl EntryState {
    /// Counts a request in the retry budget.
    pub(super) fn count_request(&self, service: &ServiceName) {
        self.budget.borrow_mut().request(self.now(), service);
    }

    /// Takes one retry from the budget; `false` if the budget is exhausted.
    pub(super) fn take_retry(&self, service: &ServiceName) -> bool {
        let taken = self.budget.borrow_mut().take(self.now(), service);
        let Some(permit) = taken else { return false };
        self.metrics.count_retry(permit.source.code());
        if permit.report_due {
            self.send_report();
        }
        true
    }

    /// Whether the retry budget of `service` has a retry left.
    pub(super) fn has_retry(&self, service: &ServiceName) -> bool {
        self.budget.borrow_mut().allows(self.now(), service)
    }

    /// Counts a retry to `service` that the budget did not allow.
    pub(super) fn refuse_retry(&self, service: &ServiceName) {
        let report_due = self.budget.borrow_mut().refuse(self.now(), service);
        if report_due {
            self.send_report();
        }
    }

    /// Logs that the retry budget of `service` is used up.
    pub(super) fn log_exhausted_budget(&self, service: &ServiceName) {
        let RetryUsage { requests, share, used } =
            self.budget.borrow_mut().usage(self.now(), service);
        log::info!(service = service.as_str(), requests, share, used;
            "retry budget is used up");
    }
}
