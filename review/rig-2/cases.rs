//! The cases.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::deployment::{wait, Deployment, Process, ADDED_HOST, CONTROL_HOSTS};
use crate::gate::LinkGates;
use crate::http::{self, Answer};
use crate::record::Record;
use crate::replica::BODY_BYTES;

/// Whether the rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

type CaseResult = Result<Verdict, String>;

/// Bound of the deployment's sheet for a configuration to be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Time after the start at which traffic starts.
const TRAFFIC_START: Duration = Duration::from_secs(10);

/// Time after which a machine that was lost counts as back.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Bound of the sheet after which service must be back, and `contact_ms` for reading back.
const RECOVERY: Duration = Duration::from_secs(15);
const READ_BACK: Duration = Duration::from_secs(6);

/// Time after the opening of its port at which a control host is struck.
const STRIKE_DELAY: Duration = Duration::from_millis(100);

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

fn start_control_hosts(deployment: &Deployment) -> Result<Vec<Process>, String> {
    (1..=CONTROL_HOSTS).map(|number| deployment.start_control(number, true)).collect()
}

/// A control host is cut off from the other two during the first start. The operator then changes the
/// configuration and reads it back at every host.
pub fn first_start_cut(record: &Record, trouble: bool) -> CaseResult {
    /// Length of a cut of the core in the site file.
    const CUT: Duration = Duration::from_millis(5_500);
    let deployment = Deployment::create(record, 0)?;
    let gates = deployment.start_proxies()?;
    let started = Instant::now();
    gates.set_host_cut(1, trouble);
    record.line(&format!("links of control host 1 to the other two are cut: {trouble}"));
    let _hosts = start_control_hosts(&deployment)?;
    sleep_until(started + CUT);
    gates.set_host_cut(1, false);
    record.line("all links work");
    sleep_until(started + CUT + CATCH_UP);
    change_and_read(record, &deployment, started)
}

/// A control host freezes during the first start. The operator then changes the configuration and reads
/// it back at every host.
pub fn first_start_freeze(record: &Record, trouble: bool) -> CaseResult {
    /// Length of a freeze unless an entry of a day names another.
    const FREEZE: Duration = Duration::from_secs(5);
    const ROUNDS: u32 = 3;
    for round in 1..=ROUNDS {
        record.line(&format!("round {round}"));
        let deployment = Deployment::create(record, round)?;
        let _gates = deployment.start_proxies()?;
        let started = Instant::now();
        let hosts = start_control_hosts(&deployment)?;
        deployment.wait_for_control(1)?;
        std::thread::sleep(STRIKE_DELAY);
        if trouble {
            hosts[0].freeze();
        }
        std::thread::sleep(FREEZE);
        if trouble {
            hosts[0].thaw();
        }
        std::thread::sleep(CATCH_UP);
        if change_and_read(record, &deployment, started)? == Verdict::Broken {
            return Ok(Verdict::Broken);
        }
    }
    Ok(Verdict::Held)
}

