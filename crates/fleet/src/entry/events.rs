//! Splitting a byte stream into complete server-sent events.
//!
//! An endpoint that fails may stop in the middle of an event. Another replica can only resume with
//! a complete event, which would not fit behind a partial one. So only complete events are passed
//! on to the caller, and their ids tell where another replica resumes.

/// Largest event, in bytes; a longer one is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

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
}

impl EventSplitter {
    /// Appends received bytes. Returns `false` if the buffered bytes exceed the largest event, so
    /// that this is no event stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find_end(&self.buffer)?;
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        Some(StreamEvent { id: parse_id(&bytes), bytes })
    }

    /// Whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the end of the first event in `buffer`, after its empty line.
fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n").map(|start| start + 2)
}

fn parse_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
