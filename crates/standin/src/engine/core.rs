//! The engine thread, which runs the batch step by step, and the state it shares with the API.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briartray_model::{SortedTable, plain_value};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};

use super::batch::BatchQueue;
use super::cache::PrefixCache;
use super::orders::OrderBook;
use super::settings::EngineSettings;
use super::tracked::{RequestEnd, TrackedRequest};
use crate::fault::FaultInjector;
use crate::runs::{RunLog, RunState};

/// Time that the idle thread waits for an input before it publishes its load again.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of requests that can be looked up by id, to resume or cancel them.
const MAX_TRACKED_REQUESTS: usize = 16_384;

/// Maximum number of load reports kept; `load_lag` is served from them.
const MAX_LOAD_REPORTS: usize = 1024;

/// Minimum time between two load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(10);

plain_value! {
    /// Load report of the engine.
    #[derive(Copy, Default)]
    pub struct EngineLoad {
        /// Requests in the batch.
        pub running: usize,
        /// Requests waiting for the batch.
        pub waiting: usize,
        /// Blocks in the prefix cache.
        pub cached_blocks: usize,
        /// Duration of the last step, in microseconds; zero when idle.
        pub step_micros: u64,
        /// Age of this report, in milliseconds.
        pub age_ms: u64,
    }
}

/// Message to the engine thread; `Cancel` contains the request number.
pub(super) enum EngineInput {
    Submit(Arc<TrackedRequest>),
    Cancel(u64),
    Stop,
}

/// State shared by the engine thread and the HTTP handlers.
pub(super) struct EngineShared {
    pub(super) settings: EngineSettings,
    pub(super) runs: RunLog,
    pub(super) faults: FaultInjector,
    inputs: Sender<EngineInput>,
    started: Instant,
    cache: Mutex<PrefixCache>,
    orders: Mutex<OrderBook>,
    requests: Mutex<RequestTable>,
    reports: Mutex<Vec<(Duration, EngineLoad)>>,
}

/// Requests by number, and for each id the number of its newest request.
#[derive(Default)]
struct RequestTable {
    last_number: u64,
    requests: SortedTable<u64, Arc<TrackedRequest>>,
    number_by_id: SortedTable<String, u64>,
}

impl EngineShared {
    /// Starts the engine thread.
    pub(super) fn start(settings: EngineSettings) -> std::io::Result<Arc<Self>> {
        let (inputs, queue) = unbounded();
        let cache = PrefixCache::new(
            settings.cache_blocks,
            settings.event_delay,
            settings.event_loss,
            settings.seed,
        );
        let shared = Arc::new(Self {
            runs: RunLog::default(),
            faults: FaultInjector::new(&settings.faults),
            inputs,
            started: Instant::now(),
            cache: Mutex::new(cache),
            orders: Mutex::new(OrderBook::new(settings.checks_fencing)),
            requests: Mutex::default(),
            reports: Mutex::default(),
            settings,
        });
        let core = EngineCore::new(Arc::clone(&shared));
        spawn_worker("engine", WORKER_STACK_BYTES, move || core.run(&queue))?;
        Ok(shared)
    }

    /// Returns the time since the engine started.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn orders(&self) -> MutexGuard<'_, OrderBook> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits a request to the engine thread; `configure` sets the options of the call.
    pub(super) fn submit(
        &self,
        id: &str,
        prompt: &str,
        run: u64,
        configure: impl FnOnce(&mut TrackedRequest),
    ) -> Arc<TrackedRequest> {
        let mut table = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        table.last_number += 1;
        let mut tracked = TrackedRequest::new(table.last_number, run, id, prompt);
        configure(&mut tracked);
        let tracked = Arc::new(tracked);
        table.requests.insert(tracked.number, Arc::clone(&tracked));
        table.number_by_id.insert(id.to_owned(), tracked.number);
        table.evict_oldest();
        drop(table);
        if self.inputs.send(EngineInput::Submit(Arc::clone(&tracked))).is_err() {
            tracked.finish(RequestEnd::Stopped);
        }
        tracked
    }

    /// Returns the newest request with this id.
    pub(super) fn find(&self, id: &str) -> Option<Arc<TrackedRequest>> {
        let table = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let number = table.number_by_id.get(&id.to_owned())?;
        table.requests.get(number).cloned()
    }

    pub(super) fn cancel(&self, number: u64) {
        let _ = self.inputs.send(EngineInput::Cancel(number));
    }

    pub(super) fn stop(&self) {
        let _ = self.inputs.send(EngineInput::Stop);
    }

