//! The aggregate: what is let in, what waits, and what is given up.

use std::time::Duration;

use briartray_model::names::{ServiceName, TeamName};
use briartray_model::{SortedTable, TimePoint};

use super::limit::{LimitKey, LimitUse, TeamLimit};
use super::service::{LimitTable, ServiceQueue};
use super::sweep::{sweep_team, time_needed};
use super::team::{TeamQueue, WaitingRequest};
use super::verdict::{
    AdmissionOutput, AdmissionRefusal, AdmissionRequest, AdmissionVerdict, RefusalCause,
    TicketNumber, no_replica, refuse,
};

/// Time between two looks at whether waiting requests can still be done.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Factor on the expected wait when a request is let in. A request that waits is given up by the
/// plain estimate, so that small changes of the estimate do not first let it in and then drop it.
const CAUTION: f64 = 1.15;

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct RunningRequest {
    service: ServiceName,
    team: TeamName,
    request: WaitingRequest,
    started: TimePoint,
    charged: f64,
}

/// Everything one entry knows about the requests it holds.
#[derive(Debug)]
pub struct AdmissionQueue {
    most_held: usize,
    next_ticket: TicketNumber,
    services: SortedTable<ServiceName, ServiceQueue>,
    limits: LimitTable,
    running: SortedTable<TicketNumber, RunningRequest>,
    given_up: Vec<AdmissionOutput>,
    swept_at: TimePoint,
}

impl AdmissionQueue {
    /// A queue that holds at most `most_held` requests, waiting and running.
    pub fn new(most_held: usize) -> Self {
        Self {
            most_held,
            next_ticket: TicketNumber::default(),
            services: SortedTable::new(),
            limits: SortedTable::new(),
            running: SortedTable::new(),
            given_up: Vec::new(),
            swept_at: TimePoint(0),
        }
    }

    /// Tells how many slots the replicas of `service` have in all.
    pub fn set_capacity(&mut self, service: &ServiceName, capacity: u64) {
        let known = self.services.get_or_insert_with(service.clone(), ServiceQueue::default);
        known.window.set_capacity(capacity);
    }

    /// Services whose capacity was told and is not zero.
    pub fn served(&self) -> Vec<ServiceName> {
        let served = self.services.iter().filter(|(_, queue)| queue.window.capacity() > 0);
        served.map(|(name, _)| name.clone()).collect()
    }

    /// Tells what this entry may use of a limit.
    pub fn set_limit(
        &mut self,
        now: TimePoint,
        key: &LimitKey,
        concurrency: Option<u32>,
        rate: Option<f64>,
    ) {
        match self.limits.get_mut(key) {
            Some(limit) => limit.set(now, concurrency, rate, None),
            None => {
                self.limits.insert(key.clone(), TeamLimit::new(now, concurrency, rate));
            }
        }
    }

    /// Notes a limit under which a request comes; it holds nothing until a share is granted.
    pub fn register_limit(&mut self, now: TimePoint, key: &LimitKey, counted: bool, rated: bool) {
        let none = || TeamLimit::new(now, counted.then_some(0), rated.then_some(0.0));
        self.limits.get_or_insert_with(key.clone(), none).arrive(now);
    }

    /// Takes a granted share of a limit, which runs out at `until`.
    pub fn grant(
        &mut self,
        now: TimePoint,
        key: &LimitKey,
        concurrency: Option<u32>,
        rate: Option<f64>,
        until: TimePoint,
    ) {
        if let Some(limit) = self.limits.get_mut(key).filter(|limit| limit.takes_grant(now)) {
            limit.set(now, concurrency, rate, Some(until));
        }
    }

