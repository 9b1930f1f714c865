//! HTTP/1.1 client for one request on a new connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response that was received completely.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request and reads the whole response.
///
/// # Errors
/// Why there is no complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))
        .map_err(|error| format!("no connection: {error}"))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let sent = stream.write_all(request.as_bytes()).and_then(|()| stream.write_all(body));
    sent.map_err(|error| format!("cannot send: {error}"))?;
    let (mut received, mut is_closed) = (Vec::new(), false);
    loop {
        if let Some(answer) = parse(&received, is_closed)? {
            return Ok(answer);
        }
        if is_closed {
            return Err(format!("the connection ended after {} bytes", received.len()));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no complete answer in time".to_owned());
        }
        stream.set_read_timeout(Some(left)).map_err(|error| error.to_string())?;
        let mut buffer = [0; 16 * 1024];
        match stream.read(&mut buffer) {
            Ok(0) => is_closed = true,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(format!("cannot read: {error}")),
        }
    }
}

/// The response in `bytes`; `None` while it is incomplete.
fn parse(bytes: &[u8], is_closed: bool) -> Result<Option<Answer>, String> {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| format!("no status line: {first}"))?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[end + 4..];
    if answer.header("transfer-encoding").is_some() {
        let Some(body) = dechunk(rest) else { return Ok(None) };
        answer.body = body;
        return Ok(Some(answer));
    }
    match answer.header("content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) if rest.len() < length => return Ok(None),
        Some(length) => answer.body = rest[..length].to_vec(),
        None if !is_closed => return Ok(None),
        None => answer.body = rest.to_vec(),
    }
    Ok(Some(answer))
}

/// The content of a chunked body; `None` without its last chunk.
fn dechunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 4 + size..)?;
    }
}
