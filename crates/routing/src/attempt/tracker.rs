//! State machine of one attempt on its entry.
//!
//! The tracker alone decides what the caller may see and what the entry may report. It reports
//! `not_run` only as [`TrackerAction::Refused`]: the dispatch was never sent, the agent refused it,
//! or the same agent process confirmed a tombstone. A chunk reaches the caller only with the
//! matching attempt id and the next sequence number, and an end only with the matching count.

use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{
    AgentReply, CallOutcome, EntryRequest, LoadReport, RefusalReason, TombstoneState,
};
use briartray_model::names::{AttemptId, IncarnationId};

/// Time without a frame after which the connection is considered dead. Agents send progress frames
/// far more often, so a slow engine does not exceed it.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(1500);

/// The same before the first frame, which the agent sends as soon as the attempt has a slot.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of reconnects in a row for another cause than silence: an agent that closes or
/// refuses connections has probably ended.
const MAX_FAILED_RECONNECTS: u32 = 5;

/// Maximum number of reconnects before a repeatable request should be tried elsewhere.
const MAX_REPEATABLE_RECONNECTS: u32 = 1;

/// Delay before each reconnect after the first.
const RECONNECT_WAIT: Duration = Duration::from_millis(200);

/// Parameters of an attempt that are fixed at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrackerPlan {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent process that the dispatch is meant for.
    pub incarnation: u64,
    /// Whether the call may be run again on another replica.
    pub repeatable: bool,
    /// Deadline of the caller.
    pub deadline: TimePoint,
}

/// Next action of the entry.
#[derive(Debug, Clone, PartialEq)]
pub enum TrackerAction {
    /// Read the next frame.
    Wait,
    /// Read the next frame; this one belonged to another attempt.
    Crossed,
    /// Store status and content type.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// Send the chunk to the caller.
    Deliver(Vec<u8>),
    /// The answer is complete.
    Finish(LoadReport),
    /// Open a new connection after the delay, send the request, and read from that connection.
    Reconnect {
        /// Request to send.
        request: EntryRequest,
        /// Delay before connecting.
        wait: Duration,
    },
    /// The attempt was not run and never will be.
    Refused(RefusalReason, Option<LoadReport>),
    /// The agent or its endpoint is silent, so another replica should be tried. The attempt may still go on; unless
    /// another one takes its place, continue it with [`AttemptTracker::keep`].
    Silent,
    /// The attempt ended without a complete answer.
    Lost {
        /// What is known about the effect of the call.
        outcome: CallOutcome,
        /// Description of the failure.
        detail: String,
        /// Incarnation of the endpoint, if it crashed during the attempt.
        crashed: Option<IncarnationId>,
    },
    /// The deadline has passed.
    Late,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrackerPhase {
    /// The dispatch was sent; frames are expected.
    Dispatched,
    /// The agent was asked to resume the answer at an offset.
    Resuming,
    /// The agent was asked for a tombstone.
    Tombstoning,
}

/// Why the answer does not continue on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisconnectCause {
    /// The agent refused or closed the connection, or left out a part of the answer.
    Closed,
    /// The agent did not answer: it may be paused or cut off and go on later.
    Silent,
}

/// Tracks one attempt.
#[derive(Debug)]
pub struct AttemptTracker {
    plan: TrackerPlan,
    phase: TrackerPhase,
    sent_at: TimePoint,
    last_frame_at: TimePoint,
    /// Whether the longer timeout applies: a frame has arrived, or the connection is a reconnect.
    accepted: bool,
    next_sequence: u64,
    delivered: bool,
    /// Reconnects since the last chunk.
    reconnects: u32,
    /// How many of them had another cause than silence.
    failures: u32,
    /// Whether no other replica can take the request.
    kept: bool,
    doubled: u64,
}

impl AttemptTracker {
    /// Creates a tracker for a dispatch that is sent at `now`.
    pub fn new(now: TimePoint, plan: TrackerPlan) -> Self {
        Self {
            plan,
            phase: TrackerPhase::Dispatched,
            sent_at: now,
            last_frame_at: now,
            accepted: false,
            next_sequence: 0,
            delivered: false,
            reconnects: 0,
            failures: 0,
            kept: false,
            doubled: 0,
        }
    }

