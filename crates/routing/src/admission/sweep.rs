//! Giving up waiting requests that cannot be done in time any more.

use briartray_model::TimePoint;
use briartray_model::names::TeamName;

use super::service::{LimitTable, ServiceQueue};
use super::team::WaitingRequest;
use super::verdict::{
    AdmissionOutput, AdmissionRefusal, AdmissionVerdict, RefusalCause, TicketNumber, no_replica,
    refuse,
};
use super::window::SlotWindow;

/// Gives up requests of team `name`; each one given up shortens the wait of those behind it.
pub(super) fn sweep_team(
    now: TimePoint,
    service: &mut ServiceQueue,
    name: &TeamName,
    limits: &mut LimitTable,
    outputs: &mut Vec<AdmissionOutput>,
) {
    let Some(team) = service.teams.get(name) else { return };
    let mut kept = 0;
    let mut lost: Vec<(TicketNumber, AdmissionRefusal)> = Vec::new();
    for request in &team.waiting {
        if service.window.capacity() == 0 {
            lost.push((request.ticket, no_replica()));
            continue;
        }
        let by_slots = service.wait(name, team.weight, request.priority, kept).unwrap_or_default();
        let limit = request.limit.as_ref().and_then(|key| limits.get_mut(key));
        let by_limit =
            limit.map_or(0.0, |limit| limit.wait(now, kept as f64, service.window.mean_time()));
        let need = time_needed(&service.window, request);
        let over = by_slots.max(by_limit) + need - request.deadline.since(now).as_secs_f64();
        if over > 0.0 {
            lost.push((request.ticket, refuse(RefusalCause::TooLate, over)));
        } else {
            kept += 1;
        }
    }
    let Some(team) = service.teams.get_mut(name) else { return };
    for (ticket, refusal) in lost {
        team.remove(ticket);
        outputs.push(AdmissionOutput { ticket, verdict: AdmissionVerdict::Refuse(refusal) });
    }
}

/// Time in seconds that `request` needs once it starts.
pub(super) fn time_needed(window: &SlotWindow, request: &WaitingRequest) -> f64 {
    window.time_needed(request.deadline.since(request.arrived))
}
