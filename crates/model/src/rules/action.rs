//! What a rule may decide, one type per kind of decision.

use serde::{Deserialize, Serialize};

use super::DecisionKind;

/// The `then` part of a rule; each kind that is present is decided by the rule.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleAction {
    /// Whether and how a request is let in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admit: Option<AdmitAction>,
    /// Which replica serves it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<RouteAction>,
    /// Whether it is tried again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry: Option<RetryAction>,
    /// How groups are formed and mended.
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

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyPolicy {
    /// A key is honoured when the caller sends one.
    #[default]
    Optional,
    /// A call without a key is refused.
    Required,
}

/// How a request is let in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmitAction {
    /// Whether the request is let in at all.
    pub allow: bool,
    /// Requests of the team in flight at one time, over all entries; zero for no limit.
    pub concurrency: u32,
    /// Requests of the team per second, over all entries; zero for no limit.
    pub rate: f64,
    /// Share of the team when requests queue.
    pub weight: u32,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Requests of the team that may wait at one entry.
    pub queue: u32,
    /// Time a request may take in all, in milliseconds.
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
    /// Whether replicas of the entry's own zone go first.
    pub same_zone_first: bool,
    /// Whether requests with a common prompt prefix go to the same replica.
    pub prefix_affinity: bool,
    /// Load of the preferred replica over the mean, in percent, above which it is passed over.
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

/// Whether a request is tried again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryAction {
    /// Attempts in all.
    pub attempts: u32,
    /// Retries in percent of first attempts.
    pub budget_percent: u32,
    /// Wait before the first retry, in milliseconds.
    pub backoff_ms: u32,
    /// Whether the call may run twice; when absent, engine calls may and plain services' calls may
    /// unless their method changes something.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
}

impl Default for RetryAction {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 20, backoff_ms: 5, repeatable: None }
    }
}

/// How groups are formed and mended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlaceAction {
    /// Cost of one second of one group being down.
    pub downtime_weight: f64,
    /// Cost of one second of one accelerator outside any whole group.
    pub stranded_weight: f64,
    /// Longest wait for a missing host while a replacement is at hand, in milliseconds.
    pub wait_ms: u64,
    /// Hosts per service and fabric domain kept free for repairs.
    pub spares: u32,
    /// Groups beyond the wanted number, formed of hosts that would be idle and ready to stand in.
    pub standby: u32,
    /// Whether a group may cross fabric domains when nothing else is left.
    pub cross_domain: bool,
    /// Share of a group's worth that is lost while it crosses fabric domains, in percent.
    pub cross_domain_loss_percent: u32,
    /// How long a restarted host usually stays away, in milliseconds.
    pub restart_ms: u64,
    /// Share of missing hosts that come back by themselves, in percent.
    pub return_percent: u32,
    /// How long one host takes to load its weights when it loads alone, in milliseconds.
    pub load_ms: u64,
    /// Hosts that the weight store serves at full speed at one time; zero for no limit.
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
    /// Replicas of the service that must stay up.
    pub min_replicas: u32,
    /// Whether a replacement must be up first where spare hosts exist.
    pub replace_first: bool,
}

impl Default for StopAction {
    fn default() -> Self {
        Self { allow: true, min_replicas: 1, replace_first: true }
    }
}
