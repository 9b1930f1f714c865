//! A complete fleet on loopback in one process: control host, entry, agents, and stand-in engines
//! and services.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use briartray_model::names::NodeName;
use briartray_model::settings::{
    AgentSettings, ClusterSettings, ControlPeer, ControlSettings, DaemonSettings, EndpointKind,
    EndpointSettings, EntrySettings,
};
use briartray_node::entry::EntryNode;
use briartray_node::{DaemonError, RunningDaemon};
use briartray_standin::engine::{EngineSettings, StandinEngine};
use briartray_standin::fault::FaultPlan;
use briartray_standin::free_address;
use briartray_standin::service::{ServiceSettings, StandinService};
use briartray_web::ListenError;
use snafu::Snafu;
use tempfile::TempDir;

/// Default rule document of a demonstration.
const DEMO_RULES: &str = include_str!("../../../examples/demo/rules.yaml");

/// Cluster token of a demonstration; it is used on loopback only.
const DEMO_TOKEN: &str = "demonstration-only";

/// Service name of the engines.
const ENGINE_SERVICE: &str = "desk";

/// Service name of the plain services.
const PLAIN_SERVICE: &str = "ledger";

/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a demonstration could not start.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A role of the daemon could not start.
    #[snafu(display("{source}"), context(false))]
    Daemon {
        /// Cause.
        source: DaemonError,
    },
    /// A stand-in could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// A file or port was unavailable.
    #[snafu(display("{source}; free a port or choose another data folder"), context(false))]
    System {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Composition of a demonstration fleet.
#[derive(Debug, Clone)]
pub struct DemoPlan {
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address for operators.
    pub operator: SocketAddr,
    /// Folder for durable state; a temporary folder if absent.
    pub data_folder: Option<PathBuf>,
    /// Number of engines, each on a host of its own.
    pub engines: u32,
    /// Number of plain services, each on a host of its own.
    pub services: u32,
    /// Duration of one engine step.
    pub step: Duration,
    /// Maximum number of requests in one engine step.
    pub batch: usize,
    /// Capacity of the prefix cache of each engine, in blocks.
    pub cache_blocks: usize,
    /// Faults that every engine injects.
    pub engine_faults: FaultPlan,
    /// Faults that every plain service injects.
    pub service_faults: FaultPlan,
    /// File that every node appends its trace spans to; no tracing if absent.
    pub trace_file: Option<PathBuf>,
    /// Rule document in YAML.
    pub rules: String,
}

impl Default for DemoPlan {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            operator: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            data_folder: None,
            engines: 4,
            services: 2,
            step: Duration::from_millis(8),
            batch: 256,
            cache_blocks: 4096,
            engine_faults: FaultPlan::default(),
            service_faults: FaultPlan::default(),
            trace_file: None,
            rules: DEMO_RULES.to_owned(),
        }
    }
}

/// A running demonstration fleet.
pub struct DemoFleet {
    /// Daemon with both the control role and the entry role.
    control_entry: RunningDaemon,
    agents: Vec<RunningDaemon>,
    engines: Vec<StandinEngine>,
    services: Vec<StandinService>,
    folder: PathBuf,
    _temporary: Option<TempDir>,
}

impl DemoFleet {
    /// Starts all parts of `plan`.
    ///
    /// # Errors
    /// `DemoError` if a role or stand-in cannot start, or a file or port is unavailable.
    pub fn start(plan: &DemoPlan) -> Result<Self, DemoError> {
        let (folder, temporary) = create_data_folder(plan.data_folder.as_deref())?;
        let rules = folder.join("first-rules.yaml");
        std::fs::write(&rules, &plan.rules)?;
        let peer = ControlPeer { node: NodeName::new("front"), link: free_address()? };
        let cluster = ClusterSettings { token: DEMO_TOKEN.to_owned(), control: vec![peer.clone()] };
        let control_entry =
            RunningDaemon::start(&control_entry_settings(plan, &cluster, &peer, &folder, &rules))?;
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for number in 0..plan.engines {
            let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let settings = EngineSettings::new(listen)
                .step(plan.step)
                .batch(plan.batch)
                .cache_blocks(plan.cache_blocks)
                .seed(u64::from(number))
                .faults(plan.engine_faults.clone());
            let engine = StandinEngine::start(settings)?;
            let endpoint =
                EndpointSettings::new(engine.address(), ENGINE_SERVICE, EndpointKind::Engine);
            agents.push(RunningDaemon::start(&agent_settings(plan, &cluster, number, endpoint))?);
            engines.push(engine);
        }
        let mut services = Vec::new();
        for number in plan.engines..plan.engines + plan.services {
            let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let settings = ServiceSettings::new(listen).faults(plan.service_faults.clone());
            let service = StandinService::start(settings)?;
            let endpoint =
                EndpointSettings::new(service.address(), PLAIN_SERVICE, EndpointKind::Plain);
            agents.push(RunningDaemon::start(&agent_settings(plan, &cluster, number, endpoint))?);
            services.push(service);
        }
        Ok(Self { control_entry, agents, engines, services, folder, _temporary: temporary })
    }

