//! Model of how long hosts stay absent: a histogram of observed absences with a prior from the
//! rules.
//!
//! Most hosts that disappear return: agents restart within seconds, hosts within minutes, and few
//! are lost permanently. The longer a host has been absent, the less likely is an early return.

use briartray_model::rules::PlaceAction;

/// Upper ends of the buckets, in seconds; a longer absence counts as a permanent loss.
const BUCKET_END_SECONDS: [f64; 13] = [
    2.0,
    5.0,
    10.0,
    20.0,
    40.0,
    80.0,
    160.0,
    320.0,
    640.0,
    1280.0,
    2560.0,
    5120.0,
    PERMANENT_LOSS_SECONDS,
];

/// An absence longer than this counts as a permanent loss, in seconds.
pub(super) const PERMANENT_LOSS_SECONDS: f64 = 7200.0;

/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 20.0;

/// Counts are halved above this total, so that the model follows changes of the fleet.
const DECAY_TOTAL: f64 = 2000.0;

/// The prior assumes that absences up to this length are process restarts that keep the weights
/// loaded, in seconds.
const WEIGHTS_KEPT_SECONDS: f64 = 40.0;

const BUCKET_COUNT: usize = BUCKET_END_SECONDS.len();

/// Expected downtime of a group that waits for a missing host, and how long to wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitEstimate {
    /// Expected downtime in seconds if the host is replaced after `max_wait_seconds`.
    pub expected_down_seconds: f64,
    /// How much longer to wait, in seconds; zero if replacing the host now is best.
    pub max_wait_seconds: f64,
}

/// Histogram of observed absences by length.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AbsenceModel {
    returned: [f64; BUCKET_COUNT],
    returned_with_weights: [f64; BUCKET_COUNT],
    permanent_losses: f64,
}

/// The part of a bucket that is still possible after the elapsed absence of a host.
#[derive(Debug, Clone, Copy)]
struct RemainingBucket {
    start: f64,
    end: f64,
    mass: f64,
    reload_share: f64,
}

impl AbsenceModel {
    /// Records that a host returned after an absence of `seconds`, with or without its weights.
    pub fn record_return(&mut self, seconds: f64, weights_kept: bool) {
        if seconds >= PERMANENT_LOSS_SECONDS {
            return self.record_permanent_loss();
        }
        let bucket =
            BUCKET_END_SECONDS.partition_point(|end| *end <= seconds).min(BUCKET_COUNT - 1);
        self.returned[bucket] += 1.0;
        if weights_kept {
            self.returned_with_weights[bucket] += 1.0;
        }
        self.decay();
    }

    /// Records a host that is presumed permanently lost.
    pub fn record_permanent_loss(&mut self) {
        self.permanent_losses += 1.0;
        self.decay();
    }

    /// Finds the best time to replace a host that has been absent for `elapsed_seconds`.
    ///
    /// `load_seconds` is the time that a host takes to load its weights, `replace_seconds` the
    /// downtime caused by a replacement, whenever it is made.
    pub fn estimate_wait(
        &self,
        rules: &PlaceAction,
        elapsed_seconds: f64,
        load_seconds: f64,
        replace_seconds: f64,
    ) -> WaitEstimate {
        let (buckets, permanent_losses) = self.remaining_buckets(rules, elapsed_seconds);
        let total = permanent_losses + buckets.iter().map(|bucket| bucket.mass).sum::<f64>();
        let mut best =
            WaitEstimate { expected_down_seconds: replace_seconds, max_wait_seconds: 0.0 };
        if total <= 0.0 {
            return best;
        }
        let mut accumulated_cost = 0.0;
        let mut remaining_mass = total;
        for bucket in &buckets {
            let mean_remaining = (bucket.start + bucket.end) / 2.0 - elapsed_seconds;
            accumulated_cost += bucket.mass * (mean_remaining + bucket.reload_share * load_seconds);
            remaining_mass -= bucket.mass;
            let max_wait = bucket.end - elapsed_seconds;
            let cost = (accumulated_cost + remaining_mass * (max_wait + replace_seconds)) / total;
            if cost < best.expected_down_seconds {
                best = WaitEstimate { expected_down_seconds: cost, max_wait_seconds: max_wait };
            }
        }
        best
    }

    /// Expected seconds until the group is whole again if it only waits for the host.
    pub fn expected_wait(
        &self,
        rules: &PlaceAction,
        elapsed_seconds: f64,
        load_seconds: f64,
    ) -> f64 {
        let (buckets, permanent_losses) = self.remaining_buckets(rules, elapsed_seconds);
        let total = permanent_losses + buckets.iter().map(|bucket| bucket.mass).sum::<f64>();
        let accumulated_cost: f64 = buckets
            .iter()
            .map(|bucket| {
                bucket.mass
                    * ((bucket.start + bucket.end) / 2.0 - elapsed_seconds
                        + bucket.reload_share * load_seconds)
            })
            .sum();
        if total <= 0.0 {
            PERMANENT_LOSS_SECONDS
        } else {
            (accumulated_cost + permanent_losses * PERMANENT_LOSS_SECONDS) / total
        }
    }

    /// The part of the histogram beyond `elapsed_seconds`, and the mass of permanent losses.
    fn remaining_buckets(
        &self,
        rules: &PlaceAction,
        elapsed_seconds: f64,
    ) -> (Vec<RemainingBucket>, f64) {
        let return_share = f64::from(rules.return_percent.min(100)) / 100.0;
        let restart_seconds = rules.restart_ms as f64 / 1000.0;
        let mut start = 0.0;
        let mut remaining = Vec::with_capacity(BUCKET_COUNT);
        for (index, end) in BUCKET_END_SECONDS.into_iter().enumerate() {
            if end > elapsed_seconds {
                let prior = PRIOR_WEIGHT * return_share * prior_share(start, end, restart_seconds);
                let returns = prior + self.returned[index];
                let remaining_start = f64::max(start, elapsed_seconds);
                let prior_with_weights = if end <= WEIGHTS_KEPT_SECONDS { prior } else { 0.0 };
                let kept_share = if returns > 0.0 {
                    (self.returned_with_weights[index] + prior_with_weights) / returns
                } else {
                    0.0
                };
                let mass = returns * (end - remaining_start) / (end - start);
                remaining.push(RemainingBucket {
                    start: remaining_start,
                    end,
                    mass,
                    reload_share: 1.0 - kept_share,
                });
            }
            start = end;
        }
        (remaining, PRIOR_WEIGHT * (1.0 - return_share) + self.permanent_losses)
    }

    fn decay(&mut self) {
        let total = self.permanent_losses + self.returned.iter().sum::<f64>();
        if total > DECAY_TOTAL {
            self.permanent_losses /= 2.0;
            self.returned
                .iter_mut()
                .chain(&mut self.returned_with_weights)
                .for_each(|count| *count /= 2.0);
        }
    }
}

/// Prior share of returns that fall into one bucket.
///
/// Half of the returns are process restarts of up to `WEIGHTS_KEPT_SECONDS`, half are host restarts
/// that take between half and twice the usual time; both are uniformly distributed.
fn prior_share(start: f64, end: f64, restart_seconds: f64) -> f64 {
    let overlap = |low: f64, high: f64| (end.min(high) - start.max(low)).max(0.0) / (high - low);
    let process_restarts = overlap(0.0, WEIGHTS_KEPT_SECONDS);
    let host_restarts = overlap(restart_seconds * 0.5, (restart_seconds * 2.0).max(1.0));
    0.5 * process_restarts + 0.5 * host_restarts
}
