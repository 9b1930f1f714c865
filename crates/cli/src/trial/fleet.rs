//! A fleet of real processes on loopback.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use briartray_model::lease::HoldPolicy;
use briartray_model::names::NodeName;
use briartray_model::settings::{
    AgentSettings, ClusterSettings, ControlPeer, ControlSettings, DaemonSettings, EndpointKind,
    EndpointSettings, EntrySettings, StopSettings, UnconfirmedPolicy,
};
use briartray_standin::free_address;
use tempfile::TempDir;

use super::process::{ChildProcess, ProcessSignal, TrialError};
use super::relay::PathRelay;

/// Time limit for a fleet to become ready; generous so that a busy machine does not fail a trial.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Cluster token of the processes of a trial; it is used on loopback only.
const TRIAL_TOKEN: &str = "trial-only";

/// Availability zones that the agents of a trial are spread over.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Default rule document for the given numbers of engines and plain services.
fn trial_rules(engines: usize, services: usize) -> String {
    format!(
        "services:
  - {{ name: desk, kind: engine, hosts_per_replica: 1, replicas: {engines}, capacity: 64 }}
  - {{ name: ledger, kind: plain, hosts_per_replica: 1, replicas: {services}, capacity: 64 }}
teams:
  - {{ name: default }}
rules:
  - rule: everyone
    then:
      admit: {{ deadline_ms: 15000 }}
      retry: {{ attempts: 4, budget_percent: 100 }}
      place: {{ wait_ms: 60000 }}
      stop: {{ min_replicas: 1 }}
"
    )
}

/// Builder for the composition of a trial fleet.
#[derive(Debug, Clone)]
pub struct TrialPlan {
    programs: PathBuf,
    controls: usize,
    entries: usize,
    engines: usize,
    services: usize,
    engine_faults: Vec<String>,
    service_faults: Vec<String>,
    service_work_ms: u64,
    engine_step_ms: u64,
    rules: Option<String>,
    hold: HoldPolicy,
    unconfirmed: UnconfirmedPolicy,
    hosts_per_group: usize,
    checks_fencing: bool,
    fatal_prompt: Option<String>,
}

impl TrialPlan {
    /// Creates a plan with one control host, one entry, four engines and two plain services.
    ///
    /// `programs` is the folder with the `briartray` and `briartrayd` binaries.
    pub fn new(programs: &Path) -> Self {
        Self {
            programs: programs.to_owned(),
            controls: 1,
            entries: 1,
            engines: 4,
            services: 2,
            engine_faults: Vec::new(),
            service_faults: Vec::new(),
            service_work_ms: 2,
            engine_step_ms: 8,
            rules: None,
            hold: HoldPolicy::default(),
            unconfirmed: UnconfirmedPolicy::Refuse,
            hosts_per_group: 1,
            checks_fencing: false,
            fatal_prompt: None,
        }
    }

    /// Sets a prompt, or message of a chat, that crashes any engine that runs it.
    #[must_use]
    pub fn fatal_prompt(mut self, prompt: &str) -> Self {
        self.fatal_prompt = Some(prompt.to_owned());
        self
    }

    /// Sets how long entries keep using their rules after their rules lease has expired.
    #[must_use]
    pub fn hold(mut self, hold: HoldPolicy) -> Self {
        self.hold = hold;
        self
    }

    /// Sets what entries do with requests once they may no longer use their rules.
    #[must_use]
    pub fn unconfirmed(mut self, policy: UnconfirmedPolicy) -> Self {
        self.unconfirmed = policy;
        self
    }

    /// Sets the number of hosts per group, at least one. The hosts of a group share a zone and a
    /// fabric domain; the rule document has to ask for the same number.
    #[must_use]
    pub fn hosts_per_group(mut self, count: usize) -> Self {
        self.hosts_per_group = count.max(1);
        self
    }

