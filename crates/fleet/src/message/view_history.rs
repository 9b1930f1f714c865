//! Views that entries may hold, so that each is told what has changed since its own.

use super::{FleetView, ViewUpdate, ViewVersion};

/// Views that are kept: an entry that is further behind is told the whole newest one.
const KEPT_VIEWS: usize = 8;

/// The newest views of one leader.
#[derive(Debug, Clone, Default)]
pub struct ViewHistory {
    /// The newest one is last.
    views: Vec<FleetView>,
}

impl ViewHistory {
    /// Takes a newer view.
    pub fn push(&mut self, view: FleetView) {
        if self.views.len() == KEPT_VIEWS {
            self.views.remove(0);
        }
        self.views.push(view);
    }

    /// The newest view.
    pub fn newest(&self) -> Option<&FleetView> {
        self.views.last()
    }

    /// The view that an update for a holder of `held` can begin with; `None` where it has to be whole.
    pub fn base_of(&self, held: Option<ViewVersion>) -> Option<ViewVersion> {
        held.filter(|held| self.views.iter().any(|view| view.version == *held))
    }

    /// What a holder of `held` has to be told; `None` where that is the newest view, or there is none. One whose
    /// view is `settled`, as of a leader that had heard of all endpoints, keeps it until this leader has.
    pub fn update_for(&self, held: Option<ViewVersion>, settled: bool) -> Option<ViewUpdate> {
        let wanted = |view: &&FleetView| held != Some(view.version) && !(settled && view.partial);
        let newest = self.newest().filter(wanted)?;
        let base = self.views.iter().find(|view| held == Some(view.version));
        Some(base.map_or_else(|| newest.whole(), |base| newest.since(base)))
    }
}
