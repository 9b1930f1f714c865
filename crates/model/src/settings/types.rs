//! The settings themselves, with their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::lease::HoldPolicy;
use crate::names::{DomainName, HostName, NodeName, ProviderName, ServiceName, ZoneName};

/// Settings of one daemon process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the process, unique in the deployment.
    pub node: NodeName,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// The deployment it belongs to.
    pub cluster: ClusterSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Traces.
    #[serde(default)]
    pub trace: TraceSettings,
    /// What happens when the process is told to end.
    #[serde(default)]
    pub stop: StopSettings,
    /// Present when the process stands before callers.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Present when the process keeps control state.
    #[serde(default)]
    pub control: Option<ControlSettings>,
    /// Present when the process stands beside an endpoint.
    #[serde(default)]
    pub agent: Option<AgentSettings>,
}

/// What all processes of a deployment share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Secret that processes show each other.
    pub token: String,
    /// The control hosts.
    pub control: Vec<ControlPeer>,
}

/// One control host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// Its node name.
    pub node: NodeName,
    /// Where it listens for other processes.
    pub link: SocketAddr,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

/// Trace settings.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// File that spans are appended to as JSON lines; none when absent.
    pub file: Option<PathBuf>,
}

/// What happens when a process is told to end by SIGTERM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time between saying that the process is not ready and taking no more requests, in
    /// milliseconds; longer than the balancer's check interval.
    pub notice_ms: u32,
    /// Longest time that work in progress may take to end, in milliseconds.
    pub wait_ms: u32,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { notice_ms: 3000, wait_ms: 150_000 }
    }
}

/// What an entry does when its rules lease has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnconfirmedPolicy {
    /// Take no new work.
    #[default]
    Refuse,
    /// Go on under the last confirmed rules.
    Serve,
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Requests open at one time.
    #[serde(default = "default_open_requests")]
    pub max_open_requests: u32,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: usize,
    /// What to do when the rules lease has run out.
    #[serde(default)]
    pub when_rules_unconfirmed: UnconfirmedPolicy,
}

/// Settings of the control role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Where other processes of the system connect.
    pub link: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Bearer token of operators; needed off loopback.
    #[serde(default)]
    pub operator_token: Option<String>,
    /// Folder for durable state.
    pub data_folder: PathBuf,
    /// Rule document adopted when the data folder is new.
    #[serde(default)]
    pub first_rules: Option<PathBuf>,
    /// What entries that register from now on do when their rules cannot be confirmed.
    #[serde(default)]
    pub rules_hold: HoldPolicy,
}

/// Settings of the agent role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Where entries and other agents connect.
    pub link: SocketAddr,
    /// Where others reach `link`, when that is another address.
    #[serde(default)]
    pub announce: Option<SocketAddr>,
    /// Host it runs on.
    pub host: HostName,
    /// Fabric domain of the host.
    pub domain: DomainName,
    /// Provider of the host.
    pub provider: ProviderName,
    /// Accelerators on the host.
    #[serde(default)]
    pub accelerators: u32,
    /// The endpoint beside it.
    pub endpoint: EndpointSettings,
}

/// What kind of endpoint an agent stands beside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// The endpoint beside an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Service it belongs to.
    pub service: ServiceName,
    /// What kind it is.
    #[serde(default)]
    pub kind: EndpointKind,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

pub(super) fn default_open_requests() -> u32 {
    4096
}

pub(super) fn default_body_bytes() -> usize {
    1024 * 1024
}
