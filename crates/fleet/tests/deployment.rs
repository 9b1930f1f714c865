//! Checks of deployment plans, and route lookup.

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_fleet::deployment::{
    CallerLimits, DeploymentPlan, PlanError, RepeatKind, RouteBook, RouteRule, ServiceSpec,
    TeamKeys, WeightedTarget,
};
use briartray_model::names::{ServiceName, TeamName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RepeatKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(150),
        target_gap: None,
        priority: 1,
        max_attempts: 2,
        public: false,
        targets: vec![WeightedTarget { service: ServiceName::new("ledger"), weight: 1 }],
    }
}

fn plan(routes: Vec<RouteRule>) -> DeploymentPlan {
    DeploymentPlan {
        version: 1,
        routes,
        services: vec![ServiceSpec {
            name: ServiceName::new("ledger"),
            health_path: "/health".to_owned(),
            cold: None,
            max_connections: 10,
            engine: None,
        }],
        limits: CallerLimits {
            max_head_bytes: 1 << 14,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: vec![team("desk", &["key-1", "key-2"]), team("buyers", &["key-3"])],
    }
}

fn team(name: &str, keys: &[&str]) -> TeamKeys {
    TeamKeys {
        name: TeamName::new(name),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
    }
}

#[test]
fn the_longest_prefix_wins() {
    let routes =
        vec![route("all", "a", "/"), route("docs", "a", "/docs/"), route("new", "a", "/docs/new/")];
    let book = RouteBook::compile(plan(routes));

    let found = |path| book.find("a", path).map(|rule| rule.name.clone());

    assert_eq!(found("/docs/new/x").as_deref(), Some("new"));
    assert_eq!(found("/docs/newer").as_deref(), Some("docs"));
    assert_eq!(found("/x").as_deref(), Some("all"));
    assert_eq!(book.find("b", "/docs/"), None);
}

/// Routes are found by binary search over the prefixes of a path. For any set of routes, the result
/// must be the same as that of a linear search.
#[test]
fn lookup_agrees_with_a_linear_search() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let part = |random: &mut ChaCha8Rng| ["a", "b", "cc"][random.random_range(0..3)];
    let path = |random: &mut ChaCha8Rng| -> String {
        let parts: Vec<&str> = (0..random.random_range(0..4)).map(|_| part(random)).collect();
        if parts.is_empty() { "/".to_owned() } else { format!("/{}/", parts.join("/")) }
    };
    for _ in 0..300 {
        let mut routes: Vec<RouteRule> = Vec::new();
        for number in 0..random.random_range(1..12) {
            let (host, prefix) = (part(&mut random).to_owned(), path(&mut random));
            if !routes.iter().any(|known| known.host == host && known.prefix == prefix) {
                routes.push(route(&format!("r{number}"), &host, &prefix));
            }
        }
        let book = RouteBook::compile(plan(routes.clone()));
        for _ in 0..20 {
            let (host, asked) = (part(&mut random), format!("{}x", path(&mut random)));
            let naive = routes
                .iter()
                .filter(|rule| rule.host == host && asked.starts_with(&rule.prefix))
                .max_by_key(|rule| rule.prefix.len());
            assert_eq!(book.find(host, &asked), naive, "{host} {asked}");
        }
    }
}

#[test]
fn keys_identify_their_team() {
    let book = RouteBook::compile(plan(vec![route("all", "a", "/")]));

    assert_eq!(book.access("key-3").map(|access| access.team.as_str()), Some("buyers"));
    assert_eq!(book.access("key-4"), None);
}

#[test]
fn an_unknown_service_is_rejected() {
    let mut wrong = route("lost", "a", "/");
    wrong.targets[0].service = ServiceName::new("nowhere");

    assert_matches!(plan(vec![wrong]).check(), Err(PlanError::UnknownService { .. }));
}

#[test]
fn duplicate_host_and_prefix_are_rejected() {
    let routes = vec![route("one", "a", "/x/"), route("two", "a", "/x/")];

    assert_matches!(plan(routes).check(), Err(PlanError::DuplicateRoute { .. }));
}

#[test]
fn zero_weights_are_rejected() {
    let mut wrong = route("idle", "a", "/");
    wrong.targets[0].weight = 0;

    assert_matches!(plan(vec![wrong]).check(), Err(PlanError::ZeroWeight { .. }));
}

#[test]
fn a_zero_timeout_is_rejected() {
    let mut wrong = route("hasty", "a", "/");
    wrong.timeout = Duration::ZERO;

    assert_matches!(plan(vec![wrong]).check(), Err(PlanError::ZeroTimeout { .. }));
}

#[test]
fn a_key_of_two_teams_is_rejected() {
    let mut wrong = plan(vec![route("all", "a", "/")]);
    wrong.teams.push(team("late", &["key-1"]));

    assert_matches!(wrong.check(), Err(PlanError::SharedKey { .. }));
}
