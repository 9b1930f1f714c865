//! Shapes of generated traces: services, fabric domains, spare hosts and event rates of a fleet.

use briartray_model::names::{DomainName, HostName, ProviderName, RuleName, ServiceName, ZoneName};
use briartray_model::plain_choice;
use briartray_model::rules::{
    PlaceAction, RuleAction, RuleCondition, RuleDocument, RuleEntry, ServiceDeclaration,
    ServiceKind,
};

use super::super::trace::TraceEvent;

plain_choice! {
    /// Fleet and events of a generated trace.
    pub enum TraceShape {
        /// The current fleet of the customer Parkland over 30 days.
        Parkland,
        /// The current fleet of the customer Hollis & Pratt over 30 days.
        Hollis,
        /// 2,800 replicas on 22,000 accelerators; an ordinary day and the loss of a switch.
        Design,
        /// Replicas of 8 to 32 hosts on 22,000 accelerators; otherwise as `Design`.
        Large,
        /// The fleet of 2,800 replicas; a day with all kinds of failures that occur within a year.
        Mixed,
    }
}

impl std::str::FromStr for TraceShape {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "parkland" => Ok(Self::Parkland),
            "hollis" => Ok(Self::Hollis),
            "design" => Ok(Self::Design),
            "large" => Ok(Self::Large),
            "mixed" => Ok(Self::Mixed),
            _ => Err("use parkland, hollis, design, large, mixed or small"),
        }
    }
}

/// One service of a fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceShape {
    pub(super) name: &'static str,
    pub(super) kind: ServiceKind,
    pub(super) hosts: u32,
    pub(super) replicas: u32,
    pub(super) accelerators: u32,
    /// Spare hosts per fabric domain that has spares.
    pub(super) spares: u32,
    /// One in this many fabric domains has spares.
    pub(super) spare_every: u32,
}

/// A fleet and the rates of its events.
#[derive(Debug, Clone)]
pub(super) struct FleetShape {
    pub(super) zones: u32,
    pub(super) domains_per_zone: u32,
    pub(super) services: Vec<ServiceShape>,
    pub(super) days: f64,
    /// Restarts per host and day.
    pub(super) restart_rate: f64,
    /// Failures per host and day, with an absence of several hours.
    pub(super) failure_rate: f64,
    /// Planned stops per host and day.
    pub(super) stop_rate: f64,
    /// Losses of a switch during the trace; the hosts of the fabric domain keep their weights.
    pub(super) switches: u32,
    /// Losses of power in a fabric domain during the trace; its hosts lose their weights.
    pub(super) power_cuts: u32,
    /// Outages of availability zones during the trace.
    pub(super) zone_losses: u32,
    /// Number of fabric domains whose hosts move to another provider.
    pub(super) migrations: u32,
    pub(super) load_ms: u64,
    pub(super) parallel_loads: u32,
    pub(super) downtime_weight: f64,
    pub(super) stranded_weight: f64,
}

/// Restarts per host and day: 370 a day among 11,000 hosts of two accelerators.
const RESTART_RATE: f64 = 370.0 / 11_000.0;

/// Failures per host and day: 21 a day among 11,000 hosts.
const FAILURE_RATE: f64 = 21.0 / 11_000.0;

/// Downtime and stranded weight of a customer that loses sales with every minute of downtime.
pub(super) const DOWNTIME_FIRST_WEIGHTS: (f64, f64) = (1000.0, 1.0);

/// Downtime and stranded weight of a customer that pays for every idle accelerator.
pub(super) const STRANDED_FIRST_WEIGHTS: (f64, f64) = (10.0, 1.0);

impl FleetShape {
    pub(super) fn of(shape: TraceShape) -> Self {
        match shape {
            TraceShape::Parkland => customer_fleet("desk", 4, 1, DOWNTIME_FIRST_WEIGHTS),
            TraceShape::Hollis => customer_fleet("drafting", 3, 2, STRANDED_FIRST_WEIGHTS),
            TraceShape::Design => design_fleet(),
            TraceShape::Large => large_fleet(),
            TraceShape::Mixed => Self {
                power_cuts: 2,
                switches: 4,
                zone_losses: 1,
                migrations: 3,
                stop_rate: 0.004,
                ..design_fleet()
            },
        }
    }

    /// Rules for the fleet, with `parallel_loads` as limit of the weight store.
    pub(super) fn rules(&self, parallel_loads: u32) -> RuleDocument {
        let place = PlaceAction {
            downtime_weight: self.downtime_weight,
            stranded_weight: self.stranded_weight,
            load_ms: self.load_ms,
            parallel_loads,
            providers: vec!["new".to_owned(), "old".to_owned()],
            ..PlaceAction::default()
        };
        let then = RuleAction { place: Some(place), ..RuleAction::default() };
        let rule = RuleName::new("place");
        let rules = vec![RuleEntry { rule, when: RuleCondition::default(), then }];
        let services = self.services.iter().map(service_declaration).collect();
        RuleDocument { services, teams: Vec::new(), rules }
    }

