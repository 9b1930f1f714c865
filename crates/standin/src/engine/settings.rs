//! Settings of the stand-in engine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fault::FaultPlan;

/// Settings of a stand-in engine, with builder methods.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of a step, which generates one token for each running request.
    pub step: Duration,
    /// Maximum number of requests in the batch.
    pub batch: usize,
    /// Time added to a step for each prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Delay of cache events.
    pub event_delay: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Minimum age of a load report.
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Simulated load time of an order, in addition to the download of weights.
    pub load_time: Duration,
    /// Weight store that orders download from, if any.
    pub weights: Option<SocketAddr>,
    /// Initial fault plan.
    pub faults: FaultPlan,
    /// Prompt that crashes the whole process shortly after its request was submitted.
    pub fatal_prompt: Option<String>,
    /// Seed of the lost cache events.
    pub seed: u64,
}

impl EngineSettings {
    /// Creates default settings for an engine that listens on `listen`.
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

    /// Sets the duration of a step.
    #[must_use]
    pub fn step(mut self, step: Duration) -> Self {
        self.step = step;
        self
    }

    /// Sets the maximum number of requests in the batch.
    #[must_use]
    pub fn batch(mut self, batch: usize) -> Self {
        self.batch = batch;
        self
    }

    /// Sets the time that each prompt token that is not cached adds to a step.
    #[must_use]
    pub fn prefill_per_token(mut self, cost: Duration) -> Self {
        self.prefill_per_token = cost;
        self
    }

    /// Sets the capacity of the prefix cache, in blocks.
    #[must_use]
    pub fn cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Sets the delay of cache events and the share of them that is lost, from 0 to 1.
    #[must_use]
    pub fn cache_events(mut self, delay: Duration, loss: f64) -> Self {
        self.event_delay = delay;
        self.event_loss = loss;
        self
    }

    /// Sets the minimum age of a load report.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets whether orders with an outdated fencing number are refused.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the simulated load time of an order and the weight store to download from.
    #[must_use]
    pub fn loading(mut self, time: Duration, weights: Option<SocketAddr>) -> Self {
        self.load_time = time;
        self.weights = weights;
        self
    }

    /// Sets the initial fault plan.
    #[must_use]
    pub fn faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the prompt, or message of a chat, that crashes the process.
    #[must_use]
    pub fn fatal_prompt(mut self, prompt: Option<String>) -> Self {
        self.fatal_prompt = prompt;
        self
    }

    /// Sets the seed of the lost cache events.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
