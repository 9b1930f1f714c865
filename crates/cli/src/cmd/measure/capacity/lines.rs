//! The measurements themselves: each yields what one more of something costs a role.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use briartray_standin::engine::{EngineSettings, StandinEngine};
use briartray_standin::load::{LoadPlan, run_load};
use serde::Serialize;
use serde_json::json;

use super::child::{RoleProcess, free_address};
use super::peers::PeerCrowd;
use super::relay::CountingRelay;
use super::settings;
use super::slope::{CostLine, SizePoint, spread_percent};
use super::window::{WindowUsage, measure};
use crate::cmd::CommandError;
use crate::cmd::operator::OperatorPort;

/// Time that a fleet is left alone before it is measured.
const SETTLE: Duration = Duration::from_secs(3);

/// Length of one window.
const WINDOW: Duration = Duration::from_secs(5);

/// How long a change may take to be seen by every watcher.
const CHANGE_WAIT: Duration = Duration::from_secs(30);

/// How often that is looked at.
const CHANGE_CHECK: Duration = Duration::from_millis(5);

/// Changes that are applied at each number of watchers.
const CHANGES: u64 = 8;

/// Requests that the stand-in engine runs at one time.
const ENGINE_BATCH: usize = 4096;

/// What one more of something costs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct MeasuredLine {
    /// Role that pays.
    pub(super) role: &'static str,
    /// Of what there is one more.
    pub(super) of: &'static str,
    /// Unit of the cost.
    pub(super) unit: &'static str,
    /// Every point.
    pub(super) points: Vec<SizePoint>,
    /// The line through them.
    pub(super) line: CostLine,
    /// Largest spread over the runs at one size, in percent of their mean.
    pub(super) spread: f64,
}

impl MeasuredLine {
    pub(super) fn new(
        role: &'static str,
        of: &'static str,
        unit: &'static str,
        points: Vec<SizePoint>,
    ) -> Self {
        let (line, spread) = (CostLine::fit(&points), spread_percent(&points));
        Self { role, of, unit, points, line, spread }
    }
}

/// Usage at several sizes.
#[derive(Debug, Default)]
struct UsageSeries(Vec<(f64, WindowUsage)>);

impl UsageSeries {
    fn add(&mut self, size: usize, usage: WindowUsage) {
        self.0.push((size as f64, usage));
    }

    fn points(&self, pick: impl Fn(&WindowUsage) -> f64) -> Vec<SizePoint> {
        self.0.iter().map(|(size, usage)| SizePoint { size: *size, cost: pick(usage) }).collect()
    }

    fn lines(&self, role: &'static str, of: &'static str) -> Vec<MeasuredLine> {
        vec![
            MeasuredLine::new(role, of, "% of a core", self.points(|usage| usage.core_percent)),
            MeasuredLine::new(role, of, "bytes/s", self.points(|usage| usage.bytes)),
            MeasuredLine::new(role, of, "bytes of memory", self.points(|usage| usage.resident)),
        ]
    }
}

/// A control host that is measured.
struct ControlHost {
    process: RoleProcess,
    link: SocketAddr,
    operator: SocketAddr,
    _folder: tempfile::TempDir,
}

fn start_control() -> Result<ControlHost, CommandError> {
    let folder = tempfile::tempdir().map_err(CommandError::refused)?;
    write_rules(folder.path())?;
    let (link, operator) = (free_address()?, free_address()?);
    let settings = settings::control(folder.path(), link, operator);
    let process = RoleProcess::start(folder.path(), "control", &settings, link)?;
    Ok(ControlHost { process, link, operator, _folder: folder })
}

fn write_rules(folder: &Path) -> Result<(), CommandError> {
    std::fs::write(folder.join("rules.yaml"), settings::RULES).map_err(CommandError::refused)
}

/// Control and its watchers: idle, and what a change takes.
pub(super) fn watchers(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut idle = UsageSeries::default();
    let mut delays = Vec::new();
    for size in sizes {
        let control = start_control()?;
        let relay = CountingRelay::start(control.link).map_err(CommandError::refused)?;
        let crowd = PeerCrowd::watchers(relay.address(), *size)?;
        std::thread::sleep(SETTLE);
        let relays = [relay];
        idle.add(*size, measure(&control.process, &relays, WINDOW, || Ok(()))?);
        for number in 0..CHANGES {
            let delay = change_delay(&control, &crowd, number)?;
            delays.push(SizePoint { size: *size as f64, cost: delay.as_secs_f64() * 1000.0 });
        }
    }
    let mut lines = idle.lines("control leader", "watching entry");
    lines.push(MeasuredLine::new("control leader", "watching entry", "ms to all", delays));
    Ok(lines)
}

/// Applies one change and waits until every watcher has seen it.
fn change_delay(
    control: &ControlHost,
    crowd: &PeerCrowd,
    number: u64,
) -> Result<Duration, CommandError> {
    let operator = control.operator.to_string();
    let port = OperatorPort { address: &operator, token: None };
    let text = format!("# change {number}\n{}", settings::RULES);
    let change = briartray_node::new_change_id().to_string();
    let started = Instant::now();
    let reply = port.post("/v1/rules", &json!({ "change": change, "text": text }))?;
    let revision = reply["revision"].as_u64().unwrap_or(u64::MAX);
    while crowd.oldest_revision() < revision {
        if started.elapsed() > CHANGE_WAIT {
            return Err(CommandError::refused("a change did not reach every watcher"));
        }
        std::thread::sleep(CHANGE_CHECK);
    }
    Ok(started.elapsed())
}

