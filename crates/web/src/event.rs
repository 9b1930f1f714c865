//! Server-sent events over chunked encoding, each flushed as it comes.

use std::io::{Result, Write};

/// Writes one event stream to a caller.
///
/// The HTTP library collects a streamed response before it sends it, so the head and each chunk
/// are written here by hand.
pub struct EventWriter {
    output: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Writes the head; `headers` are added to the ones every event stream has.
    ///
    /// # Errors
    /// The caller's connection is gone.
    pub fn start(mut output: Box<dyn Write + Send>, headers: &[(&str, &str)]) -> Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\n",
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        output.write_all(head.as_bytes())?;
        output.flush()?;
        Ok(Self { output })
    }

    /// Writes one event with `data`.
    ///
    /// # Errors
    /// The caller's connection is gone.
    pub fn event(&mut self, data: &[u8]) -> Result<()> {
        let mut event = Vec::with_capacity(data.len() + 8);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(data);
        event.extend_from_slice(b"\n\n");
        self.chunk(&event)
    }

    /// Writes a comment, which callers ignore; shows whether the caller is still there.
    ///
    /// # Errors
    /// The caller's connection is gone.
    pub fn comment(&mut self, text: &str) -> Result<()> {
        self.chunk(format!(": {text}\n\n").as_bytes())
    }

    /// Ends the stream.
    ///
    /// # Errors
    /// The caller's connection is gone.
    pub fn finish(mut self) -> Result<()> {
        self.output.write_all(b"0\r\n\r\n")?;
        self.output.flush()
    }

    fn chunk(&mut self, data: &[u8]) -> Result<()> {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.output.write_all(&chunk)?;
        self.output.flush()
    }
}
