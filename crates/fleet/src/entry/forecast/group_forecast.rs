//! Forecast for one request on one group, and whether the group may be chosen for it.

use std::time::Duration;

use briartray_model::TimePoint;
use rand_chacha::ChaCha8Rng;

use crate::deployment::{EngineModel, ModelSpec, first_token_ms};
use crate::entry::{LatencyTerms, TargetLoad};

/// Exponent of the forecast in the selection weight. Groups whose forecast is twice as long get a
/// quarter of the requests.
const FORECAST_EXPONENT: i32 = 2;

/// Part of the slots of a group that requests use as long as it is on time. Entries learn of each
/// other's requests up to a quarter of a second late, and what they send beyond the slots waits there
/// and delays all first events.
const HEADROOM_SLOT_PART: f64 = 0.85;

/// Factor on the target latency up to which a forecast admits a request. Forecasts are rough: more
/// than half of the requests that are expected somewhat beyond their target are on time, and a
/// refused caller is late at best.
const TARGET_TOLERANCE: f64 = 1.4;

/// Returns the time within which the first event of a request has to be expected, under a route with
/// the latency `target`, when the request has waited at the entry for `waited`.
pub fn admission_budget(target: Duration, waited: Duration) -> Duration {
    target.mul_f64(TARGET_TOLERANCE).saturating_sub(waited)
}

/// Terms of one request, with the timing of the engine and the model that it asks for.
#[derive(Debug, Clone, Copy)]
pub(in crate::entry) struct ForecastTerms<'a> {
    pub(in crate::entry) engine: &'a EngineModel,
    pub(in crate::entry) model: &'a ModelSpec,
    pub(in crate::entry) latency: LatencyTerms,
    /// Part of the groups' free capacity that this entry may fill.
    pub(in crate::entry) fraction: f64,
}

/// Expected latency of a request on one group.
#[derive(Debug, Clone, Copy)]
pub(in crate::entry) struct GroupForecast {
    /// Time to the first event of the request, in milliseconds.
    pub(in crate::entry) first_ms: f64,
    /// As `first_ms`, for a prompt of at most the usual length; decides whether the group may be
    /// chosen.
    admitted_ms: f64,
    /// Margin for prompts that are not known yet, in milliseconds: a random part of the most that
    /// the other entries recently had unread.
    ///
    /// All entries learn at about the same time that a group has read its prompts. Without a margin
    /// they all send to it until the next reports, exclude it together, and repeat this.
    margin_ms: f64,
    /// Whether the request is left to other groups: its prompt would stretch a gap of the streams
    /// that run there too far, or the group is not measured and the entry has sent it its part of
    /// what it can read.
    pub(in crate::entry) is_deferred: bool,
    /// Longest gap of the streams that run there while its prompt is read, in milliseconds; zero
    /// if none runs.
    gap_ms: f64,
    /// Whether events of this entry's streams there measured the group.
    is_measured: bool,
}

impl ForecastTerms<'_> {
    /// Returns the forecast for the request on a group with `load`.
    pub(in crate::entry) fn forecast(
        &self,
        now: TimePoint,
        load: &mut TargetLoad,
        random: &mut ChaCha8Rng,
    ) -> GroupForecast {
        let streams = load.total(now);
        let reading_ms = self.latency.work.reading_ms;
        let model_ms = self.engine.pass_ms(self.model, streams, 0.0);
        // A stream that has been silent for longer than a pass shows a slow group before its next
        // event does.
        let silence = load.silence(now).filter(|_| load.unread.has_streams());
        let silence_ms = silence.map_or(0.0, |silence| silence.as_secs_f64() * 1e3);
        let pass_ms = load.pass.expected_ms(now, model_ms).max(silence_ms);
        let unread_ms = load.unread.total_ms(now, pass_ms);
        // Callers with long prompts are not refused more often than others.
        let admitted_ms = reading_ms.min(self.engine.usual_work(self.model).reading_ms);
        let full_stretch_ms = (unread_ms + reading_ms).min(self.most_reading_ms());
        let stretch_ms = (unread_ms + admitted_ms).min(self.most_reading_ms());
        let part = load.unread.drawn_part(now, random);
        let is_measured = load.pass.is_valid(now);
        let own_ms = load.unread.own_exact_ms();
        let room_ms = self.budget_ms() - first_token_ms(pass_ms) - (unread_ms - own_ms);
        let is_overfilled = !is_measured && own_ms + part * reading_ms > self.fraction * room_ms;
        GroupForecast {
            first_ms: first_token_ms(pass_ms) + unread_ms + reading_ms,
            admitted_ms: first_token_ms(pass_ms) + unread_ms + admitted_ms,
            margin_ms: load.unread.peak_ms(now) * part,
            is_deferred: is_overfilled
                || streams > 0.0 && pass_ms + full_stretch_ms > self.gap_ms(),
            gap_ms: if streams > 0.0 { pass_ms + stretch_ms } else { 0.0 },
            is_measured,
        }
    }

    /// Whether a group with `forecast` may be chosen. A stream that is resumed may use any group:
    /// abandoning it is worse than a late event.
    pub(in crate::entry) fn admits(&self, forecast: &GroupForecast) -> bool {
        if self.latency.budget.is_none() {
            return true;
        }
        let first_ms = forecast.admitted_ms + forecast.margin_ms;
        first_ms <= self.budget_ms() && forecast.gap_ms <= self.gap_ms()
    }

    /// Part of a group's slots that the request may use. The last ones are kept free as long as
    /// requests of the usual size are on time there; a group that is late already has none to keep.
    pub(in crate::entry) fn slot_part(&self, forecast: &GroupForecast) -> f64 {
        let has_headroom = self
            .latency
            .headroom_within
            .is_some_and(|target| forecast.admitted_ms <= target.as_secs_f64() * 1e3);
        if has_headroom { HEADROOM_SLOT_PART } else { 1.0 }
    }

    fn budget_ms(&self) -> f64 {
        self.latency.budget.map_or(f64::INFINITY, |budget| budget.as_secs_f64() * 1e3)
    }

    /// Longest gap that streams there may have, in milliseconds.
    fn gap_ms(&self) -> f64 {
        self.latency.gap.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * 1e3)
    }

    /// Prefill that fits between two events, in milliseconds: a step prefills at most one chunk,
    /// and the remainder of a longer prompt is read after the next event.
    fn most_reading_ms(&self) -> f64 {
        let tokens = f64::from(self.engine.stride) * f64::from(self.engine.chunk);
        tokens / self.engine.read_rate * 1e3 * self.model.pace
    }
}

impl GroupForecast {
    /// Selection weight, relative to other groups.
    pub(in crate::entry) fn weight(&self) -> f64 {
        self.first_ms.max(1.0).powi(FORECAST_EXPONENT).recip()
    }
}

/// Raises the forecast of groups that are not measured to the mean of all `forecasts`.
///
/// All entries see a group that just opened as the soonest one, and none sees the prompts that the
/// others send it until the next replies of the leader. Weighted by its own forecast, it would get
/// several times an equal part of the prompts and do nothing but prefill.
pub(in crate::entry) fn level_unmeasured(forecasts: &mut [&mut GroupForecast]) {
    let sum_ms: f64 = forecasts.iter().map(|forecast| forecast.first_ms).sum();
    let mean_ms = sum_ms / forecasts.len().max(1) as f64;
    for forecast in forecasts.iter_mut().filter(|forecast| !forecast.is_measured) {
        forecast.first_ms = forecast.first_ms.max(mean_ms);
    }
}