/// Changes the configuration, each time at another host first, and reads it back at all hosts later than
/// it has to be in force.
fn change_and_read(record: &Record, deployment: &Deployment, started: Instant) -> CaseResult {
    const CHANGES: u64 = 3;
    const READS: u32 = 4;
    const ACK_LIMIT: Duration = Duration::from_secs(8);
    sleep_until(started + TRAFFIC_START);
    let mut newest = 0;
    for version in 1..=CHANGES {
        let first = u8::try_from((version - 1) % u64::from(CONTROL_HOSTS)).expect("it is small");
        if !deployment.put(version, first + 1, ACK_LIMIT) {
            return Err(format!("version {version} was not acknowledged"));
        }
        newest = version;
    }
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let mut verdict = Verdict::Held;
    for _ in 0..READS {
        for number in 1..=CONTROL_HOSTS {
            let read = read_version(deployment, number);
            record.line(&format!("read at host {number}: {read:?}"));
            if read.is_ok_and(|version| version < newest) {
                record.line(&format!("broken: version {newest} was acknowledged before"));
                verdict = Verdict::Broken;
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    Ok(verdict)
}

/// Version that a read of the configuration at a host returns.
fn read_version(deployment: &Deployment, number: u8) -> Result<u64, String> {
    let answer = deployment.call_control(number, "GET", "/Configuration.Get", b"")?;
    let text = answer.text();
    let version = text.split("\"version\":").nth(1).and_then(|rest| rest.split(',').next());
    let version = version.and_then(|version| version.trim().parse().ok());
    version.filter(|_| answer.status == 200).ok_or_else(|| format!("status {}", answer.status))
}

/// The process of one control host is killed during the first start and started again.
pub fn first_start_kill(record: &Record, trouble: bool) -> CaseResult {
    /// Time after which a killed process is started again.
    const RESTART_DELAY: Duration = Duration::from_millis(700);
    /// Time for which the operator and the client try.
    const TRY_TIME: Duration = Duration::from_secs(80);
    const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
    const SERVED_ENOUGH: u32 = 20;
    let deployment = Deployment::create(record, 0)?;
    let _gates = deployment.start_proxies()?;
    let started = Instant::now();
    let mut hosts = start_control_hosts(&deployment)?;
    let _entry = deployment.start_entry()?;
    let _replica = deployment.start_replica(1)?;
    deployment.wait_for_control(1)?;
    std::thread::sleep(STRIKE_DELAY);
    if trouble {
        hosts[0].kill();
        std::thread::sleep(RESTART_DELAY);
        hosts[0] = deployment.start_control(1, false)?;
    }
    sleep_until(started + Duration::from_secs(3));
    let is_acknowledged = deployment.put(1, 1, TRY_TIME);
    record.line(&format!("the first configuration was acknowledged: {is_acknowledged}"));
    sleep_until(started + TRAFFIC_START);
    let (mut served, mut number) = (0, 0);
    let deadline = Instant::now() + Duration::from_secs(15);
    while served < SERVED_ENOUGH && Instant::now() < deadline {
        number += 1;
        let answer = request(&deployment, &format!("status-{number}"), "/status/30");
        log_answer(record, &format!("status-{number}"), &answer);
        served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
        std::thread::sleep(REQUEST_INTERVAL);
    }
    record.line(&format!("{served} of {number} requests were served"));
    Ok(if served == 0 { Verdict::Broken } else { Verdict::Held })
}

/// The leading control host loses its disk while the removal of a voter is not committed. The operator
/// then reads the configuration back.
pub fn open_removal(record: &Record, trouble: bool) -> CaseResult {
    const ROUNDS: u32 = 3;
    for round in 1..=ROUNDS {
        record.line(&format!("round {round}"));
        let deployment = Deployment::create(record, round)?;
        if removal_round(record, &deployment, trouble)? == Verdict::Broken {
            return Ok(Verdict::Broken);
        }
    }
    Ok(Verdict::Held)
}

fn removal_round(record: &Record, deployment: &Deployment, trouble: bool) -> CaseResult {
    const ADMISSION: &str = "proposing a voter seat";
    const REMOVAL: &str = "proposing to remove one";
    /// Time in which an entry reaches all hosts and their disks.
    const SYNC_TIME: Duration = Duration::from_millis(20);
    let gates = deployment.start_proxies()?;
    let mut hosts = start_control_hosts(deployment)?;
    let admissions = || deployment.count_log_lines(1, ADMISSION);
    wait(Duration::from_secs(8), "three voters", || admissions() == 2)?;
    hosts.push(deployment.start_control(ADDED_HOST, false)?);
    if !deployment.put(1, 1, Duration::from_secs(8)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    std::thread::sleep(CATCH_UP);
    if trouble {
        record.line("links of control host 3 are cut");
        gates.set_host_cut(3, true);
        wait_short(Duration::from_secs(4), || admissions() == 3)?;
        std::thread::sleep(SYNC_TIME / 2);
        record.line("host 4 has a seat; links of control host 3 work");
        gates.set_host_cut(3, false);
        std::thread::sleep(SYNC_TIME);
        record.line("hosts 1 and 4 are split from hosts 2 and 3");
        set_split(&gates, true);
        let removals = || deployment.count_log_lines(1, REMOVAL);
        if wait_short(Duration::from_millis(400), || removals() > 0).is_err() {
            record.line("no voter was removed");
        }
        std::thread::sleep(SYNC_TIME);
    }
    if trouble {
        hosts[0].kill();
        deployment.wipe_control(1)?;
        for other in [2, 3] {
            gates.between(1, other).drop_held();
        }
        std::thread::sleep(Duration::from_millis(500));
        record.line("all links work");
        set_split(&gates, false);
        hosts[0] = deployment.start_control(1, false)?;
    }
    let recovered = Instant::now() + RECOVERY;
    sleep_until(recovered);
    let deadline = Instant::now() + READ_BACK;
    let mut number = 0;
    while Instant::now() < deadline {
        number = number % ADDED_HOST + 1;
        let read = read_version(deployment, number);
        record.line(&format!("read at host {number}: {read:?}"));
        if read.is_ok() {
            return Ok(Verdict::Held);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record.line("broken: the acknowledged configuration is not read back");
    Ok(Verdict::Broken)
}

/// Cuts or restores the links between two halves of the control hosts: 1 and 4, and 2 and 3.
fn set_split(gates: &LinkGates, is_cut: bool) {
    for (one, other) in [(1, 2), (1, 3), (4, 2), (4, 3)] {
        gates.between(one, other).set_cut(is_cut);
    }
}

/// Polls every millisecond until `done` holds.
fn wait_short(limit: Duration, done: impl Fn() -> bool) -> Result<(), String> {
    let deadline = Instant::now() + limit;
    while !done() {
        if Instant::now() > deadline {
            return Err("an event of the control log did not come".to_owned());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// A replica that has announced that it leaves is gone two seconds later, while it answers.
pub fn cut_answer(record: &Record, trouble: bool) -> CaseResult {
    /// One of seven leaves: a share of 0.143.
    const REPLICAS: u8 = 7;
    const REQUESTS: usize = 28;
    /// Time from the notice to the end of the replica.
    const NOTICE: Duration = Duration::from_millis(2_000);
    let deployment = Deployment::create(record, 0)?;
    let _gates = deployment.start_proxies()?;
    let _hosts = start_control_hosts(&deployment)?;
    let _entry = deployment.start_entry()?;
    let mut leaving = deployment.start_replica(1)?;
    let _others: Vec<Process> =
        (2..=REPLICAS).map(|number| deployment.start_replica(number)).collect::<Result<_, _>>()?;
    if !deployment.put(1, 1, Duration::from_secs(20)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    deployment.wait_for_entry()?;
    std::thread::sleep(Duration::from_secs(2));
    let (sender, answers) = mpsc::channel();
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            let (sender, deployment) = (sender.clone(), &deployment);
            scope.spawn(move || {
                let id = format!("confirm-{number}");
                let answer = request(deployment, &id, "/confirm/3000");
                log_answer(record, &id, &answer);
                let _ = sender.send((id, answer));
            });
        }
        std::thread::sleep(Duration::from_millis(300));
        leaving.tell("drain");
        std::thread::sleep(NOTICE);
        if trouble {
            leaving.kill();
        }
    });
    drop(sender);
    let mut verdict = Verdict::Held;
    for (id, answer) in answers {
        let Ok(answer) = answer else { continue };
        if answer.status == 200 && answer.body.len() != BODY_BYTES {
            let size = answer.body.len();
            record.line(&format!(
                "broken: {id} got a complete success with {size} of {BODY_BYTES} bytes"
            ));
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

/// Sends a client's request.
fn request(deployment: &Deployment, id: &str, path: &str) -> Result<Answer, String> {
    let headers = [
        ("Host", "ledger.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "8000"),
        ("Authorization", "Bearer key-buyers"),
    ];
    let limit = Duration::from_secs(8);
    http::call(deployment.callers(), "POST", path, &headers, b"a lot", limit)
}

fn log_answer(record: &Record, id: &str, answer: &Result<Answer, String>) {
    match answer {
        Ok(answer) => {
            let stamp = answer.header("response-stamp").unwrap_or("none");
            record.line(&format!(
                "request {id} is answered: status {}, stamp {stamp}, {} bytes, complete",
                answer.status,
                answer.body.len()
            ));
        }
        Err(error) => record.line(&format!("request {id} is not answered: {error}")),
    }
}