    /// Time to wait for the next frame.
    pub fn wait(&self, now: TimePoint) -> Duration {
        let timeout = if self.accepted { FRAME_TIMEOUT } else { ACCEPT_TIMEOUT };
        let timeout_at = self.last_frame_at.after(timeout);
        timeout_at.min(self.plan.deadline).since(now)
    }

    /// Records that the caller has received part of the answer.
    pub fn mark_delivered(&mut self) {
        self.delivered = true;
    }

    /// Continues a silent attempt until its deadline, because no other replica can take the request.
    pub fn keep(&mut self, now: TimePoint) {
        self.kept = true;
        self.last_frame_at = now;
    }

    /// Number of duplicate chunks that were dropped.
    pub fn doubled(&self) -> u64 {
        self.doubled
    }

    /// Handles a frame.
    pub fn on_reply(&mut self, now: TimePoint, reply: AgentReply) -> TrackerAction {
        if reply.attempt() != self.plan.attempt {
            return TrackerAction::Crossed;
        }
        self.last_frame_at = now;
        self.accepted = true;
        match reply {
            AgentReply::Accepted { .. } | AgentReply::Progress { .. } => TrackerAction::Wait,
            AgentReply::Stalled { .. } if self.is_replaceable() => TrackerAction::Silent,
            AgentReply::Stalled { .. } => TrackerAction::Wait,
            AgentReply::Head { status, content_type, .. } => {
                TrackerAction::Head { status, content_type }
            }
            AgentReply::Chunk { sequence, data, .. } => self.on_chunk(now, sequence, data),
            AgentReply::End { count, load, .. } => self.on_end(now, count, load),
            AgentReply::Refused { reason, load, .. } if self.next_sequence == 0 => {
                TrackerAction::Refused(reason, Some(load))
            }
            AgentReply::Refused { .. } => self.lost("agent refused an attempt that it had started"),
            AgentReply::Failed { outcome, detail, crashed, .. } => {
                self.lost_with(outcome, &detail, crashed)
            }
            AgentReply::NotHeld { .. } if self.delivered => {
                self.lost("agent no longer holds the rest of the answer")
            }
            AgentReply::NotHeld { .. } => self.request_tombstone(now),
            AgentReply::Tombstone { state, incarnation, .. } => {
                self.on_tombstone(now, state, incarnation)
            }
        }
    }

    /// Handles the end of the stream before the end of the answer. `nothing_sent` tells whether the
    /// dispatch was certainly not sent.
    pub fn on_disconnect(
        &mut self,
        now: TimePoint,
        nothing_sent: bool,
        cause: DisconnectCause,
    ) -> TrackerAction {
        if self.phase == TrackerPhase::Dispatched && nothing_sent {
            return TrackerAction::Refused(RefusalReason::EndpointUnreachable, None);
        }
        self.reconnect(now, cause)
    }

    /// Handles the expiry of [`AttemptTracker::wait`] without a frame.
    pub fn on_timeout(&mut self, now: TimePoint) -> TrackerAction {
        if now >= self.plan.deadline {
            return TrackerAction::Late;
        }
        self.reconnect(now, DisconnectCause::Silent)
    }

    fn on_chunk(&mut self, now: TimePoint, sequence: u64, data: Vec<u8>) -> TrackerAction {
        if sequence < self.next_sequence {
            self.doubled += 1;
            return TrackerAction::Wait;
        }
        if sequence > self.next_sequence {
            // A chunk was lost. Delivering this one would leave a gap that the caller cannot
            // detect, so the agent is asked to resume at the gap.
            return self.reconnect(now, DisconnectCause::Closed);
        }
        self.next_sequence += 1;
        self.reconnects = 0;
        self.failures = 0;
        TrackerAction::Deliver(data)
    }

