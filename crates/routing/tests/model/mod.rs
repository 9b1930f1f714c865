//! Simulation of a service with a fixed number of slots under a seeded load.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::names::{ServiceName, TeamName};
use briartray_model::rules::AdmitAction;
use briartray_routing::admission::{
    AdmissionQueue, AdmissionRequest, AdmissionVerdict, TicketNumber,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(1);

/// Load of one team.
pub struct TeamLoad {
    pub name: &'static str,
    pub weight: u32,
    /// Requests per second.
    pub rate: f64,
}

/// Load on one service.
pub struct LoadPlan {
    pub slots: u64,
    pub service_ms: u64,
    pub deadline_ms: u32,
    pub seconds: u64,
    pub teams: Vec<TeamLoad>,
}

/// Results of one team, per second.
#[derive(Debug, Default, Clone)]
pub struct TeamResult {
    pub offered: f64,
    /// Requests answered before the deadline.
    pub useful: f64,
    pub late: f64,
    pub refused: f64,
    pub refused_at_once: f64,
}

struct Job {
    ticket: TicketNumber,
    team: usize,
    deadline: TimePoint,
    ends: TimePoint,
}

/// Returns a service time between a half and one and a half of the mean.
fn service_time(plan: &LoadPlan, random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(random.random_range(plan.service_ms / 2..=plan.service_ms * 3 / 2))
}

fn arrivals(plan: &LoadPlan, random: &mut ChaCha8Rng) -> Vec<usize> {
    let seconds = STEP.as_secs_f64();
    let mut arrived = Vec::new();
    for (number, team) in plan.teams.iter().enumerate() {
        let mut expected = team.rate * seconds;
        while expected > 0.0 {
            if random.random_bool(expected.min(1.0)) {
                arrived.push(number);
            }
            expected -= 1.0;
        }
    }
    arrived
}

fn per_second(mut results: Vec<TeamResult>, plan: &LoadPlan) -> Vec<TeamResult> {
    let seconds = plan.seconds as f64;
    for result in &mut results {
        for value in [
            &mut result.offered,
            &mut result.useful,
            &mut result.late,
            &mut result.refused,
            &mut result.refused_at_once,
        ] {
            *value /= seconds;
        }
    }
    results
}

/// Runs `plan` through an admission queue.
pub fn run_admitted(plan: &LoadPlan, seed: u64) -> Vec<TeamResult> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut results = vec![TeamResult::default(); plan.teams.len()];
    let service = ServiceName::new("desk");
    let mut queue = AdmissionQueue::new(2000);
    queue.set_capacity(&service, plan.slots);
    let mut waiting: Vec<Job> = Vec::new();
    let mut running: Vec<Job> = Vec::new();
    let mut now = TimePoint(0);
    while now < TimePoint(plan.seconds * 1_000_000) {
        now = now.after(STEP);
        for team in arrivals(plan, &mut random) {
            results[team].offered += 1.0;
            let load = &plan.teams[team];
            let deadline_ms = plan.deadline_ms;
            let action = AdmitAction { weight: load.weight, deadline_ms, ..AdmitAction::default() };
            let deadline = now.after(Duration::from_millis(deadline_ms.into()));
            let name = TeamName::new(load.name);
            let request = AdmissionRequest {
                service: &service,
                team: &name,
                action: &action,
                limit: None,
                deadline,
            };
            match queue.offer(now, &request) {
                Ok(ticket) => waiting.push(Job { ticket, team, deadline, ends: now }),
                Err(_) => {
                    results[team].refused += 1.0;
                    results[team].refused_at_once += 1.0;
                }
            }
        }
        for job in running.extract_if(.., |job| job.ends <= now) {
            queue.finish(now, job.ticket, true);
            let in_time = now <= job.deadline;
            let result = &mut results[job.team];
            *(if in_time { &mut result.useful } else { &mut result.late }) += 1.0;
        }
        for output in queue.step(now) {
            let position = waiting.iter().position(|job| job.ticket == output.ticket);
            let mut job =
                waiting.swap_remove(position.expect("a verdict concerns a waiting request"));
            match output.verdict {
                AdmissionVerdict::Run => {
                    job.ends = now.after(service_time(plan, &mut random));
                    running.push(job);
                }
                AdmissionVerdict::Refuse(_) => results[job.team].refused += 1.0,
            }
        }
        assert!(running.len() <= plan.slots as usize, "more requests run than there are slots");
    }
    per_second(results, plan)
}

/// Runs `plan` through a single unbounded FIFO queue.
pub fn run_unlimited(plan: &LoadPlan, seed: u64) -> Vec<TeamResult> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut results = vec![TeamResult::default(); plan.teams.len()];
    let mut waiting: std::collections::VecDeque<Job> = std::collections::VecDeque::new();
    let mut running: Vec<Job> = Vec::new();
    let mut now = TimePoint(0);
    while now < TimePoint(plan.seconds * 1_000_000) {
        now = now.after(STEP);
        for team in arrivals(plan, &mut random) {
            results[team].offered += 1.0;
            let deadline = now.after(Duration::from_millis(plan.deadline_ms.into()));
            waiting.push_back(Job { ticket: TicketNumber(0), team, deadline, ends: now });
        }
        for job in running.extract_if(.., |job| job.ends <= now) {
            let in_time = now <= job.deadline;
            let result = &mut results[job.team];
            *(if in_time { &mut result.useful } else { &mut result.late }) += 1.0;
        }
        while running.len() < plan.slots as usize {
            let Some(mut job) = waiting.pop_front() else { break };
            job.ends = now.after(service_time(plan, &mut random));
            running.push(job);
        }
    }
    per_second(results, plan)
}
