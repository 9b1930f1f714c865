//! `briartray measure leader`: time that the leader of a fleet of registered endpoints spends on
//! its decisions, by the number of entries and endpoints: on one report of an entry, the reply to
//! it, one view and one step of the director.

use std::time::{Duration, Instant};

use briartray_fleet::deployment::{
    CallerLimits, DeploymentPlan, EngineModel, ModelSpec, ServiceSpec,
};
use briartray_fleet::director::{
    DirectorOutput, EndpointHeartbeat, EndpointReport, FleetDirector, GroupMembership, MemberState,
    OrderOutcome,
};
use briartray_fleet::message::{EntryReport, GroupActivity, ViewVersion};
use briartray_fleet::state::{FleetCommand, FleetState, GroupHost, GroupRecord};
use briartray_model::message::AllowanceReport;
use briartray_model::names::{DomainName, GroupId, IncarnationId, NodeName, ServiceName, ZoneName};
use briartray_model::{TimePoint, codec};
use gumdrop::Options;
use serde_json::json;

use super::super::{CommandError, OutputFormat};

/// Numbers of entries and endpoints: a base size, each number doubled, both doubled,
/// both quadrupled.
const SIZES: [(usize, usize); 5] =
    [(129, 760), (258, 760), (129, 1_520), (258, 1_520), (516, 3_040)];

/// Endpoints in one fabric domain.
const DOMAIN_ENDPOINTS: usize = 19;

/// Groups in one fabric domain, each with its model and its number of endpoints.
const DOMAIN_GROUPS: [(&str, usize); 3] = [("large", 8), ("small", 4), ("small", 4)];

/// Calls over which each mean time is taken.
const TIMED_CALLS: u32 = 200;

/// Untimed steps at the start, in which the director probes the endpoints and acts on the results.
const WARM_UP_STEPS: usize = 40;

/// Time between two timed steps.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Options)]
pub(super) struct LeaderOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "text or json", meta = "FORMAT")]
    output: OutputFormat,
}

/// Mean times at one size of the fleet.
struct LeaderCost {
    entries: usize,
    endpoints: usize,
    /// Recording one report of an entry.
    report: Duration,
    /// Collecting the loads of the other entries for the reply.
    loads: Duration,
    /// Building one view.
    view: Duration,
    /// One step of the director.
    step: Duration,
    /// Bytes of the complete encoded view.
    view_bytes: usize,
}

pub(super) fn run(options: &LeaderOptions) -> Result<(), CommandError> {
    let costs: Vec<LeaderCost> = SIZES
        .iter()
        .map(|(entries, endpoints)| LeaderTrial::new(*entries, *endpoints).run())
        .collect();
    if options.output == OutputFormat::Json {
        let rows: Vec<_> = costs.iter().map(LeaderCost::json).collect();
        println!("{}", json!(rows));
        return Ok(());
    }
    println!("entries  endpoints  report us  loads us   view us   step us  view bytes");
    for cost in &costs {
        let [report, loads, view, step] = cost.micros();
        println!(
            "{:>7}  {:>9}  {report:>9.1}  {loads:>8.1}  {view:>8.1}  {step:>8.1}  {:>10}",
            cost.entries, cost.endpoints, cost.view_bytes
        );
    }
    Ok(())
}

impl LeaderCost {
    fn micros(&self) -> [f64; 4] {
        [self.report, self.loads, self.view, self.step].map(|time| time.as_secs_f64() * 1e6)
    }

    fn json(&self) -> serde_json::Value {
        let [report, loads, view, step] = self.micros();
        json!({
            "entries": self.entries, "endpoints": self.endpoints, "report_us": report,
            "loads_us": loads, "view_us": view, "step_us": step, "view_bytes": self.view_bytes,
        })
    }
}

/// A director together with the state and deployment plan of its fleet.
struct LeaderTrial {
    entries: usize,
    endpoints: usize,
    now: TimePoint,
    plan: DeploymentPlan,
    state: FleetState,
    director: FleetDirector,
}

impl LeaderTrial {
    fn new(entries: usize, endpoints: usize) -> Self {
        let now = TimePoint(1_000_000);
        let mut state = FleetState::default();
        (0..endpoints / DOMAIN_ENDPOINTS).for_each(|domain| form_groups(&mut state, domain));
        let mut director = FleetDirector::new(now, &FleetState::default());
        for heartbeat in endpoint_heartbeats(&state, endpoints) {
            director.heartbeat(now, heartbeat);
        }
        let mut trial = Self { entries, endpoints, now, plan: plan(), state, director };
        for _ in 0..WARM_UP_STEPS {
            trial.step(Duration::from_millis(100));
        }
        (0..entries).for_each(|entry| trial.report(entry));
        trial
    }

    fn run(mut self) -> LeaderCost {
        let mut calls = 0;
        let report = mean_time(|| {
            calls += 1;
            self.report(calls % self.entries);
        });
        let own_report = self.report_of(0);
        let loads =
            mean_time(|| drop(std::hint::black_box(self.director.loads_of_others(&own_report))));
        let version = ViewVersion::default();
        let make_view =
            |trial: &Self| trial.director.view(trial.now, &trial.state, &trial.plan, version);
        let view = mean_time(|| drop(std::hint::black_box(make_view(&self))));
        let view_bytes = codec::encode(&make_view(&self).whole()).map_or(0, |bytes| bytes.len());
        let step = mean_time(|| self.step(STEP_INTERVAL));
        let (entries, endpoints) = (self.entries, self.endpoints);
        LeaderCost { entries, endpoints, report, loads, view, step, view_bytes }
    }

    fn report(&mut self, entry: usize) {
        let report = self.report_of(entry);
        self.director.report(self.now, &report, &self.state);
    }

