//! Telling a crash of an endpoint from a connection that was merely lost.
//!
//! A connection that breaks says little: links are cut, answers are lost, and an endpoint may break off one
//! answer and go on. When an endpoint has crashed nothing listens at its address until it is started again, so
//! its host refuses a new connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::RunEnd;
use briartray_model::names::{IncarnationId, RequestFingerprint, TeamName};

use super::dispatch::{SentTo, ServedRequest};
use super::state::EntryState;

/// Time between the two looks at an endpoint: it may close its connections before it stops listening.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// A request whose connection broke.
#[derive(Debug, Clone)]
pub(super) struct BrokenRun {
    print: RequestFingerprint,
    rule: String,
    team: Option<TeamName>,
    /// When it was sent to the endpoint.
    began: TimePoint,
    /// When its connection broke.
    broke: TimePoint,
}

/// Finds out whether the endpoint that `request` was sent to last has crashed, and reports that. Requests whose
/// connections break meanwhile share the answer.
pub(super) fn check(request: &ServedRequest) {
    let Some(SentTo { endpoint, address, at }) = request.sent_to.clone() else { return };
    let state = &request.state;
    if state.table.borrow().is_leaving(&endpoint) {
        return;
    }
    let run = BrokenRun {
        print: request.print(),
        rule: request.rule.name.clone(),
        team: request.team.clone(),
        began: at,
        broke: state.now(),
    };
    let mut broken = state.broken.borrow_mut();
    if let Some(runs) = broken.get_mut(&endpoint) {
        return runs.push(run);
    }
    broken.insert(endpoint.clone(), vec![run]);
    tokio::task::spawn_local(look(Rc::clone(state), endpoint, address));
}

async fn look(state: Rc<EntryState>, endpoint: IncarnationId, address: SocketAddr) {
    let mut crashed = briartray_http::is_refused(address).await;
    if !crashed {
        tokio::time::sleep(LOOK_AGAIN).await;
        crashed = briartray_http::is_refused(address).await;
    }
    let runs = state.broken.borrow_mut().remove(&endpoint).unwrap_or_default();
    if !crashed {
        log::debug!(endpoint:% = endpoint, requests = runs.len(); "connections broke, and the endpoint listens");
        return;
    }
    state.metrics.crashes.inc();
    log::warn!(endpoint:% = endpoint, requests = runs.len(); "an endpoint crashed");
    for BrokenRun { print, rule, team, began, broke } in runs {
        if state.lines.allows(state.now()) {
            log::info!(print:%, endpoint:% = endpoint, rule; "a request ran on an endpoint that crashed");
        }
        let ran_ms = u64::try_from(broke.since(began).as_millis()).unwrap_or(u64::MAX);
        let end = RunEnd::Crashed { endpoint: endpoint.clone(), ran_ms, rule, team };
        state.runs.borrow_mut().note(broke, print, end);
    }
    state.send_report();
}
