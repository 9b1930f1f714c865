//! Server-sent events over chunked transfer encoding, each flushed when written.

use std::io::{Result, Write};

/// Writer of one event stream.
///
/// The HTTP library buffers a streamed response before it sends it, so the response head and the
/// chunks are written to the connection directly.
pub struct EventWriter {
    output: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Writes the response head with `headers` after the standard ones of an event stream.
    ///
    /// # Errors
    /// The I/O error when the caller's connection is closed.
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

    /// Writes one event with `data`, which must not contain a line break.
    ///
    /// # Errors
    /// The I/O error when the caller's connection is closed.
    pub fn event(&mut self, data: &[u8]) -> Result<()> {
        let mut event = Vec::with_capacity(data.len() + 8);
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(data);
        event.extend_from_slice(b"\n\n");
        self.write_chunk(&event)
    }

    /// Writes a comment, which callers ignore; it detects a closed connection.
    ///
    /// # Errors
    /// The I/O error when the caller's connection is closed.
    pub fn comment(&mut self, text: &str) -> Result<()> {
        self.write_chunk(format!(": {text}\n\n").as_bytes())
    }

    /// Ends the stream with the final write_chunk.
    ///
    /// # Errors
    /// The I/O error when the caller's connection is closed.
    pub fn finish(mut self) -> Result<()> {
        self.output.write_all(b"0\r\n\r\n")?;
        self.output.flush()
    }

    fn write_chunk(&mut self, data: &[u8]) -> Result<()> {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.output.write_all(&chunk)?;
        self.output.flush()
    }
}
