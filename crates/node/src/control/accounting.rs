//! Accounts for group downtime and stranded accelerators of the live fleet.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::rules::RuleBook;
use briartray_placement::accounting::{FleetAccount, FleetRates, StrandedReason};
use briartray_placement::planner::FleetView;
use serde_json::{Value, json};

use crate::metrics::GroupMetrics;

/// Time between two samples of the whole fleet.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two samples that is counted; during a longer gap another host led or this
/// process was paused.
const MAX_COUNTED_GAP: Duration = Duration::from_secs(5);

/// Totals of a control host for the time during which it leads.
#[derive(Debug)]
pub(super) struct FleetCounter {
    metrics: GroupMetrics,
    rates: FleetRates,
    account: FleetAccount,
    last_count: Option<TimePoint>,
    seconds: f64,
}

impl FleetCounter {
    pub(super) fn new(metrics: GroupMetrics) -> Self {
        Self {
            metrics,
            rates: FleetRates::default(),
            account: FleetAccount::default(),
            last_count: None,
            seconds: 0.0,
        }
    }

    /// Adds the time since the last sample to the totals and takes a new sample, at most once per
    /// second.
    pub(super) fn count(&mut self, now: TimePoint, view: &FleetView, book: &RuleBook) {
        let gap = self.last_count.map_or(Duration::MAX, |last_count| now.since(last_count));
        if gap < COUNT_INTERVAL {
            return;
        }
        if gap <= MAX_COUNTED_GAP {
            self.seconds += gap.as_secs_f64();
            self.metrics.count(&self.rates, gap.as_secs_f64());
            self.account.advance(now, &self.rates);
        } else {
            self.account.skip(now);
        }
        self.last_count = Some(now);
        self.rates = FleetRates::take(view, book);
        self.metrics.show(&self.rates);
    }

    /// The totals of each service, for operators.
    pub(super) fn to_json(&self, book: &RuleBook) -> Value {
        let services: Vec<Value> = self
            .account
            .services()
            .map(|(service, account)| {
                let stranded: serde_json::Map<String, Value> = StrandedReason::ALL
                    .iter()
                    .zip(account.stranded)
                    .map(|(reason, seconds)| (reason.as_str().to_owned(), json!(seconds)))
                    .collect();
                json!({
                    "service": service,
                    "group_down_seconds": account.groups_down,
                    "stranded_accelerator_seconds": stranded,
                })
            })
            .collect();
        let (weighted, _) = self.account.weighted(book);
        json!({ "seconds": self.seconds, "weighted": weighted, "services": services })
    }
}
