//! The faults of a trial, and what each of them comes to.

use std::path::Path;
use std::time::{Duration, Instant};

use briartray_model::{SortedTable, plain_value};
use briartray_standin::load::{LoadPlan, LoadReport, run_load};

use super::caller::{KeyedCaller, KeyedTally};
use super::fleet::{ProcessFleet, TrialPlan};
use super::process::{ChildProcess, ProcessSignal, TrialError};

/// Requests a second of the load.
const RATE: f64 = 40.0;

/// How long a process stands still.
const STANDSTILL: Duration = Duration::from_secs(6);

/// Calls under keys in a trial that kills an entry.
const KEYED_CALLS: usize = 40;

/// Time between two calls under keys.
const KEYED_PAUSE: Duration = Duration::from_millis(25);

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialFault {
    /// Nothing.
    Nothing,
    /// An entry is killed between claim and dispatch.
    EntryKilledBeforeDispatch,
    /// An entry is killed between dispatch and answer.
    EntryKilledBeforeAnswer,
    /// An agent stands still and goes on.
    AgentStopped,
    /// An engine stands still and goes on.
    EngineStopped,
    /// Every open path goes silent; new connections work.
    PathsForgotten,
    /// Engines answer late, crossed, doubled, cut and silent.
    BadAnswers,
    /// Plain services answer late, crossed, cut and silent.
    BadService,
    /// Every process of one availability zone is killed.
    ZoneKilled,
    /// Agents are told to end, one after the other.
    AgentsTerminated,
    /// An entry is told to end.
    EntryTerminated,
}

impl TrialFault {
    /// Every fault, in the order of the table.
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

    /// Its name.
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

    /// The fault called `name`.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

plain_value! {
    /// What callers were told under one fault, against what truly ran.
    pub struct OutcomeRow {
        /// The fault.
        pub fault: String,
        /// Requests sent.
        pub sent: u64,
        /// Whole answers to their own request.
        pub answered: u64,
        /// Told that they were not run.
        pub refused: u64,
        /// Told that the outcome is not known.
        pub unknown: u64,
        /// Told nothing.
        pub lost: u64,
        /// Keys that ran twice, and answers with pieces that came twice.
        pub doubled: u64,
        /// Answers to another request, or short ones that look whole.
        pub crossed: u64,
        /// Told `not_run` and ran, or answered and never ran.
        pub untrue: u64,
        /// Processes that were to end in order and did not.
        pub not_ended: u64,
        /// Requests by how they ended, where that was a refusal or an answer of the load.
        pub codes: SortedTable<String, u64>,
    }
}

impl OutcomeRow {
    /// Whether every request came to a true outcome.
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.crossed + self.untrue + self.not_ended == 0
    }

