//! Settings of one process, read from a YAML file.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use briartray_fleet::retry::RetryTerms;
use briartray_model::names::{NodeName, ZoneName};
use briartray_routing::retry::AllowanceTerms;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Reason why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read settings file {}: {source}; check the path", path.display()))]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The YAML is malformed, or a key is unknown, missing or has an invalid value.
    #[snafu(display("invalid settings {}: {detail}; correct the file and restart", path.display()))]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Parser message with the position of the error.
        detail: String,
    },
}

/// Settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// IP address of this host, which also serves as its name.
    pub node: IpAddr,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Port on which control hosts accept links from entries and other control hosts.
    pub link_port: u16,
    /// Shared secret that authenticates links.
    pub link_token: String,
    /// Addresses of some control hosts, with the port for operators and endpoints.
    pub seeds: Vec<SocketAddr>,
    /// Listen address of the metrics endpoint; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
    /// Log filter, such as `info,briartray_gateway=debug`.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Settings of the entry role; `None` if this host does not have the role.
    pub entry: Option<EntryRole>,
    /// Settings of the control role; `None` if this host does not have the role.
    pub control: Option<ControlRole>,
    /// Limits that apply to the whole deployment.
    pub limits: DeploymentLimits,
}

/// Settings of the entry role.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRole {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Admission by latency; `None` admits by slots alone.
    #[serde(default)]
    pub overload: Option<EntryOverload>,
}

/// Admission by latency and waiting at an entry. It applies to services whose full groups miss the
/// targets of their routes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryOverload {
    /// Late first events of a full group, in a hundred, above which the section applies to a service.
    pub late_percent: f64,
    /// Part of the target latency, in a hundred, for which a request may wait for capacity.
    pub wait_percent: f64,
    /// Maximum number of requests that wait at this entry.
    pub max_waiting: usize,
    /// Maximum size of the bodies of waiting requests, in KiB.
    pub max_waiting_kb: usize,
    /// Whether groups are chosen by a forecast of the first event; otherwise by free slots.
    pub forecast: bool,
    /// Whether callers send the route's timeout as the deadline of their first attempt, so that a
    /// shorter deadline marks a caller that was refused before.
    pub full_deadlines: bool,
    /// Whether the last slots of a group are kept free while it is on time; requires `forecast`.
    pub headroom: bool,
    /// Whether refused callers are told times by the capacity that frees up; otherwise random ones.
    pub scheduled_returns: bool,
}

impl Default for EntryOverload {
    fn default() -> Self {
        Self {
            late_percent: DEFAULT_LATE_PERCENT,
            wait_percent: 30.0,
            max_waiting: 64,
            max_waiting_kb: 4_096,
            forecast: true,
            full_deadlines: false,
            headroom: true,
            scheduled_returns: true,
        }
    }
}

/// Parts that the leader decides, for services whose full groups miss the targets of their routes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlOverload {
    /// Late first events of a full group, in a hundred, above which the section applies to a service.
    pub late_percent: f64,
    /// Whether entries get shares of capacity by demand; otherwise equal ones.
    pub demand_shares: bool,
    /// Whether hosts that idle beside refused callers are used for another model.
    pub idle_hosts: bool,
}

impl Default for ControlOverload {
    fn default() -> Self {
        Self { late_percent: DEFAULT_LATE_PERCENT, demand_shares: true, idle_hosts: true }
    }
}

/// Default of `late_percent`: below a quarter of late first events, refusing requests earlier would
/// cost callers more than the late answers do.
const DEFAULT_LATE_PERCENT: f64 = 25.0;

/// Settings of the control role.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRole {
    /// Listen address for operators and endpoints.
    pub listen: SocketAddr,
    /// Data folder for the replicated log. A host without one only relays and does not vote.
    pub data_folder: Option<PathBuf>,
    /// Whether the whole deployment starts for the first time, with empty disks.
    pub first_start: bool,
    /// Number of voters that may fail at the same time.
    pub losses: usize,
    /// Zones that may be evacuated; if empty, the zones that endpoints have announced.
    #[serde(default)]
    pub zones: Vec<ZoneName>,
    /// Shares of capacity by demand; `None` leaves equal shares.
    #[serde(default)]
    pub overload: Option<ControlOverload>,
}

/// Limits of the deployment; durations are in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentLimits {
    /// Maximum time until every entry refuses a revoked key.
    pub revocation_ms: u64,
    /// Maximum time until no entry sends requests to an evacuated zone; defaults to
    /// `revocation_ms`.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// Time between SIGTERM and the end of the process.
    pub grace_ms: u64,
    /// Fraction of a service's requests that may be retried.
    pub retry_ratio: f64,
    /// Additional retries per window, summed over all entries.
    pub retry_allowance: f64,
    /// Length of the window over which requests and retries are counted.
    pub retry_window_ms: u64,
}

impl GatewaySettings {
    /// Name of this host in links and messages: its IP address.
    pub fn node_name(&self) -> NodeName {
        NodeName::new(&self.node.to_string())
    }

    /// Names of the control hosts listed as seeds.
    pub fn seed_names(&self) -> Vec<NodeName> {
        self.seeds.iter().map(|seed| NodeName::new(&seed.ip().to_string())).collect()
    }

    /// Link address of the control host `node`; `None` if the name is not an IP address.
    pub fn link_address(&self, node: &NodeName) -> Option<SocketAddr> {
        let ip: IpAddr = node.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.link_port))
    }
}

impl DeploymentLimits {
    /// Maximum time for which an entry may act on its current state without a lease renewal. Every
    /// change is in force on all entries after this time.
    pub fn lease_bound(&self) -> Duration {
        let evacuation = self.evacuation_ms.unwrap_or(self.revocation_ms);
        Duration::from_millis(self.revocation_ms.min(evacuation))
    }

    /// Time between SIGTERM and the end of the process.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// Terms of the retry budget that all entries share.
    pub fn retry_terms(&self) -> RetryTerms {
        RetryTerms {
            ratio: self.retry_ratio,
            allowance: AllowanceTerms {
                // The cast saturates.
                retries: self.retry_allowance as u64,
                window: Duration::from_millis(self.retry_window_ms),
                lease: self.lease_bound(),
            },
        }
    }
}

/// Reads the settings from the YAML file at `path`.
///
/// # Errors
/// A [`SettingsError`] with the path and the cause.
pub fn load(path: &Path) -> Result<GatewaySettings, SettingsError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    serde_saphyr::from_str(&text).map_err(|error| SettingsError::Invalid {
        path: path.to_owned(),
        detail: error.to_string(),
    })
}

fn default_level() -> String {
    "info".to_owned()
}
