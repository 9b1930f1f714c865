//! Lookup of routes and keys in a deployment plan.
//!
//! The routes are sorted by host name, and for each host name by prefix length, longest first, so
//! that the most specific route wins. A path has only a few prefixes that end in a slash, and each
//! of them is looked up by binary search, so hundreds of routes cost no more than ten.

use std::cmp::Ordering;

use briartray_model::SortedTable;
use briartray_model::names::{ServiceName, TeamName};

use super::{DeploymentPlan, EngineModel, RouteRule, ServiceSpec};

/// Team and priority that a key gives access to.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamAccess {
    /// Team that holds the key.
    pub team: TeamName,
    /// Priority of the team's requests, if it overrides that of the route.
    pub priority: Option<u8>,
}

/// Routes and keys of one deployment plan, sorted for lookup.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteBook {
    plan: DeploymentPlan,
    keys: SortedTable<String, TeamAccess>,
    /// For each service with an engine, the largest fraction of late first events of any route when
    /// its groups are full.
    late_when_full: SortedTable<ServiceName, f64>,
}

impl RouteBook {
    /// Sorts the routes and keys of `plan`, which must have passed its check.
    pub fn compile(mut plan: DeploymentPlan) -> Self {
        plan.routes.sort_by(|a, b| route_key(a).cmp(&route_key(b)));
        let mut keys = SortedTable::new();
        for team in &plan.teams {
            for key in &team.keys {
                let access = TeamAccess { team: team.name.clone(), priority: team.priority };
                keys.insert(key.clone(), access);
            }
        }
        let late_when_full = late_fractions(&plan);
        Self { plan, keys, late_when_full }
    }

    /// Whether groups of `service` with all slots in use miss the target of some route for more than
    /// `late_percent` in a hundred first events. Admission by slots alone is not enough then.
    pub fn is_latency_bound(&self, service: &ServiceName, late_percent: f64) -> bool {
        let late = self.late_when_full.get(service).copied().unwrap_or(0.0);
        late * 100.0 > late_percent
    }

    /// Version of the deployment plan.
    pub fn version(&self) -> u64 {
        self.plan.version
    }

    /// The deployment plan.
    pub fn plan(&self) -> &DeploymentPlan {
        &self.plan
    }

    /// Returns the route with the longest prefix of `path` under `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(end, _)| &path[..=end]).find_map(|prefix| self.route_at(host, prefix))
    }

    /// Whether callers need a key for requests under `rule`.
    pub fn needs_key(&self, rule: &RouteRule) -> bool {
        !rule.public && !self.plan.teams.is_empty()
    }

    /// Returns the team that holds `key`.
    pub fn access(&self, key: &str) -> Option<&TeamAccess> {
        self.keys.find(|known| known.as_str().cmp(key))
    }

    /// Returns the declared service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.plan.service(name)
    }

    fn route_at(&self, host: &str, prefix: &str) -> Option<&RouteRule> {
        let wanted = (host, std::cmp::Reverse(prefix.len()), prefix);
        let compare = |rule: &RouteRule| -> Ordering { route_key(rule).cmp(&wanted) };
        let found = self.plan.routes.binary_search_by(compare).ok()?;
        self.plan.routes.get(found)
    }
}

/// Largest fraction of late first events of any route to each service, on the model that answers that
/// route soonest.
fn late_fractions(plan: &DeploymentPlan) -> SortedTable<ServiceName, f64> {
    let mut late_fractions = SortedTable::new();
    let streams = plan.routes.iter().filter(|route| route.kind.is_stream());
    for (route, target) in streams.flat_map(|r| r.targets.iter().map(move |target| (r, target))) {
        let engine = plan.service(&target.service).and_then(|service| service.engine.as_ref());
        let Some(late) = engine.and_then(|engine| lowest_late_fraction(engine, route)) else {
            continue;
        };
        let known = late_fractions.get_or_insert_with(target.service.clone(), || 0.0);
        *known = late.max(*known);
    }
    late_fractions
}

fn lowest_late_fraction(engine: &EngineModel, route: &RouteRule) -> Option<f64> {
    // A route without a target has no late answers.
    if route.target_latency.is_zero() {
        return None;
    }
    let late = |model| engine.late_fraction_when_full(model, route.target_latency);
    engine.models.iter().map(late).min_by(f64::total_cmp)
}

/// Sort key of a route: host name, then prefix length (longest first), then prefix.
fn route_key(rule: &RouteRule) -> (&str, std::cmp::Reverse<usize>, &str) {
    (&rule.host, std::cmp::Reverse(rule.prefix.len()), &rule.prefix)
}
