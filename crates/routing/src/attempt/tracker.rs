//! One attempt as its entry follows it: after each event, what to do next.
//!
//! The tracker alone decides what the caller may see and what the entry may claim. `not_run` comes
//! out of it only as [`TrackerAction::Refused`]: the order never left, the agent refused it, or
//! the same agent process confirmed a tombstone. A chunk reaches the caller only with the right
//! attempt id and the next sequence number, an end only with the right count.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReply, CallOutcome, EntryRequest, LoadReport, RefusalReason, TombstoneState,
};
use briartray_model::names::{AttemptId, IncarnationId};

/// Time without any frame after which the path is taken for dead; agents send progress marks far
/// more often, so a slow engine never trips it.
pub const SILENCE_BOUND: Duration = Duration::from_millis(1500);

/// The same before the first frame, which the agent sends as soon as the order has a slot.
pub const ACCEPT_BOUND: Duration = Duration::from_millis(700);

/// New connections that are tried while nothing else can be done for the caller.
const MAX_RECONNECTS: u32 = 5;

/// Wait before each new connection after the first.
const RECONNECT_WAIT: Duration = Duration::from_millis(200);

/// What is fixed when an attempt starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrackerPlan {
    /// The attempt.
    pub attempt: AttemptId,
    /// Agent process that the order is meant for.
    pub incarnation: u64,
    /// Whether the call may run a second time elsewhere.
    pub repeatable: bool,
    /// When the caller's time is up.
    pub deadline: TimePoint,
}

/// What the entry does next.
#[derive(Debug, Clone, PartialEq)]
pub enum TrackerAction {
    /// Read on.
    Wait,
    /// Read on; the frame belonged to another attempt.
    Crossed,
    /// Note status and content type.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// Hand the chunk to the caller.
    Deliver(Vec<u8>),
    /// The answer is whole.
    Finish(LoadReport),
    /// Open a new connection after the wait, send the request, and read from there.
    Reconnect {
        /// What to send.
        request: EntryRequest,
        /// How long to wait first.
        wait: Duration,
    },
    /// The attempt was not run and never will be.
    Refused(RefusalReason, Option<LoadReport>),
    /// The attempt ended without a whole answer.
    Lost {
        /// What may be said about its effect.
        outcome: CallOutcome,
        /// What went wrong.
        detail: String,
        /// The start of the endpoint that crashed meanwhile, where it did.
        crashed: Option<IncarnationId>,
    },
    /// The deadline passed.
    Late,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrackerPhase {
    /// The order was sent; frames are expected.
    Dispatched,
    /// The agent was asked to go on from an offset.
    Resuming,
    /// The agent was asked for a tombstone.
    Tombstoning,
}

/// Follows one attempt.
#[derive(Debug)]
pub struct AttemptTracker {
    plan: TrackerPlan,
    phase: TrackerPhase,
    sent: TimePoint,
    heard: TimePoint,
    /// Whether the stream in use has brought a frame.
    accepted: bool,
    next_sequence: u64,
    shown: bool,
    reconnects: u32,
    doubled: u64,
}

impl AttemptTracker {
    /// A tracker for an order that is sent now.
    pub fn new(now: TimePoint, plan: TrackerPlan) -> Self {
        Self {
            plan,
            phase: TrackerPhase::Dispatched,
            sent: now,
            heard: now,
            accepted: false,
            next_sequence: 0,
            shown: false,
            reconnects: 0,
            doubled: 0,
        }
    }

    /// How long to wait for the next frame.
    pub fn wait(&self, now: TimePoint) -> Duration {
        let bound = if self.accepted { SILENCE_BOUND } else { ACCEPT_BOUND };
        let silent = self.heard.after(bound);
        silent.min(self.plan.deadline).since(now)
    }

    /// Notes that the caller has seen a part of the answer.
    pub fn mark_delivered(&mut self) {
        self.shown = true;
    }

    /// Chunks that came a second time and were dropped.
    pub fn doubled(&self) -> u64 {
        self.doubled
    }

    /// Takes one frame.
    pub fn on_reply(&mut self, now: TimePoint, reply: AgentReply) -> TrackerAction {
        if reply.attempt() != self.plan.attempt {
            return TrackerAction::Crossed;
        }
        self.heard = now;
        self.accepted = true;
        match reply {
            AgentReply::Accepted { .. } | AgentReply::Progress { .. } => TrackerAction::Wait,
            AgentReply::Head { status, content_type, .. } => {
                TrackerAction::Head { status, content_type }
            }
            AgentReply::Chunk { sequence, data, .. } => self.take_chunk(now, sequence, data),
            AgentReply::End { count, load, .. } => self.take_end(now, count, load),
            AgentReply::Refused { reason, load, .. } if self.next_sequence == 0 => {
                TrackerAction::Refused(reason, Some(load))
            }
            AgentReply::Refused { .. } => self.lost("the agent refused what it had begun"),
            AgentReply::Failed { outcome, detail, crashed, .. } => {
                self.lost_as(outcome, &detail, crashed)
            }
            AgentReply::NotHeld { .. } if self.shown => {
                self.lost("the agent no longer holds the rest of the answer")
            }
            AgentReply::NotHeld { .. } => self.ask_tombstone(now),
            AgentReply::Tombstone { state, incarnation, .. } => {
                self.take_tombstone(state, incarnation)
            }
        }
    }

