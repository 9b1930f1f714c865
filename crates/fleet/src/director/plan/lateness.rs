//! Split of the hosts between models that costs callers least, by the published engine model.
//!
//! Load pattern: two models share one pool of hosts, one of them with long prompts and large
//! groups. With equal utilization, most answers of that model are late and few of the other one. A
//! group reads prompts between two events of all its streams, so a few long prompts that arrive
//! together delay all streams. That is more frequent the more prompts arrive during one pass, and a
//! group of the other model reads four prompts in the time of one.

use crate::deployment::{EngineModel, ModelSpec, first_token_late};
use crate::message::WorkSum;

/// Fraction of the slots that write in a group at its average capacity: up to there entries find
/// room among many groups, beyond it they refuse requests.
const MAX_SLOT_USE: f64 = 0.9;

/// Cost of a late answer relative to a refused request: a late answer still has a quarter of its
/// value.
const LATE_COST: f64 = 0.75;

/// Number of groups of each model that `hosts` make with the least cost to callers; `None` without
/// demand.
///
/// Hosts are assigned one group at a time, to the model in which one more group saves the most cost
/// for each host. Models with fewer groups than their work keeps busy come first, so that answers of
/// one model do not get sooner at the price of refused callers of another one.
pub(super) fn split_hosts(
    engine: &EngineModel,
    demand: &[WorkSum],
    hosts: f64,
) -> Option<Vec<f64>> {
    if demand.iter().all(|model_demand| model_demand.requests <= 0.0) {
        return None;
    }
    let models: Vec<(&ModelSpec, &WorkSum)> = engine.models.iter().zip(demand).collect();
    let mut groups = vec![1.0; models.len()];
    let used: usize = engine.models.iter().map(|model| model.size).sum();
    let mut left = hosts - used as f64;
    loop {
        let gain = |(index, (model, model_demand)): (usize, &(&ModelSpec, &WorkSum))| {
            let (now, more) = (groups[index], groups[index] + 1.0);
            let saved = caller_cost(engine, model, model_demand, now)
                - caller_cost(engine, model, model_demand, more);
            let lacks_work = now < model_demand.work_ms / 1e3;
            (model.size as f64 <= left).then_some((lacks_work, saved / model.size as f64, index))
        };
        let gains = models.iter().enumerate().filter_map(gain);
        let best = gains.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((_, _, best)) = best else { break };
        groups[best] += 1.0;
        left -= models[best].0.size as f64;
    }
    Some(groups)
}

/// Cost to the callers of `model` when `groups` of it share the demand: the hosts that they ask for
/// times the square of the part of their requests that is lost.
///
/// The square spreads losses over the models, each by its claim to hosts. With the sum of lost
/// requests, a model whose groups are large is given up: its hosts save a few late answers of a model
/// with many callers, while half of its own callers are refused.
fn caller_cost(
    engine: &EngineModel,
    model: &ModelSpec,
    model_demand: &WorkSum,
    groups: f64,
) -> f64 {
    if model_demand.requests <= 0.0 {
        return 0.0;
    }
    let most = groups * capacity(engine, model, model_demand);
    let served = model_demand.requests.min(most);
    let late = late_fraction(engine, model, model_demand, served / groups);
    let lost = (model_demand.requests - served) + served * late * LATE_COST;
    let lost_part = lost / model_demand.requests;
    let hosts = model_demand.work_ms / 1e3 * model.size as f64;
    hosts * lost_part * lost_part
}

/// Requests per second that one group answers at its average capacity.
fn capacity(engine: &EngineModel, model: &ModelSpec, model_demand: &WorkSum) -> f64 {
    let writers = engine.slots as f64 * MAX_SLOT_USE;
    let each = model_demand.times(1.0 / model_demand.requests);
    1e3 / (each.reading_ms + each.events * engine.stride_ms(writers) * model.pace / writers)
}

/// Fraction of late answers in a group that takes `rate` requests per second.
fn late_fraction(
    engine: &EngineModel,
    model: &ModelSpec,
    model_demand: &WorkSum,
    rate: f64,
) -> f64 {
    let each = model_demand.times(1.0 / model_demand.requests);
    let rate = rate / 1e3;
    // A pass of w writers takes base + slope w besides its reading. The number of writers is such
    // that events come as fast as they are requested: w = pass rate events.
    let base = engine.stride_ms(0.0) * model.pace;
    let slope = engine.stride_ms(1.0) * model.pace - base;
    let idle = 1.0 - rate * (each.reading_ms + each.events * slope);
    let pass = base / idle.max(f64::EPSILON);
    let writing = base + slope * pass * rate * each.events;
    let first = first_token_late(each.target_ms, pass);
    let gap = gap_late(&each, writing, pass * rate * each.reading_ms);
    1.0 - (1.0 - first) * (1.0 - gap)
}

/// Probability that one of the passes of an answer takes longer than the longest allowed gap. A
/// pass writes for `writing` milliseconds and reads new prompts for `reading` on average.
///
/// The reading in one pass is the sum of a few prompts of very different lengths. Its tail falls
/// off exponentially, more slowly the more the longest prompts weigh.
fn gap_late(each: &WorkSum, writing: f64, reading: f64) -> f64 {
    if each.reading_ms <= 0.0 {
        return 0.0;
    }
    let scale = (each.reading_squares / each.reading_ms).max(f64::EPSILON);
    let frequency = (reading / scale).min(1.0);
    let exceeding = frequency * (-(each.gap_ms - writing).max(0.0) / scale).exp();
    1.0 - (1.0 - exceeding).powf(each.events)
}
