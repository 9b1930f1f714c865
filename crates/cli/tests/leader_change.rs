//! Failure of the leader in a fleet with three control hosts.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};

use briartray_model::settings::parse;
use briartray_node::RunningDaemon;
use briartray_standin::engine::{EngineSettings, StandinEngine};
use briartray_standin::free_addresses;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Time limit for a condition; generous so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Longer than the time that a new leader waits for agents to reconnect.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// Three control hosts, one entry, and two agents with engines, all in this process.
struct TestFleet {
    control: Vec<RunningDaemon>,
    entry: RunningDaemon,
    agents: Vec<RunningDaemon>,
    engines: Vec<StandinEngine>,
    _folder: TempDir,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// `cluster` section of the settings with the given number of control hosts.
fn cluster_of(size: usize) -> Value {
    let addresses = free_addresses(size).expect("free ports");
    let peer = |(host, link): (usize, &SocketAddr)| json!({ "node": format!("control-{host}"), "link": link });
    let control: Vec<Value> = addresses.iter().enumerate().map(peer).collect();
    json!({ "token": "test-token-only", "control": control })
}

/// Starts a daemon with one role; its settings are JSON, which is valid YAML.
fn start(cluster: &Value, node: &str, role: &str, values: &Value) -> RunningDaemon {
    let text = json!({ "node": node, "zone": "local-a", "cluster": cluster, role: values });
    let settings = parse(Path::new("test"), &text.to_string()).expect("the settings hold");
    RunningDaemon::start(&settings).expect("it starts")
}

fn start_control(cluster: &Value, host: usize, folder: &Path) -> RunningDaemon {
    let rules = folder.join("rules.yaml");
    std::fs::write(&rules, include_str!("../../../examples/demo/rules.yaml")).expect("written");
    let values = json!({
        "link": cluster["control"][host]["link"], "operator": loopback(),
        "data_folder": folder.join(host.to_string()), "first_rules": rules,
    });
    start(cluster, &format!("control-{host}"), "control", &values)
}

fn start_agent(cluster: &Value, number: usize, engine: SocketAddr) -> RunningDaemon {
    let values = json!({
        "link": loopback(), "host": format!("host-{number}"), "domain": "rack-1",
        "provider": "local", "accelerators": 8,
        "endpoint": { "address": engine, "service": "desk", "kind": "engine" },
    });
    start(cluster, &format!("agent-{number}"), "agent", &values)
}

impl TestFleet {
    fn ready() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let cluster = cluster_of(3);
        let control = (0..3).map(|host| start_control(&cluster, host, folder.path())).collect();
        let entry = start(&cluster, "entry-0", "entry", &json!({ "listen": loopback() }));
        let engines: Vec<StandinEngine> = (0..2)
            .map(|_| {
                let settings = EngineSettings::new(loopback()).step(Duration::from_millis(2));
                StandinEngine::start(settings).expect("it starts")
            })
            .collect();
        let agents = engines
            .iter()
            .enumerate()
            .map(|(number, engine)| start_agent(&cluster, number, engine.address()))
            .collect();
        let fleet = Self { control, entry, agents, engines, _folder: folder };
        wait_for("a whole replica", || fleet.request_completion().0 == 200);
        fleet
    }

    fn request_completion(&self) -> (u16, Value) {
        let entry = self.entry.entry.as_ref().expect("an entry").address();
        let body = json!({ "model": "desk", "prompt": "lot 7", "max_tokens": 2 });
        let response = attohttpc::post(format!("http://{entry}/v1/completions"))
            .bytes(body.to_string().into_bytes())
            .send()
            .expect("the entry answers");
        read(response)
    }

    fn get(&self, host: usize, path: &str) -> (u16, Value) {
        let control = self.control[host].control.as_ref().expect("a control role");
        let response = attohttpc::get(format!("http://{}{path}", control.operator_address()))
            .send()
            .expect("the operators' port answers");
        read(response)
    }

    /// Number of the leader among `hosts`, and the groups that it reports.
    fn groups(&self, hosts: &[usize]) -> (usize, Value) {
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            for host in hosts {
                let (status, groups) = self.get(*host, "/v1/groups");
                if status == 200 {
                    return (*host, groups);
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("no control host leads");
    }

    fn stop(&self) {
        for daemon in self.control.iter().chain([&self.entry]).chain(&self.agents) {
            daemon.stop();
        }
        self.engines.iter().for_each(StandinEngine::stop);
    }
}

fn read(response: attohttpc::Response) -> (u16, Value) {
    let status = response.status().as_u16();
    let text = response.text().expect("the answer is text");
    (status, serde_json::from_str(&text).expect("the answer is JSON"))
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn groups_and_requests_survive_a_leader_change() {
    // The leader stops, and its successor has no connection to any agent yet. If it took their
    // groups for broken, whole replicas would refuse requests, and the groups would be dissolved
    // and formed again for no reason.
    let fleet = TestFleet::ready();
    let (leader, before) = fleet.groups(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|host| *host != leader).collect();

    fleet.control[leader].stop();
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < OBSERVATION_TIME {
        answers.push(fleet.request_completion());
        std::thread::sleep(Duration::from_millis(20));
    }
    let (_, after) = fleet.groups(&others);
    let last = fleet.request_completion();

    assert_eq!(last.0, 200);
    assert_eq!(after, before, "a group changed");
    let refused: Vec<&(u16, Value)> = answers.iter().filter(|(status, _)| *status != 200).collect();
    // On a busy machine the rules lease may expire before the next leader is elected; that is the
    // only permitted reason for a refusal.
    assert!(
        refused
            .iter()
            .all(|(_, body)| body["outcome"] == "not_run" && body["code"] == "rules_unconfirmed"),
        "{refused:?}"
    );
    fleet.stop();
}
