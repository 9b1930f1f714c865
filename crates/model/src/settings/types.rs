//! Types of the settings, with their defaults.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::lease::HoldPolicy;
use crate::names::{DomainName, HostName, NodeName, ProviderName, ServiceName, ZoneName};

/// Settings of one daemon process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the process; unique in the deployment.
    pub node: NodeName,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// The deployment it belongs to.
    pub cluster: ClusterSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Trace settings.
    #[serde(default)]
    pub trace: TraceSettings,
    /// Settings for stopping the process.
    #[serde(default)]
    pub stop: StopSettings,
    /// Settings of the entry role; absent when the process does not serve callers.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Settings of the control role; absent when the process does not keep control state.
    #[serde(default)]
    pub control: Option<ControlSettings>,
    /// Settings of the agent role; absent when the process does not serve an endpoint.
    #[serde(default)]
    pub agent: Option<AgentSettings>,
}

/// Settings shared by all processes of a deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSettings {
    /// Shared secret that processes use to authenticate to each other.
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
    /// Address at which it listens for other processes.
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

/// How a process stops after SIGTERM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time from reporting the process as not ready until it accepts no more requests, in
    /// milliseconds; must be longer than the load balancer's check interval.
    pub notice_ms: u32,
    /// Longest wait for work in progress to end, in milliseconds.
    pub wait_ms: u32,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { notice_ms: 3000, wait_ms: 150_000 }
    }
}

/// What an entry does when its rules lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnconfirmedPolicy {
    /// Accept no new requests.
    #[default]
    Refuse,
    /// Keep applying the last confirmed rules.
    Serve,
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Most requests open at one time.
    #[serde(default = "default_open_requests")]
    pub max_open_requests: u32,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: usize,
    /// What to do when the rules lease has expired.
    #[serde(default)]
    pub when_rules_unconfirmed: UnconfirmedPolicy,
}

/// Settings of the control role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address at which other processes connect.
    pub link: SocketAddr,
    /// Address at which operators connect.
    pub operator: SocketAddr,
    /// Bearer token of operators; required unless `operator` is a loopback address.
    #[serde(default)]
    pub operator_token: Option<String>,
    /// Folder for durable state.
    pub data_folder: PathBuf,
    /// File with the rule document to adopt when the data folder is new.
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
    /// Address at which entries and other agents connect.
    pub link: SocketAddr,
    /// Address at which other processes reach the agent, if different from `link`.
    #[serde(default)]
    pub announce: Option<SocketAddr>,
    /// Host it runs on.
    pub host: HostName,
    /// Fabric domain of the host.
    pub domain: DomainName,
    /// Provider of the host.
    pub provider: ProviderName,
    /// Number of accelerators on the host.
    #[serde(default)]
    pub accelerators: u32,
    /// The endpoint that the agent serves.
    pub endpoint: EndpointSettings,
}

/// Kind of the endpoint that an agent serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Settings of the endpoint that an agent serves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Kind of the endpoint.
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
