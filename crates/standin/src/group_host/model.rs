//! State machine of an endpoint that serves in groups, driven by orders and time.

use std::time::Duration;

use briartray_fleet::deployment::EngineModel;
use briartray_fleet::director::{
    CloseMethod, EndpointHeartbeat, EndpointOrder, EndpointReport, GroupMembership, MemberState,
    OrderOutcome,
};
use briartray_model::TimePoint;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};

/// Time to join a group with the model of the previous group, which is still loaded.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// Identity and location of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct IncarnationPlace {
    /// Id of its current incarnation.
    pub id: IncarnationId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its fabric domain.
    pub domain: DomainName,
}

/// Membership of an endpoint in a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// Id of the group.
    pub group: GroupId,
    /// Model that the group serves.
    pub model: String,
    /// All members; the first is the head.
    pub members: Vec<IncarnationId>,
    /// State of this member.
    pub state: MemberState,
    /// Time of the next automatic state transition.
    pub until: Option<TimePoint>,
    /// Whether joining loads the weights; they then count as staged on the host. A member that
    /// reuses the weights of its previous group leaves the staged weights unchanged.
    loads_weights: bool,
}

/// State of an endpoint.
#[derive(Debug, Clone)]
pub struct HostModel {
    /// Its identity and location.
    pub place: IncarnationPlace,
    /// Its group membership, if any.
    pub member: Option<Membership>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Start times of its loads from the weight store.
    pub loads: Vec<TimePoint>,
    /// Factor on its durations that it reports; not applied to the model's own durations.
    pub pace: f64,
    staged: Option<String>,
    staging: Option<(String, TimePoint)>,
    last_model: Option<String>,
    highest_epoch: u64,
    highest_term: u64,
    sequence: u64,
}

impl HostModel {
    /// Creates a newly started endpoint without staged weights.
    pub fn new(place: IncarnationPlace) -> Self {
        Self {
            place,
            member: None,
            leaving: false,
            loads: Vec::new(),
            pace: 1.0,
            staged: None,
            staging: None,
            last_model: None,
            highest_epoch: 0,
            highest_term: 0,
            sequence: 0,
        }
    }

    /// Returns the endpoint restarted as `place` on the same host: staged weights are kept, all
    /// other state is reset.
    pub fn restarted(&self, place: IncarnationPlace) -> Self {
        Self { staged: self.staged.clone(), ..Self::new(place) }
    }

    /// Applies `order` from the leader of `term`; fences orders of earlier terms.
    pub fn order(
        &mut self,
        now: TimePoint,
        order: &EndpointOrder,
        term: u64,
        engine: &EngineModel,
    ) -> OrderOutcome {
        if term < self.highest_term {
            return OrderOutcome::Fenced;
        }
        self.highest_term = term;
        match order {
            EndpointOrder::Join { group, model, members } => {
                self.join(now, *group, model, members, engine)
            }
            EndpointOrder::Open { group } => self.open(now, *group, engine),
            EndpointOrder::Close { group, method } => self.close(now, *group, *method),
            EndpointOrder::Leave { group } => {
                if self.member.as_ref().is_some_and(|member| member.group == *group) {
                    self.member = None;
                }
                OrderOutcome::Holds
            }
            EndpointOrder::Stage { model } => self.stage(now, model, engine),
        }
    }

    /// Advances the state to `now`; returns whether the report has changed.
    pub fn tick(&mut self, now: TimePoint) -> bool {
        let before = self.report();
        if let Some((model, until)) = &self.staging
            && now >= *until
        {
            self.staged = Some(model.clone());
            self.staging = None;
        }
        if let Some(member) = &mut self.member
            && member.until.is_some_and(|until| now >= until)
        {
            member.until = None;
            member.state = match member.state {
                MemberState::Joining => {
                    self.last_model = Some(member.model.clone());
                    if std::mem::take(&mut member.loads_weights) {
                        self.staged = Some(member.model.clone());
                    }
                    MemberState::Ready
                }
                MemberState::Closing => MemberState::Ready,
                MemberState::Ready => MemberState::Open,
                state => state,
            };
        }
        before != self.report()
    }

