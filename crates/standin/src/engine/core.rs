//! The engine's own thread: steps the batch and hands out tokens.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use briartray_model::{SortedTable, plain_value};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};

use super::batch::BatchQueue;
use super::cache::PrefixCache;
use super::orders::OrderBook;
use super::settings::EngineSettings;
use super::track::{RequestTrack, TrackEnd};
use crate::fault::FaultSwitch;
use crate::runs::{RunLog, RunState};

/// How long the idle thread waits before it looks around again.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// Requests that can still be resumed or read again.
const MAX_TRACKS: usize = 16_384;

/// Load reports that are kept for the lag.
const MAX_REPORTS: usize = 1024;

/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(10);

plain_value! {
    /// Load of the engine at one time.
    #[derive(Copy, Default)]
    pub struct EngineLoad {
        /// Requests in the batch.
        pub running: usize,
        /// Requests that wait.
        pub waiting: usize,
        /// Blocks in the prefix cache.
        pub cached_blocks: usize,
        /// Time of the last step, in microseconds.
        pub step_micros: u64,
        /// Age of this report, in milliseconds.
        pub age_ms: u64,
    }
}

/// One input of the engine's thread.
pub(super) enum EngineInput {
    Submit(Arc<RequestTrack>),
    Cancel(u64),
    Stop,
}

/// What the engine's threads share.
pub(super) struct EngineShared {
    pub(super) settings: EngineSettings,
    pub(super) runs: RunLog,
    pub(super) faults: FaultSwitch,
    inputs: Sender<EngineInput>,
    started: Instant,
    cache: Mutex<PrefixCache>,
    orders: Mutex<OrderBook>,
    tracks: Mutex<TrackTable>,
    reports: Mutex<Vec<(Duration, EngineLoad)>>,
}

/// Requests by number; the newest of one id counts.
#[derive(Default)]
struct TrackTable {
    next: u64,
    tracks: SortedTable<u64, Arc<RequestTrack>>,
    numbers: SortedTable<String, u64>,
}

impl EngineShared {
    /// Starts the engine's thread.
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
            faults: FaultSwitch::new(&settings.faults),
            inputs,
            started: Instant::now(),
            cache: Mutex::new(cache),
            orders: Mutex::new(OrderBook::new(settings.checks_fencing)),
            tracks: Mutex::default(),
            reports: Mutex::default(),
            settings,
        });
        let core = EngineCore::new(Arc::clone(&shared));
        spawn_worker("engine", WORKER_STACK_BYTES, move || core.run(&queue))?;
        Ok(shared)
    }

    /// Time since the engine started.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn orders(&self) -> MutexGuard<'_, OrderBook> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a request to the engine's thread; `fill` sets what the call asks for.
    pub(super) fn submit(
        &self,
        id: &str,
        prompt: &str,
        run: u64,
        fill: impl FnOnce(&mut RequestTrack),
    ) -> Arc<RequestTrack> {
        let mut table = self.tracks.lock().unwrap_or_else(PoisonError::into_inner);
        table.next += 1;
        let mut track = RequestTrack::new(table.next, run, id, prompt);
        fill(&mut track);
        let track = Arc::new(track);
        table.tracks.insert(track.number, Arc::clone(&track));
        table.numbers.insert(id.to_owned(), track.number);
        table.forget_oldest();
        drop(table);
        if self.inputs.send(EngineInput::Submit(Arc::clone(&track))).is_err() {
            track.finish(TrackEnd::Stopped);
        }
        track
    }

    /// The newest request with this id.
    pub(super) fn find(&self, id: &str) -> Option<Arc<RequestTrack>> {
        let table = self.tracks.lock().unwrap_or_else(PoisonError::into_inner);
        let number = table.numbers.get(&id.to_owned())?;
        table.tracks.get(number).cloned()
    }

    pub(super) fn cancel(&self, number: u64) {
        let _ = self.inputs.send(EngineInput::Cancel(number));
    }

    pub(super) fn stop(&self) {
        let _ = self.inputs.send(EngineInput::Stop);
    }

    /// The newest load that is old enough to be reported.
    pub(super) fn load(&self) -> EngineLoad {
        let now = self.now();
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let old_enough = |(at, _): &&(Duration, EngineLoad)| *at + self.settings.load_lag <= now;
        let found = reports.iter().rev().find(old_enough);
        found.map_or_else(EngineLoad::default, |(at, load)| {
            let age_ms = u64::try_from((now - *at).as_millis()).unwrap_or(u64::MAX);
            EngineLoad { age_ms, ..*load }
        })
    }

    fn report(&self, now: Duration, load: EngineLoad) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.last().is_some_and(|(at, _)| now < *at + REPORT_INTERVAL) {
            return;
        }
        if reports.len() >= MAX_REPORTS {
            reports.drain(..MAX_REPORTS / 2);
        }
        reports.push((now, load));
    }
}

