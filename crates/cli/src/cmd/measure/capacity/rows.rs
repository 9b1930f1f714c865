//! Resources that each role needs at the design size, calculated from the measured cost lines.

use serde::Serialize;

use super::lines::MeasuredLine;

/// Entries at the design size.
const ENTRIES: f64 = 460.0;

/// Replicas at the design size.
const REPLICAS: f64 = 2800.0;

/// Hosts with an endpoint, counting one accelerator each; the page gives other interpretations.
const HOSTS: f64 = 22_000.0;

/// Largest replica, in hosts.
const LARGEST_REPLICA_HOSTS: f64 = 32.0;

/// Peak requests per second.
const REQUESTS_PER_SECOND: f64 = 15_000.0;

/// Peak tokens per second.
const TOKENS_PER_SECOND: f64 = 7_100_000.0;

/// Rule changes per day.
const DAILY_RULE_CHANGES: f64 = 2000.0;

/// Assumed size of a rule document at the design size, in bytes.
const RULES_BYTES: f64 = 20_000.0;

/// Hosts that fail, plus hosts that are restarted, per day; each takes a group down and back up.
const DAILY_HOST_EVENTS: f64 = 21.0 + 370.0;

/// Seconds per day.
const DAY_SECONDS: f64 = 86_400.0;

/// Limit on processor time of control on a node, in percent of a core.
const CPU_LIMIT_PERCENT: f64 = 2.7;

/// Limit on memory of control on a node, in bytes.
const MEMORY_LIMIT_BYTES: f64 = 128e6;

/// Limit on network traffic of control on a node, in bytes per second.
const NETWORK_LIMIT_BYTES_PER_SECOND: f64 = 10_000.0;

/// Limit on the time until a change is in force everywhere, in milliseconds.
const CHANGE_LIMIT_MS: f64 = 14_000.0;

/// Limit for a host dedicated to control: one full core, in percent.
const FULL_CORE_PERCENT: f64 = 100.0;

/// One resource that a role needs at the design size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct CapacityRow {
    pub(super) role: &'static str,
    pub(super) what: &'static str,
    pub(super) need: f64,
    pub(super) unit: &'static str,
    pub(super) limit: Option<f64>,
    /// How `need` is calculated.
    pub(super) sum: String,
    /// Mechanism behind the need.
    pub(super) mechanism: &'static str,
}

impl CapacityRow {
    /// Headroom below the limit, or the factor by which it is exceeded.
    pub(super) fn margin(&self) -> String {
        match self.limit {
            Some(limit) if self.need > limit => {
                format!("**over by {:.1} times**", self.need / limit)
            }
            Some(limit) => format!("{:.0}% left", (1.0 - self.need / limit) * 100.0),
            None => "-".to_owned(),
        }
    }
}

/// Looks up measured lines; a value whose line is missing is NaN.
struct LineTable<'a>(&'a [MeasuredLine]);

impl LineTable<'_> {
    /// Cost of one more unit.
    fn slope(&self, role: &str, of: &str, unit: &str) -> f64 {
        self.find(role, of, unit).map_or(f64::NAN, |line| line.line.each)
    }

    /// Cost at `size` units.
    fn cost_at(&self, role: &str, of: &str, unit: &str, size: f64) -> f64 {
        let cost = |line: &MeasuredLine| line.line.fixed + line.line.each * size;
        self.find(role, of, unit).map_or(f64::NAN, cost)
    }

    fn find(&self, role: &str, of: &str, unit: &str) -> Option<&MeasuredLine> {
        self.0.iter().find(|line| (line.role, line.of, line.unit) == (role, of, unit))
    }
}

/// Calculates the needs of every role.
pub(super) fn design_size_rows(measured: &[MeasuredLine]) -> Vec<CapacityRow> {
    let table = LineTable(measured);
    let mut rows = leader_rows(&table);
    rows.extend(entry_rows(&table));
    rows.extend(agent_rows(&table));
    rows
}