    /// Takes the end of the stream before the end of the answer.
    pub fn on_disconnect(&mut self, now: TimePoint, nothing_sent: bool) -> TrackerAction {
        if self.phase == TrackerPhase::Dispatched && nothing_sent {
            return TrackerAction::Refused(RefusalReason::EndpointUnreachable, None);
        }
        self.reconnect(now)
    }

    /// Takes the passing of [`AttemptTracker::wait`] without a frame.
    pub fn on_timeout(&mut self, now: TimePoint) -> TrackerAction {
        if now >= self.plan.deadline {
            return TrackerAction::Late;
        }
        self.reconnect(now)
    }

    fn take_chunk(&mut self, now: TimePoint, sequence: u64, data: Vec<u8>) -> TrackerAction {
        if sequence < self.next_sequence {
            self.doubled += 1;
            return TrackerAction::Wait;
        }
        if sequence > self.next_sequence {
            // A piece was lost on the way. Handing this one on would leave a hole that the caller
            // cannot see, so the agent is asked again from the hole.
            return self.reconnect(now);
        }
        self.next_sequence += 1;
        self.reconnects = 0;
        TrackerAction::Deliver(data)
    }

    fn take_end(&mut self, now: TimePoint, count: u64, load: LoadReport) -> TrackerAction {
        match count.cmp(&self.next_sequence) {
            std::cmp::Ordering::Equal => TrackerAction::Finish(load),
            std::cmp::Ordering::Greater => self.reconnect(now),
            std::cmp::Ordering::Less => self.lost("the answer's count is wrong"),
        }
    }

    fn take_tombstone(&self, state: TombstoneState, incarnation: u64) -> TrackerAction {
        match state {
            // Another process than the one that was asked knows nothing of what its predecessor
            // handed to the endpoint.
            TombstoneState::NeverRuns if incarnation == self.plan.incarnation => {
                TrackerAction::Refused(RefusalReason::Tombstoned, None)
            }
            TombstoneState::NeverRuns => self.lost("the agent restarted"),
            TombstoneState::Running | TombstoneState::Ended => {
                self.lost("the attempt ran and its answer is gone")
            }
            TombstoneState::CannotTell => self.lost("the agent cannot tell whether it ran"),
        }
    }

    fn ask_tombstone(&mut self, now: TimePoint) -> TrackerAction {
        self.phase = TrackerPhase::Tombstoning;
        TrackerAction::Reconnect { request: self.question(now), wait: Duration::ZERO }
    }

    fn reconnect(&mut self, now: TimePoint) -> TrackerAction {
        let limit = if self.plan.repeatable && !self.shown { 1 } else { MAX_RECONNECTS };
        if self.reconnects >= limit || now >= self.plan.deadline {
            return self.lost("the replica cannot be reached");
        }
        if self.phase == TrackerPhase::Dispatched {
            self.phase = TrackerPhase::Resuming;
        }
        let wait = if self.reconnects == 0 { Duration::ZERO } else { RECONNECT_WAIT };
        self.reconnects += 1;
        self.heard = now.after(wait);
        // A new connection takes its time, so the longer bound holds for it.
        self.accepted = true;
        TrackerAction::Reconnect { request: self.question(now), wait }
    }

    fn question(&self, now: TimePoint) -> EntryRequest {
        let attempt = self.plan.attempt;
        if self.phase == TrackerPhase::Tombstoning {
            let age = now.since(self.sent).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            return EntryRequest::Tombstone { attempt, age_ms };
        }
        EntryRequest::Resume { attempt, offset: self.next_sequence }
    }

    fn lost(&self, detail: &str) -> TrackerAction {
        self.lost_as(CallOutcome::Unknown, detail, None)
    }

    fn lost_as(
        &self,
        outcome: CallOutcome,
        detail: &str,
        crashed: Option<IncarnationId>,
    ) -> TrackerAction {
        // Only a refusal proves that nothing ran; whatever else an agent says is not taken for it.
        let outcome = match outcome {
            CallOutcome::Ran => CallOutcome::Ran,
            CallOutcome::NotRun | CallOutcome::Unknown => CallOutcome::Unknown,
        };
        TrackerAction::Lost { outcome, detail: detail.to_owned(), crashed }
    }
}