    /// Report of an entry that has requests running on every other group.
    fn report_of(&self, entry: usize) -> EntryReport {
        let used_groups =
            self.state.groups().keys().enumerate().filter(|(at, _)| (at + entry).is_multiple_of(2));
        let activity = |(_, group): (usize, &GroupId)| GroupActivity {
            group: *group,
            quiet_ms: Some(20),
            running: 1,
            suspect: false,
            unread_ms: 0,
        };
        EntryReport {
            node: NodeName::new(&format!("10.{}.0.{}", entry % 5, entry / 5)),
            nonce: 1,
            plan: Some(1),
            view: ViewVersion::default(),
            settled: true,
            pulses: used_groups.map(activity).collect(),
            demand: Vec::new(),
            serving: true,
            prints: ViewVersion::default(),
            whole_parts: Vec::new(),
            retries: AllowanceReport::default(),
            runs: Vec::new(),
            limits: Vec::new(),
        }
    }

    /// Runs one step; its probes and orders are answered immediately.
    fn step(&mut self, time: Duration) {
        self.now = self.now.after(time);
        let output = self.director.step(self.now, &self.state, &self.plan);
        let DirectorOutput { orders, probes, commands } = output;
        for command in commands {
            self.state.apply(&command);
            self.director.command_done();
        }
        for probe in probes {
            let known = self.director.hosts().get(&probe.id);
            let report = known.map(|host| host.heartbeat.report.clone());
            self.director.probed(self.now, &probe.id, report);
        }
        for order in orders {
            self.director.ordered(self.now, &order, OrderOutcome::Holds);
        }
    }
}

/// Mean time of one call of `work`.
fn mean_time(mut work: impl FnMut()) -> Duration {
    let began = Instant::now();
    (0..TIMED_CALLS).for_each(|_| work());
    began.elapsed() / TIMED_CALLS
}

fn endpoint_id(number: usize) -> IncarnationId {
    // Identifiers are spread over the whole range, as random ones are.
    let name = (number as u64).wrapping_mul(2_654_435_761) % 0xff_ffff_ffff;
    IncarnationId::started(&format!("i-{name:010x}"), Some(1))
}

fn address_of(number: usize) -> String {
    format!(
        "10.{}.{}.{}:8000",
        number / DOMAIN_ENDPOINTS % 5,
        number / DOMAIN_ENDPOINTS,
        number % DOMAIN_ENDPOINTS
    )
}

fn domain_name(domain: usize) -> DomainName {
    DomainName::new(&format!("domain-{domain}"))
}

fn form_groups(state: &mut FleetState, domain: usize) {
    let mut next = domain * DOMAIN_ENDPOINTS;
    for (model, size) in DOMAIN_GROUPS {
        let host = |number| GroupHost { id: endpoint_id(number), address: address_of(number) };
        let members = (next..next + size).map(host).collect();
        next += size;
        state.apply(&FleetCommand::FormGroup(GroupRecord {
            service: ServiceName::new("desk"),
            model: model.to_owned(),
            domain: domain_name(domain),
            zone: ZoneName::new("zone"),
            members,
            standby: false,
        }));
    }
}

/// First heartbeats of all endpoints, each with its membership in the groups of `state`.
fn endpoint_heartbeats(state: &FleetState, endpoints: usize) -> Vec<EndpointHeartbeat> {
    let mut memberships: Vec<(IncarnationId, GroupMembership)> = Vec::new();
    for (group, record) in state.groups().iter() {
        for (position, member) in record.members.iter().enumerate() {
            let state = if position == 0 { MemberState::Open } else { MemberState::Ready };
            memberships.push((member.id.clone(), GroupMembership { group: *group, state }));
        }
    }
    memberships.sort_by(|(a, _), (b, _)| a.cmp(b));
    let heartbeat = |number: usize| {
        let id = endpoint_id(number);
        let found = memberships.binary_search_by(|(known, _)| known.cmp(&id)).ok();
        EndpointHeartbeat {
            service: ServiceName::new("desk"),
            address: address_of(number),
            zone: ZoneName::new("zone"),
            slots: 28,
            leaving: false,
            cold_ms: 0,
            sequence: 1,
            report: EndpointReport {
                domain: Some(domain_name(number / DOMAIN_ENDPOINTS)),
                staged: vec!["large".to_owned()],
                mark: found.map(|at| memberships[at].1.clone()),
                pace: Some(1.0),
                busy: Some(false),
            },
            id,
        }
    };
    (0..endpoints).map(heartbeat).collect()
}

fn plan() -> DeploymentPlan {
    let model = |name: &str, size, pace| ModelSpec {
        name: name.to_owned(),
        size,
        share: 0.5,
        pace,
        load_time: Duration::from_secs(14),
        warmup: Duration::from_millis(1_400),
    };
    let engine = EngineModel {
        slots: 28,
        kv_tokens: 1_860_000,
        stride: 7,
        step: Duration::from_micros(7_800),
        per_writer_ms: 0.09,
        per_context_ms: 0.01,
        read_rate: 45_900.0,
        pairs_ms: 0.43,
        chunk: 2_048,
        loads_per_second: 64.0,
        loads_at_once: 94,
        formation: Duration::from_millis(300),
        usual_prompt: 900,
        usual_answer: 135,
        models: vec![model("large", 8, 1.0), model("small", 4, 0.6)],
    };
    let limits = CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let service = ServiceSpec {
        name: ServiceName::new("desk"),
        health_path: "/health".to_owned(),
        max_connections: 400,
        cold: None,
        engine: Some(engine),
    };
    DeploymentPlan {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
        teams: Vec::new(),
    }
}
