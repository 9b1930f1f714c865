//! Failures of members in groups of two hosts, on real processes: a group serves requests only
//! while all of its members and endpoints are up.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray::trial::{ProcessFleet, ProcessSignal, TrialPlan, get_json, request_completion};
use serde_json::Value;

/// Time limit for a condition; generous so that a busy machine does not fail a test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of requests sent to a group that is not whole.
const REQUESTS: usize = 40;

/// Runs one fleet at a time, because each has several processes.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Rules with groups of two hosts and a long wait for a missing member.
const RULES: &str = "
services: [{ name: desk, hosts_per_replica: 2, replicas: 1, capacity: 64 }]
rules:
  - rule: everyone
    then:
      admit: { deadline_ms: 4000 }
      route: {}
      retry: {}
      place: { wait_ms: 600000 }
      stop: {}
";

/// Plan for one group of two hosts behind one entry.
fn plan() -> TrialPlan {
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    TrialPlan::new(programs).endpoints(2, 0).hosts_per_group(2).rules(RULES)
}

fn start_fleet(plan: &TrialPlan) -> ProcessFleet {
    ProcessFleet::start(plan).expect("the fleet starts; build the workspace")
}

fn status_of(entry: SocketAddr) -> u16 {
    request_completion(entry, 1).expect("the entry answers").0
}

/// Number of requests in the run log of an engine.
fn runs(engine: SocketAddr) -> usize {
    let (_, log) = get_json(engine, "/stand-in/runs").expect("the engine answers");
    log["runs"].as_array().expect("a list of runs").len()
}

/// Polls until `condition` holds; fails after `TIMEOUT`.
fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Numbers of the agent that is first in the only group, and of the other member.
fn first_and_other_member(fleet: &ProcessFleet) -> (usize, usize) {
    let (_, groups) = get_json(fleet.operator_address(), "/v1/groups").expect("control answers");
    let list = groups.as_array().or(groups["groups"].as_array()).expect("a list of groups");
    let first_host = list[0]["first"].as_str().expect("a first host");
    let first = fleet
        .agents
        .iter()
        .position(|agent| agent.host == first_host)
        .expect("the host has an agent");
    (first, 1 - first)
}

/// Checks that all requests are refused as not run and that none reaches an engine.
fn expect_nothing_runs(fleet: &ProcessFleet) {
    let engines: Vec<SocketAddr> = fleet.agents.iter().map(|a| a.endpoint_address).collect();
    let before: usize = engines.iter().map(|engine| runs(*engine)).sum();
    let entry = fleet.entry_addresses()[0];

    let answers: Vec<(u16, Value)> =
        (0..REQUESTS).map(|_| request_completion(entry, 1).expect("the entry answers")).collect();

    let after: usize = engines.iter().map(|engine| runs(*engine)).sum();
    assert!(answers.iter().all(|(_, body)| body["outcome"] == "not_run"), "{answers:?}");
    assert_eq!(after, before, "a group that is not whole ran a request");
}

#[test]
fn killed_member_closes_its_group() {
    // The agent of the second host is killed. Once the lease has expired, no request may reach the
    // engine of the first host, and callers must be refused with `not_run`.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet(&plan());
    let (_, member) = first_and_other_member(&fleet);
    let entry = fleet.entry_addresses()[0];
    assert_eq!(status_of(entry), 200);

    fleet.agents[member].agent.signal(ProcessSignal::Kill);
    wait_for("a refusal", || status_of(entry) != 200);

    expect_nothing_runs(&fleet);
}

#[test]
fn paused_member_closes_its_group_until_it_resumes() {
    // The agent of a member is paused and resumed. The group must serve nothing in the meantime
    // and serve again afterwards.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet(&plan());
    let (_, member) = first_and_other_member(&fleet);
    let entry = fleet.entry_addresses()[0];

    fleet.agents[member].agent.signal(ProcessSignal::Stop);
    wait_for("a refusal", || status_of(entry) != 200);
    expect_nothing_runs(&fleet);
    fleet.agents[member].agent.signal(ProcessSignal::Continue);

    wait_for("an answer", || status_of(entry) == 200);
}

