//! An entry's side: whether it may decide now.

use briartray_model::TimePoint;
use briartray_model::names::LeaseNonce;

use super::LeaseTerms;

/// Renewals that may be under way at one time.
const MAX_ASKED: usize = 8;

/// Whether an entry may decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// The rules are confirmed.
    Confirmed,
    /// The lease has run out; the terms allow going on under the last confirmed rules.
    Holding,
    /// Nothing may be decided.
    Lapsed,
}

/// The lease of one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseHolder {
    asked: Vec<(LeaseNonce, TimePoint)>,
    confirmed: Option<(TimePoint, LeaseTerms)>,
    last_nonce: LeaseNonce,
}

impl LeaseHolder {
    /// A holder that nothing has been confirmed to; `first` must be random.
    ///
    /// A process that restarts and counts from one again would take a late grant to its
    /// predecessor for its own and decide under rules that were replaced since.
    pub fn new(first: LeaseNonce) -> Self {
        Self { asked: Vec::new(), confirmed: None, last_nonce: first }
    }

    /// Starts a renewal at `now`; the nonce goes into the request.
    pub fn start_renewal(&mut self, now: TimePoint) -> LeaseNonce {
        self.last_nonce = LeaseNonce(self.last_nonce.0.wrapping_add(1));
        if self.asked.len() == MAX_ASKED {
            self.asked.remove(0);
        }
        self.asked.push((self.last_nonce, now));
        self.last_nonce
    }

    /// Nonce of the newest renewal.
    pub fn last_nonce(&self) -> LeaseNonce {
        self.last_nonce
    }

    /// Takes a grant; `false` when it answers no request that is under way.
    ///
    /// The lease counts from the moment of asking, by this process's own clock: however long the
    /// answer travelled or lay in a queue, it is never held longer than the leader reckons with.
    pub fn accept_grant(&mut self, nonce: LeaseNonce, terms: LeaseTerms) -> bool {
        let Some(position) = self.asked.iter().position(|(asked, _)| *asked == nonce) else {
            return false;
        };
        let (_, sent) = self.asked[position];
        // Answers to older requests could only shorten what is held now.
        self.asked.drain(..=position);
        self.confirmed = Some((sent, terms));
        true
    }

    /// Until when the entry may decide; `None` before the first grant.
    pub fn window(&self) -> Option<LeaseWindow> {
        let (sent, terms) = self.confirmed?;
        Some(LeaseWindow {
            confirmed_until: sent.after(terms.confirmed()),
            usable_until: terms.usable().map(|usable| sent.after(usable)),
        })
    }

    /// Whether the entry may decide at `now`.
    pub fn state(&self, now: TimePoint) -> HolderState {
        self.window().map_or(HolderState::Lapsed, |window| window.state(now))
    }
}

/// Until when an entry may decide under the rules it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseWindow {
    /// Until when they are confirmed.
    pub confirmed_until: TimePoint,
    /// Until when they may be used; `None` without a bound.
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
