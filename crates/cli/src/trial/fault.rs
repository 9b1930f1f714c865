//! Faults that a trial injects, and the outcomes that callers see under each of them.

use std::path::Path;
use std::time::{Duration, Instant};

use briartray_model::{SortedTable, plain_value};
use briartray_standin::load::{LoadPlan, LoadReport, run_load};

use super::caller::{KeyedCaller, KeyedTally};
use super::fleet::{ProcessFleet, TrialPlan};
use super::process::{ChildProcess, ProcessSignal, TrialError};

/// Request rate of the load.
const REQUESTS_PER_SECOND: f64 = 40.0;

/// How long a process is paused.
const PAUSE_LENGTH: Duration = Duration::from_secs(6);

/// Number of keyed calls in a trial that kills an entry.
const KEYED_CALLS: usize = 40;

/// Interval between the starts of keyed calls.
const KEYED_CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Fault that a trial injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialFault {
    /// No fault; the baseline.
    Nothing,
    /// An entry is killed after claiming keys and before dispatching the calls.
    EntryKilledBeforeDispatch,
    /// An entry is killed after dispatching calls and before their answers arrive.
    EntryKilledBeforeAnswer,
    /// An agent process is paused and resumed.
    AgentStopped,
    /// An engine process is paused and resumed.
    EngineStopped,
    /// All open connections to agents are black-holed; new connections work.
    PathsForgotten,
    /// Engines delay, swap, truncate and withhold answers.
    BadAnswers,
    /// Plain services delay, swap, truncate and withhold answers.
    BadService,
    /// Every agent of one availability zone is killed.
    ZoneKilled,
    /// Agents are shut down gracefully, one after the other.
    AgentsTerminated,
    /// An entry is shut down gracefully.
    EntryTerminated,
}

impl TrialFault {
    /// All faults, in the order in which results are listed.
    pub const ALL: [Self; 11] = [
        Self::Nothing,
        Self::EntryKilledBeforeDispatch,
        Self::EntryKilledBeforeAnswer,
        Self::AgentStopped,
        Self::EngineStopped,
        Self::PathsForgotten,
        Self::BadAnswers,
        Self::BadService,
        Self::ZoneKilled,
        Self::AgentsTerminated,
        Self::EntryTerminated,
    ];

    /// Name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::EntryKilledBeforeDispatch => "entry-killed-before-dispatch",
            Self::EntryKilledBeforeAnswer => "entry-killed-before-answer",
            Self::AgentStopped => "agent-stopped",
            Self::EngineStopped => "engine-stopped",
            Self::PathsForgotten => "paths-forgotten",
            Self::BadAnswers => "bad-answers",
            Self::BadService => "bad-service",
            Self::ZoneKilled => "zone-killed",
            Self::AgentsTerminated => "agents-terminated",
            Self::EntryTerminated => "entry-terminated",
        }
    }

    /// Returns the fault called `name`.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

plain_value! {
    /// Outcomes reported to callers under one fault, checked against the run logs.
    pub struct OutcomeRow {
        /// Name of the fault.
        pub fault: String,
        /// Requests sent.
        pub sent: u64,
        /// Requests that got their own complete answer.
        pub answered: u64,
        /// Requests reported as not run.
        pub refused: u64,
        /// Requests whose outcome was reported as unknown.
        pub unknown: u64,
        /// Requests without any response.
        pub lost: u64,
        /// Keys that ran more than once, and answers with repeated chunks.
        pub doubled: u64,
        /// Requests that got the answer to another one, or a truncated answer that looks complete.
        pub crossed: u64,
        /// Requests reported as `not_run` that ran, or answered ones that never ran.
        pub untrue: u64,
        /// Processes that failed to shut down gracefully.
        pub not_ended: u64,
        /// Number of requests by code: all outcomes of a load, only refusals of keyed calls.
        pub codes: SortedTable<String, u64>,
    }
}

