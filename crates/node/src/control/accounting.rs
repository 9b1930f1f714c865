//! Counting group downtime and stranded accelerators on the live fleet.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::rules::RuleBook;
use briartray_placement::accounting::{FleetAccount, FleetRates, StrandedReason};
use briartray_placement::planner::FleetView;
use serde_json::{Value, json};

use crate::metrics::GroupMetrics;

/// Time between two looks at the whole fleet.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// A longer pause than this is not counted: another host led, or this process stood still.
const LONGEST_GAP: Duration = Duration::from_secs(5);

/// The account of a control host for the time that it leads.
#[derive(Debug)]
pub(super) struct FleetCounter {
    metrics: GroupMetrics,
    rates: FleetRates,
    account: FleetAccount,
    counted: Option<TimePoint>,
    seconds: f64,
}

impl FleetCounter {
    pub(super) fn new(metrics: GroupMetrics) -> Self {
        Self {
            metrics,
            rates: FleetRates::default(),
            account: FleetAccount::default(),
            counted: None,
            seconds: 0.0,
        }
    }

    /// Adds the time since the last look and looks again, at most once a second.
    pub(super) fn count(&mut self, now: TimePoint, view: &FleetView, book: &RuleBook) {
        let gap = self.counted.map_or(Duration::MAX, |counted| now.since(counted));
        if gap < COUNT_EVERY {
            return;
        }
        if gap <= LONGEST_GAP {
            self.seconds += gap.as_secs_f64();
            self.metrics.count(&self.rates, gap.as_secs_f64());
            self.account.advance(now, &self.rates);
        } else {
            self.account.skip(now);
        }
        self.counted = Some(now);
        self.rates = FleetRates::take(view, book);
        self.metrics.show(&self.rates);
    }

    /// What was counted, by service.
    pub(super) fn show(&self, book: &RuleBook) -> Value {
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
