//! The operator: sends and reads configurations as the users' page on the protocol tells.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Message, call_once};
use crate::record::Record;

/// Routes of a configuration: name, path prefix, kind and timeout in milliseconds.
pub type Route = (&'static str, &'static str, &'static str, u32);

/// Service of all routes.
pub const SERVICE: &str = "records";

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A configuration with one plain service and one tenant.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":150,\
                 \"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\
                 \"sticky_sessions\":false,\"resumable\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_connections\":52,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Calls `address`, follows a 307 twice, and records each answer. Returns the node that gave the
/// last answer, and the answer unless there was none.
fn call(
    record: &Record,
    address: SocketAddr,
    request: (&str, &str),
    body: &[u8],
) -> (SocketAddr, Option<Message>) {
    let mut node = address;
    for _ in 0..3 {
        let json = [("Content-Type", "application/json")];
        let answer = match call_once(node, request, &json, body, Duration::from_secs(1)) {
            Ok(answer) => answer,
            Err(error) => {
                record.line(format!("operator  {request:?} at {node}: no answer ({error})"));
                return (node, None);
            }
        };
        let status = answer.status();
        let next = answer.header("location").and_then(location_address);
        record.line(format!("operator  {request:?} at {node}: {status}"));
        match next.filter(|_| status == 307) {
            Some(next) => node = next,
            None => return (node, Some(answer)),
        }
    }
    (node, None)
}

fn location_address(location: &str) -> Option<SocketAddr> {
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Sends a configuration to the nodes in order until one acknowledges it; returns that node.
pub fn put(
    record: &Record,
    nodes: &[SocketAddr],
    version: u64,
    content: &str,
) -> Option<SocketAddr> {
    for round in 0..10 {
        let first = nodes[round % nodes.len()];
        let (node, answer) =
            call(record, first, ("POST", "/Configuration.Put"), content.as_bytes());
        if answer.is_some_and(|answer| answer.status() == 200) {
            record.line(format!("operator  version {version} was acknowledged by {node}"));
            return Some(node);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    None
}

/// Reads the configuration at a node; returns the node that answered and the version, or `None`
/// unless the answer is 200.
pub fn get(record: &Record, node: SocketAddr) -> Option<(SocketAddr, u64)> {
    let (node, answer) = call(record, node, ("GET", "/Configuration.Get"), b"");
    let answer = answer.filter(|answer| answer.status() == 200)?;
    let text = answer.text();
    let digits = text.split("\"version\":").nth(1)?;
    let version = digits.split(|sign: char| !sign.is_ascii_digit()).next()?.parse().ok()?;
    record.line(format!("operator  read version {version} from {node}"));
    Some((node, version))
}
