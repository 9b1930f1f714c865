//! State that the leader keeps for one endpoint: heartbeats, probes and pending orders.

use std::time::Duration;

use briartray_model::TimePoint;

use super::{EndpointHeartbeat, EndpointOrder, GroupMembership};
use crate::deployment::ColdTerms;
use crate::limit::EndpointRate;

/// Time between two probes of a group member; finds losses that no caller notices first.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Silence after which a host in no group is probed: allows for two late heartbeats of 1.2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Pace from which a host is left out of groups: below it, forming the group anew costs callers
/// more time than it saves.
const SLOW_PACE_FACTOR: f64 = 2.0;

/// Consecutive probes that an endpoint fails before its group counts as silent; one may be a lost
/// packet.
const SILENT_PROBE_FAILURES: u32 = 2;

/// Consecutive refused connections after which an endpoint counts as lost: no process listens at
/// its address.
const LOST_PROBE_REFUSALS: u32 = 2;

/// Silence after which another probe without an answer counts as a loss. A sound endpoint may be
/// silent for about a second, and what is sent to it meanwhile may get lost.
const LOST_SILENCE: Duration = Duration::from_millis(1_200);

/// Time between two probes of a silent endpoint.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two probes of a lost endpoint; its first heartbeat tells of its return sooner.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(2_500);

/// An endpoint as the leader knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct HostRecord {
    /// Last heartbeat; probes update the report in it.
    pub heartbeat: EndpointHeartbeat,
    /// When the endpoint was heard from for the first time.
    pub first_seen: TimePoint,
    /// Last sign of life.
    pub last_contact: TimePoint,
    /// Consecutive failed probes.
    pub failures: u32,
    /// Consecutive probes for which it refused the connection.
    refusals: u32,
    /// When the first of the failed probes was sent.
    silent_since: Option<TimePoint>,
    /// Whether the failed probes show that it is gone.
    gone: bool,
    /// When the probe that is in flight was sent.
    pub(super) probe_sent_at: Option<TimePoint>,
    pub(super) next_probe_at: TimePoint,
    /// Until when it accepts no probes.
    pub(super) probes_held_until: TimePoint,
    /// Last answer to a probe.
    pub(super) last_answer_at: Option<TimePoint>,
    /// A probe is requested even if the endpoint is in no group.
    pub(super) probe_requested: bool,
    /// An entry finds its group silent.
    pub(super) suspect: bool,
    /// Known from an earlier leader and not heard from yet.
    pub(super) inherited: bool,
    /// Another incarnation may have its address. The endpoint counts as lost until it answers an
    /// order, which only the addressed incarnation does; reports do not identify their sender.
    pub(super) unverified: bool,
    /// Another endpoint was known at its address at the last check.
    pub(super) address_contested: bool,
    /// An identity check is to be sent.
    pub(super) identity_check_due: bool,
    pub(super) next_identity_check_at: TimePoint,
    /// Since when its reports show it as slow.
    pub slow_since: Option<TimePoint>,
    /// Model of the last group in which it was ready; it joins the next group of that model at
    /// once.
    pub warm_model: Option<String>,
    /// Last order to close or leave a group that has ended, and when it was sent.
    pub release_order: Option<(EndpointOrder, TimePoint)>,
    /// Until when it is cold by its heartbeats.
    pub(super) cold_until: TimePoint,
    /// When its zone was readmitted. It may have become cold just before, which a later heartbeat
    /// tells.
    pub(super) readmitted_at: Option<TimePoint>,
    /// Model that it was ordered to stage, and the deadline for that.
    pub staging: Option<(String, TimePoint)>,
}

impl HostRecord {
    /// An endpoint that is first heard from at `now`.
    pub(super) fn new(now: TimePoint, heartbeat: EndpointHeartbeat) -> Self {
        let next_probe_at = now.after(PROBE_INTERVAL);
        let cold_until = now.after(Duration::from_millis(heartbeat.cold_ms));
        Self {
            cold_until,
            readmitted_at: None,
            heartbeat,
            first_seen: now,
            last_contact: now,
            failures: 0,
            refusals: 0,
            silent_since: None,
            gone: false,
            probe_sent_at: None,
            next_probe_at,
            probes_held_until: now,
            last_answer_at: None,
            probe_requested: false,
            suspect: false,
            inherited: false,
            unverified: false,
            address_contested: false,
            identity_check_due: false,
            next_identity_check_at: now,
            slow_since: None,
            warm_model: None,
            release_order: None,
            staging: None,
        }
    }

