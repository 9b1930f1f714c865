//! Endpoint records in the log, kept up to date with the known endpoints.

use briartray_model::TimePoint;
use briartray_model::names::IncarnationId;

use super::step::DirectorOutput;
use super::{EndpointHeartbeat, EndpointReport, FleetDirector, HostRecord};
use crate::state::{EndpointRecord, FleetCommand, FleetState};

/// Limit on endpoints in one command. Nothing is planned while commands are pending: with one
/// command for each endpoint, thousands that start together would have no groups when callers send
/// requests.
const MAX_RECORDS_PER_COMMAND: usize = 256;

impl FleetDirector {
    /// Appends commands that add new endpoints to the log and remove forgotten ones.
    pub(super) fn sync_records(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        output: &mut DirectorOutput,
    ) {
        self.hosts.prune(now);
        let unrecorded = |(id, host): &(&IncarnationId, &HostRecord)| {
            state.endpoints().get(id).is_none() && !host.is_lost() && !self.announced.contains(id)
        };
        let unrecorded = self.hosts.iter().filter(unrecorded).take(MAX_RECORDS_PER_COMMAND);
        let records: Vec<EndpointRecord> = unrecorded.map(|(_, host)| record_of(host)).collect();
        if !records.is_empty() {
            self.announced.extend(records.iter().map(|record| record.id.clone()));
            output.commands.push(FleetCommand::Announce(records));
        }
        let ended = state.endpoints().keys().filter(|id| self.hosts.get(id).is_none());
        let ended: Vec<IncarnationId> = ended.take(MAX_RECORDS_PER_COMMAND).cloned().collect();
        if !ended.is_empty() {
            self.announced.retain(|known| !ended.contains(known));
            output.commands.push(FleetCommand::Forget(ended));
        }
    }
}

/// Record of an endpoint for the log.
fn record_of(host: &HostRecord) -> EndpointRecord {
    let heartbeat = &host.heartbeat;
    EndpointRecord {
        id: heartbeat.id.clone(),
        service: heartbeat.service.clone(),
        address: heartbeat.address.clone(),
        zone: heartbeat.zone.clone(),
        domain: heartbeat.report.domain.clone(),
        slots: heartbeat.slots,
    }
}

/// Placeholder heartbeat for an endpoint in the log; any received one is newer.
pub(super) fn inherited_heartbeat(record: &EndpointRecord) -> EndpointHeartbeat {
    EndpointHeartbeat {
        id: record.id.clone(),
        service: record.service.clone(),
        address: record.address.clone(),
        zone: record.zone.clone(),
        slots: record.slots,
        leaving: false,
        cold_ms: 0,
        sequence: 0,
        report: EndpointReport { domain: record.domain.clone(), ..EndpointReport::default() },
    }
}
