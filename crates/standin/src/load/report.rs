//! What a run of load showed.

use std::time::Duration;

use briartray_model::{SortedTable, plain_value};
use hdrhistogram::Histogram;

use super::audit::RunAudit;
use super::call::{ANSWERED, CROSSED, CallResult, LOST, REPEATED, SHORT};

/// Longest time that is recorded, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 600_000_000;

/// Significant digits of the percentiles.
const DIGITS: u8 = 3;

plain_value! {
    /// Percentiles of one kind of time, in milliseconds.
    #[derive(Default)]
    pub struct LatencySummary {
        /// How many were recorded.
        pub count: u64,
        /// Half are below.
        pub p50_ms: f64,
        /// 95 in 100 are below.
        pub p95_ms: f64,
        /// 99 in 100 are below.
        pub p99_ms: f64,
        /// The longest.
        pub max_ms: f64,
    }

    /// How many requests ended in one way.
    pub struct OutcomeCount {
        /// `answered`, or a code.
        pub code: String,
        /// How many.
        pub count: u64,
    }

    /// What a run of load showed.
    pub struct LoadReport {
        /// Requests sent.
        pub sent: u64,
        /// Whole answers to their own request.
        pub answered: u64,
        /// Requests without an answer and without a refusal.
        pub lost: u64,
        /// Answers that belong to another request.
        pub crossed: u64,
        /// Answers that look whole and are not.
        pub short: u64,
        /// Answers with pieces that came twice.
        pub repeated: u64,
        /// Requests whose callers were told that they were not run.
        pub told_not_run: u64,
        /// Requests that were not sent because too many were open.
        pub not_sent: u64,
        /// Requests by how they ended.
        pub outcomes: Vec<OutcomeCount>,
        /// Planned start to first token of a stream.
        pub first_token: LatencySummary,
        /// Between two tokens of a stream.
        pub inter_token: LatencySummary,
        /// Planned start to the end of a whole answer.
        pub whole_answer: LatencySummary,
        /// How late requests were started by the generator itself.
        pub start_delay: LatencySummary,
        /// Most requests open at one time.
        pub most_open: u64,
        /// Length of the run, in seconds.
        pub seconds: f64,
        /// Comparison with the stand-ins' run logs, if asked for.
        pub audit: Option<RunAudit>,
    }
}

impl LoadReport {
    /// Whether nothing was lost, doubled, crossed or cut short.
    pub fn is_clean(&self) -> bool {
        let wrong = self.lost + self.crossed + self.short + self.repeated;
        wrong == 0 && self.audit.as_ref().is_none_or(RunAudit::is_clean)
    }
}

/// Collects results into a report.
#[derive(Debug)]
pub(super) struct ReportCollector {
    outcomes: SortedTable<String, u64>,
    first: Histogram<u64>,
    gap: Histogram<u64>,
    whole: Histogram<u64>,
    delay: Histogram<u64>,
    sent: u64,
    told_not_run: u64,
}

impl ReportCollector {
    pub(super) fn new() -> Self {
        Self {
            outcomes: SortedTable::new(),
            first: make_histogram(),
            gap: make_histogram(),
            whole: make_histogram(),
            delay: make_histogram(),
            sent: 0,
            told_not_run: 0,
        }
    }

    pub(super) fn add(&mut self, result: &CallResult, stream: bool, delay: Duration) {
        self.sent += 1;
        self.told_not_run += u64::from(result.told_not_run);
        *self.outcomes.get_or_insert_with(result.outcome.clone(), || 0) += 1;
        record(&mut self.delay, delay);
        if result.outcome != ANSWERED {
            return;
        }
        record(&mut self.whole, result.whole);
        if let Some(first) = result.first.filter(|_| stream) {
            record(&mut self.first, first);
        }
        for gap in &result.gaps {
            record(&mut self.gap, *gap);
        }
    }

    pub(super) fn finish(self, not_sent: u64, most_open: u64, length: Duration) -> LoadReport {
        let count = |code: &str| self.outcomes.get(&code.to_owned()).copied().unwrap_or(0);
        LoadReport {
            sent: self.sent,
            answered: count(ANSWERED),
            lost: LOST.iter().map(|code| count(code)).sum(),
            crossed: count(CROSSED),
            short: count(SHORT),
            repeated: count(REPEATED),
            told_not_run: self.told_not_run,
            not_sent,
            outcomes: self
                .outcomes
                .iter()
                .map(|(code, count)| OutcomeCount { code: code.clone(), count: *count })
                .collect(),
            first_token: summarize(&self.first),
            inter_token: summarize(&self.gap),
            whole_answer: summarize(&self.whole),
            start_delay: summarize(&self.delay),
            most_open,
            seconds: length.as_secs_f64(),
            audit: None,
        }
    }
}

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are constant and valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros.min(MAX_MICROS));
}

fn summarize(histogram: &Histogram<u64>) -> LatencySummary {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencySummary {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1000.0,
    }
}
