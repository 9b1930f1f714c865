//! Groups of two hosts on real processes: whole or nothing.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use briartray::trial::{ProcessFleet, ProcessSignal, TrialPlan, ask_desk, get_json};
use serde_json::Value;

/// Generous, because a busy machine is no failure.
const SOON: Duration = Duration::from_secs(60);

/// Time between two looks.
const CHECK: Duration = Duration::from_millis(50);

/// Requests sent at a group that is not whole.
const REQUESTS: usize = 40;

/// One fleet at a time: each has several processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Rules with groups of two hosts that wait long for a missing one.
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

/// One group of two hosts behind one entry.
fn plan() -> TrialPlan {
    let programs = Path::new(env!("CARGO_BIN_EXE_briartray")).parent().expect("a folder");
    TrialPlan::new(programs).endpoints(2, 0).hosts_per_group(2).rules(RULES)
}

fn started(plan: &TrialPlan) -> ProcessFleet {
    ProcessFleet::start(plan).expect("the fleet starts; build the workspace")
}

fn status_of(entry: SocketAddr) -> u16 {
    ask_desk(entry, 1).expect("the entry answers").0
}

/// Requests that an engine was truly handed.
fn runs(engine: SocketAddr) -> usize {
    let (_, log) = get_json(engine, "/stand-in/runs").expect("the engine answers");
    log["runs"].as_array().expect("a list of runs").len()
}

/// Looks again and again until `look` holds.
fn wait_for(what: &str, mut look: impl FnMut() -> bool) {
    let started = Instant::now();
    while !look() {
        assert!(started.elapsed() < SOON, "not in time: {what}");
        std::thread::sleep(CHECK);
    }
}

/// The number of the agent that leads the only group, and of the other one.
fn first_and_member(fleet: &ProcessFleet) -> (usize, usize) {
    let (_, groups) = get_json(fleet.operator_address(), "/v1/groups").expect("control answers");
    let list = groups.as_array().or(groups["groups"].as_array()).expect("a list of groups");
    let first = list[0]["first"].as_str().expect("a first host");
    let lead = fleet.agents.iter().position(|agent| agent.host == first).expect("it is known");
    (lead, 1 - lead)
}

/// Sends requests that must all be refused as not run, and none of which may reach an engine.
fn expect_nothing_runs(fleet: &ProcessFleet) {
    let engines: Vec<SocketAddr> = fleet.agents.iter().map(|a| a.endpoint_address).collect();
    let before: usize = engines.iter().map(|engine| runs(*engine)).sum();
    let entry = fleet.entry_addresses()[0];

    let answers: Vec<(u16, Value)> =
        (0..REQUESTS).map(|_| ask_desk(entry, 1).expect("the entry answers")).collect();

    let after: usize = engines.iter().map(|engine| runs(*engine)).sum();
    assert!(answers.iter().all(|(_, body)| body["outcome"] == "not_run"), "{answers:?}");
    assert_eq!(after, before, "a group that is not whole ran a request");
}

#[test]
fn killed_member_closes_its_group() {
    // The agent of a group's second host dies. Within the lease no request reaches the engine of
    // the first host any more, and callers are told that nothing was run.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = started(&plan());
    let (_, member) = first_and_member(&fleet);
    let entry = fleet.entry_addresses()[0];
    assert_eq!(status_of(entry), 200);

    fleet.agents[member].agent.signal(ProcessSignal::Kill);
    wait_for("a refusal", || status_of(entry) != 200);

    expect_nothing_runs(&fleet);
}

#[test]
fn paused_member_closes_its_group_until_it_goes_on() {
    // The agent of a member stands still and wakes later. Meanwhile the group serves nothing;
    // afterwards it serves again without being formed anew.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = started(&plan());
    let (_, member) = first_and_member(&fleet);
    let entry = fleet.entry_addresses()[0];

    fleet.agents[member].agent.signal(ProcessSignal::Stop);
    wait_for("a refusal", || status_of(entry) != 200);
    expect_nothing_runs(&fleet);
    fleet.agents[member].agent.signal(ProcessSignal::Continue);

    wait_for("an answer", || status_of(entry) == 200);
}

