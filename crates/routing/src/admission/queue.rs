//! The admission queue of one entry, with its waiting and running requests.

use std::time::Duration;

use briartray_model::names::{ServiceName, TeamName};
use briartray_model::{SortedTable, TimePoint};

use super::limit::{LimitKey, LimitUsage, TeamLimit};
use super::service::{LimitTable, ServiceQueue};
use super::sweep::{sweep_team, time_needed};
use super::team::{TeamQueue, WaitingRequest};
use super::verdict::{
    AdmissionOutput, AdmissionRefusal, AdmissionRequest, AdmissionVerdict, RefusalCause,
    TicketNumber, no_replica, refuse,
};

/// Interval between checks whether waiting requests can still meet their deadlines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Factor applied to the expected wait when a request arrives. Waiting requests are dropped by the
/// plain estimate, so that a small change of the estimate does not drop a request right after it
/// was admitted.
const WAIT_SAFETY_FACTOR: f64 = 1.15;

/// A request that occupies a slot.
#[derive(Debug, Clone)]
struct RunningRequest {
    service: ServiceName,
    team: TeamName,
    request: WaitingRequest,
    started: TimePoint,
    charged: f64,
}

/// All waiting and running requests of one entry.
#[derive(Debug)]
pub struct AdmissionQueue {
    max_requests: usize,
    next_ticket: TicketNumber,
    services: SortedTable<ServiceName, ServiceQueue>,
    limits: LimitTable,
    running: SortedTable<TicketNumber, RunningRequest>,
    shed: Vec<AdmissionOutput>,
    swept_at: TimePoint,
}

impl AdmissionQueue {
    /// Creates a queue for at most `max_requests` requests, waiting and running together.
    pub fn new(max_requests: usize) -> Self {
        Self {
            max_requests,
            next_ticket: TicketNumber::default(),
            services: SortedTable::new(),
            limits: SortedTable::new(),
            running: SortedTable::new(),
            shed: Vec::new(),
            swept_at: TimePoint(0),
        }
    }

    /// Sets the total number of slots of all replicas of `service`.
    pub fn set_capacity(&mut self, service: &ServiceName, capacity: u64) {
        let queue = self.services.get_or_insert_with(service.clone(), ServiceQueue::default);
        queue.window.set_capacity(capacity);
    }

    /// Services whose capacity is set and not zero.
    pub fn served(&self) -> Vec<ServiceName> {
        let served = self.services.iter().filter(|(_, queue)| queue.window.capacity() > 0);
        served.map(|(name, _)| name.clone()).collect()
    }

    /// Sets the part of a limit that this entry may use, without expiry; `rate` is in requests per
    /// second.
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

    /// Counts the arrival of a request under a limit. A new limit allows nothing until a share is
    /// granted.
    pub fn register_limit(&mut self, now: TimePoint, key: &LimitKey, counted: bool, rated: bool) {
        let none = || TeamLimit::new(now, counted.then_some(0), rated.then_some(0.0));
        self.limits.get_or_insert_with(key.clone(), none).count_arrival(now);
    }

    /// Applies a granted share of a limit that expires at `until`; `rate` is in requests per
    /// second.
    pub fn grant(
        &mut self,
        now: TimePoint,
        key: &LimitKey,
        concurrency: Option<u32>,
        rate: Option<f64>,
        until: TimePoint,
    ) {
        if let Some(limit) = self.limits.get_mut(key).filter(|limit| limit.accepts_grant(now)) {
            limit.set(now, concurrency, rate, Some(until));
        }
    }

