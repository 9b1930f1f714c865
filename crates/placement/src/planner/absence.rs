//! How long missing hosts stay away: a histogram of absences with a prior from the rules.
//!
//! Most hosts that vanish come back: agents restart within seconds, hosts within minutes, and few
//! are gone for good. The longer a host has been away, the less likely the short explanations are.

use briartray_model::rules::PlaceAction;

/// Upper ends of the buckets, in seconds; what lies beyond the last counts as gone for good.
const BUCKET_ENDS: [f64; 13] =
    [2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, 1280.0, 2560.0, 5120.0, GONE_SECONDS];

/// An absence longer than this counts as gone for good, in seconds.
pub(super) const GONE_SECONDS: f64 = 7200.0;

/// How many observations the prior is worth.
const PRIOR_WEIGHT: f64 = 20.0;

/// Counts are halved past this total, so that the model follows a fleet that changes.
const FORGET_TOTAL: f64 = 2000.0;

/// Absences up to this length are taken for restarts of a process that leave weights loaded.
const KEPT_SECONDS: f64 = 40.0;

const BUCKETS: usize = BUCKET_ENDS.len();

/// What waiting for a missing host is expected to cost, in seconds of the group being down.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitEstimate {
    /// Seconds down when waiting for the best time and replacing then.
    pub wait_seconds: f64,
    /// How much longer to wait at most; zero when replacing now is best.
    pub patience_seconds: f64,
}

/// Observed absences by length.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AbsenceModel {
    returned: [f64; BUCKETS],
    kept: [f64; BUCKETS],
    gone: f64,
}

/// One bucket as seen by a host that has already been away for a while.
#[derive(Debug, Clone, Copy)]
struct OpenBucket {
    start: f64,
    end: f64,
    mass: f64,
    reload: f64,
}

impl AbsenceModel {
    /// Takes note of a host that came back after `seconds`.
    pub fn record_return(&mut self, seconds: f64, weights_kept: bool) {
        if seconds >= GONE_SECONDS {
            return self.record_gone();
        }
        let bucket = BUCKET_ENDS.partition_point(|end| *end <= seconds).min(BUCKETS - 1);
        self.returned[bucket] += 1.0;
        if weights_kept {
            self.kept[bucket] += 1.0;
        }
        self.forget();
    }

    /// Takes note of a host that is gone for good.
    pub fn record_gone(&mut self) {
        self.gone += 1.0;
        self.forget();
    }

    /// Weighs waiting against replacing, for a host that has been away for `elapsed` seconds.
    ///
    /// `load` is the time to load one host, `replace` the time that a replacement made now or
    /// later keeps the group down.
    pub fn weigh(
        &self,
        rules: &PlaceAction,
        elapsed: f64,
        load: f64,
        replace: f64,
    ) -> WaitEstimate {
        let (buckets, gone) = self.open_buckets(rules, elapsed);
        let total = gone + buckets.iter().map(|bucket| bucket.mass).sum::<f64>();
        let mut best = WaitEstimate { wait_seconds: replace, patience_seconds: 0.0 };
        if total <= 0.0 {
            return best;
        }
        let mut spent = 0.0;
        let mut left = total;
        for bucket in &buckets {
            let middle = (bucket.start + bucket.end) / 2.0 - elapsed;
            spent += bucket.mass * (middle + bucket.reload * load);
            left -= bucket.mass;
            let patience = bucket.end - elapsed;
            let cost = (spent + left * (patience + replace)) / total;
            if cost < best.wait_seconds {
                best = WaitEstimate { wait_seconds: cost, patience_seconds: patience };
            }
        }
        best
    }

    /// Expected seconds until the group is whole again when nothing but waiting is possible.
    pub fn expected_wait(&self, rules: &PlaceAction, elapsed: f64, load: f64) -> f64 {
        let (buckets, gone) = self.open_buckets(rules, elapsed);
        let total = gone + buckets.iter().map(|bucket| bucket.mass).sum::<f64>();
        let spent: f64 = buckets
            .iter()
            .map(|b| b.mass * ((b.start + b.end) / 2.0 - elapsed + b.reload * load))
            .sum();
        if total <= 0.0 { GONE_SECONDS } else { (spent + gone * GONE_SECONDS) / total }
    }

    /// What is left of the histogram after `elapsed` seconds, and the mass of hosts that are gone.
    fn open_buckets(&self, rules: &PlaceAction, elapsed: f64) -> (Vec<OpenBucket>, f64) {
        let returns = f64::from(rules.return_percent.min(100)) / 100.0;
        let restart = rules.restart_ms as f64 / 1000.0;
        let mut start = 0.0;
        let mut open = Vec::with_capacity(BUCKETS);
        for (index, end) in BUCKET_ENDS.into_iter().enumerate() {
            if end > elapsed {
                let prior = PRIOR_WEIGHT * returns * prior_share(start, end, restart);
                let whole = prior + self.returned[index];
                let from = f64::max(start, elapsed);
                let kept_prior = if end <= KEPT_SECONDS { prior } else { 0.0 };
                let kept = if whole > 0.0 { (self.kept[index] + kept_prior) / whole } else { 0.0 };
                let mass = whole * (end - from) / (end - start);
                open.push(OpenBucket { start: from, end, mass, reload: 1.0 - kept });
            }
            start = end;
        }
        (open, PRIOR_WEIGHT * (1.0 - returns) + self.gone)
    }

    fn forget(&mut self) {
        let total = self.gone + self.returned.iter().sum::<f64>();
        if total > FORGET_TOTAL {
            self.gone /= 2.0;
            self.returned.iter_mut().chain(&mut self.kept).for_each(|count| *count /= 2.0);
        }
    }
}

/// Prior share of returns in one bucket: half are processes that restart within seconds, half
/// are hosts that take between half of and twice the usual restart time.
fn prior_share(start: f64, end: f64, restart: f64) -> f64 {
    let overlap = |low: f64, high: f64| (end.min(high) - start.max(low)).max(0.0) / (high - low);
    let quick = overlap(0.0, KEPT_SECONDS);
    let slow = overlap(restart * 0.5, (restart * 2.0).max(1.0));
    0.5 * quick + 0.5 * slow
}
