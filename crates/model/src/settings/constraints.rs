//! Constraints on settings that their types do not express, on single values and on combinations.

use super::DaemonSettings;
use super::lines::SettingsLines;
use super::problem::SettingsProblem;

/// Shortest allowed shared secret, in bytes.
const MIN_TOKEN_BYTES: usize = 8;

/// Valid log levels.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Returns every violated constraint.
pub(super) fn find_conflicts(
    settings: &DaemonSettings,
    lines: &SettingsLines,
) -> Vec<SettingsProblem> {
    let mut list = ConflictList { lines, problems: Vec::new() };
    check_process(settings, &mut list);
    check_cluster(settings, &mut list);
    check_entry(settings, &mut list);
    check_control(settings, &mut list);
    check_agent(settings, &mut list);
    list.problems
}

struct ConflictList<'a> {
    lines: &'a SettingsLines,
    problems: Vec<SettingsProblem>,
}

impl ConflictList<'_> {
    /// Adds a problem at `key` unless `holds`.
    fn require(&mut self, holds: bool, key: &str, detail: &str, remedy: &str) {
        if holds {
            return;
        }
        self.problems.push(SettingsProblem {
            line: self.lines.line_of(key),
            column: 0,
            key: key.to_owned(),
            detail: detail.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

fn check_process(settings: &DaemonSettings, list: &mut ConflictList<'_>) {
    let has_role =
        settings.entry.is_some() || settings.control.is_some() || settings.agent.is_some();
    list.require(has_role, "entry", "no role", "name at least one of entry, control, agent");
    let named = !settings.node.as_str().is_empty();
    list.require(named, "node", "the name is empty", "give the process a unique name");
    let zoned = !settings.zone.as_str().is_empty();
    list.require(zoned, "zone", "the name is empty", "name the availability zone it runs in");
    list.require(
        LOG_LEVELS.contains(&settings.log.level.as_str()),
        "log.level",
        "unknown level",
        "use error, warn, info, debug or trace",
    );
}

fn check_cluster(settings: &DaemonSettings, list: &mut ConflictList<'_>) {
    let peers = &settings.cluster.control;
    list.require(
        !peers.is_empty(),
        "cluster.control",
        "no control hosts",
        "list the control hosts, three or five",
    );
    list.require(
        settings.cluster.token.len() >= MIN_TOKEN_BYTES,
        "cluster.token",
        "the secret is too short",
        "use a secret of 8 or more characters",
    );
    let mut names: Vec<&str> = peers.iter().map(|peer| peer.node.as_str()).collect();
    let mut links: Vec<_> = peers.iter().map(|peer| peer.link).collect();
    names.sort_unstable();
    names.dedup();
    links.sort_unstable();
    links.dedup();
    // A host that is listed twice would count as two votes of a majority.
    list.require(
        names.len() == peers.len() && links.len() == peers.len(),
        "cluster.control",
        "a control host is listed twice",
        "give each its own node name and link address",
    );
}

fn check_entry(settings: &DaemonSettings, list: &mut ConflictList<'_>) {
    let Some(entry) = &settings.entry else { return };
    list.require(
        entry.max_open_requests > 0,
        "entry.max_open_requests",
        "no request could be accepted",
        "allow at least one",
    );
    list.require(
        entry.max_body_bytes > 0,
        "entry.max_body_bytes",
        "no request body could be accepted",
        "allow some bytes, such as 1048576",
    );
}

fn check_control(settings: &DaemonSettings, list: &mut ConflictList<'_>) {
    let Some(control) = &settings.control else { return };
    // Without a token, anyone who can reach the operators' port can change every rule.
    list.require(
        control.operator.ip().is_loopback() || control.operator_token.is_some(),
        "control.operator_token",
        "the operators' port is reachable from other hosts without a token",
        "set a token, or let the operators' port listen on loopback",
    );
    let own = settings.cluster.control.iter().any(|peer| peer.node == settings.node);
    list.require(
        own,
        "cluster.control",
        "this node is not among the control hosts",
        "add it to the list, or remove the control role",
    );
}

fn check_agent(settings: &DaemonSettings, list: &mut ConflictList<'_>) {
    let Some(agent) = &settings.agent else { return };
    let named = [
        ("agent.host", agent.host.as_str()),
        ("agent.domain", agent.domain.as_str()),
        ("agent.provider", agent.provider.as_str()),
        ("agent.endpoint.service", agent.endpoint.service.as_str()),
    ];
    for (key, name) in named {
        list.require(!name.is_empty(), key, "the name is empty", "give it a name");
    }
    list.require(
        !agent.link.ip().is_unspecified() || agent.announce.is_some(),
        "agent.link",
        "other processes cannot reach an unspecified address",
        "set agent.announce to the address at which other processes reach this host",
    );
}