    /// What this entry could use of each limit and what it holds.
    pub fn limit_usage(&mut self, now: TimePoint) -> Vec<LimitUse> {
        let services = &self.services;
        let waiting = |key: &LimitKey| -> u32 {
            let queues = services.values().filter_map(|service| service.teams.get(&key.team));
            let requests = queues.flat_map(|team| &team.waiting);
            let count = requests.filter(|request| request.limit.as_ref() == Some(key)).count();
            u32::try_from(count).unwrap_or(u32::MAX)
        };
        let limits = self.limits.iter_mut();
        limits.map(|(key, limit)| limit.usage(now, key, waiting(key))).collect()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.services.values().map(ServiceQueue::waiting).sum()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Takes a request into its queue; [`AdmissionQueue::step`] tells when it runs.
    ///
    /// # Errors
    /// An `AdmissionRefusal` when it is known now that it cannot be done.
    pub fn offer(
        &mut self,
        now: TimePoint,
        asked: &AdmissionRequest<'_>,
    ) -> Result<TicketNumber, AdmissionRefusal> {
        self.check_queue(now, asked)?;
        if self.waiting() + self.running.len() >= self.most_held {
            self.make_room(now, asked)?;
        }
        self.next_ticket = TicketNumber(self.next_ticket.0 + 1);
        let request = WaitingRequest {
            ticket: self.next_ticket,
            priority: asked.action.priority,
            arrived: now,
            deadline: asked.deadline,
            limit: asked.limit.cloned(),
        };
        let service = self.services.get_or_insert_with(asked.service.clone(), Default::default);
        let team = service.teams.get_or_insert_with(asked.team.clone(), TeamQueue::default);
        team.weight = f64::from(asked.action.weight.max(1));
        team.push(request);
        Ok(self.next_ticket)
    }

    /// Counts a running request off; `ran` is false when no replica ran it.
    pub fn finish(&mut self, now: TimePoint, ticket: TicketNumber, ran: bool) {
        let Some(done) = self.running.remove(&ticket) else { return };
        let took = now.since(done.started);
        self.free(&done, if ran { Some(took) } else { None });
    }

    /// Puts a running request back in front of its queue: every replica asked was full.
    pub fn requeue(&mut self, now: TimePoint, ticket: TicketNumber) {
        let Some(back) = self.running.remove(&ticket) else { return };
        if let Some(service) = self.services.get_mut(&back.service) {
            service.window.cut(now);
        }
        self.free(&back, None);
        if let Some(service) = self.services.get_mut(&back.service) {
            let team = service.teams.get_or_insert_with(back.team, TeamQueue::default);
            team.weight = team.weight.max(1.0);
            team.push(back.request);
        }
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn cancel(&mut self, ticket: TicketNumber) {
        for service in self.services.values_mut() {
            for team in service.teams.values_mut() {
                if team.remove(ticket).is_some() {
                    return;
                }
            }
        }
    }

    /// Lets requests run for which there is room, and gives up those that cannot be done in time.
    pub fn step(&mut self, now: TimePoint) -> Vec<AdmissionOutput> {
        let mut outputs = std::mem::take(&mut self.given_up);
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now, &mut outputs);
        }
        for (name, service) in self.services.iter_mut() {
            while let Some(picked) = service.pick(now, &mut self.limits) {
                let request = picked.request;
                let ticket = request.ticket;
                // Work that starts too late is thrown away by its caller and takes a slot from
                // work that would be in time.
                let need = time_needed(&service.window, &request);
                if request.deadline.since(now).as_secs_f64() < need {
                    service.window.end(None);
                    service.settle(&picked.team, picked.cost, 0.0);
                    let wait = service.window.time_per_slot().unwrap_or_default();
                    let refusal = refuse(RefusalCause::TooLate, wait);
                    outputs.push(AdmissionOutput {
                        ticket,
                        verdict: AdmissionVerdict::Refuse(refusal),
                    });
                    continue;
                }
                if let Some(limit) = request.limit.as_ref().and_then(|k| self.limits.get_mut(k)) {
                    limit.begin();
                }
                let running = RunningRequest {
                    service: name.clone(),
                    team: picked.team,
                    request,
                    started: now,
                    charged: picked.cost,
                };
                self.running.insert(ticket, running);
                outputs.push(AdmissionOutput { ticket, verdict: AdmissionVerdict::Run });
            }
        }
        outputs
    }

    fn free(&mut self, done: &RunningRequest, took: Option<Duration>) {
        if let Some(limit) = done.request.limit.as_ref().and_then(|k| self.limits.get_mut(k)) {
            limit.end(took.is_some());
        }
        if let Some(service) = self.services.get_mut(&done.service) {
            service.window.end(took);
            let actual = took.map_or(0.0, |took| took.as_secs_f64());
            service.settle(&done.team, done.charged, actual);
        }
    }

