//! When each request starts and what it asks, drawn from a seed alone.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan::LoadPlan;

/// One request to come.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedCall {
    /// When it starts, from the start of the run.
    pub start: Duration,
    /// Team, if one is named.
    pub team: Option<String>,
    /// Prompt, or body for a plain service; no two are equal.
    pub prompt: String,
    /// Whether a stream is asked for.
    pub stream: bool,
    /// `Idempotency-Key`, if the call has one.
    pub key: Option<String>,
    /// Plain service, if the call goes to one.
    pub service: Option<String>,
}

/// Draws the requests of one run in order of their start: a Poisson process.
#[derive(Debug)]
pub struct LoadSchedule {
    plan: LoadPlan,
    generator: ChaCha8Rng,
    tag: u64,
    time: f64,
    number: u64,
}

impl LoadSchedule {
    /// The schedule of `plan`; `tag` keeps the prompts of two runs apart.
    pub fn new(plan: &LoadPlan, tag: u64) -> Self {
        let generator = ChaCha8Rng::seed_from_u64(plan.seed);
        Self { plan: plan.clone(), generator, tag, time: 0.0, number: 0 }
    }

    fn prompt(&mut self) -> String {
        let number = self.number;
        let unique = format!("request {:016x}-{number}", self.tag);
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
        self.time += -(1.0 - draw).ln() / self.plan.rate;
        let start = Duration::from_secs_f64(self.time);
        if start >= self.plan.length {
            return None;
        }
        let prompt = self.prompt();
        let teams = self.plan.teams.len();
        let team = (teams > 0).then(|| self.generator.random_range(0..teams));
        let plain = self.generator.random_bool(self.plan.service_share.clamp(0.0, 1.0));
        let stream = self.generator.random_bool(self.plan.stream_share.clamp(0.0, 1.0));
        let keyed = self.generator.random_bool(self.plan.keyed_share.clamp(0.0, 1.0));
        let key = keyed.then(|| format!("key-{:016x}-{}", self.tag, self.number));
        let service = self.plan.service.clone().filter(|_| plain);
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
