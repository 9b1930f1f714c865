//! Attempts over a connection that drops, duplicates and delays frames, and breaks.

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_model::TimePoint;
use briartray_model::message::{AgentReply, EntryRequest, LoadReport, TombstoneState};
use briartray_model::names::AttemptId;
use briartray_routing::attempt::{
    AnswerBuffer, AnswerEnd, AnswerHead, AttemptBook, AttemptTracker, BeginDecision, BookLimits,
    BufferItem, BufferReader, DisconnectCause, FRAME_TIMEOUT, TOMBSTONE_RETENTION, TrackerAction,
    TrackerPlan,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ATTEMPT: AttemptId = AttemptId(7);
const INCARNATION: u64 = 1;
const CHUNKS: u64 = 12;
const FRESH: Duration = Duration::ZERO;

fn seconds(count: u64) -> TimePoint {
    TimePoint(count * 1_000_000)
}

fn tracker(repeatable: bool) -> AttemptTracker {
    let plan = TrackerPlan {
        attempt: ATTEMPT,
        incarnation: INCARNATION,
        repeatable,
        deadline: seconds(120),
    };
    AttemptTracker::new(TimePoint::default(), plan)
}

fn tombstone(state: TombstoneState, incarnation: u64) -> AgentReply {
    AgentReply::Tombstone { attempt: ATTEMPT, state, incarnation }
}

fn chunk(sequence: u64) -> AgentReply {
    AgentReply::Chunk { attempt: ATTEMPT, sequence, data: vec![sequence as u8] }
}

#[test]
fn late_dispatch_is_stopped_by_its_tombstone() {
    // The dispatch is delayed on a dead connection while the caller is notified that it was not
    // run. If it ran on arrival, the caller's retry would send a confirmation twice.
    let mut book = AttemptBook::new(BookLimits::default());

    let reply = book.tombstone(seconds(1), ATTEMPT, FRESH);
    let late = book.begin(seconds(50), ATTEMPT, FRESH);

    assert_eq!(reply, TombstoneState::NeverRuns);
    assert_eq!(late, BeginDecision::Tombstoned);
}

#[test]
fn dispatch_that_outlives_its_tombstone_is_too_old() {
    // The dispatch was in transit for longer than tombstones are remembered, so the book no longer
    // knows the attempt. It must be refused because the link cannot prove that it is recent.
    let mut book = AttemptBook::new(BookLimits::default());
    book.tombstone(seconds(1), ATTEMPT, FRESH);
    let after = seconds(1).after(TOMBSTONE_RETENTION).after(Duration::from_secs(1));

    let late = book.begin(after, ATTEMPT, TOMBSTONE_RETENTION);

    assert_eq!(late, BeginDecision::TooOld);
}

#[test]
fn tombstone_request_for_forgotten_attempt_gets_no_definite_answer() {
    // An entry was suspended for minutes and asks about an attempt that ran and has been forgotten.
    // If the answer were that it never runs, the caller would run it a second time.
    let mut book = AttemptBook::new(BookLimits::default());
    book.begin(seconds(1), ATTEMPT, FRESH);
    book.end(seconds(2), ATTEMPT, true);
    book.begin(seconds(200), AttemptId(8), FRESH);

    let reply = book.tombstone(seconds(201), ATTEMPT, Duration::from_secs(200));

    assert_eq!(reply, TombstoneState::CannotTell);
}

#[test]
fn full_book_refuses_and_does_not_forget() {
    // A burst of tombstones fills the book. If it forgot the oldest one, that attempt's dispatch
    // would run.
    let limits = BookLimits { max_attempts: 2, ..BookLimits::default() };
    let mut book = AttemptBook::new(limits);
    book.tombstone(seconds(1), AttemptId(1), FRESH);
    book.tombstone(seconds(1), AttemptId(2), FRESH);

    let refused = book.begin(seconds(2), AttemptId(3), FRESH);
    let unknown = book.tombstone(seconds(2), AttemptId(4), FRESH);

    assert_eq!(refused, BeginDecision::Full);
    assert_eq!(unknown, TombstoneState::CannotTell);
    assert_eq!(book.begin(seconds(3), AttemptId(1), FRESH), BeginDecision::Tombstoned);
}

#[test]
fn tombstone_of_restarted_agent_proves_nothing() {
    // The agent crashed after it handed the call to the service, and its successor does not know
    // the attempt. A caller notified of `not_run` would repeat a booking.
    let mut tracker = tracker(false);
    tracker.on_disconnect(seconds(1), false, DisconnectCause::Closed);
    tracker.on_reply(seconds(2), AgentReply::NotHeld { attempt: ATTEMPT });

    let action = tracker.on_reply(seconds(3), tombstone(TombstoneState::NeverRuns, 2));

    assert_matches!(action, TrackerAction::Lost { .. });
}

#[test]
fn silent_connection_is_replaced_by_a_new_one() {
    // The connection stays open but delivers nothing, as after a middlebox has lost its state. The
    // caller would wait until its deadline although the answer is ready.
    let mut tracker = tracker(true);
    tracker.on_reply(seconds(0), chunk(0));
    let until = TimePoint::default().after(FRAME_TIMEOUT);

    let action = tracker.on_timeout(until);

    assert_matches!(
        action,
        TrackerAction::Reconnect { request: EntryRequest::Resume { offset: 1, .. }, .. }
    );
}

#[test]
fn answer_to_another_attempt_is_dropped() {
    // An agent mixes up two streams. The caller would read the answer to another caller.
    let mut tracker = tracker(true);
    let other = AgentReply::Chunk { attempt: AttemptId(8), sequence: 0, data: vec![1] };

    let action = tracker.on_reply(seconds(1), other);

    assert_eq!(action, TrackerAction::Crossed);
    assert_eq!(tracker.on_reply(seconds(1), chunk(0)), TrackerAction::Deliver(vec![0]));
}

#[test]
fn end_with_missing_chunk_is_not_accepted() {
    // A chunk was lost but the end frame arrived. The caller would take a truncated answer for a
    // complete one.
    let mut tracker = tracker(true);
    tracker.on_reply(seconds(1), chunk(0));
    let end = AgentReply::End { attempt: ATTEMPT, count: 2, load: LoadReport::default() };

    let action = tracker.on_reply(seconds(1), end);

    assert_matches!(action, TrackerAction::Reconnect { .. });
}

#[test]
fn reader_behind_the_buffer_is_rejected() {
    // The entry asks for chunks that were dropped to bound memory. Resuming at the oldest remaining
    // chunk would leave a gap in the answer.
    let mut buffer = AnswerBuffer::new(TimePoint::default(), 2);
    let mut reader = buffer.attach(0).expect("an empty buffer accepts a reader at offset zero");
    for number in 0..5 {
        buffer.push(vec![number]);
        buffer.take(&mut reader);
    }

    assert_eq!(buffer.attach(0), None);
    assert!(buffer.attach(4).is_some());
}

/// Actions of `tracker` while its agent sends nothing, up to the first that is no reconnect.
fn actions_in_silence(tracker: &mut AttemptTracker, from: TimePoint) -> Vec<TrackerAction> {
    let (mut now, mut actions) = (from, Vec::new());
    loop {
        now = now.after(tracker.wait(now));
        let action = tracker.on_timeout(now);
        let is_reconnect = matches!(action, TrackerAction::Reconnect { .. });
        actions.push(action);
        if !is_reconnect {
            return actions;
        }
    }
}

/// A tracker of which the caller has received a chunk.
fn delivered_tracker() -> AttemptTracker {
    let mut tracker = tracker(true);
    tracker.on_reply(seconds(1), chunk(0));
    tracker.mark_delivered();
    tracker
}

/// Guards against a stream that is cut because its agent was silent, although only that agent can
/// continue it.
#[test]
fn begun_stream_is_kept_in_silence_until_its_deadline() {
    let mut tracker = delivered_tracker();

    let actions = actions_in_silence(&mut tracker, seconds(1));

    assert_eq!(actions.last(), Some(&TrackerAction::Late));
}

/// Guards against a call that is given up because its agent was silent, although no other replica
/// may run it.
#[test]
fn call_that_must_not_be_repeated_is_kept_in_silence_until_its_deadline() {
    let mut tracker = tracker(false);

    let actions = actions_in_silence(&mut tracker, seconds(0));

    assert_eq!(actions.last(), Some(&TrackerAction::Late));
}

/// Guards against a repeatable request that waits for a silent agent while another replica is free,
/// and against one that is given up while none is.
#[test]
fn repeatable_request_in_silence_is_tried_elsewhere_and_can_be_kept() {
    let mut tracker = tracker(true);

    let before = actions_in_silence(&mut tracker, seconds(0));
    tracker.keep(seconds(3));
    let after = actions_in_silence(&mut tracker, seconds(3));

    assert_eq!(before.last(), Some(&TrackerAction::Silent));
    assert_eq!(after.last(), Some(&TrackerAction::Late));
}

/// Guards against an answer that is lost because its request was kept for a while.
#[test]
fn kept_request_gets_the_answer_of_its_agent() {
    let mut tracker = tracker(true);
    actions_in_silence(&mut tracker, seconds(0));
    tracker.keep(seconds(3));
    let end = AgentReply::End { attempt: ATTEMPT, count: 1, load: LoadReport::default() };

    let actions = [tracker.on_reply(seconds(4), chunk(0)), tracker.on_reply(seconds(4), end)];

    assert_eq!(actions[0], TrackerAction::Deliver(vec![0]));
    assert_matches!(actions[1], TrackerAction::Finish(_));
}

/// Guards against a caller that waits until its deadline for an agent whose process has ended.
#[test]
fn begun_stream_of_an_ended_agent_is_lost_before_its_deadline() {
    let mut tracker = delivered_tracker();

    // The first connection had carried a chunk; the others are never made.
    let actions: Vec<TrackerAction> = (0..10)
        .map(|number| tracker.on_disconnect(seconds(2), number > 0, DisconnectCause::Closed))
        .collect();

    assert_matches!(actions.last(), Some(TrackerAction::Lost { .. }));
}

/// Guards against a running attempt that is given up because its agent got the request to resume
/// before the dispatch.
#[test]
fn attempt_that_began_after_a_resume_is_resumed_again() {
    let mut tracker = tracker(true);
    tracker.on_timeout(seconds(1));
    tracker.on_reply(seconds(2), AgentReply::NotHeld { attempt: ATTEMPT });

    let action = tracker.on_reply(seconds(2), tombstone(TombstoneState::Running, INCARNATION));

    assert_matches!(
        action,
        TrackerAction::Reconnect { request: EntryRequest::Resume { offset: 0, .. }, .. }
    );
}

/// Guards against a stalled attempt that keeps its request although another replica is free, and
/// against one that is given up although none is.
#[test]
fn stalled_attempt_is_tried_elsewhere_only_before_its_first_chunk() {
    let stalled = || AgentReply::Stalled { attempt: ATTEMPT };
    let (mut waiting, mut begun) = (tracker(true), delivered_tracker());

    let first = waiting.on_reply(seconds(2), stalled());
    waiting.keep(seconds(2));

    assert_eq!(first, TrackerAction::Silent);
    assert_eq!(waiting.on_reply(seconds(3), stalled()), TrackerAction::Wait);
    assert_eq!(begun.on_reply(seconds(2), stalled()), TrackerAction::Wait);
    assert_eq!(tracker(false).on_reply(seconds(2), stalled()), TrackerAction::Wait);
}

/// An agent and the connection to it, both driven by one seed.
struct FaultyConnection {
    random: ChaCha8Rng,
    book: AttemptBook,
    buffer: Option<AnswerBuffer>,
    reader: Option<BufferReader>,
    produced: u64,
    dispatch_pending: bool,
    held_reply: Option<AgentReply>,
    now: TimePoint,
}

impl FaultyConnection {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            book: AttemptBook::new(BookLimits::default()),
            buffer: None,
            reader: None,
            produced: 0,
            dispatch_pending: true,
            held_reply: None,
            now: TimePoint::default(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn ran(&self) -> bool {
        self.buffer.is_some()
    }

    fn deliver_dispatch(&mut self, attach_reader: bool) {
        self.dispatch_pending = false;
        if self.book.begin(self.now, ATTEMPT, FRESH) == BeginDecision::Start {
            let mut buffer = AnswerBuffer::new(self.now, 4);
            buffer.push_head(AnswerHead { status: 200, content_type: "text/plain".to_owned() });
            self.reader = if attach_reader { buffer.attach(0) } else { None };
            self.buffer = Some(buffer);
        }
    }

    /// The engine produces a chunk or ends the answer.
    fn produce(&mut self) {
        let Some(buffer) = &mut self.buffer else { return };
        if self.produced < CHUNKS && buffer.has_room() {
            buffer.push(vec![self.produced as u8]);
            self.produced += 1;
        } else if self.produced == CHUNKS {
            buffer.finish(AnswerEnd::Whole);
        }
    }

    /// Returns the next frame of the entry's current stream.
    fn receive(&mut self) -> Option<AgentReply> {
        if let Some(reply) = self.held_reply.take() {
            return Some(reply);
        }
        let (buffer, reader) = (self.buffer.as_mut()?, self.reader.as_mut()?);
        let attempt = ATTEMPT;
        Some(match buffer.take(reader) {
            BufferItem::Head(head) => {
                AgentReply::Head { attempt, status: head.status, content_type: head.content_type }
            }
            BufferItem::Chunk { sequence, data } => AgentReply::Chunk { attempt, sequence, data },
            BufferItem::End { count, .. } => {
                AgentReply::End { attempt, count, load: LoadReport::default() }
            }
            BufferItem::Nothing | BufferItem::Superseded => return None,
        })
    }

    /// Handles a request that the entry sends over a new connection.
    fn ask(&mut self, request: &EntryRequest) {
        self.held_reply = match request {
            EntryRequest::Resume { offset, .. } => {
                self.reader = self.buffer.as_mut().and_then(|buffer| buffer.attach(*offset));
                self.reader.is_none().then_some(AgentReply::NotHeld { attempt: ATTEMPT })
            }
            EntryRequest::Tombstone { .. } => {
                let state = self.book.tombstone(self.now, ATTEMPT, FRESH);
                Some(tombstone(state, INCARNATION))
            }
            _ => None,
        };
    }

    /// Runs an attempt to its end; returns the bytes that the caller received and the last action.
    fn run(&mut self, tracker: &mut AttemptTracker) -> (Vec<u8>, TrackerAction) {
        let mut received = Vec::new();
        loop {
            self.now = self.now.after(Duration::from_millis(10));
            if self.dispatch_pending && self.chance(30) {
                self.deliver_dispatch(true);
            }
            self.produce();
            let action = self.step(tracker);
            match action {
                TrackerAction::Deliver(data) => {
                    tracker.mark_delivered();
                    received.extend(data);
                }
                TrackerAction::Reconnect { request, .. } => self.ask(&request),
                TrackerAction::Silent => tracker.keep(self.now),
                TrackerAction::Wait | TrackerAction::Head { .. } | TrackerAction::Crossed => {}
                end => return (received, end),
            }
        }
    }

    /// Simulates one event: a broken connection, a lost frame, a duplicate frame or a normal frame.
    fn step(&mut self, tracker: &mut AttemptTracker) -> TrackerAction {
        if self.chance(5) {
            self.reader = None;
            self.held_reply = None;
            return tracker.on_disconnect(self.now, false, DisconnectCause::Closed);
        }
        let Some(reply) = self.receive() else { return TrackerAction::Wait };
        if self.chance(5) {
            return TrackerAction::Wait;
        }
        if self.chance(5) {
            tracker.on_reply(
                self.now,
                AgentReply::Chunk { attempt: AttemptId(99), sequence: 0, data: vec![0xff] },
            );
        }
        if self.chance(5) && matches!(reply, AgentReply::Chunk { .. }) {
            self.held_reply = Some(reply.clone());
        }
        tracker.on_reply(self.now, reply)
    }
}

#[test]
fn faulty_connection_causes_no_wrong_answer_and_no_false_not_run() {
    // Frames are lost, duplicated and misrouted, streams break, and the dispatch may arrive after
    // everyone gave up. The caller must receive a correct prefix of its own answer, a complete
    // answer only if it is complete, and `not_run` only for an attempt that never runs.
    let (mut whole, mut refused, mut lost) = (0, 0, 0);
    for seed in 0..3000 {
        let mut connection = FaultyConnection::new(seed);
        let mut tracker = tracker(seed % 2 == 0);

        let (received, end) = connection.run(&mut tracker);

        let expected: Vec<u8> = (0..CHUNKS as u8).collect();
        assert!(expected.starts_with(&received), "seed {seed}: {received:?}");
        match end {
            TrackerAction::Finish(_) => {
                assert_eq!(received, expected, "seed {seed}");
                whole += 1;
            }
            TrackerAction::Refused(..) => {
                connection.deliver_dispatch(false);
                assert!(!connection.ran(), "seed {seed}: the attempt ran after `not_run`");
                refused += 1;
            }
            TrackerAction::Lost { .. } => lost += 1,
            other => panic!("seed {seed}: {other:?}"),
        }
    }
    assert!(whole > 0 && refused > 0 && lost > 0, "whole {whole}, refused {refused}, lost {lost}");
}