    /// Returns its full report.
    pub fn report(&self) -> EndpointReport {
        EndpointReport {
            domain: Some(self.place.domain.clone()),
            staged: self.staged.iter().cloned().collect(),
            mark: self
                .member
                .as_ref()
                .map(|member| GroupMembership { group: member.group, state: member.state }),
            pace: Some(self.pace),
            busy: Some(self.staging.is_some()),
        }
    }

    /// Returns its next heartbeat, whose report omits `pace` and `busy`.
    pub fn heartbeat(&mut self) -> EndpointHeartbeat {
        self.sequence += 1;
        let report = EndpointReport { pace: None, busy: None, ..self.report() };
        EndpointHeartbeat {
            id: self.place.id.clone(),
            service: self.place.service.clone(),
            address: self.place.address.clone(),
            zone: self.place.zone.clone(),
            slots: 34,
            leaving: self.leaving,
            cold_ms: 0,
            sequence: self.sequence,
            report,
        }
    }

    fn join(
        &mut self,
        now: TimePoint,
        group: GroupId,
        model: &str,
        members: &[IncarnationId],
        engine: &EngineModel,
    ) -> OrderOutcome {
        let same = self.member.as_ref().filter(|member| member.group == group);
        if same.is_some_and(|member| member.members == members) {
            return OrderOutcome::Holds;
        }
        if group.0 < self.highest_epoch || same.is_some() {
            return OrderOutcome::Fenced;
        }
        let Some(spec) = engine.model(model) else { return OrderOutcome::Misfit };
        self.highest_epoch = group.0;
        let warm = self.last_model.as_deref() == Some(model);
        let loads_weights = !warm && self.staged.as_deref() != Some(model);
        let time = if warm {
            REJOIN_TIME
        } else if loads_weights {
            self.loads.push(now);
            spec.load_time
        } else {
            // Staging in progress must finish first.
            let staging_time =
                self.staging.as_ref().map_or(Duration::ZERO, |(_, at)| at.since(now));
            staging_time + spec.warmup
        };
        self.member = Some(Membership {
            group,
            model: model.to_owned(),
            members: members.to_vec(),
            state: MemberState::Joining,
            until: Some(now.after(time)),
            loads_weights,
        });
        OrderOutcome::Begun
    }

    fn open(&mut self, now: TimePoint, group: GroupId, engine: &EngineModel) -> OrderOutcome {
        let is_head = |member: &Membership| {
            member.group == group && member.members.first() == Some(&self.place.id)
        };
        let head = self.member.as_ref().is_some_and(is_head);
        let Some(member) = self.member.as_mut().filter(|_| head) else {
            return OrderOutcome::Misfit;
        };
        match member.state {
            MemberState::Open => OrderOutcome::Holds,
            MemberState::Ready if member.until.is_some() => OrderOutcome::Holds,
            MemberState::Ready => {
                member.until = Some(now.after(engine.formation));
                OrderOutcome::Begun
            }
            _ => OrderOutcome::Misfit,
        }
    }

    fn close(&mut self, now: TimePoint, group: GroupId, method: CloseMethod) -> OrderOutcome {
        let Some(member) = self.member.as_mut().filter(|member| member.group == group) else {
            return OrderOutcome::Misfit;
        };
        match (member.state, method) {
            (MemberState::Open | MemberState::Closing, CloseMethod::Truncate) => {
                member.state = MemberState::Ready;
                member.until = None;
                OrderOutcome::Begun
            }
            (MemberState::Open, CloseMethod::Wait) => {
                member.state = MemberState::Closing;
                member.until = Some(now.after(Duration::from_secs(2)));
                OrderOutcome::Begun
            }
            (MemberState::Closing, CloseMethod::Wait) => OrderOutcome::Holds,
            (MemberState::Ready, _) => {
                // Cancels an opening in progress.
                member.until = None;
                OrderOutcome::Holds
            }
            _ => OrderOutcome::Misfit,
        }
    }

    fn stage(&mut self, now: TimePoint, model: &str, engine: &EngineModel) -> OrderOutcome {
        let Some(spec) = engine.model(model) else { return OrderOutcome::Misfit };
        if self.staged.as_deref() == Some(model) {
            return OrderOutcome::Holds;
        }
        if self.staging.as_ref().is_none_or(|(staging, _)| staging != model) {
            self.loads.push(now);
            self.staging = Some((model.to_owned(), now.after(spec.load_time)));
        }
        OrderOutcome::Begun
    }
}
