//! What one run of load consists of.

use std::net::SocketAddr;
use std::time::Duration;

/// A run of load, built step by step.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Where requests go.
    pub address: SocketAddr,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are started.
    pub length: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Model asked for.
    pub model: String,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Teams that take turns by chance; no team is named when empty.
    pub teams: Vec<String>,
    /// Share of requests that ask for a stream.
    pub stream_share: f64,
    /// Share of requests with an `Idempotency-Key`.
    pub keyed_share: f64,
    /// Prompt prefixes shared among the requests.
    pub prefixes: u32,
    /// Bytes of each shared prefix.
    pub prefix_bytes: usize,
    /// Plain service that a share of the calls goes to.
    pub service: Option<String>,
    /// Share of calls to the plain service.
    pub service_share: f64,
    /// How long one answer is waited for.
    pub timeout: Duration,
    /// Requests open at one time; a request over this is counted and not sent.
    pub max_open: usize,
    /// Stand-ins whose run logs are compared with what callers were told.
    pub stand_ins: Vec<SocketAddr>,
}

impl LoadPlan {
    /// A run against `address`, with the defaults.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            rate: 50.0,
            length: Duration::from_secs(10),
            seed: 1,
            model: "desk".to_owned(),
            tokens: 16,
            teams: Vec::new(),
            stream_share: 0.5,
            keyed_share: 0.0,
            prefixes: 8,
            prefix_bytes: 512,
            service: None,
            service_share: 0.0,
            timeout: Duration::from_secs(60),
            max_open: 4000,
            stand_ins: Vec::new(),
        }
    }

    /// Sets requests a second and for how long.
    #[must_use]
    pub fn pace(mut self, rate: f64, length: Duration) -> Self {
        self.rate = rate;
        self.length = length;
        self
    }

    /// Sets the seed of the schedule.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the model and the tokens of each answer.
    #[must_use]
    pub fn model(mut self, model: &str, tokens: u32) -> Self {
        self.model = model.to_owned();
        self.tokens = tokens;
        self
    }

    /// Sets the teams.
    #[must_use]
    pub fn teams(mut self, teams: &[&str]) -> Self {
        self.teams = teams.iter().map(|team| (*team).to_owned()).collect();
        self
    }

    /// Sets the shares of streams and of keyed requests.
    #[must_use]
    pub fn shares(mut self, stream: f64, keyed: f64) -> Self {
        self.stream_share = stream;
        self.keyed_share = keyed;
        self
    }

    /// Sets how many prompt prefixes are shared, and their size.
    #[must_use]
    pub fn prefixes(mut self, prefixes: u32, bytes: usize) -> Self {
        self.prefixes = prefixes;
        self.prefix_bytes = bytes;
        self
    }

    /// Sends a share of the calls to a plain service.
    #[must_use]
    pub fn service(mut self, name: &str, share: f64) -> Self {
        self.service = Some(name.to_owned());
        self.service_share = share;
        self
    }

    /// Sets how long one answer is waited for, and how many may be open.
    #[must_use]
    pub fn bounds(mut self, timeout: Duration, max_open: usize) -> Self {
        self.timeout = timeout;
        self.max_open = max_open;
        self
    }

    /// Compares with the run logs of these stand-ins.
    #[must_use]
    pub fn stand_ins(mut self, addresses: &[SocketAddr]) -> Self {
        self.stand_ins = addresses.to_vec();
        self
    }
}
