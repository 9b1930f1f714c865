//! Settings of a load.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a load, with builder methods.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are started.
    pub length: Duration,
    /// Seed of the schedule.
    pub seed: u64,
    /// Requested model.
    pub model: String,
    /// Number of tokens of each answer.
    pub tokens: u32,
    /// Teams to choose from at random; if empty, requests carry no team.
    pub teams: Vec<String>,
    /// Share of completions that request a stream, from 0 to 1.
    pub stream_share: f64,
    /// Share of requests with an `Idempotency-Key`, from 0 to 1.
    pub keyed_share: f64,
    /// Number of prompt prefixes shared among the requests.
    pub prefixes: u32,
    /// Size of each shared prefix, in bytes.
    pub prefix_bytes: usize,
    /// Plain service that `service_share` of the requests call.
    pub service: Option<String>,
    /// Share of requests to the plain service, from 0 to 1.
    pub service_share: f64,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Maximum number of open requests; requests above it are counted but not sent.
    pub max_open: usize,
    /// Stand-ins whose run logs are compared with the outcomes that callers got.
    pub stand_ins: Vec<SocketAddr>,
}

impl LoadPlan {
    /// Creates the default settings for a load on `address`.
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

    /// Sets the number of requests per second and the time during which they start.
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

    /// Sets the model and the number of tokens of each answer.
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

    /// Sets the shares of streams and of requests with an idempotency key, from 0 to 1.
    #[must_use]
    pub fn shares(mut self, stream: f64, keyed: f64) -> Self {
        self.stream_share = stream;
        self.keyed_share = keyed;
        self
    }

    /// Sets the number of shared prompt prefixes and their size in bytes.
    #[must_use]
    pub fn prefixes(mut self, prefixes: u32, bytes: usize) -> Self {
        self.prefixes = prefixes;
        self.prefix_bytes = bytes;
        self
    }

    /// Sends a share of the requests (0 to 1) to the plain service `name`.
    #[must_use]
    pub fn service(mut self, name: &str, share: f64) -> Self {
        self.service = Some(name.to_owned());
        self.service_share = share;
        self
    }

    /// Sets the timeout of a request and the maximum number of open requests.
    #[must_use]
    pub fn bounds(mut self, timeout: Duration, max_open: usize) -> Self {
        self.timeout = timeout;
        self.max_open = max_open;
        self
    }

    /// Sets the stand-ins whose run logs are compared with the outcomes.
    #[must_use]
    pub fn stand_ins(mut self, addresses: &[SocketAddr]) -> Self {
        self.stand_ins = addresses.to_vec();
        self
    }
}
