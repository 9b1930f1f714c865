//! Report of a load.

use std::time::Duration;

use briartray_model::{SortedTable, plain_value};
use hdrhistogram::Histogram;

use super::audit::RunAudit;
use super::call::{ANSWERED, CROSSED, CallResult, LOST_OUTCOMES, REPEATED, SHORT};

/// Longest recorded time, in microseconds; longer times are recorded as this value.
const MAX_MICROS: u64 = 600_000_000;

/// Significant decimal digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

plain_value! {
    /// Percentiles of a latency, in milliseconds.
    #[derive(Default)]
    pub struct LatencySummary {
        /// Number of recorded values.
        pub count: u64,
        /// Median.
        pub p50_ms: f64,
        /// 95th percentile.
        pub p95_ms: f64,
        /// 99th percentile.
        pub p99_ms: f64,
        /// Maximum.
        pub max_ms: f64,
    }

    /// Number of requests with one outcome.
    pub struct OutcomeCount {
        /// Outcome: `answered` or the code of a failure.
        pub code: String,
        /// Number of requests.
        pub count: u64,
    }

    /// Results of a load.
    pub struct LoadReport {
        /// Requests sent.
        pub sent: u64,
        /// Requests with a complete, correct answer.
        pub answered: u64,
        /// Requests without a complete answer and without a refusal.
        pub lost: u64,
        /// Answers that belong to another request.
        pub crossed: u64,
        /// Incomplete answers that were presented as complete.
        pub short: u64,
        /// Answers with repeated parts.
        pub repeated: u64,
        /// Requests whose answer states that they were not run.
        pub told_not_run: u64,
        /// Requests not sent because too many were open or no thread could be created.
        pub not_sent: u64,
        /// Requests by outcome.
        pub outcomes: Vec<OutcomeCount>,
        /// Time from the planned start to the first token of a stream.
        pub first_token: LatencySummary,
        /// Time between consecutive tokens of a stream.
        pub inter_token: LatencySummary,
        /// Time from the planned start to the end of a complete answer.
        pub whole_answer: LatencySummary,
        /// Time from the planned to the actual start, caused by the generator itself.
        pub start_delay: LatencySummary,
        /// Maximum number of requests open at the same time.
        pub most_open: u64,
        /// Duration of the load, in seconds, until the last request ended.
        pub seconds: f64,
        /// Comparison with the run logs of stand-ins, if the plan lists any.
        pub audit: Option<RunAudit>,
    }
}

impl LoadReport {
    /// Returns whether no request was lost and no answer was wrong, and the audit is clean.
    pub fn is_clean(&self) -> bool {
        let wrong = self.lost + self.crossed + self.short + self.repeated;
        wrong == 0 && self.audit.as_ref().is_none_or(RunAudit::is_clean)
    }
}

/// Accumulates results into a report.
#[derive(Debug)]
pub(super) struct ReportCollector {
    outcomes: SortedTable<String, u64>,
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    whole_answer: Histogram<u64>,
    start_delay: Histogram<u64>,
    sent: u64,
    told_not_run: u64,
}

impl ReportCollector {
    pub(super) fn new() -> Self {
        Self {
            outcomes: SortedTable::new(),
            first_token: make_histogram(),
            gap: make_histogram(),
            whole_answer: make_histogram(),
            start_delay: make_histogram(),
            sent: 0,
            told_not_run: 0,
        }
    }

    pub(super) fn add(&mut self, result: &CallResult, stream: bool, start_delay: Duration) {
        self.sent += 1;
        self.told_not_run += u64::from(result.told_not_run);
        *self.outcomes.get_or_insert_with(result.outcome.clone(), || 0) += 1;
        record(&mut self.start_delay, start_delay);
        if result.outcome != ANSWERED {
            return;
        }
        record(&mut self.whole_answer, result.whole_answer);
        if let Some(first_token) = result.first_token.filter(|_| stream) {
            record(&mut self.first_token, first_token);
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
            lost: LOST_OUTCOMES.iter().map(|code| count(code)).sum(),
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
            first_token: summarize(&self.first_token),
            inter_token: summarize(&self.gap),
            whole_answer: summarize(&self.whole_answer),
            start_delay: summarize(&self.start_delay),
            most_open,
            seconds: length.as_secs_f64(),
            audit: None,
        }
    }
}

fn make_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constant and valid")
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
