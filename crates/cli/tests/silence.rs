//! Processes that fall silent for a moment and go on, or stay silent, on real processes.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use attohttpc::Response;
use briartray::trial::{ChildProcess, ProcessFleet, ProcessSignal, TrialPlan, get_json};
use serde_json::{Value, json};

/// Silence of a sound process.
const SHORT_SILENCE: Duration = Duration::from_millis(1_200);

/// Silence in which an entry reconnects to an agent whose leases have mostly not expired.
const RECONNECT_SILENCE: Duration = Duration::from_millis(1_450);

/// Calls of a test in which the order of two events is left to chance.
const CALLS: usize = 5;

/// Silence for which an entry waits only while there is no other replica to try.
const MEDIUM_SILENCE: Duration = Duration::from_secs(4);

/// Delay after which a request that was sent has reached its endpoint.
const SEND_DELAY: Duration = Duration::from_millis(400);

/// Time for which a client waits for the next byte.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Tokens of a stream; with the step of the fleets it takes about four seconds.
const TOKENS: usize = 200;

/// Duration of one engine step.
const STEP: Duration = Duration::from_millis(20);

/// Runs one fleet at a time, because each has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Retry rule of a request without retries.
const NO_RETRY: &str = "attempts: 1";

/// Retry rule that allows the retries of repeatable requests.
const RETRIES: &str = "attempts: 4, budget_percent: 100";

/// Retry rule by which every call may be repeated.
const REPEATABLE: &str = "attempts: 4, budget_percent: 100, repeatable: true";

/// A fleet of real processes, the only one at a time.
struct SilenceFleet {
    fleet: ProcessFleet,
    _lock: MutexGuard<'static, ()>,
}

/// Starts a fleet with groups of `hosts` hosts, whose requests are retried as `retry` says.
fn start_fleet(engines: usize, services: usize, hosts: usize, retry: &str) -> SilenceFleet {
    let lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    let (desks, ledgers) = (engines / hosts, services / hosts);
    let rules = format!(
        "
services:
  - {{ name: desk, kind: engine, hosts_per_replica: {hosts}, replicas: {desks}, capacity: 64 }}
  - {{ name: ledger, kind: plain, hosts_per_replica: {hosts}, replicas: {ledgers}, capacity: 64 }}
rules:
  - rule: everyone
    then:
      admit: {{ deadline_ms: 30000 }}
      retry: {{ {retry} }}
      place: {{ wait_ms: 600000 }}
"
    );
    let plan = TrialPlan::new(programs)
        .endpoints(engines, services)
        .hosts_per_group(hosts)
        .engine_step(STEP)
        .service_work(Duration::from_millis(800))
        .rules(&rules);
    let fleet = ProcessFleet::start(&plan).expect("the fleet starts; build the workspace");
    SilenceFleet { fleet, _lock: lock }
}

impl SilenceFleet {
    fn entry(&self) -> SocketAddr {
        self.fleet.entry_addresses()[0]
    }

    /// Number of runs in the logs of all endpoints.
    fn runs(&self) -> usize {
        (0..self.fleet.agents.len()).map(|number| self.runs_at(number)).sum()
    }

    fn runs_at(&self, number: usize) -> usize {
        let endpoint = self.fleet.agents[number].endpoint_address;
        let (_, log) = get_json(endpoint, "/stand-in/runs").expect("the endpoint answers");
        log["runs"].as_array().expect("a list of runs").len()
    }

    /// Number of the agent whose endpoint has run a request.
    fn runner(&self) -> usize {
        (0..self.fleet.agents.len()).find(|number| self.runs_at(*number) > 0).expect("a run")
    }

    fn agent(&self, number: usize) -> &ChildProcess {
        &self.fleet.agents[number].agent
    }

    fn endpoint(&self, number: usize) -> &ChildProcess {
        &self.fleet.agents[number].endpoint
    }

    fn stream(&self) -> attohttpc::Result<Response> {
        let body = json!({ "model": "desk", "prompt": "p", "max_tokens": TOKENS, "stream": true });
        attohttpc::post(format!("http://{}/v1/completions", self.entry()))
            .read_timeout(CLIENT_TIMEOUT)
            .text(body.to_string())
            .send()
    }

    /// Opens a stream and reads its first events.
    fn begun_stream(&self) -> (BufReader<Response>, String) {
        let answer = self.stream().expect("a stream begins");
        let (mut lines, mut text) = (BufReader::new(answer), String::new());
        while token_indexes(&text).len() < 5 {
            assert!(lines.read_line(&mut text).expect("the stream continues") > 0);
        }
        (lines, text)
    }
}