    /// Returns the newest load report that is at least `load_lag` old, or an empty one.
    pub(super) fn load(&self) -> EngineLoad {
        let now = self.now();
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let is_reportable = |(at, _): &&(Duration, EngineLoad)| *at + self.settings.load_lag <= now;
        let found = reports.iter().rev().find(is_reportable);
        found.map_or_else(EngineLoad::default, |(at, load)| {
            let age_ms = u64::try_from((now - *at).as_millis()).unwrap_or(u64::MAX);
            EngineLoad { age_ms, ..*load }
        })
    }

    fn report(&self, now: Duration, load: EngineLoad) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.last().is_some_and(|(at, _)| now < *at + LOAD_REPORT_INTERVAL) {
            return;
        }
        if reports.len() >= MAX_LOAD_REPORTS {
            reports.drain(..MAX_LOAD_REPORTS / 2);
        }
        reports.push((now, load));
    }
}

impl RequestTable {
    fn evict_oldest(&mut self) {
        if self.requests.len() <= MAX_TRACKED_REQUESTS {
            return;
        }
        let oldest = self.requests.keys().next().copied();
        let Some(tracked) = oldest.and_then(|number| self.requests.remove(&number)) else { return };
        if self.number_by_id.get(&tracked.id) == Some(&tracked.number) {
            self.number_by_id.remove(&tracked.id);
        }
    }
}

/// The batch and all open requests; owned by the engine thread.
struct EngineCore {
    shared: Arc<EngineShared>,
    queue: BatchQueue,
    open: SortedTable<u64, Arc<TrackedRequest>>,
}

impl EngineCore {
    fn new(shared: Arc<EngineShared>) -> Self {
        let queue = BatchQueue::new(shared.settings.batch);
        Self { shared, queue, open: SortedTable::new() }
    }

    fn run(mut self, inputs: &Receiver<EngineInput>) {
        loop {
            if !self.receive_inputs(inputs) {
                break;
            }
            if self.open.is_empty() {
                self.report(Duration::ZERO);
            } else {
                self.step();
            }
        }
        for input in inputs.try_iter() {
            let _ = self.process(input);
        }
        for tracked in self.open.values() {
            tracked.finish(RequestEnd::Stopped);
        }
    }

    /// Processes pending inputs, and waits for one only if idle; returns `false` on a stop.
    fn receive_inputs(&mut self, inputs: &Receiver<EngineInput>) -> bool {
        if self.open.is_empty() {
            match inputs.recv_timeout(IDLE_POLL_INTERVAL) {
                Ok(input) => {
                    if !self.process(input) {
                        return false;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
        for input in inputs.try_iter() {
            if !self.process(input) {
                return false;
            }
        }
        true
    }

    fn process(&mut self, input: EngineInput) -> bool {
        match input {
            EngineInput::Submit(tracked) => {
                self.queue.submit(tracked.number, tracked.priority, tracked.tokens);
                self.open.insert(tracked.number, tracked);
            }
            EngineInput::Cancel(number) => {
                if self.queue.cancel(number) {
                    self.close(number, RequestEnd::Cancelled);
                }
            }
            EngineInput::Stop => return false,
        }
        true
    }

    /// Runs one step: prefills new prompts, sleeps for the step time and emits the tokens.
    fn step(&mut self) {
        let step_start = Instant::now();
        let step = self.queue.step();
        let now = self.shared.now();
        let mut uncached_tokens = 0;
        for number in &step.started {
            if let Some(tracked) = self.open.get(number) {
                uncached_tokens += self.shared.cache().read_prompt(now, &tracked.prompt);
            }
        }
        let settings = &self.shared.settings;
        let prefill =
            settings.prefill_per_token * u32::try_from(uncached_tokens).unwrap_or(u32::MAX);
        std::thread::sleep(settings.step + prefill);
        for token in &step.decoded {
            if let Some(tracked) = self.open.get(&token.number) {
                tracked.add_token();
            }
            if token.last {
                self.close(token.number, RequestEnd::Whole);
            }
        }
        self.report(step_start.elapsed());
    }

    fn close(&mut self, number: u64, end: RequestEnd) {
        let Some(tracked) = self.open.remove(&number) else { return };
        let state = if end == RequestEnd::Whole { RunState::Finished } else { RunState::Cancelled };
        self.shared.runs.end(tracked.run, state);
        tracked.finish(end);
    }

    fn report(&self, step: Duration) {
        let load = EngineLoad {
            running: self.queue.running(),
            waiting: self.queue.waiting(),
            cached_blocks: self.shared.cache().len(),
            step_micros: u64::try_from(step.as_micros()).unwrap_or(u64::MAX),
            age_ms: 0,
        };
        self.shared.report(self.shared.now(), load);
    }
}
