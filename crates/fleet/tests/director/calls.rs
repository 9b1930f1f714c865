//! Fixture: probes and orders of the director, and what the endpoints make of them.

use std::time::Duration;

use briartray_fleet::director::{EndpointOrder, MemberState, OrderCall, OrderOutcome};
use briartray_model::TimePoint;
use briartray_model::names::{GroupId, IncarnationId};
use rand::RngExt;

use crate::fleet::{TestFleet, TestHost};

/// Time without an answer after which a probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// A probe without a result so far.
#[derive(Clone)]
pub struct PendingProbe {
    id: IncarnationId,
    deadline: TimePoint,
    /// Whether the probe or its answer was lost.
    lost: bool,
}

impl TestFleet {
    pub(super) fn probe(&mut self, id: &IncarnationId) {
        self.probed.push(id.clone());
        let lost = self.random.random_range(0..100) < self.faults.lost_probe_percent;
        // What is sent to a silent host is lost, even if the host goes on before the deadline.
        let lost = lost || self.silent_until(id).is_some();
        let deadline = self.now.after(PROBE_TIMEOUT);
        let probe = PendingProbe { id: id.clone(), deadline, lost };
        if !self.finish_probe(&probe) {
            self.pending_probes.push(probe);
        }
    }

    /// Passes on the results of pending probes that have an answer by now or are overdue.
    pub(super) fn finish_probes(&mut self) {
        for probe in std::mem::take(&mut self.pending_probes) {
            if !self.finish_probe(&probe) {
                self.pending_probes.push(probe);
            }
        }
    }

    /// Passes on the result of `probe`; `false` while there is none.
    fn finish_probe(&mut self, probe: &PendingProbe) -> bool {
        let id = &probe.id;
        // The current owner of the address answers the probe and does not identify itself.
        let address = self.position(id).map(|position| &self.hosts[position].model.place.address);
        let host = address.and_then(|address| self.host_at(address));
        let Some(host) = host else {
            self.director.probe_refused(self.now, id);
            return true;
        };
        if probe.lost || host.isolated || self.now < host.silent_until {
            let overdue = self.now >= probe.deadline;
            if overdue {
                self.director.probed(self.now, id, None);
            }
            return overdue;
        }
        // One that restarted under the same name does: it reports its start time.
        if id.is_before(&host.model.place.id) {
            self.director.endpoint_gone(id);
        } else {
            let report = host.model.report();
            self.director.probed(self.now, id, Some(report));
        }
        true
    }

    /// The living host at `address`.
    fn host_at(&self, address: &str) -> Option<&TestHost> {
        self.hosts.iter().find(|host| host.alive && host.model.place.address == address)
    }

    pub(super) fn order(&mut self, call: OrderCall) {
        self.ordered.push(call.clone());
        if self.hold_answers {
            self.unanswered += 1;
            return;
        }
        if self.random.random_range(0..100) < self.faults.delayed_percent {
            let wait = Duration::from_millis(self.random.random_range(2_000..12_000));
            self.delayed.push((self.now.after(wait), call.clone(), self.term));
            return self.director.ordered(self.now, &call, OrderOutcome::Unknown);
        }
        if let Some(silent_until) = self.silent_until(&call.id) {
            // The endpoint reads the order once it goes on.
            self.delayed.push((silent_until, call.clone(), self.term));
            return self.director.ordered(self.now, &call, OrderOutcome::Unknown);
        }
        let outcome = self.carry_out(&call, self.term);
        self.director.ordered(self.now, &call, outcome);
    }

    /// When the endpoint goes on that is silent now.
    fn silent_until(&self, id: &IncarnationId) -> Option<TimePoint> {
        let host = &self.hosts[self.position(id)?];
        (host.alive && self.now < host.silent_until).then_some(host.silent_until)
    }

    pub(super) fn run_delayed_orders(&mut self) {
        let now = self.now;
        let (due, waiting) =
            std::mem::take(&mut self.delayed).into_iter().partition(|l| l.0 <= now);
        self.delayed = waiting;
        let due: Vec<(TimePoint, OrderCall, u64)> = due;
        for (_, call, term) in due {
            self.carry_out(&call, term);
        }
    }

    fn carry_out(&mut self, call: &OrderCall, term: u64) -> OrderOutcome {
        let Some(position) = self.position(&call.id) else { return OrderOutcome::Unknown };
        let position = self.latest_incarnation(position);
        let host = &self.hosts[position];
        if !host.alive
            && self.host_at(&host.model.place.address).is_some_and(|other| !other.isolated)
        {
            return OrderOutcome::OtherEndpoint;
        }
        if !host.alive || host.isolated {
            return OrderOutcome::Unknown;
        }
        let before = host.model.member.clone();
        let engine = self.plan.services[0].engine.clone().expect("the fixture has an engine");
        let now = self.now;
        let outcome = self.hosts[position].model.order(now, &call.order, term, &engine);
        let after = self.hosts[position].model.member.clone();
        if matches!(call.order, EndpointOrder::Stage { .. }) && outcome == OrderOutcome::Begun {
            self.loads.push(now);
        }
        if let (Some(before), Some(after)) = (before, after) {
            self.check_join(&call.id, before, after.group);
        }
        outcome
    }

    /// Position of the living later incarnation of the host at `position`, which takes its orders.
    fn latest_incarnation(&self, position: usize) -> usize {
        let id = &self.hosts[position].model.place.id;
        let later = |host: &TestHost| host.alive && id.is_before(&host.model.place.id);
        self.hosts.iter().position(later).unwrap_or(position)
    }

    /// Checks that no host joins another group while the head of its own still serves.
    fn check_join(
        &self,
        id: &IncarnationId,
        before: briartray_standin::group_host::Membership,
        group: GroupId,
    ) {
        if before.group == group {
            return;
        }
        let head = before.members.first().and_then(|head| self.position(head));
        let serves = head.is_some_and(|head| {
            let host = &self.hosts[head];
            let open = host.model.member.as_ref().is_some_and(|member| {
                member.group == before.group
                    && matches!(member.state, MemberState::Open | MemberState::Closing)
            });
            host.alive && open
        });
        assert!(!serves, "{id} joins group {group} while group {} serves", before.group);
    }

    /// Checks that no group serves before each of its members was ready for it.
    pub(super) fn check_open(&self, position: usize) {
        let host = &self.hosts[position].model;
        let Some(member) = host.member.as_ref().filter(|m| m.state == MemberState::Open) else {
            return;
        };
        for id in &member.members {
            let seen = (member.group, id.clone());
            assert!(self.ready.contains(&seen), "group {} opened without {id}", member.group);
        }
    }
}