    fn on_end(&mut self, now: TimePoint, count: u64, load: LoadReport) -> TrackerAction {
        match count.cmp(&self.next_sequence) {
            std::cmp::Ordering::Equal => TrackerAction::Finish(load),
            std::cmp::Ordering::Greater => self.reconnect(now, DisconnectCause::Closed),
            std::cmp::Ordering::Less => {
                self.lost("more chunks received than the end of the answer counts")
            }
        }
    }

    fn on_tombstone(
        &mut self,
        now: TimePoint,
        state: TombstoneState,
        incarnation: u64,
    ) -> TrackerAction {
        match state {
            // Another process does not know what its predecessor handed to the endpoint.
            TombstoneState::NeverRuns if incarnation == self.plan.incarnation => {
                TrackerAction::Refused(RefusalReason::Tombstoned, None)
            }
            TombstoneState::NeverRuns => self.lost("agent restarted"),
            TombstoneState::Running | TombstoneState::Ended
                if self.failures < MAX_FAILED_RECONNECTS =>
            {
                // The dispatch arrived after the agent was asked to resume the answer.
                self.phase = TrackerPhase::Resuming;
                self.failures += 1;
                let wait = if self.failures == 1 { Duration::ZERO } else { RECONNECT_WAIT };
                self.last_frame_at = now.after(wait);
                TrackerAction::Reconnect { request: self.next_request(now), wait }
            }
            TombstoneState::Running | TombstoneState::Ended => {
                self.lost("attempt ran, but its answer is no longer available")
            }
            TombstoneState::CannotTell => self.lost("agent cannot tell whether the attempt ran"),
        }
    }

    /// Whether another replica should be tried if this one is silent.
    fn is_replaceable(&self) -> bool {
        self.plan.repeatable && !self.delivered && !self.kept
    }

    fn request_tombstone(&mut self, now: TimePoint) -> TrackerAction {
        self.phase = TrackerPhase::Tombstoning;
        TrackerAction::Reconnect { request: self.next_request(now), wait: Duration::ZERO }
    }

    fn reconnect(&mut self, now: TimePoint, cause: DisconnectCause) -> TrackerAction {
        if now >= self.plan.deadline {
            return TrackerAction::Late;
        }
        if cause == DisconnectCause::Closed {
            self.failures += 1;
        }
        if self.failures > MAX_FAILED_RECONNECTS {
            return self.lost("replica is unreachable");
        }
        if self.is_replaceable() && self.reconnects >= MAX_REPEATABLE_RECONNECTS {
            return TrackerAction::Silent;
        }
        if self.phase == TrackerPhase::Dispatched {
            self.phase = TrackerPhase::Resuming;
        }
        let wait = if self.reconnects == 0 { Duration::ZERO } else { RECONNECT_WAIT };
        self.reconnects += 1;
        self.last_frame_at = now.after(wait);
        // Connecting takes time, so the longer timeout applies.
        self.accepted = true;
        TrackerAction::Reconnect { request: self.next_request(now), wait }
    }

    fn next_request(&self, now: TimePoint) -> EntryRequest {
        let attempt = self.plan.attempt;
        if self.phase == TrackerPhase::Tombstoning {
            let age = now.since(self.sent_at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            return EntryRequest::Tombstone { attempt, age_ms };
        }
        EntryRequest::Resume { attempt, offset: self.next_sequence }
    }

    fn lost(&self, detail: &str) -> TrackerAction {
        self.lost_with(CallOutcome::Unknown, detail, None)
    }

    fn lost_with(
        &self,
        outcome: CallOutcome,
        detail: &str,
        crashed: Option<IncarnationId>,
    ) -> TrackerAction {
        // Only a refusal proves that nothing ran; `NotRun` in any other reply is not trusted.
        let outcome = match outcome {
            CallOutcome::Ran => CallOutcome::Ran,
            CallOutcome::NotRun | CallOutcome::Unknown => CallOutcome::Unknown,
        };
        TrackerAction::Lost { outcome, detail: detail.to_owned(), crashed }
    }
}
