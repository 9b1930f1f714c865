//! Starts the requests of a load at their planned times and collects the results.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use crossbeam::channel::{Receiver, Sender, unbounded};

use super::audit::{self, AuditError, ReportedOutcome};
use super::call::{ANSWERED, CallResult, run_call};
use super::plan::LoadPlan;
use super::report::{LoadReport, ReportCollector};
use super::schedule::{LoadSchedule, PlannedCall};

/// Time between two progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// A completed request; `start_delay` is the time from its planned to its actual start.
struct EndedCall {
    call: PlannedCall,
    start_delay: Duration,
    result: CallResult,
}

/// Runs `plan`; calls `progress` regularly with the numbers of sent and ended requests.
///
/// Each open request has a thread with a small stack. Requests start at their planned times and
/// latencies are measured from those, so that a slow system cannot slow down the load and thereby
/// hide its latency (coordinated omission).
///
/// # Errors
/// An `AuditError` if a run log of the stand-ins cannot be read.
pub fn run_load(
    plan: &LoadPlan,
    mut progress: impl FnMut(u64, u64),
) -> Result<LoadReport, AuditError> {
    let (results, ended) = unbounded();
    let open = Arc::new(AtomicU64::new(0));
    let shared = Arc::new(plan.clone());
    let mut collector = LoadCollector::new(ended);
    let (mut sent, mut not_sent, mut most_open) = (0_u64, 0_u64, 0_u64);
    let run_start = Instant::now();
    let mut last_progress = run_start;
    for call in LoadSchedule::new(plan, rand::random()) {
        let planned_start = run_start + call.start;
        std::thread::sleep(planned_start.saturating_duration_since(Instant::now()));
        let now_open = open.load(Ordering::Relaxed);
        most_open = most_open.max(now_open + 1);
        if now_open >= plan.max_open as u64
            || !start_call(&shared, call, planned_start, &results, &open)
        {
            not_sent += 1;
            continue;
        }
        sent += 1;
        collector.collect();
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            progress(sent, collector.count);
            last_progress = Instant::now();
        }
    }
    drop(results);
    while collector.wait(PROGRESS_INTERVAL) {
        progress(sent, collector.count);
    }
    let mut report = collector.report.finish(not_sent, most_open, run_start.elapsed());
    if !plan.stand_ins.is_empty() {
        let runs = audit::read_runs(&plan.stand_ins)?;
        report.audit = Some(audit::compare(&collector.reported, &runs));
    }
    Ok(report)
}

/// Starts a request on its own thread; returns `false` if the thread cannot be created.
fn start_call(
    plan: &Arc<LoadPlan>,
    call: PlannedCall,
    planned_start: Instant,
    results: &Sender<EndedCall>,
    open: &Arc<AtomicU64>,
) -> bool {
    let (plan, results, count) = (Arc::clone(plan), results.clone(), Arc::clone(open));
    count.fetch_add(1, Ordering::Relaxed);
    let run = move || {
        let start_delay = planned_start.elapsed();
        let result = run_call(&plan, &call, planned_start);
        count.fetch_sub(1, Ordering::Relaxed);
        let _ = results.send(EndedCall { call, start_delay, result });
    };
    let started = spawn_worker("load", WORKER_STACK_BYTES, run).is_ok();
    if !started {
        open.fetch_sub(1, Ordering::Relaxed);
    }
    started
}

struct LoadCollector {
    ended: Receiver<EndedCall>,
    report: ReportCollector,
    reported: Vec<ReportedOutcome>,
    count: u64,
}

impl LoadCollector {
    fn new(ended: Receiver<EndedCall>) -> Self {
        Self { ended, report: ReportCollector::new(), reported: Vec::new(), count: 0 }
    }

    fn collect(&mut self) {
        while let Ok(ended) = self.ended.try_recv() {
            self.add(&ended);
        }
    }

    /// Collects results for `limit`; returns `false` when all requests have ended.
    fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            match self.ended.recv_deadline(until) {
                Ok(ended) => self.add(&ended),
                Err(error) => return error.is_timeout(),
            }
        }
    }

    fn add(&mut self, ended: &EndedCall) {
        self.count += 1;
        self.report.add(&ended.result, ended.call.stream, ended.start_delay);
        self.reported.push(ReportedOutcome {
            digest: ReportedOutcome::digest_of(&ended.call.prompt),
            keyed: ended.call.key.is_some(),
            answered: ended.result.outcome == ANSWERED,
            told_not_run: ended.result.told_not_run,
        });
    }
}
