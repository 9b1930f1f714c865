//! Callers that send a call that may not be repeated, and send it again to another entry when
//! their connection breaks.

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

/// How long one answer is waited for.
const ANSWER_WAIT: Duration = Duration::from_secs(20);

/// Times a call is sent again while its outcome is not known.
const RESENDS: u32 = 3;

/// Wait before a call is sent again.
const RESEND_WAIT: Duration = Duration::from_millis(300);

/// What a caller knows in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownEnd {
    Answered,
    Wrong,
    NotRun,
    Ran,
    Unknown,
    Lost,
}

/// How one call ended.
struct KeyedEnd {
    key: String,
    end: KnownEnd,
    /// Code of the last refusal, if there was one.
    code: Option<String>,
}

/// Calls under keys, each on a thread of its own.
pub struct KeyedCaller {
    entries: Vec<SocketAddr>,
    ends: Arc<Mutex<Vec<KeyedEnd>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Calls by what their callers know, against the run logs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct KeyedTally {
    /// Calls sent.
    pub sent: u64,
    /// Answered with their own answer.
    pub answered: u64,
    /// Told `not_run`.
    pub refused: u64,
    /// Told `unknown`, or `ran` without an answer.
    pub unknown: u64,
    /// Told nothing by any entry.
    pub lost: u64,
    /// Answers that belong to another call.
    pub crossed: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    /// Calls that ran although the caller was told `not_run`, or did not although it was answered.
    pub untrue: u64,
    /// Calls that ended in a refusal, by its code.
    pub codes: SortedTable<String, u64>,
}

impl KeyedCaller {
    /// Callers that start with the first entry and go on to the others.
    pub fn new(entries: &[SocketAddr]) -> Self {
        Self { entries: entries.to_vec(), ends: Arc::default(), threads: Vec::new() }
    }

    /// Sends one call under `key`.
    pub fn start(&mut self, key: &str) {
        let (entries, ends, key) = (self.entries.clone(), Arc::clone(&self.ends), key.to_owned());
        self.threads.push(std::thread::spawn(move || {
            let end = call_until_known(&entries, key);
            ends.lock().unwrap_or_else(PoisonError::into_inner).push(end);
        }));
    }

    /// Waits until every call that was started has come to its end.
    ///
    /// # Errors
    /// `TrialError::Load` when a caller's thread failed.
    pub fn wait(&mut self) -> Result<(), TrialError> {
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                return Err(TrialError::Load { detail: "a caller's thread failed".to_owned() });
            }
        }
        Ok(())
    }

    /// Waits for every call and sets what callers know against what the services ran.
    ///
    /// # Errors
    /// `TrialError::Load` when a caller's thread failed or a run log cannot be read.
    pub fn finish(mut self, services: &[SocketAddr]) -> Result<KeyedTally, TrialError> {
        self.wait()?;
        let mut runs = Vec::new();
        for service in services {
            runs.extend(read_runs(*service)?);
        }
        let ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        let mut tally = KeyedTally::default();
        for end in ends.iter() {
            let count = runs.iter().filter(|run| run.key.as_ref() == Some(&end.key)).count();
            tally.add(end.end, count);
            if let Some(code) = &end.code {
                *tally.codes.get_or_insert_with(code.clone(), || 0) += 1;
            }
        }
        Ok(tally)
    }
}

impl KeyedTally {
    fn add(&mut self, end: KnownEnd, runs: usize) {
        self.sent += 1;
        self.doubled += u64::from(runs > 1);
        let untrue = match end {
            KnownEnd::Answered | KnownEnd::Ran => runs == 0,
            KnownEnd::NotRun => runs > 0,
            KnownEnd::Wrong | KnownEnd::Unknown | KnownEnd::Lost => false,
        };
        self.untrue += u64::from(untrue);
        *match end {
            KnownEnd::Answered => &mut self.answered,
            KnownEnd::Wrong => &mut self.crossed,
            KnownEnd::NotRun => &mut self.refused,
            KnownEnd::Ran | KnownEnd::Unknown => &mut self.unknown,
            KnownEnd::Lost => &mut self.lost,
        } += 1;
    }
}

fn call_until_known(entries: &[SocketAddr], key: String) -> KeyedEnd {
    let mut last = KeyedEnd { key, end: KnownEnd::Lost, code: None };
    let mut unknown_left = RESENDS;
    for entry in entries.iter().cycle().take(entries.len() * (RESENDS as usize + 1)) {
        if let Some((end, code)) = call_once(*entry, &last.key) {
            last.end = end;
            last.code = code;
            if end != KnownEnd::Unknown || unknown_left == 0 {
                return last;
            }
            unknown_left -= 1;
        }
        std::thread::sleep(RESEND_WAIT);
    }
    last
}

/// Sends the call once; `None` when the connection brought no answer.
fn call_once(entry: SocketAddr, key: &str) -> Option<(KnownEnd, Option<String>)> {
    let body = format!("confirm {key}");
    let response = attohttpc::post(format!("http://{entry}/services/ledger/confirm"))
        .connect_timeout(Duration::from_secs(1))
        .read_timeout(ANSWER_WAIT)
        .timeout(ANSWER_WAIT)
        .header("idempotency-key", key)
        .bytes(body.clone().into_bytes())
        .send()
        .ok()?;
    let status = response.status().as_u16();
    let value: Value = serde_json::from_slice(&response.bytes().ok()?).ok()?;
    if status == 200 {
        let own = value["text"].as_str() == Some(&expected_text(&body, 1));
        return Some((if own { KnownEnd::Answered } else { KnownEnd::Wrong }, None));
    }
    let end = match value["outcome"].as_str() {
        Some("not_run") => KnownEnd::NotRun,
        Some("ran") => KnownEnd::Ran,
        _ => KnownEnd::Unknown,
    };
    Some((end, value["code"].as_str().map(str::to_owned)))
}

#[derive(Deserialize)]
struct RunList {
    runs: Vec<RunRecord>,
}

fn read_runs(service: SocketAddr) -> Result<Vec<RunRecord>, TrialError> {
    let unreadable = |detail: String| TrialError::Load { detail };
    let response = attohttpc::get(format!("http://{service}/stand-in/runs")).send();
    let body = response
        .and_then(attohttpc::Response::bytes)
        .map_err(|error| unreadable(error.to_string()))?;
    let list: RunList =
        serde_json::from_slice(&body).map_err(|error| unreadable(error.to_string()))?;
    Ok(list.runs)
}