    /// Sets whether engines reject orders with an outdated fencing number.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the number of control hosts.
    #[must_use]
    pub fn controls(mut self, count: usize) -> Self {
        self.controls = count;
        self
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the numbers of engines and plain services, each with an agent of its own.
    #[must_use]
    pub fn endpoints(mut self, engines: usize, services: usize) -> Self {
        self.engines = engines;
        self.services = services;
        self
    }

    /// Sets the faults of every engine, in the syntax of `briartray stand-in --fault`.
    #[must_use]
    pub fn engine_faults(mut self, faults: &[&str]) -> Self {
        self.engine_faults = faults.iter().map(|fault| (*fault).to_owned()).collect();
        self
    }

    /// Sets the faults of every plain service, in the syntax of `briartray stand-in --fault`.
    #[must_use]
    pub fn service_faults(mut self, faults: &[&str]) -> Self {
        self.service_faults = faults.iter().map(|fault| (*fault).to_owned()).collect();
        self
    }

    /// Sets the duration of one engine step, in whole milliseconds.
    #[must_use]
    pub fn engine_step(mut self, step: Duration) -> Self {
        self.engine_step_ms = u64::try_from(step.as_millis()).unwrap_or(u64::MAX);
        self
    }

    /// Sets the rule document in YAML, instead of the default one.
    #[must_use]
    pub fn rules(mut self, document: &str) -> Self {
        self.rules = Some(document.to_owned());
        self
    }

    /// Sets the duration of one call to a plain service, in whole milliseconds.
    #[must_use]
    pub fn service_work(mut self, work: Duration) -> Self {
        self.service_work_ms = u64::try_from(work.as_millis()).unwrap_or(u64::MAX);
        self
    }
}

/// One agent with its endpoint and the relay in front of it.
pub struct FleetAgent {
    /// Agent process.
    pub agent: ChildProcess,
    /// Endpoint process: a stand-in engine or service.
    pub endpoint: ChildProcess,
    /// Listening address of the endpoint.
    pub endpoint_address: SocketAddr,
    /// Relay through which entries and other agents connect to the agent.
    pub relay: PathRelay,
    /// Host name.
    pub host: String,
    /// Availability zone.
    pub zone: &'static str,
}

/// A running fleet of real processes on loopback; its processes are killed when it is dropped.
pub struct ProcessFleet {
    /// Control host processes.
    pub controls: Vec<ChildProcess>,
    /// Entry processes.
    pub entries: Vec<ChildProcess>,
    /// Agents of the engines, followed by the agents of the plain services.
    pub agents: Vec<FleetAgent>,
    plan: TrialPlan,
    cluster: ClusterSettings,
    entry_addresses: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    folder: TempDir,
}

impl ProcessFleet {
    /// Starts the fleet and waits until every group is whole and every entry is ready.
    ///
    /// # Errors
    /// `TrialError` if a program cannot be started, a file or port is unavailable, or the fleet
    /// does not become ready in time.
    pub fn start(plan: &TrialPlan) -> Result<Self, TrialError> {
        let folder = tempfile::Builder::new().prefix("briartray-trial-").tempdir()?;
        let rules = folder.path().join("rules.yaml");
        let default_rules = || trial_rules(plan.engines, plan.services);
        std::fs::write(&rules, plan.rules.clone().unwrap_or_else(default_rules))?;
        let mut peers = Vec::new();
        for number in 0..plan.controls {
            let node = NodeName::new(&format!("control-{number}"));
            peers.push(ControlPeer { node, link: free_address()? });
        }
        let cluster = ClusterSettings { token: TRIAL_TOKEN.to_owned(), control: peers };
        let mut fleet = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            plan: plan.clone(),
            cluster,
            entry_addresses: Vec::new(),
            operators: Vec::new(),
            folder,
        };
        fleet.start_controls(&rules)?;
        fleet.start_agents()?;
        for number in 0..plan.entries {
            fleet.start_entry(number)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Listening addresses of the entries.
    pub fn entry_addresses(&self) -> &[SocketAddr] {
        &self.entry_addresses
    }

    /// Addresses of the operators' ports, by number of the control host.
    pub fn operators(&self) -> &[SocketAddr] {
        &self.operators
    }

    /// Address of the operators' port of the first control host.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators[0]
    }

    /// Kills the control host with this number and starts it again with the same data folder.
    ///
    /// # Errors
    /// `TrialError` if the process cannot be started.
    pub fn restart_control(&mut self, number: usize) -> Result<(), TrialError> {
        let name = format!("control-{number}");
        restart_daemon(&mut self.controls[number], &self.plan, self.folder.path(), &name)
    }

    /// Kills the entry with this number, and starts it again at its address.
    ///
    /// # Errors
    /// `TrialError` if the process cannot be started.
    pub fn restart_entry(&mut self, number: usize) -> Result<(), TrialError> {
        let name = format!("entry-{number}");
        restart_daemon(&mut self.entries[number], &self.plan, self.folder.path(), &name)
    }

    /// Listening addresses of all endpoints.
    pub fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        self.agents.iter().map(|agent| agent.endpoint_address).collect()
    }

