//! Shares of team limits, which the leader grants with each confirmed lease renewal.

use std::time::Duration;

use briartray_model::message::{LimitDemand, LimitGrant, WatchRequest};
use briartray_model::names::TermNumber;
use briartray_model::rules::{AdmitAction, RuleBook};
use briartray_model::{SortedTable, TimePoint};
use briartray_routing::admission::{HolderId, LimitBook, LimitKey, ShareRequest};

use super::core::Leadership;

/// Units per request per second; rates are shared as whole thousandths.
const RATE_UNITS_PER_REQUEST: f64 = 1000.0;

/// Time between two removals of expired shares.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of one team under one rule: running requests and request rate.
#[derive(Debug)]
struct LimitPair {
    running: LimitBook,
    rate: LimitBook,
}

/// The limits of which entries requested shares in the current term.
///
/// Kept in memory only; its size is bounded by the entries that renew and the teams that call.
#[derive(Debug, Default)]
pub(super) struct LimitRegistry {
    term: TermNumber,
    limits: SortedTable<LimitKey, LimitPair>,
    last_expiry: TimePoint,
}

impl LimitRegistry {
    /// Grants the shares for one renewal, for which a majority has confirmed this leader.
    pub(super) fn renew(
        &mut self,
        now: TimePoint,
        leadership: &Leadership,
        lease: Duration,
        book: &RuleBook,
        request: &WatchRequest,
    ) -> Vec<LimitGrant> {
        if self.term != leadership.term {
            *self = Self { term: leadership.term, ..Self::default() };
        }
        self.expire(now);
        let holder = HolderId(request.incarnation);
        let demands = request.demands.iter();
        demands
            .filter_map(|demand| {
                let action = limit_action(book, demand)?;
                let key = LimitKey { rule: demand.rule.clone(), team: demand.team.clone() };
                let since = leadership.since;
                let pair = self.limits.get_or_insert_with(key, || LimitPair {
                    running: LimitBook::open(since, 0, lease),
                    rate: LimitBook::open(since, 0, lease),
                });
                grant(now, pair, holder, request.nonce.0, action, demand)
            })
            .collect()
    }

    fn expire(&mut self, now: TimePoint) {
        if now.since(self.last_expiry) < EXPIRE_INTERVAL {
            return;
        }
        self.last_expiry = now;
        self.limits.retain(|_, pair| {
            let running = pair.running.expire(now);
            pair.rate.expire(now) || running
        });
    }
}

fn grant(
    now: TimePoint,
    pair: &mut LimitPair,
    holder: HolderId,
    nonce: u64,
    action: &AdmitAction,
    demand: &LimitDemand,
) -> Option<LimitGrant> {
    pair.running.set_limit(u64::from(action.concurrency));
    pair.rate.set_limit((action.rate * RATE_UNITS_PER_REQUEST) as u64);
    let running = ShareRequest {
        nonce,
        demand: demand.running_demand,
        held: demand.running_held,
        used: demand.in_flight,
    };
    let rate = ShareRequest { nonce, demand: demand.rate_demand, held: demand.rate_held, used: 0 };
    let running = pair.running.renew(now, holder, &running)?;
    let rate = pair.rate.renew(now, holder, &rate)?;
    Some(LimitGrant {
        rule: demand.rule.clone(),
        team: demand.team.clone(),
        running: (action.concurrency > 0).then_some(running),
        rate: (action.rate > 0.0).then_some(rate),
    })
}

/// The current limits of the rule named in `demand`; `None` when the rule no longer exists.
fn limit_action<'a>(book: &'a RuleBook, demand: &LimitDemand) -> Option<&'a AdmitAction> {
    let rules = &book.document().rules;
    rules.iter().find(|entry| entry.rule == demand.rule)?.then.admit.as_ref()
}