    /// Whether the endpoint counts as lost.
    pub fn is_lost(&self) -> bool {
        self.gone || self.unverified
    }

    /// Whether it has failed enough probes to be silent, for whatever reason.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.failures >= SILENT_PROBE_FAILURES
    }

    /// Records that the probe sent at `sent_at` got no answer.
    pub(super) fn record_silence(&mut self, now: TimePoint, sent_at: TimePoint) {
        self.failures += 1;
        self.refusals = 0;
        let silent_since = *self.silent_since.get_or_insert(sent_at);
        self.gone |= sent_at.since(silent_since) >= LOST_SILENCE;
        let last_probe_at = silent_since.after(LOST_SILENCE).max(now);
        self.next_probe_at = match self.failures {
            _ if self.gone => now.after(LOST_PROBE_INTERVAL),
            1 => now,
            _ => now.after(SILENT_PROBE_INTERVAL).min(last_probe_at),
        };
    }

    /// Records that it refused the connection of a probe.
    pub(super) fn record_refusal(&mut self, now: TimePoint) {
        self.failures += 1;
        self.refusals += 1;
        self.gone |= self.refusals >= LOST_PROBE_REFUSALS;
        self.next_probe_at = if self.gone { now.after(LOST_PROBE_INTERVAL) } else { now };
    }

    /// Rate that it accepts from all entries together while it is cold or may be; `None` otherwise.
    pub fn cold_rate(&self, now: TimePoint, terms: Option<ColdTerms>) -> Option<EndpointRate> {
        let terms = terms?;
        let recently_readmitted = self.readmitted_at.is_some_and(|at| now.since(at) < terms.lasts);
        (now < self.cold_until || recently_readmitted).then_some(terms.rate)
    }

    /// Records a sign of life with the `membership` that it reports. An endpoint that was lost, or
    /// that has left its group during a silence, becomes unverified until it answers an order.
    ///
    /// When a domain came back, its endpoints answered probes meant for their earlier incarnations
    /// before their own first heartbeats arrived. Without the check, groups were formed of
    /// endpoints that no longer existed, six times in half a second.
    pub(super) fn record_contact(&mut self, now: TimePoint, membership: Option<&GroupMembership>) {
        let known = self.heartbeat.report.mark.as_ref().map(|known| known.group);
        // A later incarnation is in no group at first.
        let goes_on = membership.is_some_and(|now| self.inherited || known == Some(now.group));
        if self.serves_in_groups() && (self.gone || (self.is_unresponsive() && !goes_on)) {
            self.unverified = true;
        }
        (self.failures, self.refusals, self.silent_since, self.gone) = (0, 0, None, false);
        self.inherited = false;
        if !self.unverified {
            self.last_contact = now;
        }
    }

    /// Whether the endpoint is to be probed.
    pub(super) fn needs_probe(&self, now: TimePoint, in_group: impl Fn() -> bool) -> bool {
        // A slow host in no group is probed too, so that it is used again once it is fast.
        let needed = self.inherited || self.probe_requested || self.is_slow();
        self.serves_in_groups() && (self.is_silent(now) || needed || in_group())
    }

    /// Whether probes are held back because it rejected one. Once its heartbeats stop, only a probe
    /// can tell whether it still works.
    pub(super) fn holds_probes(&self, now: TimePoint) -> bool {
        now < self.probes_held_until && !self.is_silent(now)
    }

    fn is_silent(&self, now: TimePoint) -> bool {
        now.since(self.last_contact) >= SILENCE_TIMEOUT
    }

    /// Whether it serves as a member of groups rather than on its own.
    pub(super) fn serves_in_groups(&self) -> bool {
        self.heartbeat.report.domain.is_some()
    }

    /// Whether it would slow down a group much: a group runs at the pace of its slowest host.
    pub fn is_slow(&self) -> bool {
        self.heartbeat.report.pace.is_some_and(|pace| pace >= SLOW_PACE_FACTOR)
    }

    /// Whether the weights of `model` are staged on the host.
    pub fn has_staged(&self, model: &str) -> bool {
        self.heartbeat.report.staged.iter().any(|staged| staged == model)
    }
}
