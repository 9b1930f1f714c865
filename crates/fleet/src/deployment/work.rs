//! Work that requests ask of a group, and the latency that follows from it, by the engine model.
//!
//! A group alternates between decode steps and prefill. Between two events of its streams, one pass
//! decodes `stride` tokens for each of them and prefills the prompts that wait. A new request gets
//! its first event after the rest of the current pass and the pass that prefills its prompt.

use std::time::Duration;

use briartray_model::plain_value;

use super::{EngineModel, ModelSpec};

/// Passes until the first token of an answer: the rest of the current one, the one that prefills the
/// prompt and writes the first event, and the prompts of other requests in both.
pub const FIRST_TOKEN_PASSES: f64 = 2.2;

/// Time to the first token besides its passes, in milliseconds: connecting, and engine work before
/// prefill, which the engine does not publish.
pub const FIRST_TOKEN_FIXED_MS: f64 = 110.0;

/// Spread of the time to the first token, as the standard deviation of its logarithm.
const FIRST_TOKEN_SPREAD: f64 = 0.25;

plain_value! {
    /// Work of one request on a group, in times of the group.
    #[derive(Copy, Default)]
    pub struct RequestWork {
        /// Time to prefill the prompt, in milliseconds.
        pub reading_ms: f64,
        /// Expected number of events of the answer.
        pub events: f64,
        /// Time of a whole group that the request takes, in milliseconds: its prefill, and its part
        /// of the decode steps.
        pub group_ms: f64,
    }
}

impl EngineModel {
    /// Returns the work of a request for `model` with `prompt` tokens and an expected answer of
    /// `answer` tokens.
    pub fn request_work(&self, model: &ModelSpec, prompt: u32, answer: u32) -> RequestWork {
        RequestWork {
            reading_ms: self.prefill_ms(prompt) * model.pace,
            events: self.events(answer),
            group_ms: self.work_ms(model, prompt, answer),
        }
    }

    /// Returns the work of a request for `model` with the declared average token counts.
    pub fn usual_work(&self, model: &ModelSpec) -> RequestWork {
        self.request_work(model, self.usual_prompt, self.usual_answer)
    }

    /// Returns the time between two events of a group that serves `model`, in milliseconds, with
    /// `writers` requests in decode and `reading_ms` milliseconds of prefill in between.
    pub fn pass_ms(&self, model: &ModelSpec, writers: f64, reading_ms: f64) -> f64 {
        self.stride_ms(writers) * model.pace + reading_ms
    }

    /// Returns the time between two events of a group that serves `model` with all slots in use, in
    /// milliseconds, when requests of the usual size arrive as fast as others complete.
    pub fn full_pass_ms(&self, model: &ModelSpec) -> f64 {
        let work = self.usual_work(model);
        let slots = self.slots as f64;
        let arrivals = slots / work.events.max(1.0);
        self.pass_ms(model, slots, arrivals * work.reading_ms)
    }

    /// Returns the fraction of first events that miss `target` on a group with all slots in use that
    /// serves `model`.
    pub fn late_fraction_when_full(&self, model: &ModelSpec, target: Duration) -> f64 {
        first_token_late(target.as_secs_f64() * 1e3, self.full_pass_ms(model))
    }
}

/// Returns the median time to the first token, in milliseconds, when a pass takes `pass_ms`
/// milliseconds.
pub fn first_token_ms(pass_ms: f64) -> f64 {
    FIRST_TOKEN_FIXED_MS + FIRST_TOKEN_PASSES * pass_ms
}

/// Returns the probability that the first token comes later than `target_ms` milliseconds when a
/// pass takes `pass_ms` milliseconds.
pub fn first_token_late(target_ms: f64, pass_ms: f64) -> f64 {
    normal_tail((target_ms / first_token_ms(pass_ms)).ln() / FIRST_TOKEN_SPREAD)
}

/// Probability that a standard normal value exceeds `z`, by a logistic curve: within 0.01 of it.
fn normal_tail(z: f64) -> f64 {
    const STEEPNESS: f64 = 1.702;
    1.0 / (1.0 + (STEEPNESS * z).exp())
}
