//! Which split of the hosts serves the fewest callers late, by the published engine.
//!
//! Load pattern: two models share one pool of hosts, one of them with long prompts and large groups.
//! Where both are kept equally busy, most of its callers are late and few of the other model's. Equally
//! busy is not equally late. A group reads prompts between two events of all its
//! streams, so a few long ones that come together hold up everybody; that happens more often the more
//! prompts come in one pass, and a group of the other model reads four of them in the time of one.

use crate::deployment::{EngineModel, ModelSpec};
use crate::message::WorkSum;

/// Passes until the first part of an answer is there: the rest of the one under way, the one that
/// reads the prompt and writes its first event, and the prompts of others in both.
const FIRST_PASSES: f64 = 2.2;

/// Time to the first part beside its passes, in milliseconds: connecting, and what the engine does before
/// it reads, which it does not publish.
const FIRST_FIXED_MS: f64 = 110.0;

/// Spread of the time to the first part, as the standard deviation of its logarithm.
const FIRST_SPREAD: f64 = 0.25;

/// Part of the slots that write in a group that is as full as it may be on average: entries find room
/// among many groups up to there, and refuse beyond.
const FULL_SLOTS: f64 = 0.9;

/// Harm of a late answer against one that is refused: late ones earn their callers a quarter.
const LATE_HARM: f64 = 0.75;

/// Groups of each model that `hosts` make with the least harm to callers; `None` where nobody asks.
///
/// Hosts are given away one group at a time, to the model in which one more saves the most harm for
/// each host.
pub(super) fn split(engine: &EngineModel, demand: &[WorkSum], hosts: f64) -> Option<Vec<f64>> {
    if demand.iter().all(|asked| asked.requests <= 0.0) {
        return None;
    }
    let models: Vec<(&ModelSpec, &WorkSum)> = engine.models.iter().zip(demand).collect();
    let mut groups = vec![1.0; models.len()];
    let used: usize = engine.models.iter().map(|model| model.size).sum();
    let mut left = hosts - used as f64;
    loop {
        let gain = |(index, (model, asked)): (usize, &(&ModelSpec, &WorkSum))| {
            let (now, more) = (groups[index], groups[index] + 1.0);
            let saved = harm(engine, model, asked, now) - harm(engine, model, asked, more);
            (model.size as f64 <= left).then_some((saved / model.size as f64, index))
        };
        let gains = models.iter().enumerate().filter_map(gain);
        let Some((_, best)) = gains.max_by(|a, b| a.0.total_cmp(&b.0)) else { break };
        groups[best] += 1.0;
        left -= models[best].0.size as f64;
    }
    Some(groups)
}

/// Harm to the callers of `model` in a second while `groups` of it share what they ask for, in
/// refused requests.
fn harm(engine: &EngineModel, model: &ModelSpec, asked: &WorkSum, groups: f64) -> f64 {
    if asked.requests <= 0.0 {
        return 0.0;
    }
    let most = groups * capacity(engine, model, asked);
    let served = asked.requests.min(most);
    let late = late_part(engine, model, asked, served / groups);
    (asked.requests - served) + served * late * LATE_HARM
}

/// Requests that one group answers in a second while it is as full as it may be.
fn capacity(engine: &EngineModel, model: &ModelSpec, asked: &WorkSum) -> f64 {
    let writers = engine.slots as f64 * FULL_SLOTS;
    let each = asked.times(1.0 / asked.requests);
    1e3 / (each.reading_ms + each.events * engine.pass_ms(writers) * model.pace / writers)
}

/// Part of the answers that are late in a group that takes `rate` requests a second.
fn late_part(engine: &EngineModel, model: &ModelSpec, asked: &WorkSum, rate: f64) -> f64 {
    let each = asked.times(1.0 / asked.requests);
    let rate = rate / 1e3;
    // A pass of w writers takes still + slope w beside its reading, and the writers are those whose
    // events come as fast as they are asked for: w = pass rate events.
    let still = engine.pass_ms(0.0) * model.pace;
    let slope = engine.pass_ms(1.0) * model.pace - still;
    let free = 1.0 - rate * (each.reading_ms + each.events * slope);
    let pass = still / free.max(f64::EPSILON);
    let writing = still + slope * pass * rate * each.events;
    let first = first_late(&each, pass);
    let pause = pause_late(&each, writing, pass * rate * each.reading_ms);
    1.0 - (1.0 - first) * (1.0 - pause)
}

/// Probability that the first part comes after its target where a pass takes `pass` milliseconds.
fn first_late(each: &WorkSum, pass: f64) -> f64 {
    let median = FIRST_FIXED_MS + FIRST_PASSES * pass;
    exceeds((each.target_ms / median).ln() / FIRST_SPREAD)
}

/// Probability that one of the passes of an answer takes longer than the longest pause: beside
/// `writing` milliseconds it reads what came, `reading` on average.
///
/// What is read in one pass is a sum of few prompts that differ much. Its tail falls off
/// exponentially, the slower the more the longest prompts weigh.
fn pause_late(each: &WorkSum, writing: f64, reading: f64) -> f64 {
    if each.reading_ms <= 0.0 {
        return 0.0;
    }
    let scale = (each.reading_squares / each.reading_ms).max(f64::EPSILON);
    let often = (reading / scale).min(1.0);
    let long = often * (-(each.gap_ms - writing).max(0.0) / scale).exp();
    1.0 - (1.0 - long).powf(each.events)
}

/// Probability that a normally distributed value exceeds `z`, by a logistic curve: within 0.01 of it.
fn exceeds(z: f64) -> f64 {
    const STEEPNESS: f64 = 1.702;
    1.0 / (1.0 + (STEEPNESS * z).exp())
}
