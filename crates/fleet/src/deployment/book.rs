//! Lookup of routes and keys in a deployment plan.
//!
//! The routes are sorted by host name, and for each host name by prefix length, longest first, so
//! that the most specific route wins. A path has only a few prefixes that end in a slash, and each
//! of them is looked up by binary search, so hundreds of routes cost no more than ten.

use std::cmp::Ordering;

use briartray_model::SortedTable;
use briartray_model::names::{ServiceName, TeamName};

use super::{DeploymentPlan, RouteRule, ServiceSpec};

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
        Self { plan, keys }
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

/// Sort key of a route: host name, then prefix length (longest first), then prefix.
fn route_key(rule: &RouteRule) -> (&str, std::cmp::Reverse<usize>, &str) {
    (&rule.host, std::cmp::Reverse(rule.prefix.len()), &rule.prefix)
}
