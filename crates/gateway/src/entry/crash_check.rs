//! Distinguishes an endpoint crash from a lost connection.
//!
//! A broken connection alone is not evidence of a crash: links fail, responses are lost, and an
//! endpoint may abort one response and keep running. After a crash nothing listens at the
//! endpoint's address until it is restarted, so its host refuses a new connection. A request whose
//! connection was lost may still run, so an endpoint that listens is checked once more after a moment.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::entry::TargetId;
use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{IncarnationId, PartId};
use briartray_quarantine::{CHECK_DELAY, ClosedRuns};

use super::attempt::SentTo;
use super::dispatch::{RequestIdentity, ServedRequest};
use super::given_up::RunWatch;
use super::state::EntryState;

/// Pause before the second connection attempt: a crashing endpoint may close its connections before
/// it stops listening.
const RECHECK_DELAY: Duration = Duration::from_millis(40);

/// A request whose connection to the endpoint broke.
#[derive(Debug, Clone)]
pub(super) struct BrokenRun {
    identity: Rc<RequestIdentity>,
    /// When the request was sent to the endpoint.
    began: TimePoint,
    /// When the connection broke.
    broke: TimePoint,
}

impl BrokenRun {
    fn new(state: &EntryState, identity: &Rc<RequestIdentity>, sent_to: &SentTo) -> Self {
        Self { identity: Rc::clone(identity), began: sent_to.at, broke: state.now() }
    }
}

/// Starts a check whether the endpoint that `request` was sent to has crashed, and reports a crash
/// to the leader. Requests to the same endpoint whose connections break during the check
/// share its result.
pub(super) fn check(request: &ServedRequest, sent_to: &SentTo) {
    let SentTo { endpoint, address, .. } = sent_to.clone();
    let state = &request.state;
    if state.table.borrow().holds().is_leaving(&endpoint) {
        return;
    }
    let run = BrokenRun::new(state, &request.identity, sent_to);
    let mut broken_runs = state.broken_runs.borrow_mut();
    if let Some(runs) = broken_runs.get_mut(&endpoint) {
        return runs.push(run);
    }
    broken_runs.insert(endpoint.clone(), vec![run]);
    tokio::task::spawn_local(run_check(Rc::clone(state), endpoint, address));
}

/// As [`check`] for a run that the entry had given up. Most endpoints close such connections, so the
/// check takes a moment longer, and a sign of life of the endpoint spares it.
pub(super) fn check_given_up(watch: &RunWatch) {
    let RunWatch { state, identity, sent_to, target, .. } = watch.clone();
    if state.table.borrow().holds().is_leaving(&sent_to.endpoint) {
        return;
    }
    let run = BrokenRun::new(&state, &identity, &sent_to);
    let mut given_up = state.given_up_runs.borrow_mut();
    let is_checked = given_up.contains_key(&sent_to.endpoint);
    let runs = given_up.get_or_insert_with(sent_to.endpoint.clone(), ClosedRuns::default);
    runs.push(state.now(), run);
    drop(given_up);
    if !is_checked {
        tokio::task::spawn_local(run_given_up_checks(state, sent_to, target));
    }
}

/// Checks the closed runs of an endpoint, each when it is due, until none is left.
async fn run_given_up_checks(state: Rc<EntryState>, sent_to: SentTo, target: TargetId) {
    let SentTo { endpoint, address, .. } = sent_to;
    loop {
        let due_at = state.given_up_runs.borrow().get(&endpoint).and_then(ClosedRuns::due_at);
        let Some(due_at) = due_at else {
            state.given_up_runs.borrow_mut().remove(&endpoint);
            return;
        };
        tokio::time::sleep(due_at.since(state.now())).await;
        let due = state
            .given_up_runs
            .borrow_mut()
            .get_mut(&endpoint)
            .and_then(|runs| runs.take_due(state.now()));
        let Some((closed, runs)) = due else { continue };
        let is_alive = state.pool.borrow().has_open(address)
            || state.table.borrow().has_moved_after(closed.after(RECHECK_DELAY), &target);
        let crashed = !is_alive && briartray_http::is_refused(address).await;
        report(&state, &endpoint, runs, crashed);
    }
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
    let crashed = match request.identity.is_suspect(&request.state) {
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
    let crashed = crashed || is_down_later(&state, address, &runs).await;
    report(&state, &endpoint, runs, crashed);
}

/// Whether the endpoint, which listened when the connections of `runs` broke, is down `CHECK_DELAY` after
/// the last of them.
async fn is_down_later(state: &EntryState, address: SocketAddr, runs: &[BrokenRun]) -> bool {
    let Some(last) = runs.iter().map(|run| run.broke).max() else { return false };
    tokio::time::sleep(last.after(CHECK_DELAY).since(state.now())).await;
    !state.pool.borrow().has_open(address) && briartray_http::is_refused(address).await
}

/// Reports `runs` to the leader if their endpoint has crashed.
fn report(state: &EntryState, endpoint: &IncarnationId, runs: Vec<BrokenRun>, crashed: bool) {
    if !crashed {
        log::debug!(endpoint:% = endpoint, requests = runs.len();
            "connections broke, but the endpoint still listens; not counted as a crash");
        return;
    }
    state.metrics.crashes.inc();
    log::warn!(endpoint:% = endpoint, requests = runs.len(), parts = list_parts(&all_parts(&runs));
        "endpoint crashed while serving requests; reporting to the leader");
    for BrokenRun { identity, began, broke } in runs {
        let (print, parts) = (identity.fingerprint(state), &identity.shared_parts);
        let (rule, team) = (identity.rule.clone(), identity.team.clone());
        if state.log_budget.allows(state.now()) {
            log::info!(print:%, parts = list_parts(parts), endpoint:% = endpoint, rule;
                "request was running on an endpoint that crashed");
        }
        let ran_ms = u64::try_from(broke.since(began).as_millis()).unwrap_or(u64::MAX);
        let end = RunEnd::Crashed { endpoint: endpoint.clone(), ran_ms, rule, team };
        state.evidence_log.borrow_mut().note_with_parts(broke, print, parts, end);
    }
    state.send_report();
}

/// The prompt parts of all `runs`, in ascending order.
fn all_parts(runs: &[BrokenRun]) -> Vec<PartId> {
    let shared = runs.iter().flat_map(|run| run.identity.shared_parts.iter().copied());
    let mut parts: Vec<PartId> = shared.collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// The ids of `parts` for a log line, separated by commas.
fn list_parts(parts: &[PartId]) -> String {
    let ids: Vec<String> = parts.iter().map(PartId::to_string).collect();
    ids.join(",")
}
