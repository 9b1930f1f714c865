//! `briartray measure agreement`: commits of the replicated log, catching up after an absence,
//! and the cost of idle hosts.
//!
//! Control hosts run in this process with their data folders on a real disk and connect over
//! loopback. A commit is one ledger claim, which is answered once a majority has synced it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use briartray_link::{CallKind, ClientSettings, LinkClient};
use briartray_model::message::{ClaimKey, LedgerReply, LedgerRequest};
use briartray_model::names::{NodeName, TeamName};
use briartray_model::settings::{ClusterSettings, ControlPeer, ControlSettings, DaemonSettings};
use briartray_node::{RunningDaemon, new_attempt_id};
use gumdrop::Options;
use serde_json::{Value, json};

use super::idle;
use crate::cmd::operator::OperatorClient;
use crate::cmd::{CommandError, OutputFormat};

/// Longest wait for anything other than the measured load.
const SETUP_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for the answer to one claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait between two checks of a host, and between two attempts to start one.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Streams that send claims while a host is stopped.
const CATCH_UP_STREAMS: usize = 32;

/// Time after the start of idle hosts that is excluded from the measurement.
const IDLE_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time over which idle hosts are measured.
const IDLE_MEASURED_TIME: Duration = Duration::from_secs(10);

/// Length of one clock tick of processor time on Linux.
const MILLIS_PER_TICK: f64 = 10.0;

/// Fields of `/proc/self/stat` between the name of the process and its processor times.
const FIELDS_BEFORE_TIMES: usize = 11;

const TOKEN: &str = "measurement-only";

#[derive(Debug, Options)]
pub(super) struct AgreementOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "length of each load in seconds", meta = "N", default = "5")]
    seconds: f64,
    #[options(no_short, help = "streams of the batched load", meta = "N", default = "64")]
    streams: usize,
    #[options(no_short, help = "folder on the disk to measure", meta = "FOLDER")]
    data_folder: Option<PathBuf>,
    #[options(no_short, help = "text or json", meta = "FORMAT", default = "text")]
    output: OutputFormat,
}

pub(super) fn run(options: &AgreementOptions) -> Result<(), CommandError> {
    let base = match &options.data_folder {
        Some(folder) => tempfile::tempdir_in(folder),
        None => tempfile::tempdir(),
    };
    let base = base.map_err(CommandError::unusable)?;
    let length = Duration::from_secs_f64(options.seconds);
    let mut rows = Vec::new();
    for members in [1, 3] {
        let folder = base.path().join(members.to_string());
        let cluster = ControlCluster::start(&folder, members)?;
        for streams in [1, options.streams] {
            rows.push(cluster.load(streams, length)?);
        }
        cluster.stop();
    }
    let mut catch_up = Vec::new();
    for entries in [500, 5000] {
        let folder = base.path().join(format!("late-{entries}"));
        catch_up.push(measure_catch_up(&folder, entries)?);
    }
    let mut idle = idle::measure();
    idle["process_millis"] = json!(measure_idle(&base.path().join("idle"))?);
    match options.output {
        OutputFormat::Json => {
            println!("{}", json!({ "commits": rows, "catch_up": catch_up, "idle": idle }));
        }
        OutputFormat::Text => print_all(&rows, &catch_up, &idle),
    }
    Ok(())
}

fn print_all(rows: &[Value], catch_up: &[Value], idle: &Value) {
    println!("members  streams  commits/s    p50 ms    p99 ms");
    for row in rows {
        println!(
            "{:>7}  {:>7}  {:>9.0}  {:>8.2}  {:>8.2}",
            row["members"].as_u64().unwrap_or_default(),
            row["streams"].as_u64().unwrap_or_default(),
            row["per_second"].as_f64().unwrap_or_default(),
            row["p50_ms"].as_f64().unwrap_or_default(),
            row["p99_ms"].as_f64().unwrap_or_default(),
        );
    }
    for row in catch_up {
        let time = row["ms"].as_f64().unwrap_or_default();
        println!("caught up {} entries in {time:.0} ms from start", row["entries"]);
    }
    println!(
        "idle follower: {} messages and {} bytes a second in, {} bytes a second out, \
         {} microseconds of processor time a second in the core",
        idle["messages_in"], idle["bytes_in"], idle["bytes_out"], idle["core_micros"],
    );
    println!(
        "idle control host, all threads: {:.1} milliseconds of processor time a second",
        idle["process_millis"].as_f64().unwrap_or_default(),
    );
}

