//! An entry's side of a rules lease: whether the entry may decide now.

use briartray_model::TimePoint;
use briartray_model::names::LeaseNonce;

use super::LeaseTerms;

/// Maximum number of unanswered renewals that are remembered.
const MAX_PENDING_RENEWALS: usize = 8;

/// Whether an entry may decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// The rules are confirmed by an unexpired lease.
    Confirmed,
    /// The lease has expired, but its terms allow the last confirmed rules to be used.
    Holding,
    /// The entry must not decide.
    Lapsed,
}

/// The rules lease of one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseHolder {
    renewals: Vec<(LeaseNonce, TimePoint)>,
    confirmed: Option<(TimePoint, LeaseTerms)>,
    last_nonce: LeaseNonce,
}

impl LeaseHolder {
    /// Creates a holder without a lease; `first` must be random.
    ///
    /// If nonces restarted at one, a new process could mistake a delayed grant to the previous
    /// process for its own and decide under rules that have been replaced since.
    pub fn new(first: LeaseNonce) -> Self {
        Self { renewals: Vec::new(), confirmed: None, last_nonce: first }
    }

    /// Starts a renewal at `now` and returns the nonce for the request.
    pub fn start_renewal(&mut self, now: TimePoint) -> LeaseNonce {
        self.last_nonce = LeaseNonce(self.last_nonce.0.wrapping_add(1));
        if self.renewals.len() == MAX_PENDING_RENEWALS {
            self.renewals.remove(0);
        }
        self.renewals.push((self.last_nonce, now));
        self.last_nonce
    }

    /// Nonce of the newest renewal.
    pub fn last_nonce(&self) -> LeaseNonce {
        self.last_nonce
    }

    /// Handles a grant; returns `false` if it matches no pending renewal.
    ///
    /// The lease starts when the request was made, on the local clock. However long the reply was
    /// delayed, the entry never holds the lease longer than the leader assumes.
    pub fn accept_grant(&mut self, nonce: LeaseNonce, terms: LeaseTerms) -> bool {
        let Some(position) = self.renewals.iter().position(|(renewal, _)| *renewal == nonce) else {
            return false;
        };
        let (_, requested_at) = self.renewals[position];
        // Replies to older renewals could only shorten the lease.
        self.renewals.drain(..=position);
        self.confirmed = Some((requested_at, terms));
        true
    }

    /// Times at which the lease expires; `None` before the first grant.
    pub fn window(&self) -> Option<LeaseWindow> {
        let (requested_at, terms) = self.confirmed?;
        Some(LeaseWindow {
            confirmed_until: requested_at.after(terms.confirmed()),
            usable_until: terms.usable().map(|usable| requested_at.after(usable)),
        })
    }

    /// Whether the entry may decide at `now`.
    pub fn state(&self, now: TimePoint) -> HolderState {
        self.window().map_or(HolderState::Lapsed, |window| window.state(now))
    }
}

/// Until when an entry may decide under its current rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseWindow {
    /// Expiry of the lease.
    pub confirmed_until: TimePoint,
    /// Time until which the rules may be used after expiry; `None` for no limit.
    pub usable_until: Option<TimePoint>,
}

impl LeaseWindow {
    /// Whether the entry may decide at `now`.
    pub fn state(&self, now: TimePoint) -> HolderState {
        if now < self.confirmed_until {
            return HolderState::Confirmed;
        }
        match self.usable_until {
            Some(until) if now >= until => HolderState::Lapsed,
            _ => HolderState::Holding,
        }
    }
}