fn leader_rows(table: &LineTable<'_>) -> Vec<CapacityRow> {
    let role = "control leader";
    let (watcher, agent) = ("watching entry", "connected agent");
    let leases = "rules leases, renewed by every entry";
    let sessions = "a session for each agent, which announces on a change and every 15 s";
    let avoided = "not built: members without a session, vouched for by their first host";
    vec![
        CapacityRow {
            role,
            what: "processor, watches",
            need: table.cost_at(role, watcher, "% of a core", ENTRIES),
            unit: "% of a core",
            limit: Some(FULL_CORE_PERCENT),
            sum: format!("line at {ENTRIES} entries"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "network, watches",
            need: table.cost_at(role, watcher, "bytes/s", ENTRIES),
            unit: "bytes/s",
            limit: None,
            sum: format!("line at {ENTRIES} entries"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "change to all entries",
            need: table.cost_at(role, watcher, "ms to all", ENTRIES),
            unit: "ms",
            limit: Some(CHANGE_LIMIT_MS),
            sum: format!("line at {ENTRIES} entries, on loopback"),
            mechanism: "commit, then the next renewal of each entry",
        },
        CapacityRow {
            role,
            what: "processor, sessions",
            need: table.cost_at(role, agent, "% of a core", HOSTS),
            unit: "% of a core",
            limit: Some(FULL_CORE_PERCENT),
            sum: format!("line at {HOSTS} hosts"),
            mechanism: sessions,
        },
        CapacityRow {
            role,
            what: "network, sessions",
            need: table.cost_at(role, agent, "bytes/s", HOSTS),
            unit: "bytes/s",
            limit: None,
            sum: format!("line at {HOSTS} hosts"),
            mechanism: sessions,
        },
        CapacityRow {
            role,
            what: "memory, sessions",
            need: table.cost_at(role, agent, "bytes of memory", HOSTS),
            unit: "bytes",
            limit: None,
            sum: format!("line at {HOSTS} hosts"),
            mechanism: sessions,
        },
        CapacityRow {
            role,
            what: "processor, were only first hosts connected",
            need: table.cost_at(role, agent, "% of a core", REPLICAS),
            unit: "% of a core",
            limit: Some(FULL_CORE_PERCENT),
            sum: format!("line at {REPLICAS} first hosts"),
            mechanism: avoided,
        },
    ]
}

fn entry_rows(table: &LineTable<'_>) -> Vec<CapacityRow> {
    let requests = table.slope("entry", "request/s of one token", "% of a core");
    let tokens = table.slope("entry", "token/s", "% of a core");
    let bytes = table.slope("control leader", "watching entry", "bytes/s");
    let snapshot = table.cost_at("entry", "group in a snapshot", "bytes", REPLICAS);
    let update = table.cost_at("entry", "changed group in an update", "bytes", 1.0);
    let changes = DAILY_RULE_CHANGES + 2.0 * DAILY_HOST_EVENTS;
    vec![
        CapacityRow {
            role: "entry",
            what: "network, watch",
            need: bytes,
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT_BYTES_PER_SECOND),
            sum: "each of the leader's line".to_owned(),
            mechanism: "rules lease, renewed; changes when there are some",
        },
        CapacityRow {
            role: "entry",
            what: "network, changes of groups and rules",
            need: (2.0 * DAILY_HOST_EVENTS * update + DAILY_RULE_CHANGES * RULES_BYTES)
                / DAY_SECONDS,
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT_BYTES_PER_SECOND),
            sum: format!(
                "{} group changes a day of {update:.0} bytes, {DAILY_RULE_CHANGES} rule changes of \
                 {:.0} kB",
                2.0 * DAILY_HOST_EVENTS,
                RULES_BYTES / 1000.0
            ),
            mechanism: "updates hold what changed; the view is swapped as a whole",
        },
        CapacityRow {
            role: "entry",
            what: "network, were whole snapshots sent",
            need: snapshot * changes / DAY_SECONDS,
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT_BYTES_PER_SECOND),
            sum: format!("{changes} changes a day of {:.0} kB", snapshot / 1000.0),
            mechanism: "what updates avoid; sent after a change of leader only",
        },
        CapacityRow {
            role: "entry",
            what: "processor, traffic",
            need: requests * REQUESTS_PER_SECOND / ENTRIES + tokens * TOKENS_PER_SECOND / ENTRIES,
            unit: "% of a core",
            limit: None,
            sum: format!(
                "{:.1} requests/s and {:.0} tokens/s an entry",
                REQUESTS_PER_SECOND / ENTRIES,
                TOKENS_PER_SECOND / ENTRIES
            ),
            mechanism: "one small thread for each request, one link thread",
        },
    ]
}

fn agent_rows(table: &LineTable<'_>) -> Vec<CapacityRow> {
    let (role, member) = ("agent, first host", "member of the group");
    let requests = table.slope(role, "request/s of one token", "% of a core");
    let tokens = table.slope(role, "token/s", "% of a core");
    let others = LARGEST_REPLICA_HOSTS - 1.0;
    let leases = "leases of every member, renewed by the first host";
    vec![
        CapacityRow {
            role,
            what: "processor, leases",
            need: table.cost_at(role, member, "% of a core", others),
            unit: "% of a core",
            limit: Some(CPU_LIMIT_PERCENT),
            sum: format!("line at {others} members"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "network, leases",
            need: table.cost_at(role, member, "bytes/s", others),
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT_BYTES_PER_SECOND),
            sum: format!("line at {others} members"),
            mechanism: leases,
        },
        CapacityRow {
            role: "agent",
            what: "network, session",
            need: table.slope("control leader", "connected agent", "bytes/s"),
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT_BYTES_PER_SECOND),
            sum: "each of the leader's line".to_owned(),
            mechanism: "a session, pings once a second",
        },
        CapacityRow {
            role,
            what: "memory, leases",
            need: table.cost_at(role, member, "bytes of memory", others),
            unit: "bytes",
            limit: Some(MEMORY_LIMIT_BYTES),
            sum: format!("line at {others} members"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "processor, traffic",
            need: requests * REQUESTS_PER_SECOND / REPLICAS + tokens * TOKENS_PER_SECOND / REPLICAS,
            unit: "% of a core",
            limit: None,
            sum: format!(
                "{:.1} requests/s and {:.0} tokens/s a replica",
                REQUESTS_PER_SECOND / REPLICAS,
                TOKENS_PER_SECOND / REPLICAS
            ),
            mechanism: "one small thread for each attempt",
        },
    ]
}
