//! This entry's share of the free capacity of each model, as the leader grants it by demand.
//!
//! A share is a hint: the loads that groups report still bound what is sent. It expires soon after
//! the leader is lost, and an equal share applies from then on. A new leader has not counted any
//! demand yet, so the shares of the one before end with its first notice.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

use crate::message::DemandShare;

/// Time for which a share is valid after the report that it answers was sent. Demand moves between
/// entries within seconds, so an older share is worse than an equal one.
pub const SHARE_LIFETIME: Duration = Duration::from_millis(1_500);

/// The whole capacity, in thousandths.
const WHOLE_PERMILLE: u16 = 1_000;

/// Shares of one entry.
#[derive(Debug, Clone, Default)]
pub struct ShareBook {
    shares: SortedTable<(ServiceName, String), u16>,
    /// When the report was sent that the shares answer.
    asked_at: TimePoint,
    valid_until: TimePoint,
    /// Whether the next notice may come from another leader.
    leader_may_differ: bool,
}

impl ShareBook {
    /// Replaces the shares by those that answer a report sent at `asked_at`. Answers may be
    /// reordered; one to an earlier report than the last is ignored.
    pub fn grant(&mut self, asked_at: TimePoint, shares: &[DemandShare]) {
        if asked_at < self.asked_at {
            return;
        }
        self.asked_at = asked_at;
        self.valid_until = asked_at.after(SHARE_LIFETIME);
        let entry = |share: &DemandShare| {
            ((share.service.clone(), share.model.clone()), share.permille.min(WHOLE_PERMILLE))
        };
        self.shares = shares.iter().map(entry).collect();
    }

    /// Records that the stream to the leader was opened again. The shares stay in force until a
    /// leader is heard: it may be the same one.
    pub fn begin_leader(&mut self) {
        self.leader_may_differ = true;
    }

    /// Records a notice of a leader. The first one on a new stream ends the shares granted before.
    pub fn record_leader_notice(&mut self) {
        if std::mem::take(&mut self.leader_may_differ) {
            self.shares.clear();
        }
    }

    /// Fraction of the free capacity of `model` that this entry may fill: its share, or an equal one
    /// of `entries` entries.
    pub fn fraction(
        &self,
        now: TimePoint,
        service: &ServiceName,
        model: &str,
        entries: usize,
    ) -> f64 {
        let equal = 1.0 / entries.max(1) as f64;
        if now >= self.valid_until {
            return equal;
        }
        let wanted = (service.as_str(), model);
        let share = self.shares.find(|(service, model)| (service.as_str(), &**model).cmp(&wanted));
        share.map_or(equal, |permille| f64::from(*permille) / 1e3)
    }

    /// Models with a share that is in force, and the share in thousandths.
    pub fn in_force(&self, now: TimePoint) -> impl Iterator<Item = (&str, u16)> {
        let shares = self.shares.iter().filter(move |_| now < self.valid_until);
        shares.map(|((_, model), permille)| (&**model, *permille))
    }
}
