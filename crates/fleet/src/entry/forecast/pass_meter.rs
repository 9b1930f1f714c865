//! Measured time of a group's passes, from the gaps between events of this entry's streams there.

use std::time::Duration;

use briartray_model::TimePoint;

/// Time over which the shortest gap counts. It spans several passes of a full group, of which some
/// prefill little.
const WINDOW: Duration = Duration::from_millis(300);

/// Time for which a measurement is valid. A slow group that gets no requests is not measured
/// again; when its measurement expires, a request tries it.
const PASS_VALIDITY: Duration = Duration::from_millis(1_000);

/// Shortest recent gap of one group.
///
/// Prompts that are prefilled between two events stretch single gaps, and the forecast counts those
/// that are to come as unread. A slow host stretches all gaps, so the shortest one indicates the speed of
/// the group.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassMeter {
    /// Shortest gap in the window that began at `window_start`, in milliseconds.
    shortest_ms: Option<f64>,
    /// Shortest gap in the window before, in milliseconds.
    earlier_ms: Option<f64>,
    window_start: TimePoint,
    updated_at: Option<TimePoint>,
}

impl PassMeter {
    /// Records that an event of a stream came `gap` after its previous one.
    pub fn record(&mut self, now: TimePoint, gap: Duration) {
        let age = now.since(self.window_start);
        if age >= WINDOW {
            self.earlier_ms = self.shortest_ms.filter(|_| age < WINDOW * 2);
            self.shortest_ms = None;
            self.window_start = now;
        }
        let gap_ms = gap.as_secs_f64() * 1e3;
        self.shortest_ms = Some(self.shortest_ms.map_or(gap_ms, |shortest| shortest.min(gap_ms)));
        self.updated_at = Some(now);
    }

    /// Whether a measurement is valid.
    pub fn is_valid(&self, now: TimePoint) -> bool {
        self.updated_at.is_some_and(|at| now.since(at) < PASS_VALIDITY)
    }

    /// Returns the expected pass in milliseconds, besides prompts that are not read yet: the larger
    /// of the measured one and `model_ms`, that of the declared engine. From when the next event is
    /// due, the measured one decays towards `model_ms`, which it reaches at the end of its validity.
    pub fn expected_ms(&self, now: TimePoint, model_ms: f64) -> f64 {
        let shortest = [self.shortest_ms, self.earlier_ms].into_iter().flatten();
        let measured_ms = shortest.fold(f64::INFINITY, f64::min);
        let Some(updated_at) = self.updated_at.filter(|_| self.is_valid(now)) else {
            return model_ms;
        };
        let validity_ms = PASS_VALIDITY.as_secs_f64() * 1e3;
        let age_ms = now.since(updated_at).as_secs_f64() * 1e3;
        let overdue_ms = (age_ms - measured_ms).max(0.0);
        let fading_ms = (validity_ms - measured_ms).max(1.0);
        let kept = (1.0 - overdue_ms / fading_ms).clamp(0.0, 1.0);
        model_ms + (measured_ms - model_ms).max(0.0) * kept
    }
}
