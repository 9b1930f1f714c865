//! Compares what callers were told with what the stand-ins truly ran.

use std::net::SocketAddr;

use briartray_model::plain_value;
use serde::Deserialize;
use snafu::Snafu;

use crate::runs::RunRecord;
use crate::text::prompt_digest;

plain_value! {
    /// What the run logs show.
    #[derive(Default)]
    pub struct RunAudit {
        /// Runs of requests of this load.
        pub runs: u64,
        /// Requests without a key that ran more than once, as a safe retry may.
        pub repeated_runs: u64,
        /// Requests with a key that ran more than once.
        pub doubled: u64,
        /// Requests that ran although the caller was told that they were not run.
        pub ran_untold: u64,
        /// Answered requests that no stand-in ran.
        pub answered_unrun: u64,
    }
}

impl RunAudit {
    /// Whether nothing is wrong.
    pub fn is_clean(&self) -> bool {
        self.doubled + self.ran_untold + self.answered_unrun == 0
    }
}

/// What one caller was told.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ToldOutcome {
    pub(super) digest: String,
    pub(super) keyed: bool,
    pub(super) answered: bool,
    pub(super) told_not_run: bool,
}

impl ToldOutcome {
    pub(super) fn digest_of(prompt: &str) -> String {
        prompt_digest(prompt)
    }
}

#[derive(Deserialize)]
struct RunList {
    runs: Vec<RunRecord>,
}

/// Why a run of load could not be compared.
#[derive(Debug, Snafu)]
pub enum AuditError {
    /// A run log cannot be read.
    #[snafu(display("run log of {address} cannot be read: {detail}; name a stand-in that runs"))]
    Unreadable {
        /// The stand-in.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
}

/// Reads the run logs at `addresses`.
pub(super) fn read_runs(addresses: &[SocketAddr]) -> Result<Vec<RunRecord>, AuditError> {
    let mut runs = Vec::new();
    for address in addresses {
        let list = read_log(*address)
            .map_err(|detail| AuditError::Unreadable { address: *address, detail })?;
        runs.extend(list.runs);
    }
    Ok(runs)
}

fn read_log(address: SocketAddr) -> Result<RunList, String> {
    let response = attohttpc::get(format!("http://{address}/stand-in/runs")).send();
    let body = response.and_then(attohttpc::Response::bytes).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Sets what callers were told against the runs.
pub(super) fn compare(told: &[ToldOutcome], runs: &[RunRecord]) -> RunAudit {
    let mut digests: Vec<&str> = runs.iter().map(|run| run.digest.as_str()).collect();
    digests.sort_unstable();
    let mut audit = RunAudit::default();
    for outcome in told {
        let from = digests.partition_point(|digest| *digest < outcome.digest.as_str());
        let to = digests.partition_point(|digest| *digest <= outcome.digest.as_str());
        let count = to - from;
        audit.runs += count as u64;
        audit.doubled += u64::from(outcome.keyed && count > 1);
        audit.repeated_runs += u64::from(!outcome.keyed && count > 1);
        audit.ran_untold += u64::from(outcome.told_not_run && count > 0);
        audit.answered_unrun += u64::from(outcome.answered && count == 0);
    }
    audit
}
