//! Splitting a byte stream into complete server-sent events.
//!
//! An endpoint that fails may stop in the middle of an event. Another replica can only resume with
//! a complete event, which would not fit behind a partial one. So only complete events are passed
//! on to the caller, and their ids tell where another replica resumes.

/// Largest event, in bytes; a longer one is not an event stream.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Vec<u8>,
}

/// Splits received bytes into events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Start of the first event that was not returned yet.
    start: usize,
    /// End of the bytes that were searched for the end of that event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes. Returns `false` if the first event is longer than the largest one, so
    /// that this is no event stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.drain(..self.start);
        self.searched -= self.start;
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
        self.find_end().unwrap_or(self.buffer.len()) <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer[self.start..end].to_vec();
        (self.start, self.searched) = (end, end);
        Some(StreamEvent { id: parse_id(&bytes), bytes })
    }

    /// Whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        self.start < self.buffer.len()
    }

    /// Returns the end of the first event, after its empty line. Bytes that were searched before are
    /// not searched again.
    fn find_end(&mut self) -> Option<usize> {
        // The first half of an empty line may be the last byte that was searched.
        let from = self.searched.saturating_sub(1).max(self.start);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        self.searched = found.map_or(self.buffer.len(), |offset| from + offset);
        found.map(|offset| from + offset + 2)
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
