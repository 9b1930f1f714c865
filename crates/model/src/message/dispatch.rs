//! Entry to agent: one request sent to the first host of a group, and its answer.

use crate::names::{
    AttemptId, FencingNumber, GroupId, IncarnationId, RequestId, RevisionNumber, ServiceName,
    TeamName,
};

plain_value! {
    /// A request from an entry to an agent.
    pub enum EntryRequest {
        /// Run one attempt.
        Dispatch(DispatchOrder),
        /// Resend the chunks of a known attempt, starting at `offset`.
        Resume {
            /// The attempt.
            attempt: AttemptId,
            /// Sequence number of the first missing chunk.
            offset: u64,
        },
        /// Stop a known attempt because its caller has disconnected.
        Cancel {
            /// The attempt.
            attempt: AttemptId,
        },
        /// Prevent an attempt from starting, and report whether it has started already.
        Tombstone {
            /// The attempt.
            attempt: AttemptId,
            /// Time since the entry sent the dispatch, in milliseconds on its own clock.
            age_ms: u32,
        },
        /// The entry has the complete answer; the agent may free its buffer.
        Received {
            /// The attempt.
            attempt: AttemptId,
        },
    }

    /// One attempt at one request.
    pub struct DispatchOrder {
        /// Id of the attempt; every reply repeats it.
        pub attempt: AttemptId,
        /// Id of the request, the same for all of its attempts.
        pub request: RequestId,
        /// Trace that the attempt belongs to.
        pub trace: TraceContext,
        /// Group that is to run the attempt.
        pub group: GroupId,
        /// Fencing number of the group as known to the entry.
        pub fencing: FencingNumber,
        /// Incarnation of the agent process that the order is for; a process with another one
        /// refuses it.
        pub incarnation: u64,
        /// Revision of the rules that the entry applied.
        pub revision: RevisionNumber,
        /// Service that is called.
        pub service: ServiceName,
        /// Team of the caller.
        pub team: TeamName,
        /// What to call on the endpoint.
        pub target: CallTarget,
        /// Request body, forwarded unchanged.
        pub body: Vec<u8>,
        /// Whether the answer is a stream of events.
        pub stream: bool,
        /// Engine priority; higher values are served first.
        pub priority: u8,
        /// Time left until the deadline when the entry sent the order, in milliseconds.
        pub deadline_ms: u32,
        /// Whether the call must run at most once.
        pub once: bool,
    }

    /// Method and path on the endpoint, with the headers that are forwarded.
    pub struct CallTarget {
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Headers that are forwarded unchanged.
        pub headers: Vec<HeaderField>,
    }

    /// One HTTP header.
    pub struct HeaderField {
        /// Lower-case name.
        pub name: String,
        /// Value as text.
        pub value: String,
    }

    /// A reply from an agent.
    pub enum AgentReply {
        /// The attempt passed the agent's checks and the endpoint is being called.
        Accepted {
            /// The attempt.
            attempt: AttemptId,
        },
        /// The attempt was not run and will not be run.
        Refused {
            /// The attempt.
            attempt: AttemptId,
            /// Reason of the refusal.
            reason: RefusalReason,
            /// Load at the time of the refusal.
            load: LoadReport,
        },
        /// Status and content type of the endpoint's answer.
        Head {
            /// The attempt.
            attempt: AttemptId,
            /// HTTP status.
            status: u16,
            /// Content type of the body.
            content_type: String,
        },
        /// One chunk of the answer.
        Chunk {
            /// The attempt.
            attempt: AttemptId,
            /// Position of the chunk, from zero.
            sequence: u64,
            /// One event of a stream, or the whole body.
            data: Vec<u8>,
        },
        /// The attempt is still running but has no new chunk.
        Progress {
            /// The attempt.
            attempt: AttemptId,
            /// Sequence number of the next chunk.
            next_sequence: u64,
        },
        /// The answer is complete.
        End {
            /// The attempt.
            attempt: AttemptId,
            /// Number of chunks in the answer.
            count: u64,
            /// Load after the attempt.
            load: LoadReport,
        },
        /// The attempt ended without a complete answer.
        Failed {
            /// The attempt.
            attempt: AttemptId,
            /// Whether it ran, as far as that is known.
            outcome: CallOutcome,
            /// Description of the failure, for logs and error messages.
            detail: String,
            /// Incarnation of the endpoint that crashed while it ran the attempt, if it did.
            crashed: Option<IncarnationId>,
        },
        /// Answer to a tombstone.
        Tombstone {
            /// The attempt.
            attempt: AttemptId,
            /// What the agent knows about the attempt.
            state: TombstoneState,
            /// Incarnation of the agent process that answers.
            incarnation: u64,
        },
        /// The agent does not have the attempt, or not the chunks that were requested.
        NotHeld {
            /// The attempt.
            attempt: AttemptId,
        },
        /// The attempt is still running, but its endpoint or a member of its group is silent.
        Stalled {
            /// The attempt.
            attempt: AttemptId,
        },
    }

    /// Load of one group as seen by its first host.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Attempts that were sent to the endpoint and have not ended.
        pub in_flight: u32,
        /// Attempts that wait in the agent's queue.
        pub queued: u32,
        /// Number of attempts that may be in flight.
        pub capacity: u32,
        /// Recent duration of an engine step or call, in microseconds.
        pub step_micros: u32,
    }
}

plain_choice! {
    /// Why an agent did not run an attempt.
    pub enum RefusalReason {
        /// A member of the group has not granted its lease.
        GroupNotWhole,
        /// The group or fencing number in the order is out of date.
        WrongGroup,
        /// The agent's queue is full.
        QueueFull,
        /// The group, host or endpoint is leaving.
        Leaving,
        /// The deadline cannot be met.
        DeadlinePassed,
        /// A tombstone for the attempt arrived before the dispatch.
        Tombstoned,
        /// The entry applied rules older than those the agent knows of.
        StaleRules,
        /// The endpoint could not be reached; nothing was sent to it.
        EndpointUnreachable,
        /// The order was in transit for longer than the agent keeps tombstones.
        TooOld,
        /// The endpoint asked for a time without requests.
        EndpointBackoff {
            /// Time left, in milliseconds.
            left_ms: u32,
        },
    }

    /// Whether a request ran, as reported to its caller.
    pub enum CallOutcome {
        /// It was not run and will not be run.
        NotRun,
        /// It ran.
        Ran,
        /// It may have run.
        Unknown,
    }

    /// What an agent knows about an attempt when it receives a tombstone for it.
    pub enum TombstoneState {
        /// It was not sent to the endpoint and will be refused if it arrives later.
        NeverRuns,
        /// The agent may have dropped its record of the attempt, or has no room for the tombstone.
        CannotTell,
        /// It arrived and is running.
        Running,
        /// It arrived and has ended.
        Ended,
    }
}

impl AgentReply {
    /// The attempt that the reply belongs to.
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
            | Self::NotHeld { attempt }
            | Self::Stalled { attempt } => *attempt,
        }
    }
}

/// Trace and span ids as in the W3C `traceparent` header.
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
    /// Parses a `traceparent` header of version 00; `None` when malformed.
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

    /// Formats the `traceparent` header.
    pub fn to_header(&self) -> String {
        format!("00-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}
