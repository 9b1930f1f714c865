//! A whole fleet on loopback in one process: control, entry, agents and stand-in engines.

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

/// Rules that a demonstration starts with.
const DEMO_RULES: &str = include_str!("../../../examples/demo/rules.yaml");

/// Secret between the processes of a demonstration; it never leaves loopback.
const DEMO_TOKEN: &str = "demonstration-only";

/// Service of the engines.
const ENGINE_SERVICE: &str = "desk";

/// Service of the plain services.
const PLAIN_SERVICE: &str = "ledger";

/// How often readiness is looked at.
const READY_CHECK: Duration = Duration::from_millis(20);

/// Why a demonstration could not start.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// A role could not start.
    #[snafu(display("{source}"), context(false))]
    Daemon {
        /// Why.
        source: DaemonError,
    },
    /// A stand-in could not start.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Why.
        source: ListenError,
    },
    /// Files or ports are not to be had.
    #[snafu(display("{source}; free a port or name another data folder"), context(false))]
    System {
        /// What the system said.
        source: std::io::Error,
    },
}

/// What a demonstration consists of.
#[derive(Debug, Clone)]
pub struct DemoPlan {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Folder for durable state; a temporary one when absent.
    pub data_folder: Option<PathBuf>,
    /// Engines, each on a host of its own.
    pub engines: u32,
    /// Plain services, each on a host of its own.
    pub services: u32,
    /// Time of one engine step.
    pub step: Duration,
    /// Requests that one engine step can hold.
    pub batch: usize,
    /// Blocks that the prefix cache of one engine holds.
    pub cache_blocks: usize,
    /// Faults of every engine.
    pub engine_faults: FaultPlan,
    /// Faults of every plain service.
    pub service_faults: FaultPlan,
    /// File that every process writes its spans to; none when absent.
    pub trace_file: Option<PathBuf>,
    /// Rule document.
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

/// A running demonstration.
pub struct DemoFleet {
    /// Control and entry in one.
    front: RunningDaemon,
    agents: Vec<RunningDaemon>,
    engines: Vec<StandinEngine>,
    services: Vec<StandinService>,
    folder: PathBuf,
    _temporary: Option<TempDir>,
}

impl DemoFleet {
    /// Starts everything that `plan` names.
    ///
    /// # Errors
    /// A `DemoError` that names the remedy.
    pub fn start(plan: &DemoPlan) -> Result<Self, DemoError> {
        let (folder, temporary) = make_folder(plan.data_folder.as_deref())?;
        let rules = folder.join("first-rules.yaml");
        std::fs::write(&rules, &plan.rules)?;
        let peer = ControlPeer { node: NodeName::new("front"), link: free_address()? };
        let cluster = ClusterSettings { token: DEMO_TOKEN.to_owned(), control: vec![peer.clone()] };
        let front = RunningDaemon::start(&front_settings(plan, &cluster, &peer, &folder, &rules))?;
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
        Ok(Self { front, agents, engines, services, folder, _temporary: temporary })
    }

    /// Waits until a request to every service would be taken; `false` when `limit` passes first.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.front.entry.as_ref().is_some_and(|entry| self.serves_all(entry)) {
                return true;
            }
            std::thread::sleep(READY_CHECK);
        }
        false
    }

    /// Whether every service that has hosts here has a whole group.
    fn serves_all(&self, entry: &EntryNode) -> bool {
        let hosted = [(ENGINE_SERVICE, self.engines.len()), (PLAIN_SERVICE, self.services.len())];
        let served = hosted.iter().all(|(name, hosts)| *hosts == 0 || entry.whole_groups(name) > 0);
        served && entry.is_ready()
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        let entry = self.front.entry.as_ref().expect("a demonstration has an entry");
        entry.address()
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        let control = self.front.control.as_ref().expect("a demonstration has a control role");
        control.operator_address()
    }

    /// Where the engines listen.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(StandinEngine::address).collect()
    }

    /// Where the plain services listen.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.services.iter().map(StandinService::address).collect()
    }

    /// The engines, to ask what they ran.
    pub fn engines(&self) -> &[StandinEngine] {
        &self.engines
    }

    /// The plain services, to ask what they ran.
    pub fn services(&self) -> &[StandinService] {
        &self.services
    }

    /// Folder for durable state.
    pub fn data_folder(&self) -> &Path {
        &self.folder
    }

    /// Stops the agent with this number, as if its process had been killed.
    pub fn stop_agent(&self, number: usize) {
        if let Some(agent) = self.agents.get(number) {
            agent.stop();
        }
    }

    /// Why the demonstration ended by itself, if it did.
    pub fn failure(&self) -> Option<&str> {
        self.front.failure()
    }

    /// Stops everything.
    pub fn stop(&self) {
        self.front.stop();
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

fn make_folder(given: Option<&Path>) -> std::io::Result<(PathBuf, Option<TempDir>)> {
    match given {
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

fn front_settings(
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
