//! The agreed list of endpoints, kept up to date with what is heard.

use briartray_model::TimePoint;

use super::step::DirectorOutput;
use super::{EndpointBeat, EndpointReport, FleetDirector, HostRecord};
use crate::state::{EndpointRecord, FleetCommand, FleetState};

impl FleetDirector {
    /// Brings the agreed list of endpoints up to date with what was heard.
    pub(super) fn keep_records(
        &mut self,
        now: TimePoint,
        state: &FleetState,
        output: &mut DirectorOutput,
    ) {
        self.hosts.prune(now);
        for (id, host) in self.hosts.iter() {
            let known = state.endpoints().get(id);
            if known.is_none() && !host.is_lost() && !self.announced.contains(id) {
                self.announced.push(id.clone());
                output.commands.push(FleetCommand::Announce(record_of(host)));
            }
        }
        for id in state.endpoints().keys().filter(|id| self.hosts.get(id).is_none()) {
            self.announced.retain(|known| known != id);
            output.commands.push(FleetCommand::Forget(id.clone()));
        }
    }
}

/// What is agreed on of an endpoint.
fn record_of(host: &HostRecord) -> EndpointRecord {
    let beat = &host.beat;
    EndpointRecord {
        id: beat.id.clone(),
        service: beat.service.clone(),
        address: beat.address.clone(),
        zone: beat.zone.clone(),
        domain: beat.report.domain.clone(),
        slots: beat.slots,
    }
}

/// The beat that an earlier leader would have had; any real one is newer.
pub(super) fn inherited_beat(record: &EndpointRecord) -> EndpointBeat {
    EndpointBeat {
        id: record.id.clone(),
        service: record.service.clone(),
        address: record.address.clone(),
        zone: record.zone.clone(),
        slots: record.slots,
        leaving: false,
        sequence: 0,
        report: EndpointReport { domain: record.domain.clone(), ..EndpointReport::default() },
    }
}