    /// Waits until the entry accepts requests to every service; `false` if it does not within
    /// `limit`, or the control host fails.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit && self.failure().is_none() {
            if self.control_entry.entry.as_ref().is_some_and(|entry| self.serves_all(entry)) {
                return true;
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        false
    }

    /// Whether the entry is ready and every service with hosts has a whole group.
    fn serves_all(&self, entry: &EntryNode) -> bool {
        let hosted = [(ENGINE_SERVICE, self.engines.len()), (PLAIN_SERVICE, self.services.len())];
        let served = hosted.iter().all(|(name, hosts)| *hosts == 0 || entry.whole_groups(name) > 0);
        served && entry.is_ready()
    }

    /// Address of the entry, where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        let entry = self.control_entry.entry.as_ref().expect("a demonstration has an entry");
        entry.address()
    }

    /// Address of the operators' port.
    pub fn operator_address(&self) -> SocketAddr {
        let control =
            self.control_entry.control.as_ref().expect("a demonstration has a control role");
        control.operator_address()
    }

    /// Listening addresses of the engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(StandinEngine::address).collect()
    }

    /// Listening addresses of the plain services.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(StandinService::address).collect()
    }

    /// Stand-in engines, whose run logs can be read.
    pub fn engines(&self) -> &[StandinEngine] {
        &self.engines
    }

    /// Stand-in services, whose run logs can be read.
    pub fn services(&self) -> &[StandinService] {
        &self.services
    }

    /// Folder for durable state.
    pub fn data_folder(&self) -> &Path {
        &self.folder
    }

    /// Stops the agent with this number without draining, as if its process had been killed.
    pub fn stop_agent(&self, number: usize) {
        if let Some(agent) = self.agents.get(number) {
            agent.stop();
        }
    }

    /// Reason why the control host has failed, if it has.
    pub fn failure(&self) -> Option<&str> {
        self.control_entry.failure()
    }

    /// Stops all nodes and stand-ins.
    pub fn stop(&self) {
        self.control_entry.stop();
        for agent in &self.agents {
            agent.stop();
        }
        for engine in &self.engines {
            engine.stop();
        }
        for service in &self.services {
            service.stop();
        }
    }
}

fn create_data_folder(requested: Option<&Path>) -> std::io::Result<(PathBuf, Option<TempDir>)> {
    match requested {
        Some(folder) => {
            std::fs::create_dir_all(folder)?;
            Ok((folder.to_owned(), None))
        }
        None => {
            let temporary = tempfile::Builder::new().prefix("briartray-demo-").tempdir()?;
            Ok((temporary.path().to_owned(), Some(temporary)))
        }
    }
}

fn control_entry_settings(
    plan: &DemoPlan,
    cluster: &ClusterSettings,
    peer: &ControlPeer,
    folder: &Path,
    rules: &Path,
) -> DaemonSettings {
    let control = ControlSettings::new(peer.link, plan.operator, &folder.join("control"));
    DaemonSettings::new(peer.node.as_str(), "local-a", cluster)
        .trace_file(plan.trace_file.as_deref())
        .entry(EntrySettings::new(plan.listen))
        .control(control.first_rules(rules))
}

fn agent_settings(
    plan: &DemoPlan,
    cluster: &ClusterSettings,
    number: u32,
    endpoint: EndpointSettings,
) -> DaemonSettings {
    let link = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let agent = AgentSettings::new(link, &format!("host-{number}"), endpoint).domain("rack-1");
    DaemonSettings::new(&format!("agent-{number}"), "local-a", cluster)
        .trace_file(plan.trace_file.as_deref())
        .agent(agent)
}
