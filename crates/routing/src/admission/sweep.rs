//! Refusal of waiting requests that can no longer meet their deadlines.

use briartray_model::TimePoint;
use briartray_model::names::TeamName;

use super::service::{LimitTable, ServiceQueue};
use super::team::WaitingRequest;
use super::verdict::{
    AdmissionOutput, AdmissionRefusal, AdmissionVerdict, RefusalCause, TicketNumber, no_replica,
    refuse,
};
use super::window::SlotWindow;

/// Checks the requests of team `name`. Each refused request shortens the wait of those behind it.
pub(super) fn sweep_team(
    now: TimePoint,
    service: &mut ServiceQueue,
    name: &TeamName,
    limits: &mut LimitTable,
    outputs: &mut Vec<AdmissionOutput>,
) {
    let Some(team) = service.teams.get(name) else { return };
    let mut kept = 0;
    let mut refused: Vec<(TicketNumber, AdmissionRefusal)> = Vec::new();
    for request in &team.waiting {
        if service.window.capacity() == 0 {
            refused.push((request.ticket, no_replica()));
            continue;
        }
        let by_slots =
            service.expected_wait(name, team.weight, request.priority, kept).unwrap_or_default();
        let limit = request.limit.as_ref().and_then(|key| limits.get_mut(key));
        let by_limit = limit
            .map_or(0.0, |limit| limit.expected_wait(now, kept as f64, service.window.mean_time()));
        let need = time_needed(&service.window, request);
        let excess = by_slots.max(by_limit) + need - request.deadline.since(now).as_secs_f64();
        if excess > 0.0 {
            refused.push((request.ticket, refuse(RefusalCause::TooLate, excess)));
        } else {
            kept += 1;
        }
    }
    let Some(team) = service.teams.get_mut(name) else { return };
    for (ticket, refusal) in refused {
        team.remove(ticket);
        outputs.push(AdmissionOutput { ticket, verdict: AdmissionVerdict::Refuse(refusal) });
    }
}

/// Time in seconds that `request` needs once it has started.
pub(super) fn time_needed(window: &SlotWindow, request: &WaitingRequest) -> f64 {
    window.time_needed(request.deadline.since(request.arrived))
}
