//! Attempts over a path that loses, doubles, delays and breaks.

use std::time::Duration;

use assert_matches::assert_matches;
use briartray_model::TimePoint;
use briartray_model::message::{AgentReply, EntryRequest, LoadReport, TombstoneState};
use briartray_model::names::AttemptId;
use briartray_routing::attempt::{
    AnswerBuffer, AnswerEnd, AnswerHead, AttemptBook, AttemptTracker, BeginDecision, BookLimits,
    BufferItem, BufferReader, SILENCE_BOUND, TOMBSTONE_MEMORY, TrackerAction, TrackerPlan,
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
fn late_dispatch_finds_its_tombstone() {
    // The dispatch is held up on a dead connection while the caller is told that it was not run.
    // If it ran when it came at last, the caller would send a confirmation twice.
    let mut book = AttemptBook::new(BookLimits::default());

    let told = book.tombstone(seconds(1), ATTEMPT, FRESH);
    let late = book.begin(seconds(50), ATTEMPT, FRESH);

    assert_eq!(told, TombstoneState::NeverRuns);
    assert_eq!(late, BeginDecision::Tombstoned);
}

#[test]
fn dispatch_that_outlives_its_tombstone_is_too_old() {
    // The dispatch was on its way for longer than tombstones are remembered. The book no longer
    // knows the attempt; what still stops it is that the path cannot prove it fresh.
    let mut book = AttemptBook::new(BookLimits::default());
    book.tombstone(seconds(1), ATTEMPT, FRESH);
    let after = seconds(1).after(TOMBSTONE_MEMORY).after(Duration::from_secs(1));

    let late = book.begin(after, ATTEMPT, TOMBSTONE_MEMORY);

    assert_eq!(late, BeginDecision::TooOld);
}

#[test]
fn question_about_forgotten_attempt_gets_no_promise() {
    // An entry slept for minutes and asks after an attempt that ran and was forgotten. To answer
    // that it never runs would make the caller run it again.
    let mut book = AttemptBook::new(BookLimits::default());
    book.begin(seconds(1), ATTEMPT, FRESH);
    book.end(seconds(2), ATTEMPT, true);
    book.begin(seconds(200), AttemptId(8), FRESH);

    let told = book.tombstone(seconds(201), ATTEMPT, Duration::from_secs(200));

    assert_eq!(told, TombstoneState::CannotTell);
}

#[test]
fn full_book_refuses_rather_than_forgets() {
    // A burst of tombstones fills the book. Forgetting the oldest would let its dispatch run.
    let limits = BookLimits { attempts: 2, ..BookLimits::default() };
    let mut book = AttemptBook::new(limits);
    book.tombstone(seconds(1), AttemptId(1), FRESH);
    book.tombstone(seconds(1), AttemptId(2), FRESH);

    let refused = book.begin(seconds(2), AttemptId(3), FRESH);
    let untold = book.tombstone(seconds(2), AttemptId(4), FRESH);

    assert_eq!(refused, BeginDecision::Full);
    assert_eq!(untold, TombstoneState::CannotTell);
    assert_eq!(book.begin(seconds(3), AttemptId(1), FRESH), BeginDecision::Tombstoned);
}

#[test]
fn tombstone_of_restarted_agent_proves_nothing() {
    // The agent died after it handed the call to the service, and its successor knows of nothing.
    // A caller told `not_run` would book the lot a second time.
    let mut tracker = tracker(false);
    tracker.on_disconnect(seconds(1), false);
    tracker.on_reply(seconds(2), AgentReply::NotHeld { attempt: ATTEMPT });

    let action = tracker.on_reply(seconds(3), tombstone(TombstoneState::NeverRuns, 2));

    assert_matches!(action, TrackerAction::Lost { .. });
}

#[test]
fn silence_asks_again_over_new_connection() {
    // Something between entry and agent lost track of the connection: it stays open and brings
    // nothing. A caller would wait for its deadline while the answer lies ready.
    let mut tracker = tracker(true);
    tracker.on_reply(seconds(0), chunk(0));
    let until = TimePoint::default().after(SILENCE_BOUND);

    let action = tracker.on_timeout(until);

    assert_matches!(
        action,
        TrackerAction::Reconnect { request: EntryRequest::Resume { offset: 1, .. }, .. }
    );
}

#[test]
fn answer_to_another_attempt_is_dropped() {
    // An agent mixes up two streams. The caller would read somebody else's contract draft.
    let mut tracker = tracker(true);
    let other = AgentReply::Chunk { attempt: AttemptId(8), sequence: 0, data: vec![1] };

    let action = tracker.on_reply(seconds(1), other);

    assert_eq!(action, TrackerAction::Crossed);
    assert_eq!(tracker.on_reply(seconds(1), chunk(0)), TrackerAction::Deliver(vec![0]));
}

#[test]
fn end_with_missing_chunk_is_no_end() {
    // A chunk was lost on the way and the end mark was not. The caller would take a short answer
    // for a whole one.
    let mut tracker = tracker(true);
    tracker.on_reply(seconds(1), chunk(0));
    let end = AgentReply::End { attempt: ATTEMPT, count: 2, load: LoadReport::default() };

    let action = tracker.on_reply(seconds(1), end);

    assert_matches!(action, TrackerAction::Reconnect { .. });
}

#[test]
fn reader_behind_the_buffer_is_told_so() {
    // The entry comes back for chunks that were dropped to keep memory bounded. Starting it at the
    // oldest chunk left would leave a hole in the answer.
    let mut buffer = AnswerBuffer::new(TimePoint::default(), 2);
    let mut reader = buffer.attach(0).expect("an empty buffer holds everything");
    for number in 0..5 {
        buffer.push(vec![number]);
        buffer.take(&mut reader);
    }

    assert_eq!(buffer.attach(0), None);
    assert!(buffer.attach(4).is_some());
}

/// An agent and the path to it, both driven by one seed.
struct FlakyPath {
    random: ChaCha8Rng,
    book: AttemptBook,
    buffer: Option<AnswerBuffer>,
    reader: Option<BufferReader>,
    made: u64,
    dispatch_waits: bool,
    held_reply: Option<AgentReply>,
    now: TimePoint,
}

impl FlakyPath {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            book: AttemptBook::new(BookLimits::default()),
            buffer: None,
            reader: None,
            made: 0,
            dispatch_waits: true,
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

    fn deliver_dispatch(&mut self, listens: bool) {
        self.dispatch_waits = false;
        if self.book.begin(self.now, ATTEMPT, FRESH) == BeginDecision::Start {
            let mut buffer = AnswerBuffer::new(self.now, 4);
            buffer.push_head(AnswerHead { status: 200, content_type: "text/plain".to_owned() });
            self.reader = if listens { buffer.attach(0) } else { None };
            self.buffer = Some(buffer);
        }
    }

    /// The engine makes a chunk, or ends.
    fn work(&mut self) {
        let Some(buffer) = &mut self.buffer else { return };
        if self.made < CHUNKS && buffer.has_room() {
            buffer.push(vec![self.made as u8]);
            self.made += 1;
        } else if self.made == CHUNKS {
            buffer.finish(AnswerEnd::Whole);
        }
    }

    /// What the entry's current stream brings next.
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

    /// The entry's question arrives over a new connection.
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

    /// Follows one attempt to its end; returns what the caller saw and the last action.
    fn follow(&mut self, tracker: &mut AttemptTracker) -> (Vec<u8>, TrackerAction) {
        let mut seen = Vec::new();
        loop {
            self.now = self.now.after(Duration::from_millis(10));
            if self.dispatch_waits && self.chance(30) {
                self.deliver_dispatch(true);
            }
            self.work();
            let action = self.step(tracker);
            match action {
                TrackerAction::Deliver(data) => {
                    tracker.mark_delivered();
                    seen.extend(data);
                }
                TrackerAction::Reconnect { request, .. } => self.ask(&request),
                TrackerAction::Wait | TrackerAction::Head { .. } | TrackerAction::Crossed => {}
                end => return (seen, end),
            }
        }
    }

    /// One event of the path: a break, a loss, a doubled frame, or a frame as it should be.
    fn step(&mut self, tracker: &mut AttemptTracker) -> TrackerAction {
        if self.chance(5) {
            self.reader = None;
            self.held_reply = None;
            return tracker.on_disconnect(self.now, false);
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
fn no_path_shows_a_wrong_answer_or_a_false_not_run() {
    // Frames are lost, doubled and crossed, streams break at any moment, and the dispatch itself
    // may come after everybody gave up. Whatever happens, the caller sees a true beginning of its
    // own answer, a whole one only when it is whole, and `not_run` only for what never runs.
    let (mut whole, mut refused, mut lost) = (0, 0, 0);
    for seed in 0..3000 {
        let mut path = FlakyPath::new(seed);
        let mut tracker = tracker(seed % 2 == 0);

        let (seen, end) = path.follow(&mut tracker);

        let expected: Vec<u8> = (0..CHUNKS as u8).collect();
        assert!(expected.starts_with(&seen), "seed {seed}: {seen:?}");
        match end {
            TrackerAction::Finish(_) => {
                assert_eq!(seen, expected, "seed {seed}");
                whole += 1;
            }
            TrackerAction::Refused(..) => {
                path.deliver_dispatch(false);
                assert!(!path.ran(), "seed {seed}: it ran after `not_run`");
                refused += 1;
            }
            TrackerAction::Lost { .. } => lost += 1,
            other => panic!("seed {seed}: {other:?}"),
        }
    }
    assert!(whole > 0 && refused > 0 && lost > 0, "{whole} {refused} {lost}");
}
