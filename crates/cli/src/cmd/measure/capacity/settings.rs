//! Settings files of the daemons that are measured.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

/// Secret of the measured deployment; it never leaves loopback.
pub(super) const TOKEN: &str = "measurement-only";

/// Rules with one service whose replicas have one host.
pub(super) const RULES: &str = "services: [{ name: desk, hosts_per_replica: 1, capacity: 4096 }]\n\
    rules:\n- rule: all\n  then: { admit: {}, route: {}, retry: {}, place: {}, stop: {} }\n";

fn common(node: &str, control: SocketAddr) -> Value {
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

/// A control host.
pub(super) fn control(folder: &Path, link: SocketAddr, operator: SocketAddr) -> Value {
    let mut settings = common("control-1", link);
    settings["control"] = json!({
        "link": link,
        "operator": operator,
        "data_folder": folder.join("control-data"),
        "first_rules": folder.join("rules.yaml"),
    });
    settings
}

/// An entry that reaches control at `control`.
pub(super) fn entry(control: SocketAddr, listen: SocketAddr) -> Value {
    let mut settings = common("entry-1", control);
    settings["entry"] = json!({ "listen": listen });
    settings
}

/// An agent that reaches control at `control`.
pub(super) fn agent(control: SocketAddr, link: SocketAddr, endpoint: SocketAddr) -> Value {
    let mut settings = common("agent-1", control);
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
