//! Timing model of a serving engine, with the values that the deployment plan declares.

use std::time::Duration;

use briartray_model::plain_value;

/// Assumed context of a request in decode, in tokens, where the real one is not known.
const TYPICAL_CONTEXT_TOKENS: f64 = 1_000.0;

/// Fraction of the slots in decode when a group runs at its intended load.
const TYPICAL_DECODE_FRACTION: f64 = 0.75;

/// Factor on the longest gap of a healthy group, since hosts differ somewhat in speed.
const SILENCE_LIMIT_FACTOR: f64 = 1.2;

/// Allowance for the network path from the endpoint and for delays in a busy entry.
const SILENCE_LIMIT_MARGIN: Duration = Duration::from_millis(80);

plain_value! {
    /// A model that groups of hosts serve.
    pub struct ModelSpec {
        /// Its name.
        pub name: String,
        /// Hosts in one replica.
        pub size: usize,
        /// Fraction of the requested work, 0 to 1, that is assumed before demand is measured.
        pub share: f64,
        /// Factor on every duration of a group that serves this model.
        pub pace: f64,
        /// Time to load its weights from the weight store.
        pub load_time: Duration,
        /// Time for a host to join a group if the weights are already staged on it.
        pub warmup: Duration,
    }

    /// Capacity and timing of one replica of a service.
    pub struct EngineModel {
        /// Requests that it runs concurrently.
        pub slots: usize,
        /// Tokens that its KV cache holds.
        pub kv_tokens: u64,
        /// Decode steps between two scheduling points, at which the engine admits new work and
        /// sends events.
        pub stride: u32,
        /// Base duration of one decode step.
        pub step: Duration,
        /// Added to the duration of a step for each request in decode, in milliseconds.
        pub per_writer_ms: f64,
        /// Added to the duration of a step for each 1,000 tokens of context of a request in decode,
        /// in milliseconds.
        pub per_context_ms: f64,
        /// Prompt tokens that it prefills per second.
        pub read_rate: f64,
        /// Added to the prefill time for each million pairs of tokens (attention), in milliseconds.
        pub pairs_ms: f64,
        /// Largest number of prompt tokens that one step prefills.
        pub chunk: u32,
        /// Loads from the weight store that may start per second.
        pub loads_per_second: f64,
        /// Concurrent loads above which every load slows down.
        pub loads_at_once: usize,
        /// Time from the order to open a group until it serves.
        pub formation: Duration,
        /// Average length of a prompt, in tokens.
        pub usual_prompt: u32,
        /// Average length of an answer, in tokens.
        pub usual_answer: u32,
        /// Models that the service offers.
        pub models: Vec<ModelSpec>,
    }
}

impl EngineModel {
    /// Returns the model called `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the longest gap between two events of a healthy, full group that serves `model`: the
    /// steps between two scheduling points with all slots in decode, plus the prefill that fits
    /// into these steps.
    pub fn longest_event_gap(&self, model: &ModelSpec) -> Duration {
        let steps = self.stride_ms(self.slots as f64);
        let reading = f64::from(self.stride) * f64::from(self.chunk) / self.read_rate * 1e3;
        Duration::from_secs_f64((steps + reading) * model.pace / 1e3)
    }

    /// Returns the silence after which a group that serves `model` has most likely stopped.
    pub fn silence_limit(&self, model: &ModelSpec) -> Duration {
        self.longest_event_gap(model).mul_f64(SILENCE_LIMIT_FACTOR) + SILENCE_LIMIT_MARGIN
    }

    /// Returns the time of a whole group that one request takes, in milliseconds: its prefill, and
    /// its part of the decode steps with three quarters of the slots in decode.
    pub fn work_ms(&self, model: &ModelSpec, prompt: u32, answer: u32) -> f64 {
        let writers = self.slots as f64 * TYPICAL_DECODE_FRACTION;
        let events = self.events(answer);
        (self.prefill_ms(prompt) + events * self.stride_ms(writers) / writers) * model.pace
    }

    /// Returns the number of events in an answer of `tokens` tokens.
    pub fn events(&self, tokens: u32) -> f64 {
        f64::from(tokens) / f64::from(self.stride.max(1))
    }

    /// Returns the time between two scheduling points with `writers` requests in decode, in
    /// milliseconds, before the pace factor of the model.
    pub fn stride_ms(&self, writers: f64) -> f64 {
        f64::from(self.stride) * self.step_ms(writers, TYPICAL_CONTEXT_TOKENS)
    }

    /// Returns the time to prefill a prompt of `tokens` tokens, in milliseconds, before the pace
    /// factor of the model.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        let tokens = f64::from(tokens);
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_rate * 1e3 + pairs * self.pairs_ms
    }

    /// Returns the duration of one step with `writers` requests in decode that have `context`
    /// tokens each, in milliseconds, before the pace factor of the model.
    pub fn step_ms(&self, writers: f64, context: f64) -> f64 {
        let fixed = self.step.as_secs_f64() * 1e3;
        fixed + writers * (self.per_writer_ms + self.per_context_ms * context / 1e3)
    }
}