    /// Returns demand and held share of each limit.
    pub fn limit_usage(&mut self, now: TimePoint) -> Vec<LimitUsage> {
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

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.services.values().map(ServiceQueue::waiting).sum()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Adds a request to the queue; [`AdmissionQueue::step`] returns its verdict.
    ///
    /// # Errors
    /// Returns an `AdmissionRefusal` if it is already clear that the request cannot be served.
    pub fn offer(
        &mut self,
        now: TimePoint,
        request: &AdmissionRequest<'_>,
    ) -> Result<TicketNumber, AdmissionRefusal> {
        self.check_queue(now, request)?;
        if self.waiting() + self.running.len() >= self.max_requests {
            self.make_room(now, request)?;
        }
        self.next_ticket = TicketNumber(self.next_ticket.0 + 1);
        let waiting = WaitingRequest {
            ticket: self.next_ticket,
            priority: request.action.priority,
            arrived: now,
            deadline: request.deadline,
            limit: request.limit.cloned(),
        };
        let service = self.services.get_or_insert_with(request.service.clone(), Default::default);
        let team = service.teams.get_or_insert_with(request.team.clone(), TeamQueue::default);
        team.weight = f64::from(request.action.weight.max(1));
        team.push(waiting);
        Ok(self.next_ticket)
    }

    /// Releases a running request; `ran` is false if no replica ran it.
    pub fn finish(&mut self, now: TimePoint, ticket: TicketNumber, ran: bool) {
        let Some(finished) = self.running.remove(&ticket) else { return };
        let took = now.since(finished.started);
        self.release_slot(&finished, if ran { Some(took) } else { None });
    }

    /// Returns a running request to the front of its queue because all replicas that were tried are
    /// full.
    pub fn requeue(&mut self, now: TimePoint, ticket: TicketNumber) {
        let Some(requeued) = self.running.remove(&ticket) else { return };
        if let Some(service) = self.services.get_mut(&requeued.service) {
            service.window.decrease(now);
        }
        self.release_slot(&requeued, None);
        if let Some(service) = self.services.get_mut(&requeued.service) {
            let team = service.teams.get_or_insert_with(requeued.team, TeamQueue::default);
            team.weight = team.weight.max(1.0);
            team.push(requeued.request);
        }
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: TicketNumber) {
        for service in self.services.values_mut() {
            for team in service.teams.values_mut() {
                if team.remove(ticket).is_some() {
                    return;
                }
            }
        }
    }

    /// Starts the requests for which there is room, and refuses those that cannot meet their
    /// deadlines.
    pub fn step(&mut self, now: TimePoint) -> Vec<AdmissionOutput> {
        let mut outputs = std::mem::take(&mut self.shed);
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.sweep(now, &mut outputs);
        }
        for (name, service) in self.services.iter_mut() {
            while let Some(picked) = service.pick(now, &mut self.limits) {
                let request = picked.request;
                let ticket = request.ticket;
                // A request that would finish late wastes a slot: its caller has given up by then,
                // and other requests could still finish in time.
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

    fn release_slot(&mut self, finished: &RunningRequest, took: Option<Duration>) {
        if let Some(limit) = finished.request.limit.as_ref().and_then(|k| self.limits.get_mut(k)) {
            limit.end(took.is_some());
        }
        if let Some(service) = self.services.get_mut(&finished.service) {
            service.window.end(took);
            let actual = took.map_or(0.0, |took| took.as_secs_f64());
            service.settle(&finished.team, finished.charged, actual);
        }
    }

    /// Refuses a request if its team's queue is full or it would miss its deadline.
    fn check_queue(
        &mut self,
        now: TimePoint,
        request: &AdmissionRequest<'_>,
    ) -> Result<(), AdmissionRefusal> {
        let Some(service) = self.services.get(request.service) else { return Err(no_replica()) };
        if service.window.capacity() == 0 {
            return Err(no_replica());
        }
        let limit = request.limit.and_then(|key| self.limits.get_mut(key));
        let queued = service.teams.get(request.team);
        let ahead = queued.map_or(0, |team| team.count_ahead(request.action.priority));
        let weight = f64::from(request.action.weight.max(1));
        let mean_time = service.window.mean_time();
        let by_limit = limit.map_or(0.0, |limit| limit.expected_wait(now, ahead as f64, mean_time));
        if ahead == 0 && by_limit == 0.0 && service.window.has_room(now) {
            return Ok(());
        }
        let by_slots = service.expected_wait(request.team, weight, request.action.priority, ahead);
        let wait = by_slots.unwrap_or_default().max(by_limit);
        if queued.is_some_and(|team| team.waiting.len() >= request.action.queue as usize) {
            return Err(refuse(RefusalCause::TeamQueueFull, wait / 2.0));
        }
        let left = request.deadline.since(now);
        let excess =
            WAIT_SAFETY_FACTOR * wait + service.window.time_needed(left) - left.as_secs_f64();
        if excess > 0.0 {
            return Err(refuse(RefusalCause::TooLate, excess));
        }
        Ok(())
    }

    /// Drops the newest request of the team with the most waiting requests for its weight, unless
    /// that is the requesting team. Otherwise one team could fill the entry and block all others.
    fn make_room(
        &mut self,
        now: TimePoint,
        request: &AdmissionRequest<'_>,
    ) -> Result<(), AdmissionRefusal> {
        let mut largest: Option<(f64, ServiceName, TeamName)> = None;
        let mut requester_held = 1.0 / f64::from(request.action.weight.max(1));
        for (service, queue) in self.services.iter() {
            for (name, team) in queue.teams.iter() {
                let held = team.waiting.len() as f64 / team.weight.max(1.0);
                if name == request.team && service == request.service {
                    requester_held += held;
                } else if held > 0.0 && largest.as_ref().is_none_or(|(most, _, _)| held > *most) {
                    largest = Some((held, service.clone(), name.clone()));
                }
            }
        }
        let wait = self.services.get(request.service).and_then(|service| {
            let weight = f64::from(request.action.weight.max(1));
            service.expected_wait(request.team, weight, request.action.priority, service.waiting())
        });
        let refusal = refuse(RefusalCause::EntryFull, wait.unwrap_or_default() / 2.0);
        let Some((held, service, team)) = largest.filter(|(held, _, _)| *held > requester_held)
        else {
            return Err(refusal);
        };
        log::debug!(
            team = team.as_str(), held, now = now.0;
            "entry is full; refusing the newest request of the largest team"
        );
        let team_queue =
            self.services.get_mut(&service).and_then(|queue| queue.teams.get_mut(&team));
        if let Some(newest) = team_queue.and_then(|team| team.waiting.pop_back()) {
            let verdict = AdmissionVerdict::Refuse(refusal);
            self.shed.push(AdmissionOutput { ticket: newest.ticket, verdict });
        }
        Ok(())
    }

    /// Refuses waiting requests that can no longer meet their deadlines.
    ///
    /// Replicas may have become unavailable since a request was admitted. Its caller can try
    /// elsewhere at once and need not wait for the deadline.
    fn sweep(&mut self, now: TimePoint, outputs: &mut Vec<AdmissionOutput>) {
        for service in self.services.values_mut() {
            let names: Vec<TeamName> = service.teams.keys().cloned().collect();
            for name in names {
                sweep_team(now, service, &name, &mut self.limits, outputs);
            }
            service.remove_idle();
        }
        // Callers may choose team names freely, so idle limits would accumulate.
        let services = &self.services;
        self.limits.retain(|key, limit| {
            let waits = services.values().any(|service| service.teams.contains_key(&key.team));
            waits || !limit.is_idle(now)
        });
    }
}
