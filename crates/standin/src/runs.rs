//! What a stand-in truly ran, for tests and measurements to compare with what callers were told.

use std::sync::{Mutex, MutexGuard, PoisonError};

use briartray_model::{plain_choice, plain_value};
use briartray_web::{JsonReply, read_body, reply_json};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::fault::{FaultPlan, FaultSwitch};

/// Runs that are remembered; older ones are dropped and counted.
const MAX_RUNS: usize = 200_000;

/// Largest fault plan, in bytes.
const MAX_PLAN_BYTES: usize = 64 * 1024;

plain_choice! {
    /// How far a run came.
    pub enum RunState {
        /// It began.
        Running,
        /// It came to its end.
        Finished,
        /// It was cancelled.
        Cancelled,
    }
}

plain_value! {
    /// One run of one request.
    pub struct RunRecord {
        /// Position in the log, from zero.
        pub sequence: u64,
        /// Value of `x-request-id`.
        pub request_id: String,
        /// Value of `Idempotency-Key`.
        pub key: Option<String>,
        /// Path called.
        pub path: String,
        /// Identity of the prompt or body.
        pub digest: String,
        /// How far it came.
        pub state: RunState,
    }
}

/// The log of runs of one stand-in.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<RunTable>,
}

#[derive(Debug, Default)]
struct RunTable {
    dropped: u64,
    runs: Vec<RunRecord>,
}

impl RunLog {
    /// Notes that a run begins; returns its position.
    pub fn begin(&self, request_id: &str, key: Option<&str>, path: &str, digest: &str) -> u64 {
        let mut table = self.lock();
        if table.runs.len() >= MAX_RUNS {
            let oldest = MAX_RUNS / 2;
            table.runs.drain(..oldest);
            table.dropped += oldest as u64;
        }
        let sequence = table.dropped + table.runs.len() as u64;
        table.runs.push(RunRecord {
            sequence,
            request_id: request_id.to_owned(),
            key: key.map(str::to_owned),
            path: path.to_owned(),
            digest: digest.to_owned(),
            state: RunState::Running,
        });
        sequence
    }

    /// Notes how the run at `sequence` ended.
    pub fn end(&self, sequence: u64, state: RunState) {
        let mut table = self.lock();
        let position = sequence.checked_sub(table.dropped).and_then(|at| usize::try_from(at).ok());
        if let Some(run) = position.and_then(|position| table.runs.get_mut(position)) {
            run.state = state;
        }
    }

    /// Every run that is remembered.
    pub fn all(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// How many runs carried `key`.
    pub fn count_key(&self, key: &str) -> usize {
        self.lock().runs.iter().filter(|run| run.key.as_deref() == Some(key)).count()
    }

    /// How many runs carried `request_id`.
    pub fn count_request(&self, request_id: &str) -> usize {
        self.lock().runs.iter().filter(|run| run.request_id == request_id).count()
    }

    fn lock(&self) -> MutexGuard<'_, RunTable> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers the calls that every stand-in has; hands other requests back.
pub(crate) fn handle_common(
    mut request: Request,
    path: &str,
    runs: &RunLog,
    faults: &FaultSwitch,
) -> Option<Request> {
    match path {
        "/stand-in/runs" => {
            let table = runs.lock();
            let body = json!({ "dropped": table.dropped, "runs": table.runs });
            drop(table);
            reply_json(request, &JsonReply::new(200, body));
        }
        "/stand-in/faults" if *request.method() == Method::Post => {
            let reply = match read_plan(&mut request) {
                Ok(plan) => {
                    faults.change(&plan);
                    JsonReply::new(200, json!({ "faults": plan.faults.len() }))
                }
                Err(detail) => JsonReply::new(400, json!({ "error": { "message": detail } })),
            };
            reply_json(request, &reply);
        }
        _ => return Some(request),
    }
    None
}

fn read_plan(request: &mut Request) -> Result<FaultPlan, String> {
    let body = read_body(request, MAX_PLAN_BYTES).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
