//! The measurements: each yields cost lines, the cost for a role by the number of some unit.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use briartray_standin::engine::{EngineSettings, StandinEngine};
use briartray_standin::load::{LoadPlan, run_load};
use serde::Serialize;
use serde_json::json;

use super::daemon::{DaemonProcess, free_address};
use super::peers::StandinPeers;
use super::regression::{CostLine, SizePoint, spread_percent};
use super::relay::CountingRelay;
use super::settings;
use super::window::{WindowUsage, measure_window};
use crate::cmd::CommandError;
use crate::cmd::operator::OperatorClient;

/// Idle time of a fleet before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Length of one measured window.
const WINDOW_LENGTH: Duration = Duration::from_secs(5);

/// Longest wait for a change to reach every watcher, or for an entry to become ready.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait between two checks for either.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Rule changes applied at each number of watchers.
const CHANGES_PER_SIZE: u64 = 8;

/// Concurrent requests of the stand-in engine.
const ENGINE_BATCH: usize = 4096;

/// A cost of one role, fitted as a line over the number of some unit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct MeasuredLine {
    /// Role that bears the cost.
    pub(super) role: &'static str,
    /// What the size of a point counts.
    pub(super) of: &'static str,
    /// Unit of the cost.
    pub(super) unit: &'static str,
    /// Every measured point.
    pub(super) points: Vec<SizePoint>,
    /// Line fitted to the points.
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

/// Usage in one window at each of several sizes.
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
            MeasuredLine::new(role, of, "bytes/s", self.points(|usage| usage.bytes_per_second)),
            MeasuredLine::new(
                role,
                of,
                "bytes of memory",
                self.points(|usage| usage.resident_bytes),
            ),
        ]
    }
}

/// A running control host.
struct ControlHost {
    process: DaemonProcess,
    link: SocketAddr,
    operator: SocketAddr,
    _folder: tempfile::TempDir,
}

fn start_control() -> Result<ControlHost, CommandError> {
    let folder = tempfile::tempdir().map_err(CommandError::refused)?;
    write_rules(folder.path())?;
    let (link, operator) = (free_address()?, free_address()?);
    let settings = settings::control(folder.path(), link, operator);
    let process = DaemonProcess::start(folder.path(), "control", &settings, link)?;
    Ok(ControlHost { process, link, operator, _folder: folder })
}

fn write_rules(folder: &Path) -> Result<(), CommandError> {
    std::fs::write(folder.join("rules.yaml"), settings::RULES).map_err(CommandError::refused)
}

