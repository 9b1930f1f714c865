//! What each role needs at the design size, as sums of measured costs.

use serde::Serialize;

use super::lines::MeasuredLine;

/// Entries before the replicas.
const ENTRIES: f64 = 460.0;

/// Replicas.
const REPLICAS: f64 = 2800.0;

/// Hosts with an endpoint, one accelerator each; see the page for other readings.
const HOSTS: f64 = 22_000.0;

/// Largest replica, in hosts.
const LARGEST_REPLICA: f64 = 32.0;

/// Requests a second at the peak.
const REQUESTS: f64 = 15_000.0;

/// Tokens a second at the peak.
const TOKENS: f64 = 7_100_000.0;

/// Changes of rules in a day.
const RULE_CHANGES: f64 = 2000.0;

/// Size of a rule document at the design size, in bytes; assumed.
const RULES_BYTES: f64 = 20_000.0;

/// Hosts that fail or are restarted in a day; each takes a group down and back up.
const HOST_EVENTS: f64 = 21.0 + 370.0;

/// Seconds in a day.
const DAY: f64 = 86_400.0;

/// Processor time of control on a node, in percent of a core.
const CPU_LIMIT: f64 = 2.7;

/// Memory of control on a node, in bytes.
const MEMORY_LIMIT: f64 = 128e6;

/// Network of control on a node, in bytes a second.
const NETWORK_LIMIT: f64 = 10_000.0;

/// Time until a change is in force everywhere, in milliseconds.
const CHANGE_LIMIT: f64 = 14_000.0;

/// All of one core of a host that is set aside for control.
const WHOLE_CORE: f64 = 100.0;

/// One need of one role at the design size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct CapacityRow {
    pub(super) role: &'static str,
    pub(super) what: &'static str,
    pub(super) need: f64,
    pub(super) unit: &'static str,
    pub(super) limit: Option<f64>,
    /// How the need comes about.
    pub(super) sum: String,
    /// What carries it.
    pub(super) mechanism: &'static str,
}

impl CapacityRow {
    /// Room that is left, or by how much the limit is passed.
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

/// Looks up one measured line.
struct LineShelf<'a>(&'a [MeasuredLine]);

impl LineShelf<'_> {
    fn each(&self, role: &str, of: &str, unit: &str) -> f64 {
        self.find(role, of, unit).map_or(f64::NAN, |line| line.line.each)
    }

    fn at(&self, role: &str, of: &str, unit: &str, size: f64) -> f64 {
        let cost = |line: &MeasuredLine| line.line.fixed + line.line.each * size;
        self.find(role, of, unit).map_or(f64::NAN, cost)
    }

    fn find(&self, role: &str, of: &str, unit: &str) -> Option<&MeasuredLine> {
        self.0.iter().find(|line| (line.role, line.of, line.unit) == (role, of, unit))
    }
}

/// The needs of every role.
pub(super) fn at_design_size(measured: &[MeasuredLine]) -> Vec<CapacityRow> {
    let shelf = LineShelf(measured);
    let mut rows = leader_rows(&shelf);
    rows.extend(entry_rows(&shelf));
    rows.extend(agent_rows(&shelf));
    rows
}

