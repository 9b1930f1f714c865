//! Seeded schedule of a load: start times and contents of the requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan::LoadPlan;

/// A scheduled request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedCall {
    /// Planned start, relative to the start of the load.
    pub start: Duration,
    /// Team, if the plan lists any.
    pub team: Option<String>,
    /// Prompt, or body of a call to a plain service; unique within a load.
    pub prompt: String,
    /// Whether the answer is requested as a stream.
    pub stream: bool,
    /// Idempotency key, if the request carries one.
    pub key: Option<String>,
    /// Plain service to call; `None` for a completion.
    pub service: Option<String>,
}

/// Iterator over the requests of a load by start time, which is a Poisson process.
#[derive(Debug)]
pub struct LoadSchedule {
    plan: LoadPlan,
    generator: ChaCha8Rng,
    run_tag: u64,
    elapsed_s: f64,
    number: u64,
}

impl LoadSchedule {
    /// Creates the schedule of `plan`; `run_tag` makes prompts and keys differ between runs.
    pub fn new(plan: &LoadPlan, run_tag: u64) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(plan.seed);
        Self { plan: plan.clone(), generator, run_tag, elapsed_s: 0.0, number: 0 }
    }

    fn prompt(&mut self) -> String {
        let number = self.number;
        let unique = format!("request {:016x}-{number}", self.run_tag);
        if self.plan.prefixes == 0 {
            return unique;
        }
        let prefix = self.generator.random_range(0..self.plan.prefixes);
        let line = format!("shared instructions number {prefix}; ");
        let repeats = self.plan.prefix_bytes.div_ceil(line.len());
        let mut prompt = line.repeat(repeats);
        prompt.truncate(self.plan.prefix_bytes);
        prompt.push_str(&unique);
        prompt
    }
}

impl Iterator for LoadSchedule {
    type Item = PlannedCall;

    fn next(&mut self) -> Option<PlannedCall> {
        let draw: f64 = self.generator.random();
        self.elapsed_s += -(1.0 - draw).ln() / self.plan.rate;
        let start = Duration::from_secs_f64(self.elapsed_s);
        if start >= self.plan.length {
            return None;
        }
        let prompt = self.prompt();
        let teams = self.plan.teams.len();
        let team = (teams > 0).then(|| self.generator.random_range(0..teams));
        let to_service = self.generator.random_bool(self.plan.service_share.clamp(0.0, 1.0));
        let stream = self.generator.random_bool(self.plan.stream_share.clamp(0.0, 1.0));
        let keyed = self.generator.random_bool(self.plan.keyed_share.clamp(0.0, 1.0));
        let key = keyed.then(|| format!("key-{:016x}-{}", self.run_tag, self.number));
        let service = self.plan.service.clone().filter(|_| to_service);
        self.number += 1;
        Some(PlannedCall {
            start,
            team: team.map(|index| self.plan.teams[index].clone()),
            prompt,
            stream: stream && service.is_none(),
            key,
            service,
        })
    }
}