/// A control host by its watchers: usage when idle, and the time for a change to reach all of them.
pub(super) fn watchers(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut idle = UsageSeries::default();
    let mut delays = Vec::new();
    for size in sizes {
        let control = start_control()?;
        let relay = CountingRelay::start(control.link).map_err(CommandError::refused)?;
        let peers = StandinPeers::watchers(relay.address(), *size)?;
        std::thread::sleep(SETTLE_TIME);
        let relays = [relay];
        idle.add(*size, measure_window(&control.process, &relays, WINDOW_LENGTH, || Ok(()))?);
        for number in 0..CHANGES_PER_SIZE {
            let delay = change_delay(&control, &peers, number)?;
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
    peers: &StandinPeers,
    number: u64,
) -> Result<Duration, CommandError> {
    let operator = control.operator.to_string();
    let client = OperatorClient { address: &operator, token: None };
    let text = format!("# change {number}\n{}", settings::RULES);
    let change = briartray_node::new_change_id().to_string();
    let started = Instant::now();
    let reply = client.post("/v1/rules", &json!({ "change": change, "text": text }))?;
    let revision = reply["revision"].as_u64().unwrap_or(u64::MAX);
    while peers.oldest_revision() < revision {
        if started.elapsed() > CHANGE_TIMEOUT {
            return Err(CommandError::refused("a change did not reach every watcher in time"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(started.elapsed())
}

/// A control host by its connected agents, which are idle.
pub(super) fn agent_sessions(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut idle = UsageSeries::default();
    for size in sizes {
        let control = start_control()?;
        let relay = CountingRelay::start(control.link).map_err(CommandError::refused)?;
        let _peers = StandinPeers::agents(relay.address(), *size)?;
        std::thread::sleep(SETTLE_TIME);
        idle.add(*size, measure_window(&control.process, &[relay], WINDOW_LENGTH, || Ok(()))?);
    }
    Ok(idle.lines("control leader", "connected agent"))
}

/// The agent of a group's first host by the other members, whose leases it renews.
pub(super) fn members(sizes: &[usize]) -> Result<Vec<MeasuredLine>, CommandError> {
    let mut idle = UsageSeries::default();
    for size in sizes {
        let folder = tempfile::tempdir().map_err(CommandError::refused)?;
        let (peers, addresses) = StandinPeers::members(*size)?;
        let relays = addresses
            .iter()
            .map(|address| CountingRelay::start(*address))
            .collect::<std::io::Result<Vec<_>>>()
            .map_err(CommandError::refused)?;
        let (control, link) = (free_address()?, free_address()?);
        let through = relays.iter().map(CountingRelay::address).collect();
        let assigning_control = StandinPeers::assigning_control(control, through)?;
        let settings = settings::agent(control, link, free_address()?);
        let process = DaemonProcess::start(folder.path(), "agent", &settings, link)?;
        std::thread::sleep(SETTLE_TIME);
        idle.add(*size, measure_window(&process, &relays, WINDOW_LENGTH, || Ok(()))?);
        drop((peers, assigning_control));
    }
    Ok(idle.lines("agent, first host", "member of the group"))
}

/// Entry and agent in processes of their own, with the control host and the engine they need.
struct ServingFleet {
    entry: DaemonProcess,
    agent: DaemonProcess,
    address: SocketAddr,
    _control: ControlHost,
    _engine: StandinEngine,
    _folder: tempfile::TempDir,
}

fn start_serving_fleet(step: Duration) -> Result<ServingFleet, CommandError> {
    let folder = tempfile::tempdir().map_err(CommandError::refused)?;
    let control = start_control()?;
    let engine = start_engine(step)?;
    let (link, address) = (free_address()?, free_address()?);
    let agent_settings = settings::agent(control.link, link, engine.address());
    let agent = DaemonProcess::start(folder.path(), "agent", &agent_settings, link)?;
    let entry_settings = settings::entry(control.link, address);
    let entry = DaemonProcess::start(folder.path(), "entry", &entry_settings, address)?;
    wait_ready(address)?;
    Ok(ServingFleet { entry, agent, address, _control: control, _engine: engine, _folder: folder })
}

/// Starts an engine that is large enough not to be the bottleneck.
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
        if started.elapsed() > CHANGE_TIMEOUT {
            return Err(CommandError::refused("the measured entry did not become ready in time"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Entry and agent: processor time by requests per second and by tokens per second.
pub(super) fn serving(
    rates: &[usize],
    tokens: &[usize],
    fixed_rate: usize,
) -> Result<Vec<MeasuredLine>, CommandError> {
    let fleet = start_serving_fleet(Duration::from_millis(5))?;
    let mut requests = (UsageSeries::default(), UsageSeries::default());
    for rate in rates {
        let (entry, agent) = load_window(&fleet, *rate, 1)?;
        requests.0.add(*rate, entry);
        requests.1.add(*rate, agent);
    }
    let mut streams = (UsageSeries::default(), UsageSeries::default());
    for count in tokens {
        let (entry, agent) = load_window(&fleet, fixed_rate, *count)?;
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

/// Runs one load and returns the usage of entry and agent during it.
fn load_window(
    fleet: &ServingFleet,
    rate: usize,
    tokens: usize,
) -> Result<(WindowUsage, WindowUsage), CommandError> {
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    let plan = LoadPlan::new(fleet.address)
        .pace(rate as f64, WINDOW_LENGTH)
        .model("desk", tokens)
        .shares(1.0, 0.0);
    let mut entry = None;
    let agent = measure_window(&fleet.agent, &[], WINDOW_LENGTH, || {
        let used = measure_window(&fleet.entry, &[], WINDOW_LENGTH, || {
            let report = run_load(&plan, |_, _| {}).map_err(CommandError::refused)?;
            if report.is_clean() {
                return Ok(());
            }
            Err(CommandError::refused(
                "an answer was lost, truncated or delivered to the wrong request",
            ))
        })?;
        entry = Some(used);
        Ok(())
    })?;
    let entry = entry.ok_or_else(|| CommandError::refused("the entry was not measured"))?;
    Ok((entry, agent))
}
