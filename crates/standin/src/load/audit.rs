//! Compares the outcomes that callers got with the run logs of the stand-ins.

use std::net::SocketAddr;

use briartray_model::plain_value;
use serde::Deserialize;
use snafu::Snafu;

use crate::runs::RunRecord;
use crate::text::prompt_digest;

plain_value! {
    /// Result of the comparison with the run logs.
    #[derive(Default)]
    pub struct RunAudit {
        /// Logged runs of the requests of this load.
        pub runs: u64,
        /// Requests without a key that ran more than once, which safe retries may cause.
        pub repeated_runs: u64,
        /// Requests with an idempotency key that ran more than once.
        pub doubled: u64,
        /// Requests that ran although the answer to the caller stated that they did not.
        pub ran_untold: u64,
        /// Answered requests without a logged run.
        pub answered_unrun: u64,
    }
}

impl RunAudit {
    /// Returns whether no error was found; `repeated_runs` are not errors.
    pub fn is_clean(&self) -> bool {
        self.doubled + self.ran_untold + self.answered_unrun == 0
    }
}

/// Outcome that one caller got.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ReportedOutcome {
    pub(super) digest: String,
    pub(super) keyed: bool,
    pub(super) answered: bool,
    pub(super) told_not_run: bool,
}

impl ReportedOutcome {
    pub(super) fn digest_of(prompt: &str) -> String {
        prompt_digest(prompt)
    }
}

#[derive(Deserialize)]
struct RunList {
    runs: Vec<RunRecord>,
}

/// Why the outcomes could not be compared.
#[derive(Debug, Snafu)]
pub enum AuditError {
    /// A run log could not be read.
    #[snafu(display(
        "cannot read the run log of {address}: {detail}; give the address of a running stand-in"
    ))]
    Unreadable {
        /// Address of the stand-in.
        address: SocketAddr,
        /// Cause of the failure.
        detail: String,
    },
}

/// Fetches the run logs of the stand-ins at `addresses`.
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

/// Compares the outcomes that callers got with the logged runs.
pub(super) fn compare(reported: &[ReportedOutcome], runs: &[RunRecord]) -> RunAudit {
    let mut digests: Vec<&str> = runs.iter().map(|run| run.digest.as_str()).collect();
    digests.sort_unstable();
    let mut audit = RunAudit::default();
    for outcome in reported {
        let first = digests.partition_point(|digest| *digest < outcome.digest.as_str());
        let end = digests.partition_point(|digest| *digest <= outcome.digest.as_str());
        let count = end - first;
        audit.runs += count as u64;
        audit.doubled += u64::from(outcome.keyed && count > 1);
        audit.repeated_runs += u64::from(!outcome.keyed && count > 1);
        audit.ran_untold += u64::from(outcome.told_not_run && count > 0);
        audit.answered_unrun += u64::from(outcome.answered && count == 0);
    }
    audit
}
