//! This entry's share of the free capacity of each model, as the leader grants it by demand.
//!
//! A share is a hint: the loads that groups report still bound what is sent. It expires soon after
//! the leader is lost, and an equal share applies from then on.

use std::time::Duration;

use briartray_model::names::ServiceName;
use briartray_model::{SortedTable, TimePoint};

use crate::message::DemandShare;

/// Time for which a share is valid after the report that it answers was sent. Demand moves between
/// entries within seconds, so an older share is worse than an equal one.
const SHARE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Shares of one entry.
#[derive(Debug, Clone, Default)]
pub struct ShareBook {
    shares: SortedTable<(ServiceName, String), f64>,
    valid_until: TimePoint,
}

impl ShareBook {
    /// Replaces the shares by those that answer a report sent at `asked_at`.
    pub fn grant(&mut self, asked_at: TimePoint, shares: &[DemandShare]) {
        self.valid_until = asked_at.after(SHARE_LIFETIME);
        self.shares = SortedTable::new();
        for share in shares {
            let key = (share.service.clone(), share.model.clone());
            self.shares.insert(key, f64::from(share.permille) / 1e3);
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
        share.copied().unwrap_or(equal)
    }
}