    /// Arrival events of all hosts at the start, each with the number of the fabric domain.
    pub(super) fn hosts(&self) -> Vec<(u32, TraceEvent)> {
        let domains = self.zones * self.domains_per_zone;
        let mut hosts = Vec::new();
        for service in &self.services {
            for domain in 0..domains {
                let groups =
                    service.replicas / domains + u32::from(domain < service.replicas % domains);
                let spares = if domain % service.spare_every == 0 { service.spares } else { 0 };
                for number in 0..groups * service.hosts + spares {
                    hosts.push((domain, self.host(service, domain, number, "old")));
                }
            }
        }
        hosts
    }

    /// Arrival event of one host.
    pub(super) fn host(
        &self,
        service: &ServiceShape,
        domain: u32,
        number: u32,
        provider: &str,
    ) -> TraceEvent {
        let zone = domain % self.zones;
        let name = format!("{provider}-{}-{domain:03}-{number:04}", service.name);
        TraceEvent::Arrive {
            host: HostName::new(&name),
            zone: ZoneName::new(&format!("zone-{zone}")),
            domain: DomainName::new(&format!("{provider}-{domain:03}")),
            provider: ProviderName::new(provider),
            service: ServiceName::new(service.name),
            accelerators: service.accelerators,
        }
    }
}

fn service_declaration(service: &ServiceShape) -> ServiceDeclaration {
    ServiceDeclaration {
        name: ServiceName::new(service.name),
        kind: service.kind,
        models: Vec::new(),
        hosts_per_replica: service.hosts,
        replicas: service.replicas,
        capacity: 64,
    }
}

const ENGINE_SERVICE: ServiceShape = ServiceShape {
    name: "engine",
    kind: ServiceKind::Engine,
    hosts: 4,
    replicas: 30,
    accelerators: 8,
    spares: 1,
    spare_every: 1,
};

fn customer_fleet(
    name: &'static str,
    hosts: u32,
    spare_every: u32,
    (downtime_weight, stranded_weight): (f64, f64),
) -> FleetShape {
    let engine = ServiceShape { name, hosts, spare_every, ..ENGINE_SERVICE };
    let plain_service = ServiceShape {
        name: if name == "desk" { "pricing" } else { "records" },
        kind: ServiceKind::Plain,
        hosts: 1,
        replicas: 3,
        accelerators: 0,
        spares: 0,
        spare_every: 1,
    };
    FleetShape {
        zones: 3,
        domains_per_zone: 2,
        services: vec![engine, plain_service],
        days: 30.0,
        restart_rate: RESTART_RATE,
        failure_rate: FAILURE_RATE,
        stop_rate: 0.01,
        switches: 1,
        power_cuts: 1,
        zone_losses: 0,
        migrations: 1,
        load_ms: 120_000,
        parallel_loads: 16,
        downtime_weight,
        stranded_weight,
    }
}

/// Hosts with two accelerators: 10,800 in 2,800 replicas, and one spare in each fabric domain.
fn design_fleet() -> FleetShape {
    let chat =
        ServiceShape { name: "chat", hosts: 4, replicas: 2600, accelerators: 2, ..ENGINE_SERVICE };
    let draft =
        ServiceShape { name: "draft", hosts: 2, replicas: 200, accelerators: 2, ..ENGINE_SERVICE };
    FleetShape {
        zones: 29,
        domains_per_zone: 4,
        services: vec![ServiceShape { spares: 1, ..chat }, ServiceShape { spares: 0, ..draft }],
        days: 1.0,
        restart_rate: RESTART_RATE,
        failure_rate: FAILURE_RATE,
        stop_rate: 0.0,
        switches: 1,
        power_cuts: 0,
        zone_losses: 0,
        migrations: 0,
        load_ms: 120_000,
        parallel_loads: 64,
        downtime_weight: DOWNTIME_FIRST_WEIGHTS.0,
        stranded_weight: DOWNTIME_FIRST_WEIGHTS.1,
    }
}

/// Hosts with one accelerator: 21,600 in 1,200 replicas of 8, 16 and 32 hosts.
fn large_fleet() -> FleetShape {
    let service = |name, hosts, replicas| ServiceShape {
        name,
        hosts,
        replicas,
        accelerators: 1,
        spare_every: 1,
        ..ENGINE_SERVICE
    };
    FleetShape {
        services: vec![
            service("wide", 32, 400),
            service("middle", 16, 300),
            service("slim", 8, 500),
        ],
        restart_rate: RESTART_RATE / 2.0,
        failure_rate: FAILURE_RATE / 2.0,
        ..design_fleet()
    }
}
