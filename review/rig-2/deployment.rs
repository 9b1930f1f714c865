//! A small deployment: three control hosts, an entry and stand-in replicas, each a process of its own.

use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::gate::LinkGates;
use crate::http::{self, Answer};
use crate::record::Record;

const DAEMON: &str = "target/release/briartrayd";

/// Addresses of the control hosts end with 1, 2 and 3.
pub const CONTROL_HOSTS: u8 = 3;

/// The number of a further control host, which is added later.
pub const ADDED_HOST: u8 = 4;
const ENTRY_HOST: u8 = 10;

/// Time after which the operator moves on to another host.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ids of the running processes that this rig started.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends all processes that this rig started.
pub fn kill_all() {
    for id in std::mem::take(&mut *STARTED.lock().unwrap_or_else(|error| error.into_inner())) {
        signal_process(id, SIGCONT);
        signal_process(id, SIGKILL);
    }
}

fn signal_process(id: u32, signal: i32) {
    // SAFETY: `kill` reads its two arguments only.
    unsafe { kill(i32::try_from(id).expect("a process id is small"), signal) };
}

/// A process that this rig started.
pub struct Process {
    child: Child,
    name: String,
    record: Record,
}

impl Process {
    fn start(mut command: Command, name: &str, record: &Record) -> Result<Self, String> {
        let child = command.spawn().map_err(|error| format!("cannot start {name}: {error}"))?;
        STARTED.lock().expect("the list is usable").insert(child.id());
        record.line(&format!("started {name}"));
        Ok(Self { child, name: name.to_owned(), record: record.clone() })
    }

    pub fn freeze(&self) {
        self.record.line(&format!("SIGSTOP to {}", self.name));
        signal_process(self.child.id(), SIGSTOP);
    }

    pub fn thaw(&self) {
        self.record.line(&format!("SIGCONT to {}", self.name));
        signal_process(self.child.id(), SIGCONT);
    }

    pub fn kill(&mut self) {
        self.record.line(&format!("SIGKILL to {}", self.name));
        signal_process(self.child.id(), SIGKILL);
        let _ = self.child.wait();
        STARTED.lock().expect("the list is usable").remove(&self.child.id());
    }

    /// Writes a line to the standard input of a stand-in.
    pub fn tell(&mut self, line: &str) {
        self.record.line(&format!("told {}: {line}", self.name));
        if let Some(input) = &mut self.child.stdin {
            let _ = writeln!(input, "{line}");
        }
    }
}

