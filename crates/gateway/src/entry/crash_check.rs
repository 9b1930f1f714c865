//! Distinguishes an endpoint crash from a lost connection.
//!
//! A broken connection alone is not evidence of a crash: links fail, responses are lost, and an
//! endpoint may abort one response and keep running. After a crash nothing listens at the
//! endpoint's address until it is restarted, so its host refuses a new connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{IncarnationId, PartId, RequestFingerprint, TeamName};

use super::attempt::SentTo;
use super::dispatch::ServedRequest;
use super::state::EntryState;

/// Pause before the second connection attempt: a crashing endpoint may close its connections before
/// it stops listening.
const RECHECK_DELAY: Duration = Duration::from_millis(40);

/// A request whose connection to the endpoint broke.
#[derive(Debug, Clone)]
pub(super) struct BrokenRun {
    print: RequestFingerprint,
    parts: Vec<PartId>,
    rule: String,
    team: Option<TeamName>,
    /// When the request was sent to the endpoint.
    began: TimePoint,
    /// When the connection broke.
    broke: TimePoint,
}

/// Starts a check whether the endpoint that `request` was sent to has crashed, and reports a crash
/// to the leader. Requests to the same endpoint whose connections break during the check
/// share its result.
pub(super) fn check(request: &ServedRequest, sent_to: &SentTo) {
    let SentTo { endpoint, address, at } = sent_to.clone();
    let state = &request.state;
    if state.table.borrow().holds().is_leaving(&endpoint) {
        return;
    }
    let run = BrokenRun {
        print: request.fingerprint(),
        parts: request.head.shared_parts.clone(),
        rule: request.rule.name.clone(),
        team: request.team.clone(),
        began: at,
        broke: state.now(),
    };
    let mut broken_runs = state.broken_runs.borrow_mut();
    if let Some(runs) = broken_runs.get_mut(&endpoint) {
        return runs.push(run);
    }
    broken_runs.insert(endpoint.clone(), vec![run]);
    tokio::task::spawn_local(run_check(Rc::clone(state), endpoint, address));
}

/// Whether a crash ended the connection of an answer that has no other end. Reports the crash to the
/// leader.
///
/// The answer of a suspected request is evidence for it, so the endpoint is checked twice.
pub(super) async fn ended_in_crash(request: &ServedRequest, sent_to: &SentTo) -> bool {
    let SentTo { endpoint, address, .. } = sent_to;
    if request.state.table.borrow().holds().is_leaving(endpoint) {
        return false;
    }
    let crashed = match request.is_suspect() {
        true => is_down(*address).await,
        false => briartray_http::is_refused(*address).await,
    };
    if crashed {
        check(request, sent_to);
    }
    crashed
}

async fn is_down(address: SocketAddr) -> bool {
    if briartray_http::is_refused(address).await {
        return true;
    }
    tokio::time::sleep(RECHECK_DELAY).await;
    briartray_http::is_refused(address).await
}

async fn run_check(state: Rc<EntryState>, endpoint: IncarnationId, address: SocketAddr) {
    let crashed = is_down(address).await;
    let runs = state.broken_runs.borrow_mut().remove(&endpoint).unwrap_or_default();
    if !crashed {
        log::debug!(endpoint:% = endpoint, requests = runs.len();
            "connections broke, but the endpoint still listens; not counted as a crash");
        return;
    }
    state.metrics.crashes.inc();
    log::warn!(endpoint:% = endpoint, requests = runs.len(), parts = list_parts(&all_parts(&runs));
        "endpoint crashed while serving requests; reporting to the leader");
    for BrokenRun { print, parts, rule, team, began, broke } in runs {
        if state.log_budget.allows(state.now()) {
            log::info!(print:%, parts = list_parts(&parts), endpoint:% = endpoint, rule;
                "request was running on an endpoint that crashed");
        }
        let ran_ms = u64::try_from(broke.since(began).as_millis()).unwrap_or(u64::MAX);
        let end = RunEnd::Crashed { endpoint: endpoint.clone(), ran_ms, rule, team };
        state.evidence_log.borrow_mut().note_with_parts(broke, print, &parts, end);
    }
    state.send_report();
}

/// The prompt parts of all `runs`, in ascending order.
fn all_parts(runs: &[BrokenRun]) -> Vec<PartId> {
    let mut parts: Vec<PartId> = runs.iter().flat_map(|run| run.parts.iter().copied()).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// The ids of `parts` for a log line, separated by commas.
fn list_parts(parts: &[PartId]) -> String {
    let ids: Vec<String> = parts.iter().map(PartId::to_string).collect();
    ids.join(",")
}