/// Control hosts that run in this process.
struct ControlCluster {
    settings: Vec<DaemonSettings>,
    running: Vec<Option<RunningDaemon>>,
    client: LinkClient,
}

impl ControlCluster {
    fn start(folder: &Path, members: usize) -> Result<Self, CommandError> {
        let links = briartray_standin::free_addresses(members).map_err(CommandError::unusable)?;
        let control: Vec<ControlPeer> = links
            .iter()
            .enumerate()
            .map(|(host, link)| ControlPeer { node: node_name(host), link: *link })
            .collect();
        let cluster_settings = ClusterSettings { token: TOKEN.to_owned(), control };
        let settings: Vec<DaemonSettings> =
            (0..members).map(|host| host_settings(&cluster_settings, folder, host)).collect();
        let client = LinkClient::start(
            "measure",
            ClientSettings { token: TOKEN.to_owned(), connect_timeout: Duration::from_secs(1) },
        );
        let client = client.map_err(CommandError::unusable)?;
        let mut cluster = Self { settings, running: Vec::new(), client };
        for host in 0..members {
            cluster.running.push(None);
            cluster.start_host(host)?;
        }
        cluster.leader()?;
        Ok(cluster)
    }

    /// Starts one host; retries while its ports and data folder are still held by its previous run.
    fn start_host(&mut self, host: usize) -> Result<(), CommandError> {
        let started = Instant::now();
        loop {
            match RunningDaemon::start(&self.settings[host]) {
                Ok(daemon) => {
                    self.running[host] = Some(daemon);
                    return Ok(());
                }
                Err(error) if started.elapsed() > SETUP_TIMEOUT => {
                    return Err(CommandError::refused(error));
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn stop_host(&mut self, host: usize) {
        if let Some(daemon) = self.running[host].take() {
            daemon.stop();
        }
    }

    fn stop(self) {
        self.running.iter().flatten().for_each(RunningDaemon::stop);
    }

    /// Waits for a leader and returns its index.
    fn leader(&self) -> Result<usize, CommandError> {
        let started = Instant::now();
        while started.elapsed() < SETUP_TIMEOUT {
            for host in 0..self.running.len() {
                if self.status(host).is_some_and(|status| status["role"] == "leader") {
                    return Ok(host);
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(CommandError::refused("no control host became leader; check the log"))
    }

    fn status(&self, host: usize) -> Option<Value> {
        let control = self.running[host].as_ref()?.control.as_ref()?;
        let address = control.operator_address().to_string();
        OperatorClient { address: &address, token: None }.get("/v1/status").ok()
    }

    /// Sends claims on `streams` concurrent streams for `length`; returns one row of the table.
    fn load(&self, streams: usize, length: Duration) -> Result<Value, CommandError> {
        let end = Instant::now() + length;
        let mut times = self.send_claims(streams, &|_| Instant::now() < end)?;
        times.sort_unstable();
        let percentile = |part: usize| {
            let index = (times.len() * part / 100).min(times.len().saturating_sub(1));
            times.get(index).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
        };
        let per_second = times.len() as f64 / length.as_secs_f64();
        Ok(json!({
            "members": self.running.len(), "streams": streams, "commits": times.len(),
            "per_second": per_second, "p50_ms": percentile(50), "p99_ms": percentile(99),
        }))
    }

    /// Sends claims on each stream while `keep_sending` is true for the number sent on it; returns
    /// the time of each claim.
    fn send_claims(
        &self,
        streams: usize,
        keep_sending: &(dyn Fn(usize) -> bool + Sync),
    ) -> Result<Vec<Duration>, CommandError> {
        let leader = self.leader()?;
        let address = self.settings[leader].cluster.control[leader].link;
        std::thread::scope(|scope| {
            let senders: Vec<_> = (0..streams)
                .map(|_| scope.spawn(|| claim_on_stream(&self.client, address, keep_sending)))
                .collect();
            let mut times = Vec::new();
            for sender in senders {
                let result = sender
                    .join()
                    .map_err(|_| CommandError::refused("the thread of a stream panicked"))?;
                times.extend(result?);
            }
            Ok(times)
        })
    }
}

fn claim_on_stream(
    client: &LinkClient,
    address: SocketAddr,
    keep_sending: &(dyn Fn(usize) -> bool + Sync),
) -> Result<Vec<Duration>, CommandError> {
    let (writer, reader) = client.open(address, CallKind::Ledger);
    let mut times = Vec::new();
    while keep_sending(times.len()) {
        let attempt = new_attempt_id();
        let key = ClaimKey { team: TeamName::new("measure"), key: attempt.to_string() };
        let started = Instant::now();
        writer
            .send(&LedgerRequest::Claim { key, digest: [7; 32], attempt })
            .map_err(CommandError::refused)?;
        match reader.receive::<LedgerReply>(CLAIM_TIMEOUT).map_err(CommandError::refused)? {
            LedgerReply::Claimed => times.push(started.elapsed()),
            other => return Err(CommandError::refused(format!("claim failed: {other:?}"))),
        }
    }
    Ok(times)
}

/// Time that a host which missed at least `entries` log entries takes from its start until it has
/// committed all of them.
fn measure_catch_up(folder: &Path, entries: usize) -> Result<Value, CommandError> {
    let mut cluster = ControlCluster::start(folder, 3)?;
    let late = (cluster.leader()? + 1) % 3;
    cluster.stop_host(late);
    let per_stream = entries.div_ceil(CATCH_UP_STREAMS);
    cluster.send_claims(CATCH_UP_STREAMS, &|sent| sent < per_stream)?;
    let leader = cluster.leader()?;
    let commit = |status: Option<Value>| status.and_then(|status| status["commit"].as_u64());
    let newest = commit(cluster.status(leader));
    cluster.start_host(late)?;
    let started = Instant::now();
    while commit(cluster.status(late)) < newest {
        if started.elapsed() > SETUP_TIMEOUT {
            return Err(CommandError::refused(
                "the restarted host did not catch up; check the log",
            ));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let time = started.elapsed();
    cluster.stop();
    Ok(json!({ "entries": per_stream * CATCH_UP_STREAMS, "ms": time.as_secs_f64() * 1000.0 }))
}

/// Processor time that one of three idle hosts uses, in milliseconds per second.
fn measure_idle(folder: &Path) -> Result<f64, CommandError> {
    let cluster = ControlCluster::start(folder, 3)?;
    std::thread::sleep(IDLE_SETTLE_TIME);
    let before = cpu_ticks();
    std::thread::sleep(IDLE_MEASURED_TIME);
    let used = cpu_ticks() - before;
    cluster.stop();
    let millis = used as f64 * MILLIS_PER_TICK;
    Ok(millis / IDLE_MEASURED_TIME.as_secs_f64() / 3.0)
}

/// Processor time of this process so far, in clock ticks.
fn cpu_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process may contain spaces; a closing parenthesis ends it.
    let fields = stat.rsplit_once(')').map(|(_, rest)| rest).unwrap_or_default();
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    times.filter_map(|text| text.parse::<u64>().ok()).sum()
}

fn node_name(host: usize) -> NodeName {
    NodeName::new(&format!("control-{host}"))
}

fn host_settings(cluster: &ClusterSettings, folder: &Path, host: usize) -> DaemonSettings {
    let operator = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let data_folder = folder.join(host.to_string());
    let control = ControlSettings::new(cluster.control[host].link, operator, &data_folder);
    DaemonSettings::new(node_name(host).as_str(), "local-a", cluster).control(control)
}
