//! Evacuation of availability zones on behalf of operators.

use briartray_fleet::state::FleetCommand;
use briartray_model::TimePoint;
use briartray_model::names::ZoneName;

use super::core::ControlCore;
use super::input::{ControlReply, ReplySender};
use super::origin::CommandOrigin;

/// Change of a zone requested by an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneChange {
    /// Send no more requests to the endpoints of the zone.
    Evacuate,
    /// Send requests to the endpoints of the zone again.
    Readmit,
}

impl ControlCore {
    /// Evacuates or readmits a zone. The change is acknowledged after a majority stored it, even if
    /// the zone is already in the requested state.
    pub(super) fn change_zone(
        &mut self,
        now: TimePoint,
        zone: ZoneName,
        change: ZoneChange,
        reply: ReplySender,
    ) {
        if !self.is_established() {
            return self.redirect(reply);
        }
        // As with a deployment plan, a single voter could lose an acknowledged change together with
        // its disk.
        if !self.has_voters(now) {
            let _ = reply.send(ControlReply::Unavailable);
            return;
        }
        if !self.knows_zone(&zone) {
            let _ = reply.send(ControlReply::UnknownZone(zone));
            return;
        }
        let command = match change {
            ZoneChange::Evacuate => FleetCommand::EvacuateZone(zone),
            ZoneChange::Readmit => FleetCommand::ReadmitZone(zone),
        };
        self.submit(&command, CommandOrigin::Caller(reply));
    }

    /// Whether the zone belongs to the deployment.
    fn knows_zone(&self, zone: &ZoneName) -> bool {
        let named = &self.parts.role.zones;
        let announced = || self.state.endpoints().values().any(|record| record.zone == *zone);
        named.contains(zone) || self.state.is_evacuated(zone) || (named.is_empty() && announced())
    }
}
