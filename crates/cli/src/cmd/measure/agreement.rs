//! `briartray measure agreement`: commits, catching up and idling of the replicated log.
//!
//! Control hosts run in this process with their data folders on a real disk and talk over
//! loopback. A commit is one claim of the ledger: it is answered once it is synced on a majority.

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
use crate::cmd::operator::OperatorPort;
use crate::cmd::{CommandError, OutputFormat};

/// How long anything but the measured load may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long one claim may take.
const CLAIM_WAIT: Duration = Duration::from_secs(10);

/// Wait between two looks at a host that catches up.
const LOOK: Duration = Duration::from_millis(5);

/// Streams that send claims while a host is away.
const FILL_STREAMS: usize = 32;

/// Time after the start of idle hosts that is not measured.
const IDLE_SETTLE: Duration = Duration::from_secs(3);

/// Time for which idle hosts are measured.
const IDLE_LENGTH: Duration = Duration::from_secs(10);

/// Length of one tick of processor time on Linux.
const MILLIS_PER_TICK: f64 = 10.0;

/// Fields between the name of a process and its processor times.
const TIMES_BEFORE: usize = 11;

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
        let cluster = HostSet::start(&folder, members)?;
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

/// Control hosts in this process.
struct HostSet {
    settings: Vec<DaemonSettings>,
    running: Vec<Option<RunningDaemon>>,
    client: LinkClient,
}

impl HostSet {
    fn start(folder: &Path, members: usize) -> Result<Self, CommandError> {
        let links = briartray_standin::free_addresses(members).map_err(CommandError::unusable)?;
        let control: Vec<ControlPeer> = links
            .iter()
            .enumerate()
            .map(|(host, link)| ControlPeer { node: node_name(host), link: *link })
            .collect();
        let cluster = ClusterSettings { token: TOKEN.to_owned(), control };
        let settings: Vec<DaemonSettings> =
            (0..members).map(|host| host_settings(&cluster, folder, host)).collect();
        let client = LinkClient::start(
            "measure",
            ClientSettings { token: TOKEN.to_owned(), connect_timeout: Duration::from_secs(1) },
        );
        let client = client.map_err(CommandError::unusable)?;
        let mut set = Self { settings, running: Vec::new(), client };
        for host in 0..members {
            set.running.push(None);
            set.start_host(host)?;
        }
        set.leader()?;
        Ok(set)
    }

    /// Starts one host; its ports and its folder may still be held for a moment.
    fn start_host(&mut self, host: usize) -> Result<(), CommandError> {
        let started = Instant::now();
        loop {
            match RunningDaemon::start(&self.settings[host]) {
                Ok(daemon) => {
                    self.running[host] = Some(daemon);
                    return Ok(());
                }
                Err(error) if started.elapsed() > PATIENCE => {
                    return Err(CommandError::refused(error));
                }
                Err(_) => std::thread::sleep(LOOK),
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

    /// The host that leads.
    fn leader(&self) -> Result<usize, CommandError> {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            for host in 0..self.running.len() {
                if self.status(host).is_some_and(|status| status["role"] == "leader") {
                    return Ok(host);
                }
            }
            std::thread::sleep(LOOK);
        }
        Err(CommandError::refused("no control host leads; look at the log"))
    }

    fn status(&self, host: usize) -> Option<Value> {
        let control = self.running[host].as_ref()?.control.as_ref()?;
        let address = control.operator_address().to_string();
        OperatorPort { address: &address, token: None }.get("/v1/status").ok()
    }

    /// Claims on `streams` streams at a time for `length`.
    fn load(&self, streams: usize, length: Duration) -> Result<Value, CommandError> {
        let end = Instant::now() + length;
        let mut times = self.claim(streams, &|_| Instant::now() < end)?;
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

    /// Sends claims on each stream while `more` says so of the number sent on it.
    fn claim(
        &self,
        streams: usize,
        more: &(dyn Fn(usize) -> bool + Sync),
    ) -> Result<Vec<Duration>, CommandError> {
        let leader = self.leader()?;
        let address = self.settings[leader].cluster.control[leader].link;
        std::thread::scope(|scope| {
            let senders: Vec<_> = (0..streams)
                .map(|_| scope.spawn(|| claim_on_stream(&self.client, address, more)))
                .collect();
            let mut times = Vec::new();
            for sender in senders {
                let ended =
                    sender.join().map_err(|_| CommandError::refused("a stream's thread failed"))?;
                times.extend(ended?);
            }
            Ok(times)
        })
    }
}

fn claim_on_stream(
    client: &LinkClient,
    address: SocketAddr,
    more: &(dyn Fn(usize) -> bool + Sync),
) -> Result<Vec<Duration>, CommandError> {
    let (writer, reader) = client.open(address, CallKind::Ledger);
    let mut times = Vec::new();
    while more(times.len()) {
        let attempt = new_attempt_id();
        let key = ClaimKey { team: TeamName::new("measure"), key: attempt.to_string() };
        let started = Instant::now();
        writer
            .send(&LedgerRequest::Claim { key, digest: [7; 32], attempt })
            .map_err(CommandError::refused)?;
        match reader.receive::<LedgerReply>(CLAIM_WAIT).map_err(CommandError::refused)? {
            LedgerReply::Claimed => times.push(started.elapsed()),
            other => return Err(CommandError::refused(format!("a claim got {other:?}"))),
        }
    }
    Ok(times)
}

/// Time from the start of a host that missed `entries` until it has applied all of them.
fn measure_catch_up(folder: &Path, entries: usize) -> Result<Value, CommandError> {
    let mut cluster = HostSet::start(folder, 3)?;
    let late = (cluster.leader()? + 1) % 3;
    cluster.stop_host(late);
    let each = entries.div_ceil(FILL_STREAMS);
    cluster.claim(FILL_STREAMS, &|sent| sent < each)?;
    let leader = cluster.leader()?;
    let commit = |status: Option<Value>| status.and_then(|status| status["commit"].as_u64());
    let newest = commit(cluster.status(leader));
    cluster.start_host(late)?;
    let started = Instant::now();
    while commit(cluster.status(late)) < newest {
        if started.elapsed() > PATIENCE {
            return Err(CommandError::refused("the late host did not catch up; look at the log"));
        }
        std::thread::sleep(LOOK);
    }
    let time = started.elapsed();
    cluster.stop();
    Ok(json!({ "entries": each * FILL_STREAMS, "ms": time.as_secs_f64() * 1000.0 }))
}

/// Processor time in milliseconds that one of three idle hosts uses a second.
fn measure_idle(folder: &Path) -> Result<f64, CommandError> {
    let cluster = HostSet::start(folder, 3)?;
    std::thread::sleep(IDLE_SETTLE);
    let before = processor_ticks();
    std::thread::sleep(IDLE_LENGTH);
    let used = processor_ticks() - before;
    cluster.stop();
    let millis = used as f64 * MILLIS_PER_TICK;
    Ok(millis / IDLE_LENGTH.as_secs_f64() / 3.0)
}

/// Processor time of this process so far, in ticks of the system.
fn processor_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name before it may hold blanks, the parenthesis ends it.
    let fields = stat.rsplit_once(')').map(|(_, rest)| rest).unwrap_or_default();
    let times = fields.split_whitespace().skip(TIMES_BEFORE).take(2);
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