fn pause(process: &ChildProcess, silence: Duration) {
    process.signal(ProcessSignal::Stop);
    std::thread::sleep(silence);
    process.signal(ProcessSignal::Continue);
}

/// Runs `call` on a thread while `process` is paused; the call is sent first if `sent_first`.
fn call_during_pause<T: Send>(
    process: &ChildProcess,
    silence: Duration,
    sent_first: bool,
    call: impl FnOnce() -> T + Send,
) -> T {
    if !sent_first {
        process.signal(ProcessSignal::Stop);
    }
    std::thread::scope(|scope| {
        let caller = scope.spawn(call);
        if sent_first {
            std::thread::sleep(SEND_DELAY);
        }
        pause(process, silence);
        caller.join().expect("the caller ends")
    })
}

fn call_service(entry: SocketAddr) -> (u16, Value) {
    let url = format!("http://{entry}/services/ledger/confirm");
    let request = attohttpc::post(url).read_timeout(CLIENT_TIMEOUT);
    let answer = request.text("confirm lot 7").send().expect("the entry answers");
    let status = answer.status().as_u16();
    (status, serde_json::from_slice(&answer.bytes().expect("a body")).unwrap_or_default())
}

/// Status of a stream and its text to the end, or to the point where it was cut.
fn read_stream(answer: attohttpc::Result<Response>) -> (u16, String) {
    let answer = answer.expect("the entry answers");
    let status = answer.status().as_u16();
    let mut text = String::new();
    let _ = BufReader::new(answer).read_to_string(&mut text);
    (status, text)
}

/// Indexes of the tokens in the events of a stream.
fn token_indexes(stream: &str) -> Vec<u64> {
    let events = stream.lines().filter_map(|line| line.strip_prefix("data: "));
    let tokens = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    tokens.filter_map(|event| event["token_index"].as_u64()).collect()
}

/// Checks that `stream` has each token once and its end mark.
fn assert_whole(stream: &str) {
    let last = stream.lines().rfind(|line| !line.is_empty());
    assert_eq!(token_indexes(stream), (0..TOKENS as u64).collect::<Vec<u64>>(), "{last:?}");
    assert_eq!(last, Some("data: [DONE]"));
}

/// Guards against a stream that is given up because its engine is silent for a moment.
#[test]
fn stream_survives_a_short_silence_of_its_engine() {
    let fleet = start_fleet(2, 0, 1, NO_RETRY);
    let (mut lines, mut stream) = fleet.begun_stream();

    pause(fleet.endpoint(fleet.runner()), SHORT_SILENCE);
    let rest = lines.read_to_string(&mut stream);

    assert!(rest.is_ok(), "cut off: {rest:?}");
    assert_whole(&stream);
    assert_eq!(fleet.runs(), 1);
}