    fn from_load(fault: TrialFault, report: &LoadReport) -> Self {
        let audit = report.audit.clone().unwrap_or_default();
        let told = report.answered + report.told_not_run;
        let wrong = report.lost + report.crossed + report.short + report.repeated;
        Self {
            fault: fault.name().to_owned(),
            sent: report.sent,
            answered: report.answered,
            refused: report.told_not_run,
            unknown: report.sent - told - wrong,
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

/// Brings `fault` about under load for about `length`; `programs` is the folder of the binaries.
///
/// # Errors
/// A `TrialError` when the trial itself could not be run.
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
        _ => under_load(&plan, fault, length, |fleet| strike(fleet, fault)),
    }
}

/// Runs mixed load through the first entry and strikes after a third of it.
fn under_load(
    plan: &TrialPlan,
    fault: TrialFault,
    length: Duration,
    strike: impl FnOnce(&mut ProcessFleet) -> u64,
) -> Result<OutcomeRow, TrialError> {
    let mut fleet = ProcessFleet::start(plan)?;
    let load = LoadPlan::new(fleet.entry_addresses()[0])
        .pace(RATE, length)
        .model("desk", 24)
        .shares(0.7, 0.4)
        .service("ledger", 0.4)
        .bounds(Duration::from_secs(30), 2000)
        .stand_ins(&fleet.endpoint_addresses());
    let running = std::thread::spawn(move || run_load(&load, |_, _| {}));
    std::thread::sleep(length / 3);
    let not_ended = strike(&mut fleet);
    let report = running
        .join()
        .map_err(|_| TrialError::Load { detail: "the load's thread failed".to_owned() })?;
    let report = report.map_err(|error| TrialError::Load { detail: error.to_string() })?;
    Ok(OutcomeRow { not_ended, ..OutcomeRow::from_load(fault, &report) })
}

fn strike(fleet: &mut ProcessFleet, fault: TrialFault) -> u64 {
    match fault {
        TrialFault::AgentStopped => stand_still(&fleet.agents[0].agent),
        TrialFault::EngineStopped => stand_still(&fleet.agents[0].endpoint),
        TrialFault::PathsForgotten => {
            for agent in &fleet.agents {
                agent.relay.forget_open();
            }
        }
        // The run logs of killed stand-ins would be lost, so the endpoints outlive their agents.
        TrialFault::ZoneKilled => {
            for agent in fleet.agents.iter().filter(|agent| agent.zone == "zone-b") {
                agent.agent.signal(ProcessSignal::Kill);
            }
        }
        TrialFault::AgentsTerminated => {
            let leaving = [0, fleet.agents.len() - 1];
            return leaving.iter().map(|at| terminate(&mut fleet.agents[*at].agent)).sum();
        }
        _ => {}
    }
    0
}

fn stand_still(child: &ChildProcess) {
    child.signal(ProcessSignal::Stop);
    std::thread::sleep(STANDSTILL);
    child.signal(ProcessSignal::Continue);
}

/// Tells `child` to end in order; one when it does not, or ends otherwise.
fn terminate(child: &mut ChildProcess) -> u64 {
    child.signal(ProcessSignal::Terminate);
    let ended = child.wait(Duration::from_secs(40));
    u64::from(!ended.is_some_and(|status| status.success()))
}

/// Claims go through and dispatches are swallowed on their way; then the entry dies.
fn kill_before_dispatch(plan: &TrialPlan) -> Result<OutcomeRow, TrialError> {
    let fault = TrialFault::EntryKilledBeforeDispatch;
    let fleet = ProcessFleet::start(plan)?;
    let mut callers = KeyedCaller::new(fleet.entry_addresses());
    for number in 0..KEYED_CALLS {
        if number == KEYED_CALLS / 2 {
            // A call that is still under way would be cut off on its way back instead.
            callers.wait()?;
            for agent in &fleet.agents {
                agent.relay.mute();
            }
        }
        callers.start(&format!("lot-{number}"));
        std::thread::sleep(KEYED_PAUSE);
    }
    fleet.entries[0].signal(ProcessSignal::Kill);
    Ok(OutcomeRow::from_keyed(fault, &callers.finish(&fleet.service_addresses())?))
}

/// The service runs the calls when the entry dies, before it has an answer.
fn kill_before_answer(plan: &TrialPlan) -> Result<OutcomeRow, TrialError> {
    let fault = TrialFault::EntryKilledBeforeAnswer;
    let fleet = ProcessFleet::start(plan)?;
    let mut callers = KeyedCaller::new(fleet.entry_addresses());
    for number in 0..KEYED_CALLS {
        callers.start(&format!("lot-{number}"));
        std::thread::sleep(KEYED_PAUSE);
    }
    fleet.entries[0].signal(ProcessSignal::Kill);
    Ok(OutcomeRow::from_keyed(fault, &callers.finish(&fleet.service_addresses())?))
}

/// Callers go to an entry that ends in order, and to the other once it refuses.
fn entry_terminated(
    plan: &TrialPlan,
    length: Duration,
    end: impl FnOnce(&mut ProcessFleet) -> u64,
) -> Result<OutcomeRow, TrialError> {
    let mut fleet = ProcessFleet::start(plan)?;
    let mut callers = KeyedCaller::new(fleet.entry_addresses());
    let addresses = fleet.entry_addresses().to_vec();
    let feeding = std::thread::spawn(move || {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < length {
            callers.start(&format!("lot-{number}"));
            number += 1;
            std::thread::sleep(KEYED_PAUSE);
        }
        callers
    });
    std::thread::sleep(length / 3);
    let not_ended = end(&mut fleet);
    log::info!("first of {} entries ended", addresses.len());
    let callers = feeding
        .join()
        .map_err(|_| TrialError::Load { detail: "the callers' thread failed".to_owned() })?;
    let tally = callers.finish(&fleet.service_addresses())?;
    Ok(OutcomeRow { not_ended, ..OutcomeRow::from_keyed(TrialFault::EntryTerminated, &tally) })
}