    /// Listening addresses of the plain services.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.agents[self.plan.engines..].iter().map(|agent| agent.endpoint_address).collect()
    }

    /// Folder with the settings and logs of the processes.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Sends `signal` to every agent and endpoint in `zone`.
    pub fn signal_zone(&self, zone: &str, signal: ProcessSignal) {
        for agent in self.agents.iter().filter(|agent| agent.zone == zone) {
            agent.agent.signal(signal);
            agent.endpoint.signal(signal);
        }
    }

    fn start_controls(&mut self, rules: &Path) -> Result<(), TrialError> {
        for (number, peer) in self.cluster.control.clone().into_iter().enumerate() {
            let operator = free_address()?;
            let mut settings = daemon_settings(peer.node.as_str(), ZONES[0], &self.cluster);
            let data_folder = self.folder.path().join(format!("data-{number}"));
            let control = ControlSettings::new(peer.link, operator, &data_folder)
                .first_rules(rules)
                .rules_hold(self.plan.hold);
            settings.control = Some(control);
            self.controls.push(start_daemon(&self.plan, self.folder.path(), &settings)?);
            self.operators.push(operator);
        }
        Ok(())
    }

    fn start_entry(&mut self, number: usize) -> Result<(), TrialError> {
        let listen = free_address()?;
        let name = format!("entry-{number}");
        let mut settings = daemon_settings(&name, ZONES[0], &self.cluster);
        settings.entry = Some(EntrySettings::new(listen).unconfirmed(self.plan.unconfirmed));
        self.entries.push(start_daemon(&self.plan, self.folder.path(), &settings)?);
        self.entry_addresses.push(listen);
        Ok(())
    }

    fn start_agents(&mut self) -> Result<(), TrialError> {
        for number in 0..self.plan.engines {
            self.start_agent(&format!("engine-{number}"), "desk", EndpointKind::Engine)?;
        }
        for number in 0..self.plan.services {
            self.start_agent(&format!("service-{number}"), "ledger", EndpointKind::Plain)?;
        }
        Ok(())
    }

    fn start_agent(
        &mut self,
        host: &str,
        service: &str,
        kind: EndpointKind,
    ) -> Result<(), TrialError> {
        let zone = ZONES[self.agents.len() / self.plan.hosts_per_group % ZONES.len()];
        let endpoint_address = free_address()?;
        let endpoint = self.start_endpoint(host, kind, endpoint_address)?;
        let link = free_address()?;
        let relay = PathRelay::start()?;
        relay.set_target(link);
        let mut settings = daemon_settings(&format!("agent-{host}"), zone, &self.cluster);
        let endpoint_settings = EndpointSettings::new(endpoint_address, service, kind)
            .checks_fencing(self.plan.checks_fencing);
        let agent_settings = AgentSettings::new(link, host, endpoint_settings)
            .announce(relay.address())
            .domain(&format!("rack-{zone}"));
        settings.agent = Some(agent_settings);
        let agent = start_daemon(&self.plan, self.folder.path(), &settings)?;
        let host = host.to_owned();
        self.agents.push(FleetAgent { agent, endpoint, endpoint_address, relay, host, zone });
        Ok(())
    }

    fn start_endpoint(
        &self,
        host: &str,
        kind: EndpointKind,
        address: SocketAddr,
    ) -> Result<ChildProcess, TrialError> {
        let listen = address.to_string();
        let work = self.plan.service_work_ms.to_string();
        let step = self.plan.engine_step_ms.to_string();
        let mut arguments = vec!["stand-in"];
        let faults = match kind {
            EndpointKind::Engine => {
                arguments.extend(["engine", "--listen", &listen, "--event-loss", "0"]);
                arguments.extend(["--step-ms", &step]);
                if self.plan.checks_fencing {
                    arguments.push("--checks-fencing");
                }
                if let Some(prompt) = &self.plan.fatal_prompt {
                    arguments.extend(["--fatal-prompt", prompt]);
                }
                &self.plan.engine_faults
            }
            EndpointKind::Plain => {
                arguments.extend(["service", "--listen", &listen, "--work-ms", &work]);
                &self.plan.service_faults
            }
        };
        for fault in faults {
            arguments.extend(["--fault", fault]);
        }
        let log = self.folder.path().join(format!("{host}-endpoint.log"));
        ChildProcess::start(&self.plan.programs.join("briartray"), &arguments, &log)
    }

    fn wait_until_ready(&self) -> Result<(), TrialError> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.whole_groups() == self.groups() && self.entries_ready() {
                return Ok(());
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        let logs = last_log_lines(self.folder.path())?;
        Err(TrialError::NotReady { seconds: READY_TIMEOUT.as_secs(), logs })
    }

    /// Number of groups that the hosts of the plan form.
    fn groups(&self) -> usize {
        self.agents.len() / self.plan.hosts_per_group
    }

    /// Kills the agent with this number and starts it again with the same settings.
    ///
    /// # Errors
    /// `TrialError` if the process cannot be started.
    pub fn restart_agent(&mut self, number: usize) -> Result<(), TrialError> {
        self.agents[number].agent.signal(ProcessSignal::Kill);
        self.agents[number].agent.wait(READY_TIMEOUT);
        let name = format!("agent-{}", self.agents[number].host);
        self.agents[number].agent = run_daemon(&self.plan, self.folder.path(), &name)?;
        Ok(())
    }

    /// Restarts the endpoints that have exited and returns their number.
    ///
    /// # Errors
    /// `TrialError` if one cannot be started.
    pub fn restart_ended_endpoints(&mut self) -> Result<usize, TrialError> {
        let mut restarted = 0;
        for number in 0..self.agents.len() {
            if self.agents[number].endpoint.wait(Duration::ZERO).is_none() {
                continue;
            }
            let kind = match number < self.plan.engines {
                true => EndpointKind::Engine,
                false => EndpointKind::Plain,
            };
            let (host, address) =
                (self.agents[number].host.clone(), self.agents[number].endpoint_address);
            self.agents[number].endpoint = self.start_endpoint(&host, kind, address)?;
            restarted += 1;
        }
        Ok(restarted)
    }

    /// Number of whole groups, as the leading control host reports it.
    pub fn whole_groups(&self) -> usize {
        self.operators.iter().map(|operator| whole_groups(*operator)).max().unwrap_or(0)
    }

    /// Whether every entry accepts requests and sees every group as whole.
    fn entries_ready(&self) -> bool {
        self.entry_addresses.iter().all(|address| {
            let response = attohttpc::get(format!("http://{address}/readyz")).send();
            let Ok(body) = response.and_then(attohttpc::Response::bytes) else { return false };
            let state: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            state["ready"] == true && state["whole_groups"] == self.groups()
        })
    }
}

