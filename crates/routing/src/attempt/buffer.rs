//! Answer of one attempt, buffered by its agent independently of the stream to the entry.
//!
//! The endpoint's side pushes chunks, and at most one reader takes them. If the stream to the entry
//! breaks, the endpoint continues for a while, and the entry's next reader starts at the offset
//! that it names. The newest chunks are kept after they were read, because a chunk that was sent
//! has not necessarily arrived.

use std::collections::VecDeque;
use std::time::Duration;

use briartray_model::TimePoint;
use briartray_model::message::{CallOutcome, RefusalReason};
use briartray_model::names::IncarnationId;

/// Status and content type of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer is complete.
    Whole,
    /// The endpoint was not called.
    Refused(RefusalReason),
    /// The answer is incomplete.
    Failed {
        /// What is known about the effect of the call.
        outcome: CallOutcome,
        /// Description of the failure.
        detail: String,
        /// Incarnation of the endpoint, if it crashed during the attempt.
        crashed: Option<IncarnationId>,
    },
}

/// Item returned to a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BufferItem {
    /// Head of the answer.
    Head(AnswerHead),
    /// Next chunk.
    Chunk {
        /// Sequence number of the chunk, from zero.
        sequence: u64,
        /// Content of the chunk.
        data: Vec<u8>,
    },
    /// End of the answer.
    End {
        /// Total number of chunks.
        count: u64,
        /// How the attempt ended.
        end: AnswerEnd,
    },
    /// No new item yet.
    Nothing,
    /// A newer reader has replaced this one.
    Superseded,
}

/// Position of one reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferReader {
    number: u64,
    head_taken: bool,
    next: u64,
}

impl BufferReader {
    /// Sequence number of the next chunk.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }
}

/// Head, newest chunks and end of one answer, bounded in bytes.
#[derive(Debug)]
pub struct AnswerBuffer {
    limit: usize,
    head: Option<AnswerHead>,
    chunks: VecDeque<Vec<u8>>,
    first: u64,
    bytes: usize,
    end: Option<AnswerEnd>,
    last_reader: u64,
    attached: bool,
    taken: u64,
    detached_since: TimePoint,
}

impl AnswerBuffer {
    /// Creates an empty buffer for about `limit` bytes of chunks.
    pub fn new(now: TimePoint, limit: usize) -> Self {
        Self {
            limit,
            head: None,
            chunks: VecDeque::new(),
            first: 0,
            bytes: 0,
            end: None,
            last_reader: 0,
            attached: false,
            taken: 0,
            detached_since: now,
        }
    }

    /// Stores the head.
    pub fn push_head(&mut self, head: AnswerHead) {
        self.head = Some(head);
    }

    /// Whether another chunk may be pushed: the buffer has room, or its oldest chunk has been read.
    pub fn has_room(&self) -> bool {
        self.bytes < self.limit || self.first < self.taken
    }

    /// Stores the next chunk. Above the limit, drops the oldest chunks that have been read.
    pub fn push(&mut self, data: Vec<u8>) {
        self.bytes += data.len();
        self.chunks.push_back(data);
        while self.bytes > self.limit && self.first < self.taken && self.chunks.len() > 1 {
            let dropped = self.chunks.pop_front().unwrap_or_default();
            self.bytes -= dropped.len();
            self.first += 1;
        }
    }

    /// Stores the end, unless one is already stored.
    pub fn finish(&mut self, end: AnswerEnd) {
        self.end.get_or_insert(end);
    }

    /// How the attempt ended, if it has.
    pub fn end(&self) -> Option<&AnswerEnd> {
        self.end.as_ref()
    }

    /// Attaches a reader at `offset`, in chunks, and replaces an earlier reader. Returns `None` if
    /// the chunks from `offset` on were dropped or `offset` is beyond the end of the answer.
    pub fn attach(&mut self, offset: u64) -> Option<BufferReader> {
        let next = self.first + self.chunks.len() as u64;
        if offset < self.first || offset > next {
            return None;
        }
        self.last_reader += 1;
        self.attached = true;
        self.taken = offset;
        Some(BufferReader { number: self.last_reader, head_taken: false, next: offset })
    }

    /// Records that the stream of `reader` broke.
    pub fn detach(&mut self, now: TimePoint, reader: &BufferReader) {
        if reader.number == self.last_reader && self.attached {
            self.attached = false;
            self.detached_since = now;
        }
    }

    /// Returns the next item for `reader`.
    pub fn take(&mut self, reader: &mut BufferReader) -> BufferItem {
        if reader.number != self.last_reader {
            return BufferItem::Superseded;
        }
        if !reader.head_taken
            && let Some(head) = &self.head
        {
            reader.head_taken = true;
            return BufferItem::Head(head.clone());
        }
        let position = usize::try_from(reader.next - self.first).unwrap_or(usize::MAX);
        if let Some(data) = self.chunks.get(position) {
            let item = BufferItem::Chunk { sequence: reader.next, data: data.clone() };
            reader.next += 1;
            self.taken = reader.next;
            return item;
        }
        match &self.end {
            Some(end) => BufferItem::End { count: reader.next, end: end.clone() },
            None => BufferItem::Nothing,
        }
    }

    /// Whether no reader has been attached for at least `grace`.
    pub fn is_abandoned(&self, now: TimePoint, grace: Duration) -> bool {
        !self.attached && now.since(self.detached_since) >= grace
    }
}
