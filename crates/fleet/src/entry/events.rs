//! Cutting a stream into whole events.
//!
//! An endpoint that breaks off may stop in the middle of an event. A caller that got half of it
//! could not be served on by another replica, whose answer begins with a whole event. So only
//! whole events are passed on, and their ids tell where another replica goes on.

/// Largest event, in bytes; a longer one is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, when it has one.
    pub id: Option<u64>,
    /// Its bytes with the empty line behind it.
    pub bytes: Vec<u8>,
}

/// Cuts bytes into events.
#[derive(Debug, Clone, Default)]
pub struct EventCutter {
    buffer: Vec<u8>,
}

impl EventCutter {
    /// Adds `bytes`; `false` when they cannot be an event stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find_end(&self.buffer)?;
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        Some(StreamEvent { id: read_id(&bytes), bytes })
    }

    /// Whether part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Where the first event in `buffer` ends, behind its empty line.
fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n").map(|start| start + 2)
}

fn read_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
