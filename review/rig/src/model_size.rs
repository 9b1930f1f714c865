//! A configuration changes the size of a model whose groups serve.

use std::io::Result;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::deployment::{Deployment, ZONES};
use crate::engine::{Engine, Run};
use crate::http::call_once;
use crate::operator::{HOST, KEY, put};
use crate::record::Record;

const SERVICE: &str = "briartray";
const MODEL: &str = "daka510000";

/// Replicas of the service, all in one domain: enough for three groups of the first size and for
/// two of the second one.
const REPLICAS: u8 = 6;
const FIRST_SIZE: usize = 2;
const SECOND_SIZE: usize = 3;

/// Time given to the system after the acknowledgement: `config_apply_ms` (2,000), and ten times the
/// time of a load, a join and the opening of a group (2,100) for new groups.
const SETTLE: Duration = Duration::from_millis(23_000);

/// Time in which requests count after that, and the pause between two requests.
const OBSERVE: Duration = Duration::from_millis(10_000);
const PAUSE: Duration = Duration::from_millis(200);

fn configuration(version: u64, size: usize, timeout_ms: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"plan-check\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/plan/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":500,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\
         \"public\":false,\"sticky_sessions\":true,\"resumable\":true,\"target_gap_ms\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":416,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\
         \"kv_cache_tokens\":1860000,\"kv_token_bytes\":96256,\"link_mbps\":400000.0,\
         \"stride\":5,\"models\":[{{\"name\":\"{MODEL}\",\"size\":{size},\"share\":1.0,\
         \"pace\":1.0,\"load_time_s\":1.5,\"warmup_s\":0.3}}],\"step_ms\":7.8,\
         \"per_seq_ms\":0.0947,\"context_per_k\":0.0096,\"read_per_s\":45900.0,\
         \"pairs_per_m\":0.433,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":3.0,\
         \"loads_at_once\":6,\"delays\":[],\"usual\":{{\"prompt\":919,\"answer\":40}},\
         \"retained_count\":1,\"far_x\":4.0,\"formation_ms\":300.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\
         \"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn run(record: &Record, trouble: bool) -> Result<Outcome> {
    let deployment = Deployment::prepare(1)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let zone = ZONES[usize::from(number) % 3];
        let place = (number, deployment.ip(100 + number), zone);
        let (controls, runs) = (deployment.controls(), Arc::clone(&runs));
        replicas.push(Engine::start(record, place, SERVICE, controls, runs)?);
    }
    let mut processes = Vec::new();
    for number in 1..=3 {
        processes.push(deployment.start_control(number)?);
        processes.push(deployment.start_entry(number, None)?);
    }
    let nodes = deployment.controls();
    let timeout = 6_000;
    if put(record, &nodes, 7, &configuration(7, FIRST_SIZE, timeout)).is_none() {
        return Ok(Outcome::Void("the first configuration was not acknowledged".to_owned()));
    }
    let caller = Caller { record, deployment: &deployment };
    if !(0..150).any(|request| caller.is_served(&format!("warm-{request}"))) {
        return Ok(Outcome::Void("no group serves".to_owned()));
    }
    thread::sleep(Duration::from_secs(5));
    let before = (0..15).filter(|request| caller.is_served(&format!("before-{request}"))).count();
    record.line(format!("caller    {before} of 15 requests were served before the change"));
    // Without the disruption, the next version changes a timeout only.
    let (size, timeout) = if trouble { (SECOND_SIZE, timeout) } else { (FIRST_SIZE, 5_500) };
    if put(record, &nodes, 12, &configuration(12, size, timeout)).is_none() {
        return Ok(Outcome::Void("the second configuration was not acknowledged".to_owned()));
    }
    let acknowledged = record.now();
    let mut served = 0;
    for request in 0.. {
        if record.now() >= acknowledged + SETTLE + OBSERVE {
            break;
        }
        let phase = if record.now() < acknowledged + SETTLE { "settling" } else { "after" };
        served += u32::from(caller.is_served(&format!("{phase}-{request}")));
        thread::sleep(PAUSE);
    }
    if processes.iter_mut().any(|process| process.has_ended()) {
        return Ok(Outcome::Void("a process has ended".to_owned()));
    }
    record.line(format!("caller    {served} requests were served after the change"));
    let runs = runs.lock().expect("no thread panics");
    let counted: Vec<&Run> = runs.iter().filter(|run| run.request.starts_with("after-")).collect();
    let partial = counted.iter().filter(|run| run.members != size).count();
    record.line(format!(
        "check     {} requests sent later than {} s after the acknowledgement ran, {partial} of them \
         in a group that hasn't the model's size ({size})",
        counted.len(),
        SETTLE.as_secs()
    ));
    if partial > 0 {
        record.line("check     PARTIAL is broken");
    }
    Ok(if partial > 0 { Outcome::Broken } else { Outcome::Held })
}

struct Caller<'a> {
    record: &'a Record,
    deployment: &'a Deployment,
}

impl Caller<'_> {
    /// Sends a request to each entry in turn; returns whether it got its whole answer.
    fn is_served(&self, id: &str) -> bool {
        let turn: usize = id.bytes().map(usize::from).sum();
        let number = u8::try_from(turn % 3 + 1).expect("three entries");
        let key = format!("Bearer {KEY}");
        let prefix = format!("5c1e07a2:40,{turn:08x}:60");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id),
            ("Model", MODEL),
            ("Token-Usage", "100,40"),
            ("Prompt-Prefix", prefix.as_str()),
            ("Deadline-Ms", "6000"),
            ("Authorization", key.as_str()),
        ];
        let wait = Duration::from_secs(6);
        let address = self.deployment.callers(number);
        let answer = call_once(address, ("POST", "/plan/1"), &headers, b"a plan", wait);
        let status = answer.map_or(0, |answer| answer.status());
        self.record.line(format!("caller    {id} at entry {number}: {status}"));
        if status != 200 {
            thread::sleep(Duration::from_millis(200));
        }
        status == 200
    }
}