/// Addresses, ports and the data of a deployment.
pub struct Deployment {
    net: u8,
    /// Ports of the links: one for each control host, the added one included, and one for the entry.
    link_ports: [u16; 5],
    control_port: u16,
    callers_port: u16,
    ready_port: u16,
    metrics_port: u16,
    replica_port: u16,
    folder: PathBuf,
    record: Record,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Chooses free ports and a temporary folder; `round` tells deployments of one run apart.
    pub fn create(record: &Record, round: u32) -> Result<Self, String> {
        let id = std::process::id();
        let net = u8::try_from(32 + (id.wrapping_mul(7) + round) % 190).expect("it is small");
        let folder = std::env::temp_dir().join(format!("briartray-review-{id}-{round}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut ports = Vec::new();
        while ports.len() < 10 {
            let port = free_port(net)?;
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        let [a, b, c, d, e, control_port, callers_port, ready_port, metrics_port, replica_port] =
            ports[..]
        else {
            return Err("no free ports".to_owned());
        };
        let record = record.clone();
        Ok(Self {
            net,
            link_ports: [a, b, c, d, e],
            control_port,
            callers_port,
            ready_port,
            metrics_port,
            replica_port,
            folder,
            record,
        })
    }

    fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 7, number)
    }

    pub fn control_address(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.host(number), self.control_port))
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.host(ENTRY_HOST), self.callers_port))
    }

    fn link_port(&self, number: u8) -> u16 {
        self.link_ports[usize::from(number.min(ADDED_HOST + 1)) - 1]
    }

    /// Starts the proxies on all links to control hosts.
    pub fn start_proxies(&self) -> Result<LinkGates, String> {
        let gates = LinkGates::new(ADDED_HOST);
        for to in 1..=ADDED_HOST {
            let target = SocketAddr::from((self.host(to), self.link_port(to)));
            for from in (1..=ADDED_HOST + 1).filter(|from| *from != to) {
                let listen = SocketAddr::from((self.host(to), self.link_port(from)));
                gates.between(from, to).forward(listen, target)?;
            }
        }
        Ok(gates)
    }

    /// Number of log lines of a control host that contain `text`.
    pub fn count_log_lines(&self, number: u8, text: &str) -> usize {
        let log = fs::read_to_string(self.folder.join(format!("control-{number}.log")));
        log.map_or(0, |log| log.lines().filter(|line| line.contains(text)).count())
    }

    /// Empties the disk of a control host.
    pub fn wipe_control(&self, number: u8) -> Result<(), String> {
        self.record.line(&format!("control host {number} loses its disk"));
        let data = self.folder.join(format!("data-{number}"));
        fs::remove_dir_all(data).map_err(|error| error.to_string())
    }

    /// The part of the settings that both templates of the deploy file share.
    fn common_settings(&self, number: u8) -> String {
        let seeds: Vec<String> = (1..=CONTROL_HOSTS)
            .map(|number| format!("\"{}\"", self.control_address(number)))
            .collect();
        let host = self.host(number);
        format!(
            "node: {host}\nzone: \"zone-{number}\"\nlink_port: {}\nlink_token: internal\n\
             metrics: \"{host}:{}\"\nseeds: [{}]\nlimits:\n  revocation_ms: 5000\n  \
             grace_ms: 8000\n  retry_ratio: 0.2\n  retry_allowance: 166\n  \
             retry_window_ms: 10000\n",
            self.link_port(number),
            self.metrics_port,
            seeds.join(",")
        )
    }

    /// Starts the control host with this number, as the template `deploy/control.yaml` sets it up.
    pub fn start_control(&self, number: u8, first_start: bool) -> Result<Process, String> {
        let data = self.folder.join(format!("data-{number}"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let settings = format!(
            "{}control:\n  listen: \"{}\"\n  first_start: {first_start}\n  losses: 1\n  \
             zones: [\"zone-1\",\"zone-2\",\"zone-3\"]\n  data_folder: \"{}\"\n  overload:\n    \
             demand_shares: false\n",
            self.common_settings(number),
            self.control_address(number),
            data.display()
        );
        let name = format!("control host {number} (first_start: {first_start})");
        self.start_daemon(&format!("control-{number}"), &settings, &name)
    }

    /// Starts the entry, as the template `deploy/entry.yaml` sets it up.
    pub fn start_entry(&self) -> Result<Process, String> {
        let host = self.host(ENTRY_HOST);
        let settings = format!(
            "{}entry:\n  callers: \"{}\"\n  ready: \"{host}:{}\"\n  overload:\n    \
             max_waiting: 0\n    scheduled_returns: false\n    headroom: false\n",
            self.common_settings(ENTRY_HOST),
            self.callers(),
            self.ready_port
        );
        self.start_daemon("entry", &settings, "entry")
    }

    fn start_daemon(&self, file: &str, settings: &str, name: &str) -> Result<Process, String> {
        let path = self.folder.join(format!("{file}.yaml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{file}.log")))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(DAEMON);
        command.args(["--registered", "--settings"]).arg(&path);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        Process::start(command, name, &self.record)
    }

    /// Starts a stand-in replica that registers itself with the control hosts.
    pub fn start_replica(&self, number: u8) -> Result<Process, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let address = SocketAddr::from((self.host(20 + number), self.replica_port));
        let name = format!("i-replica-{number}");
        let mut command = Command::new(program);
        command.args(["replica", &name, &address.to_string()]);
        for number in 1..=CONTROL_HOSTS {
            command.arg(self.control_address(number).to_string());
        }
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = Process::start(command, &name, &self.record)?;
        let output = process.child.stdout.take().expect("the output is piped");
        let record = self.record.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("{name}: {line}"));
            }
        });
        Ok(process)
    }

    /// Waits until the control port of a host accepts connections.
    pub fn wait_for_control(&self, number: u8) -> Result<(), String> {
        wait(Duration::from_secs(10), "a control port opens", || {
            std::net::TcpStream::connect(self.control_address(number)).is_ok()
        })
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_for_entry(&self) -> Result<(), String> {
        let address = SocketAddr::from((self.host(ENTRY_HOST), self.ready_port));
        wait(Duration::from_secs(20), "the entry is ready", || {
            let answer = http::call(address, "GET", "/readiness", &[], b"", OPERATOR_TIMEOUT);
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }

    /// Calls a control host as an operator does, which follows two redirects.
    pub fn call_control(
        &self,
        number: u8,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, String> {
        let json = [("Content-Type", "application/json")];
        let mut address = self.control_address(number);
        let mut answer = http::call(address, method, path, &json, body, OPERATOR_TIMEOUT)?;
        for _ in 0..2 {
            if answer.status != 307 {
                break;
            }
            let location = answer.header("location").unwrap_or_default();
            let host = location.strip_prefix("http://").and_then(|rest| rest.split('/').next());
            address = host
                .and_then(|host| host.parse().ok())
                .ok_or_else(|| format!("no address in {location}"))?;
            answer = http::call(address, method, path, &json, body, OPERATOR_TIMEOUT)?;
        }
        Ok(answer)
    }

    /// Sends a configuration until a host acknowledges it, beginning with the host `first`; returns
    /// whether one did within `limit`.
    pub fn put(&self, version: u64, first: u8, limit: Duration) -> bool {
        let body = configuration(version);
        let deadline = Instant::now() + limit;
        let mut number = first;
        while Instant::now() < deadline {
            let answer = self.call_control(number, "POST", "/Configuration.Put", body.as_bytes());
            let outcome = match &answer {
                Ok(answer) => format!("status {}", answer.status),
                Err(error) => error.clone(),
            };
            self.record.line(&format!("put of version {version} to host {number}: {outcome}"));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            number = number % CONTROL_HOSTS + 1;
            std::thread::sleep(Duration::from_millis(250));
        }
        false
    }
}

/// Port that is free on all addresses of a deployment.
fn free_port(net: u8) -> Result<u16, String> {
    let bind = |host: u8, port: u16| TcpListener::bind((Ipv4Addr::new(127, net, 7, host), port));
    for _ in 0..100 {
        let first = bind(1, 0).map_err(|error| error.to_string())?;
        let port = first.local_addr().map_err(|error| error.to_string())?.port();
        let others = [2, 3, ADDED_HOST, ENTRY_HOST, 21, 22, 23, 24, 25, 26, 27];
        if others.iter().all(|host| bind(*host, port).is_ok()) {
            return Ok(port);
        }
    }
    Err("no free port".to_owned())
}

/// Polls until `done` holds.
pub fn wait(limit: Duration, what: &str, done: impl Fn() -> bool) -> Result<(), String> {
    let deadline = Instant::now() + limit;
    while !done() {
        if Instant::now() > deadline {
            return Err(format!("not in time: {what}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// A valid configuration: one service, a safe and an unsafe route, one tenant.
fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ledger.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":8000,\"target_latency_ms\":150,\"priority\":1,\
             \"service\":\"ledger\",\"max_attempts\":2,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"ledger\",\
         \"health_path\":\"/health\",\"max_connections\":130}}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"buyers\",\"api_keys\":\
         [\"key-buyers\"],\"priority\":1}}]}}",
        route("status", "safe"),
        route("confirm", "unsafe")
    )
}
