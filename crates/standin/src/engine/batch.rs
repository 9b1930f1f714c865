//! Continuous batching with priorities: selects the requests of each step.

/// A request waiting for a slot in the batch.
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
    tokens_left: u32,
}

/// A token generated for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodedToken {
    /// Number of the request.
    pub number: u64,
    /// Whether it is the last token of the request.
    pub last: bool,
}

/// Result of one step.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchStep {
    /// Numbers of the requests that entered the batch and need their prompt prefilled.
    pub started: Vec<u64>,
    /// Tokens generated in the step.
    pub decoded: Vec<DecodedToken>,
}

/// The batch and the queue of requests waiting for it.
#[derive(Debug)]
pub struct BatchQueue {
    max_running: usize,
    /// By descending priority, then by arrival.
    waiting: Vec<WaitingRequest>,
    running: Vec<RunningRequest>,
}

impl BatchQueue {
    /// Creates an empty batch for up to `max_running` requests, at least one.
    pub fn new(max_running: usize) -> Self {
        Self { max_running: max_running.max(1), waiting: Vec::new(), running: Vec::new() }
    }

    /// Queues a request for `tokens` tokens, at least one; `number` must be unique.
    pub fn submit(&mut self, number: u64, priority: u8, tokens: u32) {
        let at = self.waiting.partition_point(|other| other.priority >= priority);
        self.waiting.insert(at, WaitingRequest { number, priority, tokens: tokens.max(1) });
    }

    /// Removes a request; returns whether it was waiting or running.
    pub fn cancel(&mut self, number: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|request| request.number != number);
        self.running.retain(|request| request.number != number);
        before > self.waiting.len() + self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Fills free slots from the queue and generates one token for each request in the batch.
    pub fn step(&mut self) -> BatchStep {
        let free = self.max_running.saturating_sub(self.running.len()).min(self.waiting.len());
        let mut step = BatchStep::default();
        for request in self.waiting.drain(..free) {
            step.started.push(request.number);
            self.running
                .push(RunningRequest { number: request.number, tokens_left: request.tokens });
        }
        for request in &mut self.running {
            request.tokens_left -= 1;
            step.decoded
                .push(DecodedToken { number: request.number, last: request.tokens_left == 0 });
        }
        self.running.retain(|request| request.tokens_left > 0);
        step
    }
}
