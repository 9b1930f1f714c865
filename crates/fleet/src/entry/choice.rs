//! Which of several targets with room a request goes to.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::TargetChoice;

/// Power of a group's free room in its chance.
///
/// Load pattern: groups open one after the other, empty, while the others have a third of their room. A
/// larger power sends a new one so many prompts that it reads nothing else for seconds and holds up the
/// streams that it has already begun. The engine ends answers sooner where fewer run, so nearly equal
/// chances even the groups out by themselves.
const FREE_POWER: f64 = 0.5;

/// Power of a group's slowness in its chance: one that takes twice as long for a first part gets an
/// eighth, since it ends its answers later as well and its load is told late.
const SLOW_POWER: i32 = 3;

/// Requests that a plain endpoint counts as having beyond those it runs, so that a slow one is avoided
/// also when it is idle.
const IDLE_LOAD: f64 = 4.0;

/// What a target in another zone is worth less, in requests: a way of some milliseconds.
const ZONE_HANDICAP: f64 = 1.0;

/// Random part of the comparison, in requests: entries that know the same must not all choose
/// the same target.
const JITTER: f64 = 1.5;

/// A target that serves what a request asks for.
pub(super) struct Candidate {
    pub(super) choice: TargetChoice,
    /// Whether it is in the entry's own zone.
    pub(super) near: bool,
    /// Requests that it may hold.
    pub(super) slots: f64,
    /// Whether entries share its room by what it tells of its load.
    pub(super) shared: bool,
}

/// A candidate with room.
pub(super) struct UsableTarget {
    pub(super) candidate: Candidate,
    /// Requests it has, as far as is known.
    pub(super) total: f64,
    /// Times slower than the quickest one.
    pub(super) slowness: f64,
    /// Whether it is left alone.
    pub(super) suspect: bool,
    /// Whether it names a limit, and what it takes is about to be lost.
    pub(super) spare: bool,
}

impl UsableTarget {
    /// How likely it is drawn, against others.
    fn weight(&self) -> f64 {
        let free = (self.candidate.slots - self.total).max(1.0);
        free.powf(FREE_POWER) / self.slowness.powi(SLOW_POWER)
    }
}

/// One of `targets`, drawn in proportion to its free room.
///
/// Load pattern: a group is mended, or ends many answers at once. All entries know it as the least
/// loaded one until its first answers tell otherwise. Where each sends to the least loaded one, their
/// prompts meet there and are read one after the other, and all their first parts are late.
pub(super) fn draw(
    random: &mut ChaCha8Rng,
    mut targets: Vec<UsableTarget>,
) -> Option<UsableTarget> {
    let sum: f64 = targets.iter().map(UsableTarget::weight).sum();
    let mut drawn = random.random_range(0.0..sum.max(f64::MIN_POSITIVE));
    let position = targets.iter().position(|target| {
        drawn -= target.weight();
        drawn < 0.0
    });
    let last = targets.len().checked_sub(1)?;
    Some(targets.swap_remove(position.unwrap_or(last)))
}

/// The least loaded of `targets`. When all are left alone, one of them is tried anyway: a plain
/// endpoint may just be slow.
pub(super) fn least_loaded(
    random: &mut ChaCha8Rng,
    targets: Vec<UsableTarget>,
) -> Option<UsableTarget> {
    let scored = targets.into_iter().map(|target| {
        let far = if target.candidate.near { 0.0 } else { ZONE_HANDICAP };
        let load = (target.total + IDLE_LOAD) * target.slowness;
        (target.suspect, load + far + random.random_range(0.0..JITTER), target)
    });
    let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, target)| target)
}
