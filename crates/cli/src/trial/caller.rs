//! Callers that send calls with an `Idempotency-Key` and retry them through another entry when the
//! connection breaks or the outcome is unknown.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use briartray_model::SortedTable;
use briartray_standin::expected_text;
use briartray_standin::runs::RunRecord;
use serde::Deserialize;
use serde_json::Value;

use super::process::TrialError;

/// Time limit for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of retries of a call whose outcome is unknown.
const MAX_RETRIES: u32 = 3;

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Final outcome of a call as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedOutcome {
    Answered,
    Crossed,
    NotRun,
    Ran,
    Unknown,
    Lost,
}

/// Final result of one call.
struct KeyedResult {
    key: String,
    outcome: ReportedOutcome,
    /// Code of the last refusal, if any.
    code: Option<String>,
}

/// Sends keyed calls, each on a thread of its own.
pub struct KeyedCaller {
    entries: Vec<SocketAddr>,
    results: Arc<Mutex<Vec<KeyedResult>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Counts of keyed calls by reported outcome, checked against the run logs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct KeyedTally {
    /// Calls sent.
    pub sent: u64,
    /// Calls that got their own answer.
    pub answered: u64,
    /// Calls reported as `not_run`.
    pub refused: u64,
    /// Calls reported as `unknown`, or as `ran` without an answer.
    pub unknown: u64,
    /// Calls without any response.
    pub lost: u64,
    /// Calls that got the answer to another call.
    pub crossed: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Calls with a false outcome: reported as `not_run` but run, or answered or reported as `ran`
    /// but never run.
    pub untrue: u64,
    /// Number of refused calls by refusal code.
    pub codes: SortedTable<String, u64>,
}

impl KeyedCaller {
    /// Creates callers that try the entries in the given order, starting with the first.
    pub fn new(entries: &[SocketAddr]) -> Self {
        Self { entries: entries.to_vec(), results: Arc::default(), threads: Vec::new() }
    }

    /// Starts one call with `key` on a new thread.
    pub fn start(&mut self, key: &str) {
        let (entries, results, key) =
            (self.entries.clone(), Arc::clone(&self.results), key.to_owned());
        self.threads.push(std::thread::spawn(move || {
            let result = call_until_known(&entries, key);
            results.lock().unwrap_or_else(PoisonError::into_inner).push(result);
        }));
    }

    /// Waits for every started call to finish.
    ///
    /// # Errors
    /// `TrialError::Load` if a caller thread panicked.
    pub fn wait(&mut self) -> Result<(), TrialError> {
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                return Err(TrialError::Load { detail: "a caller thread panicked".to_owned() });
            }
        }
        Ok(())
    }

    /// Waits for every call and compares the reported outcomes with the run logs of `services`.
    ///
    /// # Errors
    /// `TrialError::Load` if a caller thread panicked or a run log cannot be read.
    pub fn finish(mut self, services: &[SocketAddr]) -> Result<KeyedTally, TrialError> {
        self.wait()?;
        let mut runs = Vec::new();
        for service in services {
            runs.extend(read_runs(*service)?);
        }
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        let mut tally = KeyedTally::default();
        for result in results.iter() {
            let count = runs.iter().filter(|run| run.key.as_ref() == Some(&result.key)).count();
            tally.add(result.outcome, count);
            if let Some(code) = &result.code {
                *tally.codes.get_or_insert_with(code.clone(), || 0) += 1;
            }
        }
        Ok(tally)
    }
}

impl KeyedTally {
    fn add(&mut self, outcome: ReportedOutcome, runs: usize) {
        self.sent += 1;
        self.doubled += u64::from(runs > 1);
        let untrue = match outcome {
            ReportedOutcome::Answered | ReportedOutcome::Ran => runs == 0,
            ReportedOutcome::NotRun => runs > 0,
            ReportedOutcome::Crossed | ReportedOutcome::Unknown | ReportedOutcome::Lost => false,
        };
        self.untrue += u64::from(untrue);
        *match outcome {
            ReportedOutcome::Answered => &mut self.answered,
            ReportedOutcome::Crossed => &mut self.crossed,
            ReportedOutcome::NotRun => &mut self.refused,
            ReportedOutcome::Ran | ReportedOutcome::Unknown => &mut self.unknown,
            ReportedOutcome::Lost => &mut self.lost,
        } += 1;
    }
}

fn call_until_known(entries: &[SocketAddr], key: String) -> KeyedResult {
    let mut result = KeyedResult { key, outcome: ReportedOutcome::Lost, code: None };
    let mut retries_left = MAX_RETRIES;
    for entry in entries.iter().cycle().take(entries.len() * (MAX_RETRIES as usize + 1)) {
        if let Some((outcome, code)) = call_once(*entry, &result.key) {
            result.outcome = outcome;
            result.code = code;
            if outcome != ReportedOutcome::Unknown || retries_left == 0 {
                return result;
            }
            retries_left -= 1;
        }
        std::thread::sleep(RETRY_DELAY);
    }
    result
}

/// Sends the call once; `None` if the connection fails or brings no JSON answer.
fn call_once(entry: SocketAddr, key: &str) -> Option<(ReportedOutcome, Option<String>)> {
    let body = format!("confirm {key}");
    let response = attohttpc::post(format!("http://{entry}/services/ledger/confirm"))
        .connect_timeout(Duration::from_secs(1))
        .read_timeout(ANSWER_TIMEOUT)
        .timeout(ANSWER_TIMEOUT)
        .header("idempotency-key", key)
        .bytes(body.clone().into_bytes())
        .send()
        .ok()?;
    let status = response.status().as_u16();
    let value: Value = serde_json::from_slice(&response.bytes().ok()?).ok()?;
    if status == 200 {
        let is_own = value["text"].as_str() == Some(&expected_text(&body, 1));
        return Some((
            if is_own { ReportedOutcome::Answered } else { ReportedOutcome::Crossed },
            None,
        ));
    }
    let outcome = match value["outcome"].as_str() {
        Some("not_run") => ReportedOutcome::NotRun,
        Some("ran") => ReportedOutcome::Ran,
        _ => ReportedOutcome::Unknown,
    };
    Some((outcome, value["code"].as_str().map(str::to_owned)))
}

#[derive(Deserialize)]
struct RunList {
    runs: Vec<RunRecord>,
}

fn read_runs(service: SocketAddr) -> Result<Vec<RunRecord>, TrialError> {
    let load_error = |detail: String| TrialError::Load { detail };
    let response = attohttpc::get(format!("http://{service}/stand-in/runs")).send();
    let body = response
        .and_then(attohttpc::Response::bytes)
        .map_err(|error| load_error(error.to_string()))?;
    let list: RunList =
        serde_json::from_slice(&body).map_err(|error| load_error(error.to_string()))?;
    Ok(list.runs)
}
