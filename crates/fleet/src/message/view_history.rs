//! Recent fleet views of a leader, from which updates for entries are computed.

use super::{FleetView, ViewUpdate, ViewVersion};

/// Views that are kept. An entry that holds an older view gets a whole one.
const MAX_VIEWS: usize = 8;

/// The most recent fleet views of one leader.
#[derive(Debug, Clone, Default)]
pub struct ViewHistory {
    /// Views in the order they were added; the newest is last.
    views: Vec<FleetView>,
}

impl ViewHistory {
    /// Adds a newer view and drops the oldest one if `MAX_VIEWS` are held.
    pub fn push(&mut self, view: FleetView) {
        if self.views.len() == MAX_VIEWS {
            self.views.remove(0);
        }
        self.views.push(view);
    }

    /// Returns the newest view, or `None` before the first.
    pub fn newest(&self) -> Option<&FleetView> {
        self.views.last()
    }

    /// Returns the version that an update for a holder of `held` applies to; `None` if the holder
    /// needs a whole view.
    pub fn base_of(&self, held: Option<ViewVersion>) -> Option<ViewVersion> {
        held.filter(|held| self.views.iter().any(|view| view.version == *held))
    }

    /// Returns the update for a holder of `held`; `None` if it holds the newest view or there is no
    /// view. A holder whose view is complete (`settled`) gets no partial view: it keeps its own
    /// until this leader has heard from all endpoints.
    pub fn update_for(&self, held: Option<ViewVersion>, settled: bool) -> Option<ViewUpdate> {
        let wanted = |view: &&FleetView| held != Some(view.version) && !(settled && view.partial);
        let newest = self.newest().filter(wanted)?;
        let base = self.views.iter().find(|view| held == Some(view.version));
        Some(base.map_or_else(|| newest.whole(), |base| newest.since(base)))
    }
}
