//! Planned stops that were committed.

use briartray_model::SortedTable;
use briartray_model::names::{HostName, StopId};
use serde::{Deserialize, Serialize};

/// The stop plans aggregate.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StopBook {
    stops: SortedTable<StopId, Vec<HostName>>,
}

impl StopBook {
    /// Whether `host` is part of a stop.
    pub fn is_leaving(&self, host: &HostName) -> bool {
        self.stops.values().any(|hosts| hosts.contains(host))
    }
}
