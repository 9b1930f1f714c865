//! What a claim costs: the same calls to a plain service with and without a key.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use briartray_model::plain_value;

use super::fleet::{ProcessFleet, TrialPlan};
use super::process::TrialError;

/// Calls before the times count.
const WARM_UP: Duration = Duration::from_millis(500);

plain_value! {
    /// Calls of one kind by a number of callers at one time.
    pub struct ClaimRow {
        /// Control hosts.
        pub controls: usize,
        /// Callers at one time, each with one call open.
        pub callers: usize,
        /// Whether the calls carry a key.
        pub keyed: bool,
        /// Answered calls.
        pub calls: u64,
        /// Calls that got anything but their answer.
        pub failed: u64,
        /// Answered calls a second.
        pub per_second: f64,
        /// Half of the answers came within this, in milliseconds.
        pub p50_ms: f64,
        /// 99 in 100 answers came within this.
        pub p99_ms: f64,
    }
}

/// Measures keyed and unkeyed calls in turn, for each number of callers.
///
/// # Errors
/// A `TrialError` when the fleet cannot be started.
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
    let number = Arc::new(AtomicU64::new(0));
    let run = rand::random::<u64>();
    let begun = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let number = Arc::clone(&number);
            std::thread::spawn(move || call_for(entry, keyed, run, &number, begun, length))
        })
        .collect();
    let mut times = Vec::new();
    let mut failed = 0;
    for thread in threads {
        let (own, own_failed) = thread.join().unwrap_or_default();
        times.extend(own);
        failed += own_failed;
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
        p50_ms: quantile(&times, 50),
        p99_ms: quantile(&times, 99),
    }
}

fn call_for(
    entry: SocketAddr,
    keyed: bool,
    run: u64,
    number: &AtomicU64,
    begun: Instant,
    length: Duration,
) -> (Vec<Duration>, u64) {
    let mut times = Vec::new();
    let mut failed = 0;
    while begun.elapsed() < length {
        let key = format!("{run:016x}-{}", number.fetch_add(1, Ordering::Relaxed));
        let counts = begun.elapsed() >= WARM_UP;
        let sent = Instant::now();
        let answered = call(entry, &key, keyed);
        match answered {
            true if counts => times.push(sent.elapsed()),
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

fn quantile(sorted: &[Duration], percent: usize) -> f64 {
    let at = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}