/// Number of whole groups according to one control host; 0 if it is not the leader.
fn whole_groups(operator: SocketAddr) -> usize {
    let response = attohttpc::get(format!("http://{operator}/v1/groups")).send();
    let Ok(body) = response.and_then(attohttpc::Response::bytes) else { return 0 };
    let groups: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let groups = groups.as_array().cloned().unwrap_or_default();
    groups.iter().filter(|group| group["whole"] == true).count()
}

/// Name and last line of each log in `folder`.
fn last_log_lines(folder: &Path) -> Result<String, TrialError> {
    let mut lines = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let text = std::fs::read_to_string(&path)?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            lines.push(format!("{name}: {}", text.lines().last().unwrap_or("(empty)")));
        }
    }
    lines.sort_unstable();
    Ok(lines.join("\n"))
}

fn daemon_settings(node: &str, zone: &str, cluster: &ClusterSettings) -> DaemonSettings {
    let stop = StopSettings { notice_ms: 500, wait_ms: 30_000 };
    DaemonSettings { stop, ..DaemonSettings::new(node, zone, cluster) }
}

/// Writes the settings of a daemon as JSON, which is valid YAML, and starts it.
fn start_daemon(
    plan: &TrialPlan,
    folder: &Path,
    settings: &DaemonSettings,
) -> Result<ChildProcess, TrialError> {
    let name = settings.node.as_str();
    let file = folder.join(format!("{name}.yaml"));
    let text = serde_json::to_string_pretty(settings).map_err(std::io::Error::from)?;
    std::fs::write(&file, text)?;
    run_daemon(plan, folder, name)
}

/// Kills `process` and starts it again under the same `name`.
fn restart_daemon(
    process: &mut ChildProcess,
    plan: &TrialPlan,
    folder: &Path,
    name: &str,
) -> Result<(), TrialError> {
    process.signal(ProcessSignal::Kill);
    process.wait(READY_TIMEOUT);
    *process = run_daemon(plan, folder, name)?;
    Ok(())
}

/// Starts the daemon called `name` with the settings file that `start_daemon` wrote.
fn run_daemon(plan: &TrialPlan, folder: &Path, name: &str) -> Result<ChildProcess, TrialError> {
    let file = folder.join(format!("{name}.yaml")).display().to_string();
    let log = folder.join(format!("{name}.log"));
    ChildProcess::start(&plan.programs.join("briartrayd"), &["--settings", &file], &log)
}
