//! The actions of a rule, one type per kind of decision.

use serde::{Deserialize, Serialize};

use super::DecisionKind;

/// The `then` part of a rule; the rule decides each kind that is present.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleAction {
    /// Whether and how a request is admitted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admit: Option<AdmitAction>,
    /// Which replica serves a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteAction>,
    /// Whether a failed attempt is retried.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry: Option<RetryAction>,
    /// How groups are formed and repaired.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub place: Option<PlaceAction>,
    /// Whether a planned stop is allowed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop: Option<StopAction>,
}

impl RuleAction {
    /// Whether the rule decides `kind`.
    pub fn decides(&self, kind: DecisionKind) -> bool {
        match kind {
            DecisionKind::Admit => self.admit.is_some(),
            DecisionKind::Route => self.route.is_some(),
            DecisionKind::Retry => self.retry.is_some(),
            DecisionKind::Place => self.place.is_some(),
            DecisionKind::Stop => self.stop.is_some(),
        }
    }
}

/// Whether a call needs an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyPolicy {
    /// The caller may send a key; with one, the call runs at most once.
    #[default]
    Optional,
    /// A call without a key is refused.
    Required,
}

/// How a request is admitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmitAction {
    /// Whether the request is admitted at all.
    pub allow: bool,
    /// Limit of the team's requests in flight, over all entries; zero for no limit.
    pub concurrency: u32,
    /// Limit of the team's requests per second, over all entries; zero for no limit.
    pub rate: f64,
    /// Weight of the team relative to others when requests are queued.
    pub weight: u32,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Limit of the team's requests in the queue of one entry.
    pub queue: u32,
    /// Time limit of a request over all of its attempts, in milliseconds.
    pub deadline_ms: u32,
    /// Whether the call needs an `Idempotency-Key`.
    pub idempotency_key: KeyPolicy,
}

impl Default for AdmitAction {
    fn default() -> Self {
        Self {
            allow: true,
            concurrency: 0,
            rate: 0.0,
            weight: 1,
            priority: 100,
            queue: 256,
            deadline_ms: 120_000,
            idempotency_key: KeyPolicy::Optional,
        }
    }
}

/// How a replica is chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteAction {
    /// Whether replicas in the entry's own availability zone are preferred.
    pub same_zone_first: bool,
    /// Whether requests with a common prompt prefix are sent to the same replica.
    pub prefix_affinity: bool,
    /// Load in percent of the mean above which the preferred replica is skipped; at least 100.
    pub load_bound_percent: u32,
    /// Providers in order of preference; empty for no preference.
    pub providers: Vec<String>,
}

impl Default for RouteAction {
    fn default() -> Self {
        Self {
            same_zone_first: true,
            prefix_affinity: true,
            load_bound_percent: 125,
            providers: Vec::new(),
        }
    }
}

/// Whether a request is retried.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryAction {
    /// Most attempts, including the first.
    pub attempts: u32,
    /// Limit of retries, in percent of first attempts.
    pub budget_percent: u32,
    /// Delay before the first retry, in milliseconds.
    pub backoff_ms: u32,
    /// Whether the call may run twice; when absent, calls to engines may, and calls to plain
    /// services may unless their method changes state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

impl Default for RetryAction {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 20, backoff_ms: 5, repeatable: None }
    }
}

/// How groups are formed and repaired.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlaceAction {
    /// Cost per second of one group being down.
    pub downtime_weight: f64,
    /// Cost per second of one accelerator that is in no whole group.
    pub stranded_weight: f64,
    /// Longest wait for a missing host while a replacement is available, in milliseconds.
    pub wait_ms: u64,
    /// Hosts per service and fabric domain that are kept free for repairs.
    pub spares: u32,
    /// Groups beyond the wanted number that are formed of otherwise idle hosts, as standby
    /// replicas.
    pub standby: u32,
    /// Whether a group may span fabric domains when it cannot be formed otherwise.
    pub cross_domain: bool,
    /// Part of a group's value that is lost while it spans fabric domains, in percent.
    pub cross_domain_loss_percent: u32,
    /// Usual time that a restarting host is unavailable, in milliseconds.
    pub restart_ms: u64,
    /// Part of missing hosts that return without intervention, in percent.
    pub return_percent: u32,
    /// Time for one host to load its weights when no other host is loading, in milliseconds.
    pub load_ms: u64,
    /// Number of hosts that the weight store serves at full speed at one time; zero for no limit.
    pub parallel_loads: u32,
    /// Providers in order of preference; empty for no preference.
    pub providers: Vec<String>,
}

impl Default for PlaceAction {
    fn default() -> Self {
        Self {
            downtime_weight: 1.0,
            stranded_weight: 0.1,
            wait_ms: 90_000,
            spares: 0,
            standby: 0,
            cross_domain: false,
            cross_domain_loss_percent: 50,
            restart_ms: 180_000,
            return_percent: 95,
            load_ms: 120_000,
            parallel_loads: 0,
            providers: Vec::new(),
        }
    }
}

/// Whether a planned stop is allowed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopAction {
    /// Whether the stop is allowed at all.
    pub allow: bool,
    /// Fewest replicas of the service that must stay up.
    pub min_replicas: u32,
    /// Whether a replacement must be up before the stop, where spare hosts exist.
    pub replace_first: bool,
}

impl Default for StopAction {
    fn default() -> Self {
        Self { allow: true, min_replicas: 1, replace_first: true }
    }
}