/// Guards against a stream that fails before its first event because its engine is silent.
#[test]
fn stream_begins_after_a_silence_of_its_engine() {
    for silence in [SHORT_SILENCE, MEDIUM_SILENCE] {
        let fleet = start_fleet(1, 0, 1, NO_RETRY);

        let answer = call_during_pause(fleet.endpoint(0), silence, false, || fleet.stream());
        let (status, stream) = read_stream(answer);

        assert_eq!(status, 200, "{silence:?}: {stream}");
        assert_whole(&stream);
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against a call that fails, or runs twice, because its service is silent for a moment.
#[test]
fn call_that_must_not_be_repeated_survives_a_silence_of_its_service() {
    for sent_first in [false, true] {
        let fleet = start_fleet(0, 1, 1, RETRIES);

        let (status, body) =
            call_during_pause(fleet.endpoint(0), SHORT_SILENCE, sent_first, || {
                call_service(fleet.entry())
            });

        assert_eq!(status, 200, "{body}");
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against a stream that is given up because its agent is silent for a moment.
#[test]
fn stream_survives_a_silence_of_its_agent() {
    for silence in [SHORT_SILENCE, MEDIUM_SILENCE] {
        let fleet = start_fleet(2, 0, 1, RETRIES);
        let (mut lines, mut stream) = fleet.begun_stream();

        pause(fleet.agent(fleet.runner()), silence);
        let rest = lines.read_to_string(&mut stream);

        assert!(rest.is_ok(), "{silence:?}: cut off: {rest:?}");
        assert_whole(&stream);
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against a request that is given up before its first byte because its agent is silent,
/// although no retry is left.
#[test]
fn stream_begins_after_a_silence_of_its_agent_when_no_retry_is_left() {
    for silence in [SHORT_SILENCE, MEDIUM_SILENCE] {
        let fleet = start_fleet(1, 0, 1, NO_RETRY);

        let answer = call_during_pause(fleet.agent(0), silence, false, || fleet.stream());
        let (status, stream) = read_stream(answer);

        assert_eq!(status, 200, "{silence:?}: {stream}");
        assert_whole(&stream);
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against a repeatable request that is given up for a retry that no replica takes.
#[test]
fn request_survives_a_silence_of_the_only_replica() {
    for (silence, sent_first) in
        [(SHORT_SILENCE, false), (SHORT_SILENCE, true), (MEDIUM_SILENCE, true)]
    {
        let fleet = start_fleet(0, 1, 1, REPEATABLE);

        let (status, body) =
            call_during_pause(fleet.agent(0), silence, sent_first, || call_service(fleet.entry()));

        assert_eq!(status, 200, "{silence:?}: {body}");
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against a call that fails, or runs twice, because its agent is silent for a moment.
#[test]
fn call_that_must_not_be_repeated_survives_a_silence_of_its_agent() {
    for silence in [SHORT_SILENCE, MEDIUM_SILENCE] {
        let fleet = start_fleet(0, 2, 1, RETRIES);
        // The log of the service that runs the call tells which agent to pause.
        let entry = fleet.entry();

        let (status, body) = std::thread::scope(|scope| {
            let caller = scope.spawn(move || call_service(entry));
            std::thread::sleep(SEND_DELAY);
            pause(fleet.agent(fleet.runner()), silence);
            caller.join().expect("the caller ends")
        });

        assert_eq!(status, 200, "{silence:?}: {body}");
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against an answer that its agent drops because it was sent on a stream that the entry had
/// replaced by another one.
#[test]
fn answer_survives_a_reconnect_of_its_entry() {
    let fleet = start_fleet(0, 1, 1, RETRIES);

    let answers: Vec<(u16, Value)> = (0..CALLS)
        .map(|_| {
            call_during_pause(fleet.agent(0), RECONNECT_SILENCE, true, || {
                call_service(fleet.entry())
            })
        })
        .collect();

    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}");
    assert_eq!(fleet.runs(), CALLS);
}

/// Guards against a stream that is given up because the lease of a silent member has expired,
/// although the member renews it a moment later.
#[test]
fn stream_survives_a_silence_of_a_member() {
    for silence in [SHORT_SILENCE, MEDIUM_SILENCE] {
        let fleet = start_fleet(2, 0, 2, RETRIES);
        let (mut lines, mut stream) = fleet.begun_stream();

        pause(fleet.agent(1 - fleet.runner()), silence);
        let rest = lines.read_to_string(&mut stream);

        assert!(rest.is_ok(), "{silence:?}: cut off: {rest:?}");
        assert_whole(&stream);
        assert_eq!(fleet.runs(), 1);
    }
}

/// Guards against an answer that goes on although a member of its group has restarted meanwhile, and
/// has lost its part of the replica.
#[test]
fn stream_ends_when_a_member_restarts() {
    let mut fleet = start_fleet(2, 0, 2, RETRIES);
    let (mut lines, mut stream) = fleet.begun_stream();

    let member = 1 - fleet.runner();
    fleet.fleet.restart_agent(member).expect("the agent starts again");
    let _ = lines.read_to_string(&mut stream);

    assert!(!stream.contains("[DONE]"), "{stream}");
    assert_eq!(fleet.runs(), 1);
}

/// Guards against a request that waits for an engine that stays silent, although another replica
/// is free.
#[test]
fn request_moves_off_an_engine_that_stays_silent() {
    let fleet = start_fleet(2, 0, 1, RETRIES);

    fleet.endpoint(0).signal(ProcessSignal::Stop);
    let streams: Vec<(u16, String)> = (0..4).map(|_| read_stream(fleet.stream())).collect();
    fleet.endpoint(0).signal(ProcessSignal::Continue);

    assert!(streams.iter().all(|(status, _)| *status == 200), "{streams:?}");
    streams.iter().for_each(|(_, stream)| assert_whole(stream));
}

/// Guards against a request that waits for an agent that stays silent, although another replica
/// is free.
#[test]
fn request_moves_off_an_agent_that_stays_silent() {
    let fleet = start_fleet(2, 0, 1, RETRIES);

    fleet.agent(0).signal(ProcessSignal::Stop);
    let streams: Vec<(u16, String)> = (0..4).map(|_| read_stream(fleet.stream())).collect();
    fleet.agent(0).signal(ProcessSignal::Continue);

    assert!(streams.iter().all(|(status, _)| *status == 200), "{streams:?}");
    streams.iter().for_each(|(_, stream)| assert_whole(stream));
}
