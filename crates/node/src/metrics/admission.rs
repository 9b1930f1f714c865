//! Metrics of an entry about admission, replica choice and retries.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label of an admission decision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RuleLabel {
    /// Name of the rule that decided, or `default`.
    pub rule: String,
}

/// Label of a finished attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabel {
    /// `answered`, `bounced`, `not_run` or `unknown`.
    pub effect: &'static str,
}

/// Label of the decision after an attempt without an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabel {
    /// `retried`, `requeued`, or the reason for giving up.
    pub decision: &'static str,
}

/// Metrics of an entry about admission, attempts and retries.
#[derive(Debug, Clone)]
pub struct AdmissionMetrics {
    /// Time that a request waits for its first slot or refusal, in seconds.
    pub queue_seconds: Histogram,
    /// Admission decisions by rule.
    pub decisions: Family<RuleLabel, Counter>,
    /// Finished attempts by effect.
    pub attempts: Family<AttemptLabel, Counter>,
    /// Decisions after attempts without an answer.
    pub retries: Family<RetryLabel, Counter>,
    /// Number of requests that wait for a slot.
    pub waiting: Gauge,
    /// Number of requests that hold a slot.
    pub running: Gauge,
    /// Time from arrival to the first event of a stream, in seconds.
    pub first_token_seconds: Histogram,
    /// Time between two events of a stream, in seconds.
    pub inter_token_seconds: Histogram,
}

impl AdmissionMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            queue_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 17)),
            decisions: Family::default(),
            attempts: Family::default(),
            retries: Family::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            first_token_seconds: Histogram::new(exponential_buckets(0.004, 1.6, 18)),
            inter_token_seconds: Histogram::new(exponential_buckets(0.002, 1.6, 14)),
        };
        let copy = metrics.clone();
        registry.register("queue_seconds", "Wait for a slot", copy.queue_seconds);
        registry.register("admit_decisions", "Admissions by rule", copy.decisions);
        registry.register("attempts", "Attempts by what became of them", copy.attempts);
        registry.register("retry_decisions", "What followed failed attempts", copy.retries);
        registry.register("waiting_requests", "Requests that wait", copy.waiting);
        registry.register("running_requests", "Requests that hold a slot", copy.running);
        registry.register("first_token_seconds", "Time to first event", copy.first_token_seconds);
        registry.register("inter_token_seconds", "Time between events", copy.inter_token_seconds);
        metrics
    }

    /// Counts one admission decision by `rule`; `None` is the default.
    pub fn record_decision(&self, rule: Option<&str>) {
        let rule = rule.unwrap_or("default").to_owned();
        self.decisions.get_or_create(&RuleLabel { rule }).inc();
    }

    /// Counts one finished attempt with `effect`.
    pub fn record_attempt(&self, effect: &'static str) {
        self.attempts.get_or_create(&AttemptLabel { effect }).inc();
    }

    /// Counts one decision after an attempt without an answer.
    pub fn record_retry_decision(&self, decision: &'static str) {
        self.retries.get_or_create(&RetryLabel { decision }).inc();
    }
}
