//! Settings files of the measured daemons.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

/// Cluster token of the measured deployment; it is used on loopback only.
pub(super) const TOKEN: &str = "measurement-only";

/// Rule document with one service whose replicas have one host each.
pub(super) const RULES: &str = "services: [{ name: desk, hosts_per_replica: 1, capacity: 4096 }]\n\
    rules:\n- rule: all\n  then: { admit: {}, route: {}, retry: {}, place: {}, stop: {} }\n";

fn common_settings(node: &str, control: SocketAddr) -> Value {
    json!({
        "node": node,
        "zone": "zone-1",
        "cluster": {
            "token": TOKEN,
            "control": [{ "node": "control-1", "link": control }],
        },
        "log": { "level": "error" },
    })
}

/// Settings of a control host.
pub(super) fn control(folder: &Path, link: SocketAddr, operator: SocketAddr) -> Value {
    let mut settings = common_settings("control-1", link);
    settings["control"] = json!({
        "link": link,
        "operator": operator,
        "data_folder": folder.join("control-data"),
        "first_rules": folder.join("rules.yaml"),
    });
    settings
}

/// Settings of an entry that connects to control at `control`.
pub(super) fn entry(control: SocketAddr, listen: SocketAddr) -> Value {
    let mut settings = common_settings("entry-1", control);
    settings["entry"] = json!({ "listen": listen });
    settings
}

/// Settings of an agent that connects to control at `control`.
pub(super) fn agent(control: SocketAddr, link: SocketAddr, endpoint: SocketAddr) -> Value {
    let mut settings = common_settings("agent-1", control);
    settings["agent"] = json!({
        "link": link,
        "host": "host-1",
        "domain": "rack-1",
        "provider": "local",
        "accelerators": 8,
        "endpoint": { "address": endpoint, "service": "desk" },
    });
    settings
}
