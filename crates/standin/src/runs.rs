//! Log of the requests that a stand-in ran; tests compare it with the outcomes that callers got.

use std::sync::{Mutex, MutexGuard, PoisonError};

use briartray_model::{plain_choice, plain_value};
use briartray_web::{JsonReply, read_body, reply_json};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::fault::{FaultInjector, FaultPlan};

/// Maximum number of logged runs; beyond it the older half is dropped and counted.
const MAX_RUNS: usize = 200_000;

/// Maximum size of a fault plan, in bytes.
const MAX_PLAN_BYTES: usize = 64 * 1024;

plain_choice! {
    /// State of a run.
    pub enum RunState {
        /// The run has started and not ended.
        Running,
        /// The run completed.
        Finished,
        /// The run was cancelled.
        Cancelled,
    }
}

plain_value! {
    /// One execution of a request.
    pub struct RunRecord {
        /// Position in the log, from zero; counts dropped runs too.
        pub sequence: u64,
        /// Value of the `x-request-id` header.
        pub request_id: String,
        /// Value of the `Idempotency-Key` header, if present.
        pub key: Option<String>,
        /// Request path.
        pub path: String,
        /// Hash of the prompt or body, as [`prompt_digest`](crate::prompt_digest) returns it.
        pub digest: String,
        /// State of the run.
        pub state: RunState,
    }
}

/// Run log of one stand-in.
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
    /// Logs the start of a run and returns its `sequence`.
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

    /// Sets the final state of the run at `sequence`; does nothing if the run was dropped.
    pub fn end(&self, sequence: u64, state: RunState) {
        let mut table = self.lock();
        let position = sequence.checked_sub(table.dropped).and_then(|at| usize::try_from(at).ok());
        if let Some(run) = position.and_then(|position| table.runs.get_mut(position)) {
            run.state = state;
        }
    }

    /// Returns all logged runs, oldest first.
    pub fn all(&self) -> Vec<RunRecord> {
        self.lock().runs.clone()
    }

    /// Returns the number of logged runs with this idempotency key.
    pub fn count_key(&self, key: &str) -> usize {
        self.lock().runs.iter().filter(|run| run.key.as_deref() == Some(key)).count()
    }

    /// Returns the number of logged runs with this request id.
    pub fn count_request(&self, request_id: &str) -> usize {
        self.lock().runs.iter().filter(|run| run.request_id == request_id).count()
    }

    fn lock(&self) -> MutexGuard<'_, RunTable> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles the `/stand-in/...` calls that all stand-ins share; returns any other request.
pub(crate) fn handle_common(
    mut request: Request,
    path: &str,
    runs: &RunLog,
    faults: &FaultInjector,
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
                    faults.set_plan(&plan);
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
