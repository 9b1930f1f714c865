//! The project's own processes, started with the commands of the deploy file, each with a settings
//! file as the templates `deploy/control.yaml` and `deploy/entry.yaml` give it. A machine is a
//! loopback address.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const PROGRAM: &str = "target/release/briartrayd";

/// Zones of the deployment; machine 1 is in the first one, and so on.
pub const ZONES: [&str; 3] = ["montpelier", "concord", "amherst"];

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A process that the rig started; it is killed when dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn start(command: &mut Command) -> Result<Self> {
        Ok(Self { child: command.spawn()? })
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids fit");
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(pid, signal) };
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Addresses and folder of a deployment of three machines, each with a control host and an entry.
pub struct Deployment {
    pub folder: PathBuf,
    /// First three bytes of the machines' addresses.
    net: [u8; 3],
    link_port: u16,
    control_port: u16,
    callers_port: u16,
    ready_port: u16,
    control_metrics: u16,
    entry_metrics: u16,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Reserves free addresses and a temporary folder; `attempt` numbers those of one run.
    pub fn prepare(attempt: u8) -> Result<Self> {
        if !Path::new(PROGRAM).exists() {
            return Err(Error::other("the program is not built; run the build of the deploy file"));
        }
        let pid = std::process::id();
        let net = [127, 20 + (pid % 200) as u8, (pid / 200 % 250) as u8];
        let folder = temporary_folder(pid, attempt)?;
        let mut ports = Vec::new();
        while ports.len() < 6 {
            let port = free_port(net)?;
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        Ok(Self {
            folder,
            net,
            link_port: ports[0],
            control_port: ports[1],
            callers_port: ports[2],
            ready_port: ports[3],
            control_metrics: ports[4],
            entry_metrics: ports[5],
        })
    }

    /// Address of machine `number`; replicas have numbers from 101.
    pub fn ip(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(self.net[0], self.net[1], self.net[2], number))
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.control_port)
    }

    pub fn callers(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.callers_port)
    }

    pub fn ready(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(number), self.ready_port)
    }

    /// Control addresses of all machines.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=3).map(|number| self.control(number)).collect()
    }

    fn common(&self, number: u8, metrics: u16) -> String {
        let ip = self.ip(number);
        let seeds: Vec<String> = self.controls().iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "node: {ip}\nzone: \"{zone}\"\nlink_port: {link}\nlink_token: internal\n\
             metrics: \"{ip}:{metrics}\"\nseeds: [{seeds}]\nlimits:\n  revocation_ms: 5000\n  \
             grace_ms: 8000\n  retry_ratio: 0.2\n  retry_allowance: 160\n  \
             retry_window_ms: 10000\n",
            zone = ZONES[usize::from(number) - 1],
            link = self.link_port,
            seeds = seeds.join(","),
        )
    }

    /// Starts the control host of machine `number`, for the first time.
    pub fn start_control(&self, number: u8) -> Result<Process> {
        let settings = format!(
            "{common}control:\n  listen: \"{listen}\"\n  first_start: true\n  losses: 1\n  \
             zones: [{zones}]\n  data_folder: \"{folder}\"\n  overload:\n    \
             demand_shares: false\n",
            common = self.common(number, self.control_metrics),
            listen = self.control(number),
            zones = ZONES.map(|zone| format!("\"{zone}\"")).join(","),
            folder = self.folder.join(format!("data-{number}")).display(),
        );
        let name = format!("control-{number}");
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        self.start(&name, &settings, Stdio::from(log))
    }

    /// Starts the entry of machine `number`, whose log goes to `log` or else to a file.
    pub fn start_entry(&self, number: u8, log: Option<Stdio>) -> Result<Process> {
        let settings = format!(
            "{common}entry:\n  callers: \"{callers}\"\n  ready: \"{ready}\"\n  overload:\n    \
             max_waiting: 0\n    scheduled_returns: false\n    headroom: false\n",
            common = self.common(number, self.entry_metrics),
            callers = self.callers(number),
            ready = self.ready(number),
        );
        let name = format!("entry-{number}");
        let log = match log {
            Some(log) => log,
            None => Stdio::from(File::create(self.folder.join(format!("{name}.log")))?),
        };
        self.start(&name, &settings, log)
    }

    fn start(&self, name: &str, settings: &str, log: Stdio) -> Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let mut command = Command::new(PROGRAM);
        command.arg("--registered").arg("--settings").arg(&path);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        Process::start(&mut command)
    }
}

/// A new folder for settings, logs and data.
fn temporary_folder(pid: u32, attempt: u8) -> Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-{pid}-{attempt}"));
    fs::create_dir(&folder)?;
    Ok(folder)
}

/// A port that is free on the addresses of all machines.
fn free_port(net: [u8; 3]) -> Result<u16> {
    loop {
        let probe =
            |number, port| TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2], number), port));
        let first = probe(1, 0)?;
        let port = first.local_addr()?.port();
        if (2..=3).all(|number| probe(number, port).is_ok()) {
            return Ok(port);
        }
    }
}
