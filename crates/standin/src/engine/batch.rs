//! Which requests take part in the next step: continuous batching with priorities.

/// A request that waits for a place in the batch.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WaitingRequest {
    number: u64,
    priority: u8,
    tokens: u32,
}

/// A request in the batch.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RunningRequest {
    number: u64,
    left: u32,
}

/// One token for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodedToken {
    /// Which request.
    pub number: u64,
    /// Whether it was the last token.
    pub last: bool,
}

/// What one step does.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchStep {
    /// Requests whose prompt is read in this step.
    pub started: Vec<u64>,
    /// Tokens that the step yields.
    pub decoded: Vec<DecodedToken>,
}

/// The batch and the requests that wait for it.
#[derive(Debug)]
pub struct BatchQueue {
    limit: usize,
    /// Highest priority first, then in order of arrival.
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningRequest>,
}

impl BatchQueue {
    /// An empty batch for `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), waiting: Vec::new(), running: Vec::new() }
    }

    /// Adds a request; `number` is its identity here.
    pub fn submit(&mut self, number: u64, priority: u8, tokens: u32) {
        let at = self.waiting.partition_point(|other| other.priority >= priority);
        self.waiting.insert(at, WaitingRequest { number, priority, tokens: tokens.max(1) });
    }

    /// Takes a request out; whether it was there.
    pub fn cancel(&mut self, number: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|request| request.number != number);
        self.running.retain(|request| request.number != number);
        before > self.waiting.len() + self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Fills the batch and decodes one token for each request in it.
    pub fn step(&mut self) -> BatchStep {
        let free = self.limit.saturating_sub(self.running.len()).min(self.waiting.len());
        let mut step = BatchStep::default();
        for request in self.waiting.drain(..free) {
            step.started.push(request.number);
            self.running.push(RunningRequest { number: request.number, left: request.tokens });
        }
        for request in &mut self.running {
            request.left -= 1;
            step.decoded.push(DecodedToken { number: request.number, last: request.left == 0 });
        }
        self.running.retain(|request| request.left > 0);
        step
    }
}
