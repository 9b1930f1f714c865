//! Groups in evacuated availability zones.
//!
//! Load pattern: one zone of three is evacuated, and the other two get its requests within moments.
//! The groups of the evacuated zone get no requests but stay formed, so that they serve at once
//! when the zone is readmitted. The planner sees neither these groups nor their hosts: it splits
//! the remaining hosts by the demand.

use super::hosts::HostTable;
use crate::state::{FleetState, GroupHost, GroupRecord};

/// Whether the zone of the group, or of one of its hosts, is evacuated.
pub(super) fn is_evacuated(hosts: &HostTable, state: &FleetState, record: &GroupRecord) -> bool {
    if state.evacuated().is_empty() {
        return false;
    }
    let zone_of = |host: &GroupHost| hosts.get(&host.id).map(|known| &known.heartbeat.zone);
    let mut zones = record.members.iter().filter_map(zone_of).chain([&record.zone]);
    zones.any(|zone| state.is_evacuated(zone))
}