impl OutcomeRow {
    /// Whether every request got a correct outcome and every process shut down as asked.
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.crossed + self.untrue + self.not_ended == 0
    }

    fn from_load(fault: TrialFault, report: &LoadReport) -> Self {
        let audit = report.audit.clone().unwrap_or_default();
        let known = report.answered + report.told_not_run;
        let wrong = report.lost + report.crossed + report.short + report.repeated;
        Self {
            fault: fault.name().to_owned(),
            sent: report.sent,
            answered: report.answered,
            refused: report.told_not_run,
            unknown: report.sent - known - wrong,
            lost: report.lost,
            doubled: audit.doubled + report.repeated,
            crossed: report.crossed + report.short,
            untrue: audit.ran_untold + audit.answered_unrun,
            not_ended: 0,
            codes: report.outcomes.iter().map(|end| (end.code.clone(), end.count)).collect(),
        }
    }

    fn from_keyed(fault: TrialFault, tally: &KeyedTally) -> Self {
        Self {
            fault: fault.name().to_owned(),
            sent: tally.sent,
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
            lost: tally.lost,
            doubled: tally.doubled,
            crossed: tally.crossed,
            untrue: tally.untrue,
            not_ended: 0,
            codes: tally.codes.clone(),
        }
    }
}

/// Injects `fault` into a fleet under load and returns the outcomes.
///
/// The load lasts for about `length`; trials that kill an entry send a fixed number of keyed calls
/// instead. `programs` is the folder with the binaries.
///
/// # Errors
/// `TrialError` if the trial itself could not be run.
pub fn run_fault(
    programs: &Path,
    fault: TrialFault,
    length: Duration,
) -> Result<OutcomeRow, TrialError> {
    let plan = TrialPlan::new(programs);
    match fault {
        TrialFault::EntryKilledBeforeDispatch => kill_before_dispatch(&plan.entries(2)),
        TrialFault::EntryKilledBeforeAnswer => {
            let work = Duration::from_millis(700);
            kill_before_answer(&plan.entries(2).service_work(work))
        }
        TrialFault::BadAnswers => {
            let faults = ["late:0.1:300", "crossed:0.05", "cut:0.1", "silent:0.03:6000"];
            under_load(&plan.engine_faults(&faults), fault, length, |_| 0)
        }
        TrialFault::BadService => {
            let faults = ["late:0.1:300", "crossed:0.05", "cut:0.1", "silent:0.03:2000"];
            under_load(&plan.service_faults(&faults), fault, length, |_| 0)
        }
        TrialFault::EntryTerminated => {
            let ended = |fleet: &mut ProcessFleet| terminate(&mut fleet.entries[0]);
            entry_terminated(&plan.entries(2), length, ended)
        }
        _ => under_load(&plan, fault, length, |fleet| inject_fault(fleet, fault)),
    }
}

/// Runs mixed load through the first entry and injects the fault after a third of `length`.
fn under_load(
    plan: &TrialPlan,
    fault: TrialFault,
    length: Duration,
    inject_fault: impl FnOnce(&mut ProcessFleet) -> u64,
) -> Result<OutcomeRow, TrialError> {
    let mut fleet = ProcessFleet::start(plan)?;
    let load = LoadPlan::new(fleet.entry_addresses()[0])
        .pace(REQUESTS_PER_SECOND, length)
        .model("desk", 24)
        .shares(0.7, 0.4)
        .service("ledger", 0.4)
        .bounds(Duration::from_secs(30), 2000)
        .stand_ins(&fleet.endpoint_addresses());
    let load_thread = std::thread::spawn(move || run_load(&load, |_, _| {}));
    std::thread::sleep(length / 3);
    let not_ended = inject_fault(&mut fleet);
    let report = load_thread
        .join()
        .map_err(|_| TrialError::Load { detail: "the load thread panicked".to_owned() })?;
    let report = report.map_err(|error| TrialError::Load { detail: error.to_string() })?;
    Ok(OutcomeRow { not_ended, ..OutcomeRow::from_load(fault, &report) })
}

