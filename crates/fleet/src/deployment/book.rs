//! The ordered rules that entries decide by.
//!
//! Routes become one list of when-then rules: for each host name the longest prefix first, so
//! that the first rule that matches is the most specific one. The list is sorted, and a path has
//! few prefixes that end with a slash, so each of them is looked up by binary search: hundreds
//! of routes cost no more than ten.

use std::cmp::Ordering;

use briartray_model::SortedTable;
use briartray_model::names::{ServiceName, TeamName};

use super::{DeploymentPlan, RouteRule, ServiceSpec};

/// What a key opens.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamAccess {
    /// The team that holds the key.
    pub team: TeamName,
    /// Rank of its requests, when it has one of its own.
    pub priority: Option<u8>,
}

/// Rules and keys of one declaration, compiled for lookup.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteBook {
    plan: DeploymentPlan,
    keys: SortedTable<String, TeamAccess>,
}

impl RouteBook {
    /// Compiles `plan`, which must have passed its check.
    pub fn compile(mut plan: DeploymentPlan) -> Self {
        plan.routes.sort_by(|a, b| place(a).cmp(&place(b)));
        let mut keys = SortedTable::new();
        for team in &plan.teams {
            for key in &team.keys {
                let access = TeamAccess { team: team.name.clone(), priority: team.priority };
                keys.insert(key.clone(), access);
            }
        }
        Self { plan, keys }
    }

    /// Version of the declaration.
    pub fn version(&self) -> u64 {
        self.plan.version
    }

    /// The declaration.
    pub fn plan(&self) -> &DeploymentPlan {
        &self.plan
    }

    /// The first rule that matches: the longest prefix of `path` under `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(end, _)| &path[..=end]).find_map(|prefix| self.rule_at(host, prefix))
    }

    /// Whether callers need a key.
    pub fn needs_key(&self, rule: &RouteRule) -> bool {
        !rule.public && !self.plan.teams.is_empty()
    }

    /// Who holds `key`.
    pub fn access(&self, key: &str) -> Option<&TeamAccess> {
        self.keys.find(|known| known.as_str().cmp(key))
    }

    /// The declared service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.plan.service(name)
    }

    fn rule_at(&self, host: &str, prefix: &str) -> Option<&RouteRule> {
        let wanted = (host, std::cmp::Reverse(prefix.len()), prefix);
        let compare = |rule: &RouteRule| -> Ordering { place(rule).cmp(&wanted) };
        let found = self.plan.routes.binary_search_by(compare).ok()?;
        self.plan.routes.get(found)
    }
}

/// Where a rule stands: by host name, then longest prefix first.
fn place(rule: &RouteRule) -> (&str, std::cmp::Reverse<usize>, &str) {
    (&rule.host, std::cmp::Reverse(rule.prefix.len()), &rule.prefix)
}
