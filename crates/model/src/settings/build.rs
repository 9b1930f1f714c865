//! Constructors and builder methods for settings that a program creates itself.

use std::net::SocketAddr;
use std::path::Path;

use super::types::{default_body_bytes, default_open_requests};
use super::{
    AgentSettings, ClusterSettings, ControlSettings, DaemonSettings, EndpointKind,
    EndpointSettings, EntrySettings, LogSettings, StopSettings, TraceSettings, UnconfirmedPolicy,
};
use crate::lease::HoldPolicy;
use crate::names::{DomainName, HostName, NodeName, ProviderName, ServiceName, ZoneName};

impl DaemonSettings {
    /// Settings of a process of `cluster` that has no role yet.
    pub fn new(node: &str, zone: &str, cluster: &ClusterSettings) -> Self {
        Self {
            node: NodeName::new(node),
            zone: ZoneName::new(zone),
            cluster: cluster.clone(),
            log: LogSettings::default(),
            trace: TraceSettings::default(),
            stop: StopSettings::default(),
            entry: None,
            control: None,
            agent: None,
        }
    }

    /// Sets the file that spans are written to.
    #[must_use]
    pub fn trace_file(mut self, file: Option<&Path>) -> Self {
        self.trace.file = file.map(Path::to_owned);
        self
    }

    /// Adds the entry role.
    #[must_use]
    pub fn entry(mut self, entry: EntrySettings) -> Self {
        self.entry = Some(entry);
        self
    }

    /// Adds the control role.
    #[must_use]
    pub fn control(mut self, control: ControlSettings) -> Self {
        self.control = Some(control);
        self
    }

    /// Adds the agent role.
    #[must_use]
    pub fn agent(mut self, agent: AgentSettings) -> Self {
        self.agent = Some(agent);
        self
    }
}

impl EntrySettings {
    /// An entry that accepts callers on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            max_open_requests: default_open_requests(),
            max_body_bytes: default_body_bytes(),
            when_rules_unconfirmed: UnconfirmedPolicy::default(),
        }
    }

    /// Sets what the entry does when its rules lease has expired.
    #[must_use]
    pub fn unconfirmed(mut self, policy: UnconfirmedPolicy) -> Self {
        self.when_rules_unconfirmed = policy;
        self
    }
}

impl ControlSettings {
    /// A control host that listens on `link` for processes and on `operator` for operators, and
    /// stores its state in `data_folder`.
    pub fn new(link: SocketAddr, operator: SocketAddr, data_folder: &Path) -> Self {
        Self {
            link,
            operator,
            operator_token: None,
            data_folder: data_folder.to_owned(),
            first_rules: None,
            rules_hold: HoldPolicy::default(),
        }
    }

    /// Sets the file with the rules that a new deployment starts with.
    #[must_use]
    pub fn first_rules(mut self, file: &Path) -> Self {
        self.first_rules = Some(file.to_owned());
        self
    }

    /// Sets what entries do when their rules cannot be confirmed.
    #[must_use]
    pub fn rules_hold(mut self, hold: HoldPolicy) -> Self {
        self.rules_hold = hold;
        self
    }
}

impl AgentSettings {
    /// An agent on `host` that listens on `link` and serves `endpoint`.
    pub fn new(link: SocketAddr, host: &str, endpoint: EndpointSettings) -> Self {
        Self {
            link,
            announce: None,
            host: HostName::new(host),
            domain: DomainName::new("domain-1"),
            provider: ProviderName::new("local"),
            accelerators: 8,
            endpoint,
        }
    }

    /// Sets the address at which other processes reach the agent.
    #[must_use]
    pub fn announce(mut self, address: SocketAddr) -> Self {
        self.announce = Some(address);
        self
    }

    /// Sets the fabric domain.
    #[must_use]
    pub fn domain(mut self, domain: &str) -> Self {
        self.domain = DomainName::new(domain);
        self
    }
}

impl EndpointSettings {
    /// An endpoint of `service` that listens on `address`.
    pub fn new(address: SocketAddr, service: &str, kind: EndpointKind) -> Self {
        Self { address, service: ServiceName::new(service), kind, checks_fencing: false }
    }

    /// Sets whether it refuses orders with an old fencing number.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }
}
