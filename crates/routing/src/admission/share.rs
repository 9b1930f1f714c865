//! One limit shared over many entries, so that the shares never add up to more than the limit.
//!
//! The leader of control hands out shares by recent demand. A share is a lease: the entry counts
//! its time from when it asked, the leader from when it answered and a margin longer, so the entry
//! always stops first. Shares are counted in whole units: requests in flight, or thousandths of a
//! request per second.

use std::time::Duration;

use briartray_model::{SortedTable, TimePoint};

/// Time between two looks at the demand of all entries.
const LEVEL_INTERVAL: Duration = Duration::from_millis(200);

/// Part of a limit that is spread evenly over entries without demand, as a divisor; an entry whose
/// first request comes then need not wait for its next renewal.
const STANDING_DIVISOR: u64 = 2;

/// Which start of which entry holds a share.
///
/// An entry that starts anew holds nothing, but requests of its earlier self may still run, so that
/// share must run out by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub u64);

/// What an entry says about one limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareRequest {
    /// Number of the renewal; grows with each.
    pub nonce: u64,
    /// What it could use now.
    pub demand: u64,
    /// What it holds now.
    pub held: u64,
    /// What it uses now, which may be more than it holds after its share became smaller.
    pub used: u64,
}

#[derive(Debug, Clone, Copy)]
struct HolderShare {
    nonce: u64,
    demand: u64,
    /// The most that the entry may hold by what the leader knows.
    committed: u64,
    until: TimePoint,
}

/// One limit as the leader shares it out.
#[derive(Debug)]
pub struct LimitBook {
    limit: u64,
    lease: Duration,
    grow_from: TimePoint,
    holders: SortedTable<HolderId, HolderShare>,
    committed: u64,
    level: u64,
    standing: u64,
    leveled_at: Option<TimePoint>,
}

impl LimitBook {
    /// A book that a leader opens at `now`, with a lease that includes the margin for drift.
    ///
    /// Shares of an earlier leader may still be held. Until they have run out this leader confirms
    /// what entries hold and gives nothing besides; it would otherwise give the same share twice.
    pub fn open(now: TimePoint, limit: u64, lease: Duration) -> Self {
        Self {
            limit,
            lease,
            grow_from: now.after(lease),
            holders: SortedTable::new(),
            committed: 0,
            level: 0,
            standing: 0,
            leveled_at: None,
        }
    }

    /// Changes the limit; shares over a lower one come back with the next renewals.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Answers a renewal with the entry's share; `None` when the renewal came out of order.
    ///
    /// An entry takes an answer only before it sends its next renewal. A renewal therefore settles
    /// which earlier answers were taken: none that is on its way still counts. An entry that told of
    /// a share takes the answer only while it still holds that share: an earlier leader may have
    /// given it to another since, and this leader would not know.
    pub fn renew(&mut self, now: TimePoint, holder: HolderId, ask: &ShareRequest) -> Option<u64> {
        if self.holders.get(&holder).is_some_and(|known| ask.nonce <= known.nonce) {
            return None;
        }
        self.refresh_level(now);
        let before = self.holders.get(&holder).map_or(0, |known| known.committed);
        let others = self.committed - before;
        let room = self.limit.saturating_sub(others);
        let share = if now < self.grow_from { ask.held } else { self.target(ask.demand) }.min(room);
        let committed = share.max(ask.held).max(ask.used);
        self.committed = others + committed;
        let until = now.after(self.lease);
        let known = HolderShare { nonce: ask.nonce, demand: ask.demand, committed, until };
        self.holders.insert(holder, known);
        Some(share)
    }

    /// Units that are or may be held.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Entries that hold a share or asked for one.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Forgets entries whose share has run out; tells whether any is left.
    pub fn expire(&mut self, now: TimePoint) -> bool {
        self.holders.retain(|_, known| now < known.until);
        self.committed = self.holders.values().map(|known| known.committed).sum();
        !self.holders.is_empty()
    }

    fn target(&self, demand: u64) -> u64 {
        self.standing + demand.saturating_sub(self.standing).min(self.level)
    }

    fn refresh_level(&mut self, now: TimePoint) {
        if self.leveled_at.is_some_and(|at| now.since(at) < LEVEL_INTERVAL) {
            return;
        }
        self.leveled_at = Some(now);
        self.expire(now);
        let count = self.holders.len().max(1) as u64;
        self.standing = self.limit / STANDING_DIVISOR / count;
        let mut over: Vec<u64> = self
            .holders
            .values()
            .map(|known| known.demand.saturating_sub(self.standing))
            .filter(|over| *over > 0)
            .collect();
        self.level = water_level(&mut over, self.limit - self.standing * count);
    }
}

/// The level up to which every demand can be met from `amount`: small demands are met in full and
/// large ones get the same.
fn water_level(demands: &mut [u64], amount: u64) -> u64 {
    demands.sort_unstable();
    let mut left = amount;
    for (index, demand) in demands.iter().enumerate() {
        let sharers = (demands.len() - index) as u64;
        if demand.saturating_mul(sharers) > left {
            return left / sharers;
        }
        left -= demand;
    }
    // All is met; what is left may be asked for before the next look.
    demands.last().copied().unwrap_or_default() + left
}