#[test]
fn dead_endpoint_of_a_member_closes_its_group() {
    // The engine of the second host is killed while its agent keeps running. A replica without one
    // of its engines is not whole and must not run requests.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet(&plan());
    let (first, member) = first_and_other_member(&fleet);
    let entry = fleet.entry_addresses()[0];
    assert_eq!(status_of(entry), 200);

    fleet.agents[member].endpoint.signal(ProcessSignal::Kill);
    wait_for("a refusal", || status_of(entry) != 200);

    let before = runs(fleet.agents[first].endpoint_address);
    let answers: Vec<u16> = (0..REQUESTS).map(|_| status_of(entry)).collect();
    assert!(answers.iter().all(|status| *status == 503), "{answers:?}");
    assert_eq!(runs(fleet.agents[first].endpoint_address), before);
}

#[test]
fn resumed_agent_rejects_orders_under_expired_leases() {
    // The agent of the first host is paused while the other agent is killed, and orders queue up in
    // its socket. After it resumes it must not pass them to the engine: its leases have expired.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = start_fleet(&plan());
    let (first, member) = first_and_other_member(&fleet);
    let entry = fleet.entry_addresses()[0];
    let engine = fleet.agents[first].endpoint_address;
    assert_eq!(status_of(entry), 200);
    let before = runs(engine);

    fleet.agents[first].agent.signal(ProcessSignal::Stop);
    let callers: Vec<_> = (0..8)
        .map(|_| {
            std::thread::spawn(move || request_completion(entry, 1).expect("the entry answers"))
        })
        .collect();
    fleet.agents[member].agent.signal(ProcessSignal::Kill);
    std::thread::sleep(Duration::from_secs(3));
    fleet.agents[first].agent.signal(ProcessSignal::Continue);
    let answers: Vec<(u16, Value)> =
        callers.into_iter().map(|caller| caller.join().expect("the caller ends")).collect();

    assert!(answers.iter().all(|(status, _)| *status != 200), "{answers:?}");
    assert_eq!(runs(engine), before, "an order ran under expired leases");
}

/// Fencing numbers of the orders that each engine accepted, in order of arrival.
fn fencing_numbers(fleet: &ProcessFleet) -> Vec<Vec<u64>> {
    let numbers = |engine: SocketAddr| -> Vec<u64> {
        let (_, body) = get_json(engine, "/orders").expect("the engine answers");
        let orders = body["orders"].as_array().expect("a list of orders").clone();
        orders.iter().filter_map(|taken| taken["order"]["fencing"].as_u64()).collect()
    };
    fleet.agents.iter().map(|agent| numbers(agent.endpoint_address)).collect()
}

/// Restarts the agents of a fleet in turn and returns the fencing numbers of the orders that its
/// engines accepted.
fn orders_after_restarts(checks_fencing: bool) -> Vec<Vec<u64>> {
    let mut fleet = start_fleet(&plan().checks_fencing(checks_fencing));
    let entry = fleet.entry_addresses()[0];
    for number in [0, 1, 0] {
        fleet.restart_agent(number).expect("the agent starts again");
        wait_for("an answer", || status_of(entry) == 200);
    }
    fencing_numbers(&fleet)
}

#[test]
fn fencing_numbers_never_decrease_on_either_kind_of_engine() {
    // Agents are killed and restart without state. The fencing numbers of their orders must not
    // decrease, neither at engines that ignore them nor at engines that check them.
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);

    for checks_fencing in [false, true] {
        let orders = orders_after_restarts(checks_fencing);

        assert!(orders.iter().all(|numbers| !numbers.is_empty()), "{orders:?}");
        assert!(orders.iter().all(|numbers| numbers.is_sorted()), "{orders:?}");
    }
}