impl TrackTable {
    fn forget_oldest(&mut self) {
        if self.tracks.len() <= MAX_TRACKS {
            return;
        }
        let oldest = self.tracks.keys().next().copied();
        let Some(track) = oldest.and_then(|number| self.tracks.remove(&number)) else { return };
        if self.numbers.get(&track.id) == Some(&track.number) {
            self.numbers.remove(&track.id);
        }
    }
}

/// The batch and the requests in it; owned by the engine's thread.
struct EngineCore {
    shared: Arc<EngineShared>,
    queue: BatchQueue,
    open: SortedTable<u64, Arc<RequestTrack>>,
}

impl EngineCore {
    fn new(shared: Arc<EngineShared>) -> Self {
        let queue = BatchQueue::new(shared.settings.batch);
        Self { shared, queue, open: SortedTable::new() }
    }

    fn run(mut self, inputs: &Receiver<EngineInput>) {
        loop {
            if !self.take_inputs(inputs) {
                break;
            }
            if self.open.is_empty() {
                self.report(Duration::ZERO);
            } else {
                self.step();
            }
        }
        for input in inputs.try_iter() {
            let _ = self.take(input);
        }
        for track in self.open.values() {
            track.finish(TrackEnd::Stopped);
        }
    }

    /// Takes what has come, waiting only when there is no work; `false` when told to stop.
    fn take_inputs(&mut self, inputs: &Receiver<EngineInput>) -> bool {
        if self.open.is_empty() {
            match inputs.recv_timeout(IDLE_WAIT) {
                Ok(input) => {
                    if !self.take(input) {
                        return false;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
        for input in inputs.try_iter() {
            if !self.take(input) {
                return false;
            }
        }
        true
    }

    fn take(&mut self, input: EngineInput) -> bool {
        match input {
            EngineInput::Submit(track) => {
                self.queue.submit(track.number, track.priority, track.tokens);
                self.open.insert(track.number, track);
            }
            EngineInput::Cancel(number) => {
                if self.queue.cancel(number) {
                    self.close(number, TrackEnd::Cancelled);
                }
            }
            EngineInput::Stop => return false,
        }
        true
    }

    /// One step: reads new prompts, takes its time, and hands out the tokens.
    fn step(&mut self) {
        let begun = Instant::now();
        let step = self.queue.step();
        let now = self.shared.now();
        let mut unread = 0;
        for number in &step.started {
            if let Some(track) = self.open.get(number) {
                unread += self.shared.cache().read_prompt(now, &track.prompt);
            }
        }
        let settings = &self.shared.settings;
        let prefill = settings.prefill_per_token * u32::try_from(unread).unwrap_or(u32::MAX);
        std::thread::sleep(settings.step + prefill);
        for token in &step.decoded {
            if let Some(track) = self.open.get(&token.number) {
                track.add_token();
            }
            if token.last {
                self.close(token.number, TrackEnd::Whole);
            }
        }
        self.report(begun.elapsed());
    }

    fn close(&mut self, number: u64, end: TrackEnd) {
        let Some(track) = self.open.remove(&number) else { return };
        let state = if end == TrackEnd::Whole { RunState::Finished } else { RunState::Cancelled };
        self.shared.runs.end(track.run, state);
        track.finish(end);
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