fn leader_rows(shelf: &LineShelf<'_>) -> Vec<CapacityRow> {
    let role = "control leader";
    let (watcher, agent) = ("watching entry", "connected agent");
    let leases = "rules leases, renewed by every entry";
    let sessions = "a session for each agent, which announces on a change and every 15 s";
    let avoided = "not built: members without a session, vouched for by their first host";
    vec![
        CapacityRow {
            role,
            what: "processor, watches",
            need: shelf.at(role, watcher, "% of a core", ENTRIES),
            unit: "% of a core",
            limit: Some(WHOLE_CORE),
            sum: format!("line at {ENTRIES} entries"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "network, watches",
            need: shelf.at(role, watcher, "bytes/s", ENTRIES),
            unit: "bytes/s",
            limit: None,
            sum: format!("line at {ENTRIES} entries"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "change to all entries",
            need: shelf.at(role, watcher, "ms to all", ENTRIES),
            unit: "ms",
            limit: Some(CHANGE_LIMIT),
            sum: format!("line at {ENTRIES} entries, on loopback"),
            mechanism: "commit, then the next renewal of each entry",
        },
        CapacityRow {
            role,
            what: "processor, sessions",
            need: shelf.at(role, agent, "% of a core", HOSTS),
            unit: "% of a core",
            limit: Some(WHOLE_CORE),
            sum: format!("line at {HOSTS} hosts"),
            mechanism: sessions,
        },
        CapacityRow {
            role,
            what: "network, sessions",
            need: shelf.at(role, agent, "bytes/s", HOSTS),
            unit: "bytes/s",
            limit: None,
            sum: format!("line at {HOSTS} hosts"),
            mechanism: sessions,
        },
        CapacityRow {
            role,
            what: "memory, sessions",
            need: shelf.at(role, agent, "bytes of memory", HOSTS),
            unit: "bytes",
            limit: None,
            sum: format!("line at {HOSTS} hosts"),
            mechanism: sessions,
        },
        CapacityRow {
            role,
            what: "processor, were only first hosts connected",
            need: shelf.at(role, agent, "% of a core", REPLICAS),
            unit: "% of a core",
            limit: Some(WHOLE_CORE),
            sum: format!("line at {REPLICAS} first hosts"),
            mechanism: avoided,
        },
    ]
}

fn entry_rows(shelf: &LineShelf<'_>) -> Vec<CapacityRow> {
    let requests = shelf.each("entry", "request/s of one token", "% of a core");
    let tokens = shelf.each("entry", "token/s", "% of a core");
    let bytes = shelf.each("control leader", "watching entry", "bytes/s");
    let snapshot = shelf.at("entry", "group in a snapshot", "bytes", REPLICAS);
    let update = shelf.at("entry", "changed group in an update", "bytes", 1.0);
    let changes = RULE_CHANGES + 2.0 * HOST_EVENTS;
    vec![
        CapacityRow {
            role: "entry",
            what: "network, watch",
            need: bytes,
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT),
            sum: "each of the leader's line".to_owned(),
            mechanism: "rules lease, renewed; changes when there are some",
        },
        CapacityRow {
            role: "entry",
            what: "network, changes of groups and rules",
            need: (2.0 * HOST_EVENTS * update + RULE_CHANGES * RULES_BYTES) / DAY,
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT),
            sum: format!(
                "{} group changes a day of {update:.0} bytes, {RULE_CHANGES} rule changes of \
                 {:.0} kB",
                2.0 * HOST_EVENTS,
                RULES_BYTES / 1000.0
            ),
            mechanism: "updates hold what changed; the view is swapped as a whole",
        },
        CapacityRow {
            role: "entry",
            what: "network, were whole snapshots sent",
            need: snapshot * changes / DAY,
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT),
            sum: format!("{changes} changes a day of {:.0} kB", snapshot / 1000.0),
            mechanism: "what updates avoid; sent after a change of leader only",
        },
        CapacityRow {
            role: "entry",
            what: "processor, traffic",
            need: requests * REQUESTS / ENTRIES + tokens * TOKENS / ENTRIES,
            unit: "% of a core",
            limit: None,
            sum: format!(
                "{:.1} requests/s and {:.0} tokens/s an entry",
                REQUESTS / ENTRIES,
                TOKENS / ENTRIES
            ),
            mechanism: "one small thread for each request, one link thread",
        },
    ]
}

fn agent_rows(shelf: &LineShelf<'_>) -> Vec<CapacityRow> {
    let (role, member) = ("agent, first host", "member of the group");
    let requests = shelf.each(role, "request/s of one token", "% of a core");
    let tokens = shelf.each(role, "token/s", "% of a core");
    let others = LARGEST_REPLICA - 1.0;
    let leases = "leases of every member, renewed by the first host";
    vec![
        CapacityRow {
            role,
            what: "processor, leases",
            need: shelf.at(role, member, "% of a core", others),
            unit: "% of a core",
            limit: Some(CPU_LIMIT),
            sum: format!("line at {others} members"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "network, leases",
            need: shelf.at(role, member, "bytes/s", others),
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT),
            sum: format!("line at {others} members"),
            mechanism: leases,
        },
        CapacityRow {
            role: "agent",
            what: "network, session",
            need: shelf.each("control leader", "connected agent", "bytes/s"),
            unit: "bytes/s",
            limit: Some(NETWORK_LIMIT),
            sum: "each of the leader's line".to_owned(),
            mechanism: "a session, pings once a second",
        },
        CapacityRow {
            role,
            what: "memory, leases",
            need: shelf.at(role, member, "bytes of memory", others),
            unit: "bytes",
            limit: Some(MEMORY_LIMIT),
            sum: format!("line at {others} members"),
            mechanism: leases,
        },
        CapacityRow {
            role,
            what: "processor, traffic",
            need: requests * REQUESTS / REPLICAS + tokens * TOKENS / REPLICAS,
            unit: "% of a core",
            limit: None,
            sum: format!(
                "{:.1} requests/s and {:.0} tokens/s a replica",
                REQUESTS / REPLICAS,
                TOKENS / REPLICAS
            ),
            mechanism: "one small thread for each attempt",
        },
    ]
}