#[test]
fn dead_endpoint_of_a_member_closes_its_group() {
    // The engine of the second host dies while its agent is well. A replica that lacks an engine
    // is not whole.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = started(&plan());
    let (lead, member) = first_and_member(&fleet);
    let entry = fleet.entry_addresses()[0];
    assert_eq!(status_of(entry), 200);

    fleet.agents[member].endpoint.signal(ProcessSignal::Kill);
    wait_for("a refusal", || status_of(entry) != 200);

    let before = runs(fleet.agents[lead].endpoint_address);
    let answers: Vec<u16> = (0..REQUESTS).map(|_| status_of(entry)).collect();
    assert!(answers.iter().all(|status| *status == 503), "{answers:?}");
    assert_eq!(runs(fleet.agents[lead].endpoint_address), before);
}

#[test]
fn gate_that_wakes_finds_its_leases_gone() {
    // The first host's agent stands still while the other host dies. Orders that came meanwhile
    // lie in its socket. When it wakes it must not hand one of them to the engine under leases
    // that ran out while it slept.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = started(&plan());
    let (lead, member) = first_and_member(&fleet);
    let entry = fleet.entry_addresses()[0];
    let engine = fleet.agents[lead].endpoint_address;
    assert_eq!(status_of(entry), 200);
    let before = runs(engine);

    fleet.agents[lead].agent.signal(ProcessSignal::Stop);
    let callers: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(move || ask_desk(entry, 1).expect("the entry answers")))
        .collect();
    fleet.agents[member].agent.signal(ProcessSignal::Kill);
    std::thread::sleep(Duration::from_secs(3));
    fleet.agents[lead].agent.signal(ProcessSignal::Continue);
    let answers: Vec<(u16, Value)> =
        callers.into_iter().map(|caller| caller.join().expect("the caller ends")).collect();

    assert!(answers.iter().all(|(status, _)| *status != 200), "{answers:?}");
    assert_eq!(runs(engine), before, "an order was carried out under lapsed leases");
}

/// Fencing numbers of the orders that each engine took, in their order.
fn fencing_numbers(fleet: &ProcessFleet) -> Vec<Vec<u64>> {
    let numbers = |engine: SocketAddr| -> Vec<u64> {
        let (_, body) = get_json(engine, "/orders").expect("the engine answers");
        let orders = body["orders"].as_array().expect("a list of orders").clone();
        orders.iter().filter_map(|taken| taken["order"]["fencing"].as_u64()).collect()
    };
    fleet.agents.iter().map(|agent| numbers(agent.endpoint_address)).collect()
}

/// Restarts the agents of a fleet in turn and returns the orders that its engines took.
fn orders_after_restarts(checks_fencing: bool) -> Vec<Vec<u64>> {
    let mut fleet = started(&plan().checks_fencing(checks_fencing));
    let entry = fleet.entry_addresses()[0];
    for number in [0, 1, 0] {
        fleet.restart_agent(number).expect("the agent starts again");
        wait_for("an answer", || status_of(entry) == 200);
    }
    fencing_numbers(&fleet)
}

#[test]
fn orders_never_go_back_on_either_kind_of_engine() {
    // Agents are killed and start again without memory. An engine that ignores fencing numbers
    // must see them grow all the same, and one that checks them must have nothing to refuse.
    let _turn = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);

    for checks_fencing in [false, true] {
        let orders = orders_after_restarts(checks_fencing);

        assert!(orders.iter().all(|numbers| !numbers.is_empty()), "{orders:?}");
        assert!(orders.iter().all(|numbers| numbers.is_sorted()), "{orders:?}");
    }
}
