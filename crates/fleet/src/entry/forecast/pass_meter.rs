//! Measured time of a group's passes, from the gaps between events of this entry's streams there.

use std::time::Duration;

use briartray_model::TimePoint;

/// Half-life of a gap's weight in the mean: some passes of a full group, so that one prompt that
/// stretches a single pass counts little and a host that turns slow shows within half a second.
const GAP_HALF_LIFE: Duration = Duration::from_millis(250);

/// Time for which a measurement is valid. A slow group that gets no requests is not measured
/// again; when its measurement expires, a request tries it.
const PASS_VALIDITY: Duration = Duration::from_millis(1_000);

/// Weighted mean of the latest gaps of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassMeter {
    /// Weighted sum of the gaps, in milliseconds.
    sum_ms: f64,
    weight: f64,
    updated_at: Option<TimePoint>,
}

impl PassMeter {
    /// Records that an event of a stream came `gap` after its previous one.
    pub fn record(&mut self, now: TimePoint, gap: Duration) {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / GAP_HALF_LIFE.as_secs_f64());
        self.sum_ms = self.sum_ms * kept + gap.as_secs_f64() * 1e3;
        self.weight = self.weight * kept + 1.0;
        self.updated_at = Some(now);
    }

    /// Whether a measurement is valid.
    pub fn is_valid(&self, now: TimePoint) -> bool {
        self.updated_at.is_some_and(|at| now.since(at) < PASS_VALIDITY)
    }

    /// Returns the expected pass in milliseconds: the larger of the measured one and `model_ms`,
    /// that of the declared engine. From when the next event is due, the measured one decays
    /// towards `model_ms`, which it reaches at the end of its validity.
    pub fn expected_ms(&self, now: TimePoint, model_ms: f64) -> f64 {
        let Some(updated_at) = self.updated_at.filter(|_| self.is_valid(now)) else {
            return model_ms;
        };
        let measured_ms = self.sum_ms / self.weight;
        let validity_ms = PASS_VALIDITY.as_secs_f64() * 1e3;
        let age_ms = now.since(updated_at).as_secs_f64() * 1e3;
        let overdue_ms = (age_ms - measured_ms).max(0.0);
        let fading_ms = (validity_ms - measured_ms).max(1.0);
        let kept = (1.0 - overdue_ms / fading_ms).clamp(0.0, 1.0);
        model_ms + (measured_ms - model_ms).max(0.0) * kept
    }
}
