//! Prompts that a group has not read yet: their prefill has not led to a first event.

use std::time::Duration;

use briartray_model::TimePoint;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::entry::TargetLoad;

/// Passes after which half of the other entries' unread prompts are assumed to be read.
const READ_WITHIN_PASSES: f64 = 2.0;

/// Half-life of the peak of the other entries' unread prompts. With 250 ms the previous wave is
/// forgotten before the next one, and a replayed overload had 502 instead of 635 answers on time.
const PEAK_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Time for which a drawn part is kept: one report interval of an entry.
const DRAWN_FOR: Duration = Duration::from_millis(250);

/// Gap below which two events were read together rather than made in two passes: a pass takes several
/// steps of some milliseconds.
const MIN_GAP: Duration = Duration::from_millis(5);

/// Time to hand an event to the caller from which the caller counts as slow. While an event waits
/// for the caller, the next one is not read, and the gap would be taken for a slow group.
const SLOW_CALLER: Duration = Duration::from_millis(10);

/// Unread prompts on one group, and the streams of this entry that have begun there.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnreadPrompts {
    /// Prefill time of this entry's unread prompts, in milliseconds.
    own_ms: f64,
    /// Number of this entry's unread prompts.
    own: u32,
    /// Streams of this entry that have had their first event and have not ended.
    begun: u32,
    /// Prefill time of the other entries' unread prompts, in milliseconds.
    others_ms: f64,
    others_updated_at: TimePoint,
    /// Largest recent value of `others_ms`, which decays.
    others_peak_ms: f64,
    /// Random part that was drawn last, and when.
    drawn: Option<(TimePoint, f64)>,
}

impl UnreadPrompts {
    /// Prefill time of this entry's unread prompts, in whole milliseconds, for its report.
    pub fn own_ms(&self) -> u32 {
        self.own_ms.ceil() as u32
    }

    /// Whether a stream of this entry is between its first event and its end.
    pub fn has_streams(&self) -> bool {
        self.begun > 0
    }

    /// Records the prefill time of the other entries' unread prompts, in milliseconds.
    pub fn record_others(&mut self, now: TimePoint, others_ms: u32) {
        self.others_peak_ms = self.peak_ms(now).max(f64::from(others_ms));
        self.others_ms = f64::from(others_ms);
        self.others_updated_at = now;
    }

    /// Returns the expected prefill time of all unread prompts, in milliseconds, when a pass takes
    /// `pass_ms` milliseconds.
    pub fn total_ms(&self, now: TimePoint, pass_ms: f64) -> f64 {
        let age_ms = now.since(self.others_updated_at).as_secs_f64() * 1e3;
        let halves = age_ms / (READ_WITHIN_PASSES * pass_ms.max(1.0));
        self.own_ms + self.others_ms * 0.5_f64.powf(halves)
    }

    /// Prefill time of this entry's unread prompts, in milliseconds.
    pub(super) fn own_exact_ms(&self) -> f64 {
        self.own_ms
    }

    /// Returns a random part between 0 and 1 that is kept for a report interval, so that a request
    /// that is tried again meets no other one.
    pub(super) fn drawn_part(&mut self, now: TimePoint, random: &mut ChaCha8Rng) -> f64 {
        let known = self.drawn.filter(|(at, _)| now.since(*at) < DRAWN_FOR);
        let (drawn_at, part) = known.unwrap_or_else(|| (now, random.random_range(0.0..1.0)));
        self.drawn = Some((drawn_at, part));
        part
    }

    /// Largest prefill time of the other entries' unread prompts in the last seconds, in
    /// milliseconds.
    pub(super) fn peak_ms(&self, now: TimePoint) -> f64 {
        let age = now.since(self.others_updated_at).as_secs_f64();
        self.others_peak_ms * 0.5_f64.powf(age / PEAK_HALF_LIFE.as_secs_f64())
    }

    fn add(&mut self, reading_ms: f64) {
        self.own_ms += reading_ms;
        self.own += 1;
    }

    fn remove(&mut self, reading_ms: f64) {
        self.own = self.own.saturating_sub(1);
        // Rounding errors must not add up over many requests.
        self.own_ms = if self.own == 0 { 0.0 } else { (self.own_ms - reading_ms).max(0.0) };
    }
}

/// Progress of one request that was sent to a group, from when it is sent until it ends.
#[derive(Debug, Clone, Copy)]
pub struct SentPrompt {
    /// Prefill time of its prompt, in milliseconds.
    reading_ms: f64,
    has_begun: bool,
    /// When its latest event came; `None` if the time to the next one says nothing of the group.
    last_event_at: Option<TimePoint>,
}

impl SentPrompt {
    /// Records on `load` that a request was sent whose prefill takes `reading_ms` milliseconds.
    pub fn send(load: &mut TargetLoad, reading_ms: f64) -> Self {
        load.unread.add(reading_ms);
        Self { reading_ms, has_begun: false, last_event_at: None }
    }

    /// Records that its first part arrived, so its prompt is read.
    pub fn begin(&mut self, load: &mut TargetLoad) {
        if !self.has_begun {
            self.has_begun = true;
            load.unread.remove(self.reading_ms);
            load.unread.begun += 1;
        }
    }

    /// Records that an event arrived; the gap to the previous one measures a pass.
    pub fn event(&mut self, now: TimePoint, load: &mut TargetLoad) {
        if let Some(last) = self.last_event_at.replace(now) {
            let gap = now.since(last);
            if gap >= MIN_GAP {
                load.pass.record(now, gap);
            }
        }
    }

    /// Leaves out the gap to the next event, as after `held` in which the caller accepted none.
    pub fn skip_gap(&mut self, held: Duration) {
        if held >= SLOW_CALLER {
            self.last_event_at = None;
        }
    }

    /// Records that the request ended.
    pub fn end(self, load: &mut TargetLoad) {
        if self.has_begun {
            load.unread.begun = load.unread.begun.saturating_sub(1);
        } else {
            load.unread.remove(self.reading_ms);
        }
    }
}