fn inject_fault(fleet: &mut ProcessFleet, fault: TrialFault) -> u64 {
    match fault {
        TrialFault::AgentStopped => pause_process(&fleet.agents[0].agent),
        TrialFault::EngineStopped => pause_process(&fleet.agents[0].endpoint),
        TrialFault::PathsForgotten => {
            for agent in &fleet.agents {
                agent.relay.black_hole_open();
            }
        }
        // The endpoints are kept running: the run log of a killed stand-in would be lost.
        TrialFault::ZoneKilled => {
            for agent in fleet.agents.iter().filter(|agent| agent.zone == "zone-b") {
                agent.agent.signal(ProcessSignal::Kill);
            }
        }
        TrialFault::AgentsTerminated => {
            let terminated = [0, fleet.agents.len() - 1];
            return terminated.iter().map(|at| terminate(&mut fleet.agents[*at].agent)).sum();
        }
        _ => {}
    }
    0
}

fn pause_process(child: &ChildProcess) {
    child.signal(ProcessSignal::Stop);
    std::thread::sleep(PAUSE_LENGTH);
    child.signal(ProcessSignal::Continue);
}

/// Shuts `child` down gracefully; returns 1 if it does not exit with success, otherwise 0.
fn terminate(child: &mut ChildProcess) -> u64 {
    child.signal(ProcessSignal::Terminate);
    let ended = child.wait(Duration::from_secs(40));
    u64::from(!ended.is_some_and(|status| status.success()))
}

/// Kills the entry after the relays have dropped its dispatches, so that the keys of the later
/// calls are claimed and the calls never reach an agent.
fn kill_before_dispatch(plan: &TrialPlan) -> Result<OutcomeRow, TrialError> {
    let fault = TrialFault::EntryKilledBeforeDispatch;
    let fleet = ProcessFleet::start(plan)?;
    let mut callers = KeyedCaller::new(fleet.entry_addresses());
    for number in 0..KEYED_CALLS {
        if number == KEYED_CALLS / 2 {
            // A call still in progress would lose its answer instead of its dispatch.
            callers.wait()?;
            for agent in &fleet.agents {
                agent.relay.discard_outbound();
            }
        }
        callers.start(&format!("lot-{number}"));
        std::thread::sleep(KEYED_CALL_INTERVAL);
    }
    fleet.entries[0].signal(ProcessSignal::Kill);
    Ok(OutcomeRow::from_keyed(fault, &callers.finish(&fleet.service_addresses())?))
}

/// Kills the entry while the service is running calls, before their answers arrive.
fn kill_before_answer(plan: &TrialPlan) -> Result<OutcomeRow, TrialError> {
    let fault = TrialFault::EntryKilledBeforeAnswer;
    let fleet = ProcessFleet::start(plan)?;
    let mut callers = KeyedCaller::new(fleet.entry_addresses());
    for number in 0..KEYED_CALLS {
        callers.start(&format!("lot-{number}"));
        std::thread::sleep(KEYED_CALL_INTERVAL);
    }
    fleet.entries[0].signal(ProcessSignal::Kill);
    Ok(OutcomeRow::from_keyed(fault, &callers.finish(&fleet.service_addresses())?))
}

/// Shuts an entry down gracefully while callers use it; they switch to the other entry once the
/// first one refuses connections or has ended.
fn entry_terminated(
    plan: &TrialPlan,
    length: Duration,
    end: impl FnOnce(&mut ProcessFleet) -> u64,
) -> Result<OutcomeRow, TrialError> {
    let mut fleet = ProcessFleet::start(plan)?;
    let mut callers = KeyedCaller::new(fleet.entry_addresses());
    let addresses = fleet.entry_addresses().to_vec();
    let caller_thread = std::thread::spawn(move || {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < length {
            callers.start(&format!("lot-{number}"));
            number += 1;
            std::thread::sleep(KEYED_CALL_INTERVAL);
        }
        callers
    });
    std::thread::sleep(length / 3);
    let not_ended = end(&mut fleet);
    log::info!("the first of {} entries has shut down", addresses.len());
    let callers = caller_thread
        .join()
        .map_err(|_| TrialError::Load { detail: "the callers' thread panicked".to_owned() })?;
    let tally = callers.finish(&fleet.service_addresses())?;
    Ok(OutcomeRow { not_ended, ..OutcomeRow::from_keyed(TrialFault::EntryTerminated, &tally) })
}
