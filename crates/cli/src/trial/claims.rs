//! Cost of idempotency claims: the same calls to a plain service with and without a key.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use briartray_model::plain_value;

use super::fleet::{ProcessFleet, TrialPlan};
use super::process::TrialError;

/// Initial part of a run whose calls are not measured.
const WARM_UP: Duration = Duration::from_millis(500);

plain_value! {
    /// Results for calls of one kind by a number of concurrent callers.
    pub struct ClaimRow {
        /// Number of control hosts.
        pub controls: usize,
        /// Number of concurrent callers, each with one open call.
        pub callers: usize,
        /// Whether the calls carry an `Idempotency-Key`.
        pub keyed: bool,
        /// Number of answered calls.
        pub calls: u64,
        /// Number of calls without a successful answer, including those during the warm-up.
        pub failed: u64,
        /// Answered calls per second.
        pub per_second: f64,
        /// Median response time in milliseconds.
        pub p50_ms: f64,
        /// 99th percentile of the response time in milliseconds.
        pub p99_ms: f64,
    }
}

/// Measures calls without and with a key for each number of concurrent callers.
///
/// `length` is the duration of each run, warm-up included.
///
/// # Errors
/// `TrialError` if the fleet cannot be started.
pub fn measure_claims(
    programs: &Path,
    controls: usize,
    callers: &[usize],
    length: Duration,
) -> Result<Vec<ClaimRow>, TrialError> {
    let plan = TrialPlan::new(programs).controls(controls).endpoints(0, 4);
    let fleet = ProcessFleet::start(&plan)?;
    let entry = fleet.entry_addresses()[0];
    let mut rows = Vec::new();
    for count in callers {
        for keyed in [false, true] {
            let mut row = run_callers(entry, *count, keyed, length);
            row.controls = controls;
            rows.push(row);
        }
    }
    Ok(rows)
}

fn run_callers(entry: SocketAddr, callers: usize, keyed: bool, length: Duration) -> ClaimRow {
    let next_call = Arc::new(AtomicU64::new(0));
    let run_id = rand::random::<u64>();
    let started_at = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let next_call = Arc::clone(&next_call);
            std::thread::spawn(move || {
                call_repeatedly(entry, keyed, run_id, &next_call, started_at, length)
            })
        })
        .collect();
    let mut times = Vec::new();
    let mut failed = 0;
    for thread in threads {
        let (thread_times, thread_failed) = thread.join().unwrap_or_default();
        times.extend(thread_times);
        failed += thread_failed;
    }
    times.sort_unstable();
    let seconds = length.saturating_sub(WARM_UP).as_secs_f64();
    ClaimRow {
        controls: 0,
        callers,
        keyed,
        calls: times.len() as u64,
        failed,
        per_second: times.len() as f64 / seconds,
        p50_ms: percentile(&times, 50),
        p99_ms: percentile(&times, 99),
    }
}

fn call_repeatedly(
    entry: SocketAddr,
    keyed: bool,
    run_id: u64,
    next_call: &AtomicU64,
    started_at: Instant,
    length: Duration,
) -> (Vec<Duration>, u64) {
    let mut times = Vec::new();
    let mut failed = 0;
    while started_at.elapsed() < length {
        let key = format!("{run_id:016x}-{}", next_call.fetch_add(1, Ordering::Relaxed));
        let measured = started_at.elapsed() >= WARM_UP;
        let sent = Instant::now();
        let answered = call(entry, &key, keyed);
        match answered {
            true if measured => times.push(sent.elapsed()),
            true => {}
            false => failed += 1,
        }
    }
    (times, failed)
}

fn call(entry: SocketAddr, key: &str, keyed: bool) -> bool {
    let mut request = attohttpc::post(format!("http://{entry}/services/ledger/confirm"))
        .timeout(Duration::from_secs(20));
    if keyed {
        request = request.header("idempotency-key", key);
    }
    let response = request.bytes(key.as_bytes().to_vec()).send();
    response.is_ok_and(|response| response.is_success() && response.bytes().is_ok())
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}
