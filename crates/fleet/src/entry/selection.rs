//! Selection of a target among those with free capacity.

use briartray_model::names::{ServiceName, ZoneName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::forecast::{GroupForecast, level_unmeasured};
use super::{TargetChoice, TargetId};
use crate::message::{EndpointView, FleetView, GroupView};

/// Exponent of a group's free capacity in its selection weight.
///
/// Groups open one after the other, empty, while the others have a third of their capacity free. A
/// larger exponent sends a new group so many prompts that it does nothing but prefill for seconds
/// and delays the streams that it has already started. The engine finishes answers sooner with
/// fewer running requests, so nearly equal weights balance the groups by themselves.
const FREE_CAPACITY_EXPONENT: f64 = 0.5;

/// Exponent of a group's slowness in its selection weight. A group that takes twice as long for a
/// first part gets an eighth of the weight, since its answers also finish later and its load is
/// reported late.
const SLOWNESS_EXPONENT: i32 = 3;

/// Load, in requests, that is added to a plain endpoint's own in the comparison, so that a slow
/// endpoint is avoided even when it is idle.
const BASE_LOAD_REQUESTS: f64 = 4.0;

/// Penalty for a target in another zone, in requests, for a network trip of some milliseconds.
const OTHER_ZONE_PENALTY_REQUESTS: f64 = 1.0;

/// Upper bound of the random part of the comparison, in requests: entries with the same knowledge
/// must not all choose the same target.
const MAX_JITTER_REQUESTS: f64 = 1.5;

/// Requests per slot that may be queued at a plain endpoint; one request takes 30 ms.
const PLAIN_QUEUE_PER_SLOT: f64 = 3.0;

/// A target that serves the requested service and model.
pub(super) struct TargetCandidate {
    pub(super) choice: TargetChoice,
    /// Whether it is in the same zone as the entry.
    pub(super) same_zone: bool,
    /// Number of requests that it may hold.
    pub(super) slots: f64,
    /// Whether entries divide its free capacity by the load that it reports; true for groups.
    pub(super) capacity_shared: bool,
}

/// A candidate with free capacity.
pub(super) struct UsableTarget {
    pub(super) candidate: TargetCandidate,
    /// Estimated number of requests that it holds.
    pub(super) total: f64,
    /// Factor by which it is slower than the fastest candidate.
    pub(super) slowness: f64,
    /// Whether it recently failed or went silent.
    pub(super) suspect: bool,
    /// Whether it leaves this request to others because it rejected one recently.
    pub(super) deferred: bool,
    /// Whether it has a limit and its token bucket is nearly full.
    pub(super) surplus: bool,
    /// Forecast of the request's first event; `None` if slots alone decide.
    pub(super) forecast: Option<GroupForecast>,
}

impl UsableTarget {
    /// Selection weight, relative to other targets.
    fn weight(&self) -> f64 {
        if let Some(forecast) = &self.forecast {
            return forecast.weight();
        }
        let free = (self.candidate.slots - self.total).max(1.0);
        free.powf(FREE_CAPACITY_EXPONENT) / self.slowness.powi(SLOWNESS_EXPONENT)
    }
}

/// Returns the open groups that serve `model` of `service`, with `slots` slots each, to an entry in
/// `zone`.
pub(super) fn group_candidates(
    view: &FleetView,
    zone: &ZoneName,
    (service, model): (&ServiceName, &str),
    slots: f64,
) -> Vec<TargetCandidate> {
    let fits = |group: &&GroupView| group.open && group.service == *service && group.model == model;
    let candidate = |group: &GroupView| TargetCandidate {
        choice: TargetChoice {
            target: TargetId::Group(group.group),
            endpoint: group.head.clone(),
            address: group.address.clone(),
        },
        same_zone: group.zone == *zone,
        slots,
        capacity_shared: true,
    };
    view.groups.iter().filter(fits).map(candidate).collect()
}

/// Returns the plain endpoints that serve `service`, to an entry in `zone`.
pub(super) fn endpoint_candidates(
    view: &FleetView,
    zone: &ZoneName,
    service: &ServiceName,
) -> Vec<TargetCandidate> {
    let fits = |endpoint: &&EndpointView| endpoint.service == *service;
    let candidate = |endpoint: &EndpointView| TargetCandidate {
        choice: TargetChoice {
            target: TargetId::Endpoint(endpoint.id.clone()),
            endpoint: endpoint.id.clone(),
            address: endpoint.address.clone(),
        },
        same_zone: endpoint.zone == *zone,
        slots: endpoint.slots as f64 * PLAIN_QUEUE_PER_SLOT,
        capacity_shared: false,
    };
    view.endpoints.iter().filter(fits).map(candidate).collect()
}

/// Selects one of `targets` at random, in proportion to their weights.
///
/// All entries see a group that was just repaired, or that finished many answers at once, as the
/// least loaded one until its first answers arrive. If each entry sent to the least loaded group,
/// their prompts would queue there for prefill, and all of them would get their first part late.
pub(super) fn select_by_weight(
    random: &mut ChaCha8Rng,
    mut targets: Vec<UsableTarget>,
) -> Option<UsableTarget> {
    let mut forecasts: Vec<&mut GroupForecast> =
        targets.iter_mut().filter_map(|target| target.forecast.as_mut()).collect();
    level_unmeasured(&mut forecasts);
    let sum: f64 = targets.iter().map(UsableTarget::weight).sum();
    let mut drawn = random.random_range(0.0..sum.max(f64::MIN_POSITIVE));
    let position = targets.iter().position(|target| {
        drawn -= target.weight();
        drawn < 0.0
    });
    let last = targets.len().checked_sub(1)?;
    Some(targets.swap_remove(position.unwrap_or(last)))
}

/// Selects the least loaded of `targets`. If all are suspect, one is tried anyway: a plain endpoint
/// may just be slow.
pub(super) fn select_least_loaded(
    random: &mut ChaCha8Rng,
    targets: Vec<UsableTarget>,
) -> Option<UsableTarget> {
    let scored = targets.into_iter().map(|target| {
        let far = if target.candidate.same_zone { 0.0 } else { OTHER_ZONE_PENALTY_REQUESTS };
        let load = (target.total + BASE_LOAD_REQUESTS) * target.slowness;
        (target.suspect, load + far + random.random_range(0.0..MAX_JITTER_REQUESTS), target)
    });
    let best = scored.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, target)| target)
}
