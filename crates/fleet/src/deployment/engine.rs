//! The published model of an engine: how long its work takes.

use std::time::Duration;

use briartray_model::plain_value;

/// Context of a request that writes, in tokens, where nothing better is known.
const USUAL_CONTEXT: f64 = 1_000.0;

/// Part of the slots that write in a group that is as busy as it should be.
const BUSY_SLOTS: f64 = 0.75;

/// Factor on the longest pause of a group that works: hosts differ somewhat in speed.
const SILENCE_FACTOR: f64 = 1.2;

/// Time for the way from the endpoint and for an entry that is busy.
const SILENCE_SLACK: Duration = Duration::from_millis(80);

plain_value! {
    /// A model that groups of hosts serve.
    pub struct ModelSpec {
        /// Its name.
        pub name: String,
        /// Hosts that make one replica.
        pub size: usize,
        /// Its part of the work at the start, 0 to 1.
        pub share: f64,
        /// Factor on every time of a group that serves it.
        pub pace: f64,
        /// Time to load its weights from the store.
        pub load_time: Duration,
        /// Time to join where its weights are staged.
        pub warmup: Duration,
    }

    /// How one replica of a service works.
    pub struct EngineModel {
        /// Requests it runs at one time.
        pub slots: usize,
        /// Tokens its KV cache holds.
        pub kv_tokens: u64,
        /// Steps between two looks for new work while it writes.
        pub stride: u32,
        /// Time of one step.
        pub step: Duration,
        /// Added time of a step for each request that writes, in milliseconds.
        pub per_writer_ms: f64,
        /// Added time of a step for 1,000 tokens of context of each writer, in milliseconds.
        pub per_context_ms: f64,
        /// Prompt tokens it reads in a second.
        pub read_rate: f64,
        /// Added reading time for a million pairs of tokens, in milliseconds.
        pub pairs_ms: f64,
        /// Prompt tokens read in one step at the most.
        pub chunk: u32,
        /// Loads from the weight store that may begin in a second.
        pub loads_per_second: f64,
        /// Loads beyond which each of them slows down.
        pub loads_at_once: usize,
        /// Time from an order to open until the group serves.
        pub formation: Duration,
        /// Tokens of an answer, on average.
        pub usual_answer: u32,
        /// The models.
        pub models: Vec<ModelSpec>,
    }
}

impl EngineModel {
    /// The model called `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Longest pause between two events of a group that serves `model`, works and is full: a pass
    /// of steps with every slot writing, and as much reading as fits in.
    pub fn longest_pause(&self, model: &ModelSpec) -> Duration {
        let steps = self.pass_ms(self.slots as f64);
        let reading = f64::from(self.stride) * f64::from(self.chunk) / self.read_rate * 1e3;
        Duration::from_secs_f64((steps + reading) * model.pace / 1e3)
    }

    /// Silence after which a group that serves `model` most likely stands still.
    pub fn silence_limit(&self, model: &ModelSpec) -> Duration {
        self.longest_pause(model).mul_f64(SILENCE_FACTOR) + SILENCE_SLACK
    }

    /// Time of a whole group that one request takes, in milliseconds: its reading, and its part of
    /// the passes that write its answer while three quarters of the slots write.
    pub fn work_ms(&self, model: &ModelSpec, prompt: u32, answer: u32) -> f64 {
        let writers = self.slots as f64 * BUSY_SLOTS;
        let events = self.events(answer);
        (self.read_ms(prompt) + events * self.pass_ms(writers) / writers) * model.pace
    }

    /// Events of an answer of `tokens`.
    pub fn events(&self, tokens: u32) -> f64 {
        f64::from(tokens) / f64::from(self.stride.max(1))
    }

    /// Time of the steps between two looks for new work with `writers` requests, before the model's
    /// pace, in milliseconds.
    pub fn pass_ms(&self, writers: f64) -> f64 {
        f64::from(self.stride) * self.step_ms(writers, USUAL_CONTEXT)
    }

    /// Time to read a prompt of `tokens`, before the model's pace, in milliseconds.
    pub fn read_ms(&self, tokens: u32) -> f64 {
        let tokens = f64::from(tokens);
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_rate * 1e3 + pairs * self.pairs_ms
    }

    /// Time of one step with `writers` requests of `context` tokens each, before the pace, in
    /// milliseconds.
    pub fn step_ms(&self, writers: f64, context: f64) -> f64 {
        let fixed = self.step.as_secs_f64() * 1e3;
        fixed + writers * (self.per_writer_ms + self.per_context_ms * context / 1e3)
    }
}
