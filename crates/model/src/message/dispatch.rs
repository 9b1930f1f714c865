//! Entry to agent: one request handed to the first host of a group, and its answer.

use crate::names::{
    AttemptId, FencingNumber, GroupId, IncarnationId, RequestId, RevisionNumber, ServiceName,
    TeamName,
};

plain_value! {
    /// What an entry asks of an agent.
    pub enum EntryRequest {
        /// Run one attempt.
        Dispatch(DispatchOrder),
        /// Send the chunks of a known attempt again, from `offset` on.
        Resume {
            /// Which attempt.
            attempt: AttemptId,
            /// Sequence number of the first chunk still missing.
            offset: u64,
        },
        /// Stop a known attempt; its caller has gone.
        Cancel {
            /// Which attempt.
            attempt: AttemptId,
        },
        /// Make sure that an attempt never starts, and tell whether it did.
        Tombstone {
            /// Which attempt.
            attempt: AttemptId,
            /// Time since the entry sent the dispatch, in milliseconds on its own clock.
            age_ms: u32,
        },
        /// The entry has the whole answer; the agent may drop its buffer.
        Received {
            /// Which attempt.
            attempt: AttemptId,
        },
    }

    /// One attempt at one request.
    pub struct DispatchOrder {
        /// Identity of the attempt; every answer carries it.
        pub attempt: AttemptId,
        /// Identity of the request across attempts.
        pub request: RequestId,
        /// Trace that the attempt belongs to.
        pub trace: TraceContext,
        /// Group that is asked.
        pub group: GroupId,
        /// Fencing number under which the entry knows the group.
        pub fencing: FencingNumber,
        /// Start of the agent process that is meant; another one refuses the order.
        pub incarnation: u64,
        /// Rules revision under which the entry decided.
        pub revision: RevisionNumber,
        /// Service asked for.
        pub service: ServiceName,
        /// Team of the caller.
        pub team: TeamName,
        /// What to call on the endpoint.
        pub target: CallTarget,
        /// Request body, passed on unchanged.
        pub body: Vec<u8>,
        /// Whether the answer is a stream of events.
        pub stream: bool,
        /// Engine priority; higher goes first.
        pub priority: u8,
        /// Time left until the deadline, in milliseconds, when the entry sent the order.
        pub deadline_ms: u32,
        /// Whether the call may not be repeated.
        pub once: bool,
    }

    /// Method and path on the endpoint, with the headers that are passed on.
    pub struct CallTarget {
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Headers passed on unchanged.
        pub headers: Vec<HeaderField>,
    }

    /// One HTTP header.
    pub struct HeaderField {
        /// Lower-case name.
        pub name: String,
        /// Value as text.
        pub value: String,
    }

    /// What an agent answers.
    pub enum AgentReply {
        /// The gate is passed and the endpoint is being called.
        Accepted {
            /// Which attempt.
            attempt: AttemptId,
        },
        /// The attempt was not run and never will be.
        Refused {
            /// Which attempt.
            attempt: AttemptId,
            /// Why.
            reason: RefusalReason,
            /// Load at the time of the refusal.
            load: LoadReport,
        },
        /// Status and content type of the endpoint's answer.
        Head {
            /// Which attempt.
            attempt: AttemptId,
            /// HTTP status.
            status: u16,
            /// Content type of the body.
            content_type: String,
        },
        /// One piece of the answer.
        Chunk {
            /// Which attempt.
            attempt: AttemptId,
            /// Position of the piece, from zero.
            sequence: u64,
            /// The piece itself: one event of a stream, or the whole body.
            data: Vec<u8>,
        },
        /// The attempt is alive although no chunk is ready.
        Progress {
            /// Which attempt.
            attempt: AttemptId,
            /// Sequence number of the next chunk.
            next_sequence: u64,
        },
        /// The answer is complete.
        End {
            /// Which attempt.
            attempt: AttemptId,
            /// How many chunks it has.
            count: u64,
            /// Load after the attempt.
            load: LoadReport,
        },
        /// The attempt ended without a whole answer.
        Failed {
            /// Which attempt.
            attempt: AttemptId,
            /// What is known about its effect.
            outcome: CallOutcome,
            /// What went wrong, for people.
            detail: String,
            /// The start of the endpoint that crashed while it ran the attempt, where it did.
            crashed: Option<IncarnationId>,
        },
        /// Answer to a tombstone.
        Tombstone {
            /// Which attempt.
            attempt: AttemptId,
            /// What the agent knows of it.
            state: TombstoneState,
            /// Start of the agent process that answers.
            incarnation: u64,
        },
        /// The attempt, or the part of it that was asked for, is not here.
        NotHeld {
            /// Which attempt.
            attempt: AttemptId,
        },
    }

    /// Load of one group as its first host knows it.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Attempts handed to the endpoint and not ended.
        pub in_flight: u32,
        /// Attempts that wait in the agent.
        pub queued: u32,
        /// How many attempts may be in flight.
        pub capacity: u32,
        /// Recent time per engine step or call, in microseconds.
        pub step_micros: u32,
    }
}

plain_choice! {
    /// Why an agent did not run an attempt.
    pub enum RefusalReason {
        /// A member's lease is missing.
        GroupNotWhole,
        /// The entry's fencing number or group is out of date.
        WrongGroup,
        /// The agent's queue is full.
        QueueFull,
        /// The group, host or endpoint is leaving.
        Leaving,
        /// The deadline cannot be met.
        DeadlinePassed,
        /// A tombstone was set before the dispatch came.
        Tombstoned,
        /// The entry decided under rules older than the agent knows.
        StaleRules,
        /// The endpoint could not be reached; nothing was sent to it.
        EndpointUnreachable,
        /// The order was on its way for longer than the agent remembers tombstones.
        TooOld,
    }

    /// What a caller is told about the effect of a request.
    pub enum CallOutcome {
        /// It was not run and never will be.
        NotRun,
        /// It ran.
        Ran,
        /// It may have run.
        Unknown,
    }

    /// What an agent knows of an attempt when asked for a tombstone.
    pub enum TombstoneState {
        /// It was not handed to the endpoint; it will be refused if it comes.
        NeverRuns,
        /// The agent may have forgotten it, or has no room to remember the tombstone.
        CannotTell,
        /// It came and is running.
        Running,
        /// It came and ended.
        Ended,
    }
}

impl AgentReply {
    /// The attempt that the frame belongs to.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Accepted { attempt }
            | Self::Refused { attempt, .. }
            | Self::Head { attempt, .. }
            | Self::Chunk { attempt, .. }
            | Self::Progress { attempt, .. }
            | Self::End { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::Tombstone { attempt, .. }
            | Self::NotHeld { attempt } => *attempt,
        }
    }
}

/// Trace and span identity as in the W3C `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct TraceContext {
    /// Trace id; never zero in a valid context.
    pub trace_id: u128,
    /// Span id of the sender.
    pub span_id: u64,
    /// Whether spans are recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Reads a `traceparent` header of version 00; `None` when malformed.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        if version != "00" || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return None;
        }
        let trace_id = u128::from_str_radix(trace, 16).ok()?;
        let span_id = u64::from_str_radix(span, 16).ok()?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        if trace_id == 0 || span_id == 0 || parts.next().is_some() {
            return None;
        }
        Some(Self { trace_id, span_id, sampled: flags & 1 == 1 })
    }

    /// Writes the `traceparent` header.
    pub fn to_header(&self) -> String {
        format!("00-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}
