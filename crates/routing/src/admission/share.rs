//! Shares of one limit for many entries, whose sum never exceeds the limit.
//!
//! The leader of the control hosts distributes shares by recent demand. A share is a lease. The
//! entry counts its duration from the time it sent the request; the leader counts from its reply
//! and adds a margin. The entry therefore always stops first. Shares are in whole units: requests
//! in flight, or thousandths of a request per second.

use std::time::Duration;

use briartray_model::{SortedTable, TimePoint};

/// Interval between updates of the fair level from the demand of all entries.
const FAIR_LEVEL_INTERVAL: Duration = Duration::from_millis(200);

/// Divisor for the part of the limit that is distributed evenly, also to entries without demand.
/// Their first request then need not wait for the next renewal.
const BASE_SHARE_DIVISOR: u64 = 2;

/// Identifies one process start of an entry as the holder of a share.
///
/// A restarted entry holds no share, but requests of its predecessor may still run. The
/// predecessor's share must therefore expire on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub u64);

/// Renewal of one share by an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareRequest {
    /// Number of the renewal; increases with each one.
    pub nonce: u64,
    /// Units that the entry could use now.
    pub demand: u64,
    /// Units that the entry holds now.
    pub held: u64,
    /// Units in use now; may exceed `held` after the share was reduced.
    pub used: u64,
}

#[derive(Debug, Clone, Copy)]
struct HolderShare {
    nonce: u64,
    demand: u64,
    /// Upper bound on the units that the entry may hold, as far as the leader knows.
    committed: u64,
    /// When the share expires.
    held_until: TimePoint,
    /// When units that were used until then no longer count.
    until: TimePoint,
}

/// One limit and its shares, as kept by the leader.
#[derive(Debug)]
pub struct LimitBook {
    limit: u64,
    lease: Duration,
    /// Time for which a used unit counts.
    used_time: Duration,
    grants_from: TimePoint,
    holders: SortedTable<HolderId, HolderShare>,
    committed: u64,
    fair_level: u64,
    base_share: u64,
    fair_level_at: Option<TimePoint>,
}

impl LimitBook {
    /// Opens the book of a new leader. `lease` includes the margin for clock drift.
    ///
    /// Entries may still hold shares from an earlier leader. Until these have expired, the new
    /// leader only confirms what entries hold; granting more could assign the same units twice.
    pub fn open(now: TimePoint, limit: u64, lease: Duration) -> Self {
        Self::open_counted(Some(now), limit, lease, Duration::ZERO)
    }

    /// Opens the book of a leader for units that are used up: each one counts for `used_time` after
    /// its use, also if its entry is lost. `since` is when the leader took over from an earlier one,
    /// as in [`Self::open`]; `None` if there was none.
    pub fn open_counted(
        since: Option<TimePoint>,
        limit: u64,
        lease: Duration,
        used_time: Duration,
    ) -> Self {
        Self {
            limit,
            lease,
            used_time,
            grants_from: since.map_or(TimePoint(0), |since| since.after(lease + used_time)),
            holders: SortedTable::new(),
            committed: 0,
            fair_level: 0,
            base_share: 0,
            fair_level_at: None,
        }
    }

    /// Changes the limit. If it is lower, the excess is reclaimed with the next renewals.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Answers a renewal with the entry's share; `None` if the renewal arrived out of order.
    ///
    /// An entry accepts an answer only before it sends its next renewal. A renewal therefore
    /// settles which earlier answers were accepted: no answer still in transit counts any more. An
    /// entry that reported a share accepts the answer only while that share is valid: an earlier
    /// leader may have granted it to another entry since then, unknown to this leader.
    pub fn renew(
        &mut self,
        now: TimePoint,
        holder: HolderId,
        request: &ShareRequest,
    ) -> Option<u64> {
        if self.holders.get(&holder).is_some_and(|known| request.nonce <= known.nonce) {
            return None;
        }
        self.refresh_fair_level(now);
        let before = self.holders.get(&holder).map_or(0, |known| known.committed);
        let others = self.committed - before;
        let room = self.limit.saturating_sub(others);
        let share =
            if now < self.grants_from { request.held } else { self.target_share(request.demand) }
                .min(room);
        let committed = share.max(request.held).max(request.used);
        self.committed = others + committed;
        let ShareRequest { nonce, demand, .. } = *request;
        let held_until = now.after(self.lease);
        let until = held_until.after(self.used_time);
        self.holders.insert(holder, HolderShare { nonce, demand, committed, held_until, until });
        Some(share)
    }

    /// Ends the share of an entry that stops using it; `used` units of it still count. Ignored if
    /// the entry's report arrived out of order.
    pub fn release(&mut self, now: TimePoint, holder: HolderId, nonce: u64, used: u64) {
        let known = self.holders.get(&holder);
        if known.is_some_and(|known| nonce <= known.nonce) {
            return;
        }
        self.committed -= known.map_or(0, |known| known.committed);
        self.committed += used;
        let until = now.after(self.used_time);
        let released = HolderShare { nonce, demand: 0, committed: used, held_until: now, until };
        self.holders.insert(holder, released);
    }

    /// Units that are or may be held.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Number of entries that hold or have requested a share.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Removes entries whose shares have expired; returns whether any entry is left.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        self.holders.retain(|_, known| now < known.until);
        self.committed = self.holders.values().map(|known| known.committed).sum();
        !self.holders.is_empty()
    }

    fn target_share(&self, demand: u64) -> u64 {
        self.base_share + demand.saturating_sub(self.base_share).min(self.fair_level)
    }

    fn refresh_fair_level(&mut self, now: TimePoint) {
        if self.fair_level_at.is_some_and(|at| now.since(at) < FAIR_LEVEL_INTERVAL) {
            return;
        }
        self.fair_level_at = Some(now);
        self.expire(now);
        let (live, ended): (Vec<&HolderShare>, Vec<&HolderShare>) =
            self.holders.values().partition(|known| now < known.held_until);
        let ended: u64 = ended.iter().map(|known| known.committed).sum();
        let limit = self.limit.saturating_sub(ended);
        let count = live.len().max(1) as u64;
        self.base_share = limit / BASE_SHARE_DIVISOR / count;
        let mut excess: Vec<u64> = live
            .iter()
            .map(|known| known.demand.saturating_sub(self.base_share))
            .filter(|excess| *excess > 0)
            .collect();
        self.fair_level = max_min_level(&mut excess, limit - self.base_share * count);
    }
}

/// Max-min fair level for `amount` units: demands up to the level are met in full, larger ones get
/// the level.
fn max_min_level(demands: &mut [u64], amount: u64) -> u64 {
    demands.sort_unstable();
    let mut left = amount;
    for (index, demand) in demands.iter().enumerate() {
        let sharers = (demands.len() - index) as u64;
        if demand.saturating_mul(sharers) > left {
            return left / sharers;
        }
        left -= demand;
    }
    // All demands are met; the rest is available until the next update.
    demands.last().copied().unwrap_or_default() + left
}
