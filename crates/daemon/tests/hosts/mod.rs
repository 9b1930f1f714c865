//! Fixtures: three control hosts as real processes, and operator calls to them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use briartray_standin::free_addresses;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Time limit for a condition; generous so that a busy machine does not fail a test.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of control hosts.
const HOST_COUNT: usize = 3;

/// One control host process; it is killed when dropped.
pub struct ControlHost {
    pub operator: SocketAddr,
    pub data_folder: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

/// Three control hosts that run as processes.
pub struct ControlHosts {
    pub hosts: Vec<ControlHost>,
    _folder: TempDir,
}

impl Drop for ControlHost {
    fn drop(&mut self) {
        self.kill();
    }
}

impl ControlHost {
    pub fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_briartrayd"))
            .arg("--settings")
            .arg(&self.settings)
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Kills the process with `SIGKILL`.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit code of the process; `None` if it is still running or was ended by a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("a process");
        child.try_wait().expect("the process status is available").and_then(|status| status.code())
    }

    /// Sends a signal by its name without the prefix `SIG`.
    pub fn signal(&self, name: &str) {
        let child = self.child.as_ref().expect("a running process");
        let sent = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
        assert!(sent.expect("a signal can be sent").success());
    }

    /// Gets `path`; returns the status and body of the response, `None` if there is none.
    pub fn get(&self, path: &str) -> Option<(u16, Value)> {
        answer(attohttpc::get(format!("http://{}{path}", self.operator)), Vec::new())
    }

    /// Sends a rule change for revision `expect`, once.
    pub fn apply(&self, change: u128, expect: u64) -> Option<(u16, Value)> {
        let text = format!("services: []\nteams:\n  - name: team-{change}\nrules: []\n");
        let body = json!({ "change": format!("{change:032x}"), "expect": expect, "text": text });
        let post = attohttpc::post(format!("http://{}/v1/rules", self.operator));
        answer(post, body.to_string().into_bytes())
    }

    pub fn status(&self, field: &str) -> Option<Value> {
        self.get("/v1/status").map(|(_, body)| body[field].clone())
    }
}

fn answer(request: attohttpc::RequestBuilder, body: Vec<u8>) -> Option<(u16, Value)> {
    let request = request.timeout(Duration::from_secs(3)).connect_timeout(Duration::from_secs(1));
    let response = request.bytes(body).send().ok()?;
    let status = response.status().as_u16();
    Some((status, serde_json::from_str(&response.text().ok()?).ok()?))
}

impl ControlHosts {
    /// Starts three new control hosts and waits for a leader.
    pub fn ready() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let addresses = free_addresses(2 * HOST_COUNT).expect("free ports");
        let peers: Vec<Value> = (0..HOST_COUNT)
            .map(|host| json!({ "node": format!("control-{host}"), "link": addresses[host] }))
            .collect();
        let mut hosts: Vec<ControlHost> = Vec::new();
        for host in 0..HOST_COUNT {
            let (settings, data_folder) =
                (folder.path().join(format!("{host}.yaml")), folder.path().join(host.to_string()));
            let operator = addresses[HOST_COUNT + host];
            // JSON is valid YAML.
            let text = json!({
                "node": format!("control-{host}"),
                "zone": "local-a",
                "cluster": { "token": "test-token-only", "control": peers },
                "control": {
                    "link": addresses[host], "operator": operator, "data_folder": data_folder,
                },
            });
            std::fs::write(&settings, text.to_string()).expect("settings are written");
            hosts.push(ControlHost { operator, data_folder, settings, child: None });
        }
        hosts.iter_mut().for_each(ControlHost::start);
        let hosts = Self { hosts, _folder: folder };
        hosts.leader();
        hosts
    }

    /// Waits for a leader that a majority confirms, and returns its number.
    pub fn leader(&self) -> usize {
        self.leader_among(&[0, 1, 2])
    }

    /// Waits for a leader among `candidates` that a majority confirms, and returns its number.
    pub fn leader_among(&self, candidates: &[usize]) -> usize {
        wait_for("a leader", || {
            candidates.iter().copied().find(|host| {
                self.hosts[*host].get("/v1/rules").is_some_and(|(status, _)| status == 200)
            })
        })
    }

    /// Sends a change to the hosts in turn until its outcome is certain: accepted or refused.
    pub fn apply_until_certain(&self, change: u128, expect: u64) -> (u16, Value) {
        let mut host = usize::try_from(change % 3).expect("small");
        wait_for("a certain outcome", || {
            host = (host + 1) % HOST_COUNT;
            self.hosts[host].apply(change, expect).filter(|(status, _)| [200, 409].contains(status))
        })
    }
}

/// Polls until `attempt` returns a value; fails after `TIMEOUT`.
pub fn wait_for<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = attempt() {
            return found;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