    /// Refuses what finds its team's queue full, or would not be done in time.
    fn check_queue(
        &mut self,
        now: TimePoint,
        asked: &AdmissionRequest<'_>,
    ) -> Result<(), AdmissionRefusal> {
        let Some(service) = self.services.get(asked.service) else { return Err(no_replica()) };
        if service.window.capacity() == 0 {
            return Err(no_replica());
        }
        let limit = asked.limit.and_then(|key| self.limits.get_mut(key));
        let queued = service.teams.get(asked.team);
        let ahead = queued.map_or(0, |team| team.ahead_of(asked.action.priority));
        let weight = f64::from(asked.action.weight.max(1));
        let mean_time = service.window.mean_time();
        let by_limit = limit.map_or(0.0, |limit| limit.wait(now, ahead as f64, mean_time));
        if ahead == 0 && by_limit == 0.0 && service.window.has_room(now) {
            return Ok(());
        }
        let by_slots = service.wait(asked.team, weight, asked.action.priority, ahead);
        let wait = by_slots.unwrap_or_default().max(by_limit);
        if queued.is_some_and(|team| team.waiting.len() >= asked.action.queue as usize) {
            return Err(refuse(RefusalCause::TeamQueueFull, wait / 2.0));
        }
        let left = asked.deadline.since(now);
        let over = CAUTION * wait + service.window.time_needed(left) - left.as_secs_f64();
        if over > 0.0 {
            return Err(refuse(RefusalCause::TooLate, over));
        }
        Ok(())
    }

    /// Gives up the newest request of the team that holds most for its weight, if that is not the
    /// team that asks; otherwise a team could fill the entry and keep everyone else out.
    fn make_room(
        &mut self,
        now: TimePoint,
        asked: &AdmissionRequest<'_>,
    ) -> Result<(), AdmissionRefusal> {
        let mut largest: Option<(f64, ServiceName, TeamName)> = None;
        let mut asked_held = 1.0 / f64::from(asked.action.weight.max(1));
        for (service, queue) in self.services.iter() {
            for (name, team) in queue.teams.iter() {
                let held = team.waiting.len() as f64 / team.weight.max(1.0);
                if name == asked.team && service == asked.service {
                    asked_held += held;
                } else if held > 0.0 && largest.as_ref().is_none_or(|(most, _, _)| held > *most) {
                    largest = Some((held, service.clone(), name.clone()));
                }
            }
        }
        let wait = self.services.get(asked.service).and_then(|service| {
            let weight = f64::from(asked.action.weight.max(1));
            service.wait(asked.team, weight, asked.action.priority, service.waiting())
        });
        let refusal = refuse(RefusalCause::EntryFull, wait.unwrap_or_default() / 2.0);
        let Some((held, service, team)) = largest.filter(|(held, _, _)| *held > asked_held) else {
            return Err(refusal);
        };
        log::debug!(team = team.as_str(), held, now = now.0; "the newest request makes room");
        let given = self.services.get_mut(&service).and_then(|queue| queue.teams.get_mut(&team));
        if let Some(request) = given.and_then(|team| team.waiting.pop_back()) {
            let verdict = AdmissionVerdict::Refuse(refusal);
            self.given_up.push(AdmissionOutput { ticket: request.ticket, verdict });
        }
        Ok(())
    }

    /// Gives up waiting requests that cannot be done in time any more.
    ///
    /// Replicas may have gone since a request was let in. Its caller learns now, not at its
    /// deadline, that it is better off elsewhere.
    fn sweep(&mut self, now: TimePoint, outputs: &mut Vec<AdmissionOutput>) {
        for service in self.services.values_mut() {
            let names: Vec<TeamName> = service.teams.keys().cloned().collect();
            for name in names {
                sweep_team(now, service, &name, &mut self.limits, outputs);
            }
            service.forget_idle();
        }
        // Team names may be free text of callers; what is idle must not pile up.
        let services = &self.services;
        self.limits.retain(|key, limit| {
            let waits = services.values().any(|service| service.teams.contains_key(&key.team));
            waits || !limit.is_idle(now)
        });
    }
}