/// Control and connected agents that are idle.
pub(super) fn sessions(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut idle = UsageSeries::default();
    for size in sizes {
        let control = start_control()?;
        let relay = CountingRelay::start(control.link).map_err(CommandError::refused)?;
        let _crowd = PeerCrowd::agents(relay.address(), *size)?;
        std::thread::sleep(SETTLE);
        idle.add(*size, measure(&control.process, &[relay], WINDOW, || Ok(()))?);
    }
    Ok(idle.lines("control leader", "connected agent"))
}

/// The agent of a group's first host, and one more member that it renews.
pub(super) fn members(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut idle = UsageSeries::default();
    for size in sizes {
        let folder = tempfile::tempdir().map_err(CommandError::refused)?;
        let (crowd, addresses) = PeerCrowd::members(*size)?;
        let relays = addresses
            .iter()
            .map(|address| CountingRelay::start(*address))
            .collect::<std::io::Result<Vec<_>>>()
            .map_err(CommandError::refused)?;
        let (control, link) = (free_address()?, free_address()?);
        let through = relays.iter().map(CountingRelay::address).collect();
        let assigning = PeerCrowd::assigning(control, through)?;
        let settings = settings::agent(control, link, free_address()?);
        let process = RoleProcess::start(folder.path(), "agent", &settings, link)?;
        std::thread::sleep(SETTLE);
        idle.add(*size, measure(&process, &relays, WINDOW, || Ok(()))?);
        drop((crowd, assigning));
    }
    Ok(idle.lines("agent, first host", "member of the group"))
}

/// Entry and agent under load, each in a process of its own.
struct ServingPath {
    entry: RoleProcess,
    agent: RoleProcess,
    address: SocketAddr,
    _control: ControlHost,
    _engine: StandinEngine,
    _folder: tempfile::TempDir,
}

fn start_path(step: Duration) -> Result<ServingPath, CommandError> {
    let folder = tempfile::tempdir().map_err(CommandError::refused)?;
    let control = start_control()?;
    let engine = start_engine(step)?;
    let (link, address) = (free_address()?, free_address()?);
    let agent_settings = settings::agent(control.link, link, engine.address());
    let agent = RoleProcess::start(folder.path(), "agent", &agent_settings, link)?;
    let entry_settings = settings::entry(control.link, address);
    let entry = RoleProcess::start(folder.path(), "entry", &entry_settings, address)?;
    wait_ready(address)?;
    Ok(ServingPath { entry, agent, address, _control: control, _engine: engine, _folder: folder })
}

/// An engine that is never the bottleneck.
fn start_engine(step: Duration) -> Result<StandinEngine, CommandError> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = EngineSettings::new(listen).step(step).batch(ENGINE_BATCH);
    StandinEngine::start(settings).map_err(CommandError::refused)
}

fn wait_ready(address: SocketAddr) -> Result<(), CommandError> {
    let started = Instant::now();
    loop {
        let ready = attohttpc::get(format!("http://{address}/readyz")).send();
        if ready.is_ok_and(|response| response.is_success()) {
            return Ok(());
        }
        if started.elapsed() > CHANGE_WAIT {
            return Err(CommandError::refused("the measured entry did not become ready"));
        }
        std::thread::sleep(CHANGE_CHECK);
    }
}

/// Entry and agent: processor time of one request a second, and of one token a second.
pub(super) fn serving(
    rates: &[usize],
    tokens: &[usize],
    fixed_rate: usize,
) -> Result<Vec<MeasuredLine>, CommandError> {
    let path = start_path(Duration::from_millis(5))?;
    let mut requests = (UsageSeries::default(), UsageSeries::default());
    for rate in rates {
        let (entry, agent) = load_window(&path, *rate, 1)?;
        requests.0.add(*rate, entry);
        requests.1.add(*rate, agent);
    }
    let mut streams = (UsageSeries::default(), UsageSeries::default());
    for count in tokens {
        let (entry, agent) = load_window(&path, fixed_rate, *count)?;
        streams.0.add(fixed_rate * count, entry);
        streams.1.add(fixed_rate * count, agent);
    }
    let cpu = |series: &UsageSeries, role, of| {
        let points = series.points(|usage| usage.core_percent);
        MeasuredLine::new(role, of, "% of a core", points)
    };
    Ok(vec![
        cpu(&requests.0, "entry", "request/s of one token"),
        cpu(&requests.1, "agent, first host", "request/s of one token"),
        cpu(&streams.0, "entry", "token/s"),
        cpu(&streams.1, "agent, first host", "token/s"),
    ])
}

/// Usage of entry and agent during one load.
fn load_window(
    path: &ServingPath,
    rate: usize,
    tokens: usize,
) -> Result<(WindowUsage, WindowUsage), CommandError> {
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    let plan = LoadPlan::new(path.address)
        .pace(rate as f64, WINDOW)
        .model("desk", tokens)
        .shares(1.0, 0.0);
    let mut entry = None;
    let agent = measure(&path.agent, &[], WINDOW, || {
        let used = measure(&path.entry, &[], WINDOW, || {
            let report = run_load(&plan, |_, _| {}).map_err(CommandError::refused)?;
            if report.is_clean() {
                return Ok(());
            }
            Err(CommandError::refused("an answer was lost, crossed or cut short"))
        })?;
        entry = Some(used);
        Ok(())
    })?;
    let entry = entry.ok_or_else(|| CommandError::refused("the entry was not measured"))?;
    Ok((entry, agent))
}
