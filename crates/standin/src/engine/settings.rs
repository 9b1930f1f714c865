//! What a stand-in engine is told.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fault::FaultPlan;

/// Settings of one stand-in engine, built step by step.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time of one step, which yields one token for each running request.
    pub step: Duration,
    /// Requests that one step can hold.
    pub batch: usize,
    /// Added to a step for each prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late cache events are published.
    pub event_delay: Duration,
    /// Share of cache events that are never published.
    pub event_loss: f64,
    /// How old a load report is.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time that an order to load takes.
    pub load_time: Duration,
    /// Weight store that orders to load read from.
    pub weights: Option<SocketAddr>,
    /// Faults from the start.
    pub faults: FaultPlan,
    /// Prompt of a request that ends the whole process a moment after it has begun to run.
    pub fatal_prompt: Option<String>,
    /// Seed of what is drawn by chance.
    pub seed: u64,
}

impl EngineSettings {
    /// An engine that listens on `listen`, with the defaults.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            step: Duration::from_millis(8),
            batch: 256,
            prefill_per_token: Duration::from_micros(20),
            cache_blocks: 4096,
            event_delay: Duration::from_millis(200),
            event_loss: 0.02,
            load_lag: Duration::from_millis(200),
            checks_fencing: false,
            load_time: Duration::from_millis(500),
            weights: None,
            faults: FaultPlan::default(),
            fatal_prompt: None,
            seed: 1,
        }
    }

    /// Sets the time of one step.
    #[must_use]
    pub fn step(mut self, step: Duration) -> Self {
        self.step = step;
        self
    }

    /// Sets how many requests one step can hold.
    #[must_use]
    pub fn batch(mut self, batch: usize) -> Self {
        self.batch = batch;
        self
    }

    /// Sets what each prompt token that is not cached adds to a step.
    #[must_use]
    pub fn prefill_per_token(mut self, cost: Duration) -> Self {
        self.prefill_per_token = cost;
        self
    }

    /// Sets how many blocks the prefix cache holds.
    #[must_use]
    pub fn cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Sets how late cache events come and what share of them never comes.
    #[must_use]
    pub fn cache_events(mut self, delay: Duration, loss: f64) -> Self {
        self.event_delay = delay;
        self.event_loss = loss;
        self
    }

    /// Sets how old a load report is.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the time of an order to load, and the weight store it reads from.
    #[must_use]
    pub fn loading(mut self, time: Duration, weights: Option<SocketAddr>) -> Self {
        self.load_time = time;
        self.weights = weights;
        self
    }

    /// Sets the faults from the start.
    #[must_use]
    pub fn faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the prompt that ends the process.
    #[must_use]
    pub fn fatal_prompt(mut self, prompt: Option<String>) -> Self {
        self.fatal_prompt = prompt;
        self
    }

    /// Sets the seed of what is drawn by chance.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
