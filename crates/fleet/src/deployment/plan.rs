//! The deployment plan of an operator and the checks that it must pass.

use std::time::Duration;

use briartray_model::names::{ServiceName, TeamName};
use briartray_model::{plain_choice, plain_value};
use snafu::{Snafu, ensure};

use super::EngineModel;
use crate::limit::EndpointRate;

plain_choice! {
    /// Whether and how a request may be repeated.
    pub enum RepeatKind {
        /// The request may run any number of times.
        Idempotent,
        /// The request may run at most once.
        Once,
        /// The answer is a stream of numbered events.
        Stream {
            /// Whether another replica may resume the stream after the last delivered event.
            resumable: bool,
        },
    }
}

impl RepeatKind {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        self != Self::Once && self != Self::Stream { resumable: false }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

plain_value! {
    /// A service with its weight among the targets of a route.
    pub struct WeightedTarget {
        /// The service.
        pub service: ServiceName,
        /// Relative share of the route's requests.
        pub weight: u32,
    }

    /// A route: requests that match host name and path prefix go to these services on these terms.
    pub struct RouteRule {
        /// Name of the route.
        pub name: String,
        /// Host name that callers use.
        pub host: String,
        /// Path prefix; begins and ends with a slash.
        pub prefix: String,
        /// Whether requests may be repeated.
        pub kind: RepeatKind,
        /// Longest time that a caller waits for an answer.
        pub timeout: Duration,
        /// Target for the time to the first part of an answer.
        pub target_latency: Duration,
        /// Target for the longest gap between two events of an answer.
        pub target_gap: Option<Duration>,
        /// Priority; zero is the most urgent.
        pub priority: u8,
        /// Maximum number of replicas that may run one request.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub public: bool,
        /// Services that requests are distributed over.
        pub targets: Vec<WeightedTarget>,
    }

    /// Rate limit of the endpoints of a service while they are cold.
    #[derive(Copy)]
    pub struct ColdTerms {
        /// Rate that one endpoint accepts from all entries together.
        pub rate: EndpointRate,
        /// Time after its start for which an endpoint is cold.
        pub lasts: Duration,
    }

    /// A service that requests are sent to.
    pub struct ServiceSpec {
        /// Its name.
        pub name: ServiceName,
        /// Path of the health check.
        pub health_path: String,
        /// Connections that one endpoint accepts from all processes together.
        pub max_connections: u32,
        /// Rate limit of a cold endpoint, if it accepts less than a warm one.
        pub cold: Option<ColdTerms>,
        /// Capacity and timing of its engines, if it serves models on groups of hosts.
        pub engine: Option<EngineModel>,
    }

    /// The keys of one team.
    pub struct TeamKeys {
        /// The team.
        pub name: TeamName,
        /// Keys that its callers present.
        pub keys: Vec<String>,
        /// Priority of the team's requests; overrides that of the route.
        pub priority: Option<u8>,
    }

    /// Limits on what callers may send.
    pub struct CallerLimits {
        /// Largest request head, in bytes.
        pub max_head_bytes: usize,
        /// Largest request body, in bytes.
        pub max_body_bytes: usize,
        /// Time within which a request head must arrive.
        pub head_timeout: Duration,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Duration,
    }

    /// A complete deployment plan, the configuration that an operator submits. The plan with the
    /// highest version is in force.
    pub struct DeploymentPlan {
        /// Its version.
        pub version: u64,
        /// Routes, in the order in which they are declared.
        pub routes: Vec<RouteRule>,
        /// Declared services.
        pub services: Vec<ServiceSpec>,
        /// Limits on callers.
        pub limits: CallerLimits,
        /// Teams. If there are none, no key is required.
        pub teams: Vec<TeamKeys>,
    }
}

/// Reason why a deployment plan is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// The text is not a valid configuration.
    #[snafu(display("the configuration is not valid: {detail}; send a complete one"))]
    Unreadable {
        /// What is invalid, and where.
        detail: String,
    },
    /// A route refers to a service that is not declared.
    #[snafu(display(
        "route {route} names service {service}, which is not declared; declare it or correct the route"
    ))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// Two routes have the same host name and path prefix.
    #[snafu(display("two routes have host {host} and path prefix {prefix}; remove one of them"))]
    DuplicateRoute {
        /// Host name.
        host: String,
        /// Path prefix.
        prefix: String,
    },
    /// The weights of a route add up to zero, so none of its requests would have a target.
    #[snafu(display("the weights of route {route} add up to 0; set at least one to 1 or more"))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[snafu(display("the timeout of route {route} is 0; set a longer one"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two teams hold the same key.
    #[snafu(display("teams {first} and {second} have the same key; give each its own"))]
    SharedKey {
        /// Name of one team.
        first: String,
        /// Name of the other team.
        second: String,
    },
}

impl DeploymentPlan {
    /// Checks the whole plan.
    ///
    /// # Errors
    /// The first `PlanError` that is found.
    pub fn check(&self) -> Result<(), PlanError> {
        self.routes.iter().try_for_each(|route| self.check_route(route))?;
        self.check_duplicate_routes()?;
        self.check_keys()
    }

    /// Returns the declared service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == *name)
    }

    fn check_route(&self, route: &RouteRule) -> Result<(), PlanError> {
        let name = || route.name.clone();
        ensure!(!route.timeout.is_zero(), ZeroTimeoutSnafu { route: name() });
        for target in &route.targets {
            let service = target.service.as_str();
            let known = self.service(&target.service).is_some();
            ensure!(known, UnknownServiceSnafu { route: name(), service });
        }
        let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        ensure!(total > 0, ZeroWeightSnafu { route: name() });
        Ok(())
    }

    fn check_duplicate_routes(&self) -> Result<(), PlanError> {
        let mut route_keys: Vec<(&str, &str)> =
            self.routes.iter().map(|route| (&*route.host, &*route.prefix)).collect();
        route_keys.sort_unstable();
        match route_keys.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => DuplicateRouteSnafu { host: pair[0].0, prefix: pair[0].1 }.fail(),
            None => Ok(()),
        }
    }

    fn check_keys(&self) -> Result<(), PlanError> {
        let mut keys: Vec<(&str, &str)> = self
            .teams
            .iter()
            .flat_map(|team| team.keys.iter().map(|key| (&**key, team.name.as_str())))
            .collect();
        keys.sort_unstable();
        let shared = keys.windows(2).find(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1);
        match shared {
            Some(pair) => SharedKeySnafu { first: pair[0].1, second: pair[1].1 }.fail(),
            None => Ok(()),
        }
    }
}
