//! Endpoints that accept no requests from this entry, or fewer than usual.
//!
//! An endpoint that rejects a request may ask for a time without requests, its backoff, and one that
//! is leaving accepts no new work at all. Every send respects both: first attempts, retries, and
//! streams that resume. A hold belongs to an incarnation, so the next one at the same address is
//! used at once.
//!
//! An endpoint that rejects a request without naming a time may accept the next one, so it is only
//! passed over for a moment while others have room. Without that, it attracts requests: it answers
//! at once and reports that it runs none.
//!
//! Requests return to an endpoint gradually after both. Otherwise all entries would send it
//! everything they have at the same moment, and it would reject them again.

use std::time::Duration;

use briartray_model::names::IncarnationId;
use briartray_model::{SortedTable, TimePoint};

/// Time for which an endpoint is passed over after it rejected a request without naming a time.
const PASS_OVER_TIME: Duration = Duration::from_millis(500);

/// Longest time for which an endpoint is passed over.
const MAX_PASS_OVER_TIME: Duration = Duration::from_secs(5);

/// Time after a backoff in which the endpoint's share of the requests grows from none to its usual
/// one.
pub const SLOW_START: Duration = Duration::from_millis(1_000);

/// Time for which a hold is kept after its last renewal when no view lists the endpoint. A view of
/// an earlier leader may list it again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// Reason why an endpoint gets no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendHold {
    /// It is leaving.
    Leaving,
    /// It asked for a time without requests.
    Backoff {
        /// Time left.
        left: Duration,
    },
}

/// Number of endpoints with a hold, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HoldCount {
    /// Endpoints that asked for a time without requests.
    pub backoff: usize,
    /// Endpoints that are passed over while others have room.
    pub passed_over: usize,
    /// Endpoints that are leaving.
    pub leaving: usize,
}

/// What one endpoint stated in its answers.
#[derive(Debug, Clone, Copy)]
struct HoldRecord {
    backoff_until: Option<TimePoint>,
    /// Until when it is passed over while other endpoints have room.
    pass_over_until: Option<TimePoint>,
    leaving: bool,
    renewed_at: TimePoint,
}

/// All endpoints that accept no requests from this entry, or fewer than usual.
#[derive(Debug, Clone, Default)]
pub struct HoldBook {
    records: SortedTable<IncarnationId, HoldRecord>,
    /// Endpoints that are leaving according to the control hosts.
    announced: Vec<IncarnationId>,
}

impl HoldRecord {
    /// When the slow start begins.
    fn ends_at(&self) -> Option<TimePoint> {
        self.backoff_until.max(self.pass_over_until)
    }
}

impl HoldBook {
    /// Records that `endpoint` accepts no requests for `wait`. A shorter time does not end an earlier
    /// backoff. Returns whether it was not in one before.
    pub fn record_backoff(
        &mut self,
        now: TimePoint,
        endpoint: &IncarnationId,
        wait: Duration,
    ) -> bool {
        let record = self.renew(now, endpoint);
        let known = record.backoff_until.filter(|until| now < *until);
        record.backoff_until = record.backoff_until.max(Some(now.after(wait)));
        known.is_none()
    }

    /// Records that `endpoint` rejected a request and may accept others; `wait` is the time after
    /// which it expects them, if it named one.
    pub fn record_rejection(
        &mut self,
        now: TimePoint,
        endpoint: &IncarnationId,
        wait: Option<Duration>,
    ) {
        let wait = wait.unwrap_or(PASS_OVER_TIME).min(MAX_PASS_OVER_TIME);
        let record = self.renew(now, endpoint);
        record.pass_over_until = record.pass_over_until.max(Some(now.after(wait)));
    }

    /// Records that `endpoint` answered that it is leaving. Returns whether that was not known.
    pub fn record_leaving(&mut self, now: TimePoint, endpoint: &IncarnationId) -> bool {
        let announced = self.announced.contains(endpoint);
        let record = self.renew(now, endpoint);
        !std::mem::replace(&mut record.leaving, true) && !announced
    }

    /// Sets the endpoints that are leaving according to the control hosts.
    pub fn set_announced(&mut self, leaving: Vec<IncarnationId>) {
        self.announced = leaving;
    }

    /// Whether `endpoint` is leaving, according to its answers or the control hosts.
    pub fn is_leaving(&self, endpoint: &IncarnationId) -> bool {
        self.announced.contains(endpoint)
            || self.records.get(endpoint).is_some_and(|record| record.leaving)
    }

    /// Reason why `endpoint` gets no requests now.
    pub fn hold(&self, now: TimePoint, endpoint: &IncarnationId) -> Option<SendHold> {
        if self.is_leaving(endpoint) {
            return Some(SendHold::Leaving);
        }
        let until = self.records.get(endpoint)?.backoff_until?;
        (now < until).then(|| SendHold::Backoff { left: until.since(now) })
    }

    /// Part of its usual requests that `endpoint` gets now while others have room: none while it is
    /// passed over, and below 1 during the slow start.
    pub fn usual_part(&self, now: TimePoint, endpoint: &IncarnationId) -> f64 {
        let ended = self.records.get(endpoint).and_then(HoldRecord::ends_at);
        let passed = ended.map_or(SLOW_START, |ended| now.since(ended));
        (passed.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0)
    }

    /// Removes holds that are over, and old ones of endpoints that are not `listed`.
    pub fn prune(&mut self, now: TimePoint, listed: impl Fn(&IncarnationId) -> bool) {
        self.records.retain(|endpoint, record| {
            let in_use =
                record.leaving || record.ends_at().is_some_and(|end| now < end.after(SLOW_START));
            let recent = now.since(record.renewed_at) < UNLISTED_RETENTION;
            in_use && (recent || listed(endpoint))
        });
    }

    /// Number of endpoints with a hold because of their answers.
    pub fn count(&self, now: TimePoint) -> HoldCount {
        let mut count = HoldCount::default();
        for record in self.records.values() {
            let lasts = |until: Option<TimePoint>| until.is_some_and(|until| now < until);
            if record.leaving {
                count.leaving += 1;
            } else if lasts(record.backoff_until) {
                count.backoff += 1;
            } else if lasts(record.pass_over_until) {
                count.passed_over += 1;
            }
        }
        count
    }

    fn renew(&mut self, now: TimePoint, endpoint: &IncarnationId) -> &mut HoldRecord {
        let fresh = || HoldRecord {
            backoff_until: None,
            pass_over_until: None,
            leaving: false,
            renewed_at: now,
        };
        let record = self.records.get_or_insert_with(endpoint.clone(), fresh);
        record.renewed_at = now;
        record
    }
}
