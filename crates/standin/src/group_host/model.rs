//! The state of one endpoint and what orders do to it.

use std::time::Duration;

use briartray_fleet::deployment::EngineModel;
use briartray_fleet::director::{
    CloseMethod, EndpointHeartbeat, EndpointOrder, EndpointReport, GroupMembership, MemberState,
    OrderOutcome,
};
use briartray_model::TimePoint;
use briartray_model::names::{DomainName, GroupId, IncarnationId, ServiceName, ZoneName};

/// Time to join a group whose model is that of the last one.
const REJOIN: Duration = Duration::from_millis(200);

/// Where an endpoint is and what it serves.
#[derive(Debug, Clone, PartialEq)]
pub struct HostPlace {
    /// Its present life.
    pub id: IncarnationId,
    /// Service it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its fabric domain.
    pub domain: DomainName,
}

/// Its part in a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The model.
    pub model: String,
    /// All members, the head first.
    pub members: Vec<IncarnationId>,
    /// How far it is.
    pub state: MemberState,
    /// When the next state follows by itself.
    pub until: Option<TimePoint>,
    /// Whether it loads the weights while it joins; the host keeps them afterwards. One that joins
    /// with the weights of its last group keeps on the host whatever was staged there.
    loads: bool,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct HostModel {
    /// Where it is.
    pub place: HostPlace,
    /// Its group.
    pub member: Option<Membership>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Loads from the weight store that it has begun, by time.
    pub loads: Vec<TimePoint>,
    /// Factor on its times.
    pub pace: f64,
    staged: Option<String>,
    loading: Option<(String, TimePoint)>,
    last_model: Option<String>,
    highest_epoch: u64,
    highest_term: u64,
    sequence: u64,
}

impl HostModel {
    /// An endpoint that has just started with nothing staged.
    pub fn new(place: HostPlace) -> Self {
        Self {
            place,
            member: None,
            leaving: false,
            loads: Vec::new(),
            pace: 1.0,
            staged: None,
            loading: None,
            last_model: None,
            highest_epoch: 0,
            highest_term: 0,
            sequence: 0,
        }
    }

    /// The endpoint that starts at `place` on the same host: the weights on the host are kept, all
    /// else is forgotten.
    pub fn restarted(&self, place: HostPlace) -> Self {
        Self { staged: self.staged.clone(), ..Self::new(place) }
    }

    /// Carries out `order` of a leader of `term`.
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

    /// Brings it up to `now`; tells whether its report has changed.
    pub fn tick(&mut self, now: TimePoint) -> bool {
        let before = self.report();
        if let Some((model, until)) = &self.loading
            && now >= *until
        {
            self.staged = Some(model.clone());
            self.loading = None;
        }
        if let Some(member) = &mut self.member
            && member.until.is_some_and(|until| now >= until)
        {
            member.until = None;
            member.state = match member.state {
                MemberState::Joining => {
                    self.last_model = Some(member.model.clone());
                    if std::mem::take(&mut member.loads) {
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

    /// What it tells of itself.
    pub fn report(&self) -> EndpointReport {
        EndpointReport {
            domain: Some(self.place.domain.clone()),
            staged: self.staged.iter().cloned().collect(),
            mark: self
                .member
                .as_ref()
                .map(|member| GroupMembership { group: member.group, state: member.state }),
            pace: Some(self.pace),
            busy: Some(self.loading.is_some()),
        }
    }

    /// Its next beat, which tells neither its pace nor whether it carries out an order.
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
        let loads = !warm && self.staged.as_deref() != Some(model);
        let time = if warm {
            REJOIN
        } else if loads {
            self.loads.push(now);
            spec.load_time
        } else {
            // Staging that is under way comes first.
            let staging = self.loading.as_ref().map_or(Duration::ZERO, |(_, at)| at.since(now));
            staging + spec.warmup
        };
        self.member = Some(Membership {
            group,
            model: model.to_owned(),
            members: members.to_vec(),
            state: MemberState::Joining,
            until: Some(now.after(time)),
            loads,
        });
        OrderOutcome::Begun
    }

    fn open(&mut self, now: TimePoint, group: GroupId, engine: &EngineModel) -> OrderOutcome {
        let heads = |member: &Membership| {
            member.group == group && member.members.first() == Some(&self.place.id)
        };
        let head = self.member.as_ref().is_some_and(heads);
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
                // An opening that is under way is taken back.
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
        if self.loading.as_ref().is_none_or(|(loading, _)| loading != model) {
            self.loads.push(now);
            self.loading = Some((model.to_owned(), now.after(spec.load_time)));
        }
        OrderOutcome::Begun
    }
}
