//! A small blocking HTTP/1.1 client, and the reading of messages that the stand-ins need.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response: first line, headers and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the header `name`, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `Ok(None)` if the connection ended before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line = message.first_line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    message.body = read_body(reader, &message)?;
    Ok(Some(message))
}

fn read_body(reader: &mut BufReader<TcpStream>, head: &Message) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_response = head.first_line.starts_with("HTTP/");
    if head.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| Error::from(ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.header("content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_response => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A client's connection, which can be kept for further requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    host: String,
}

impl Connection {
    /// Connects within a second.
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream), host: address.to_string() })
    }

    /// Sends a request and waits for its answer for at most `wait`.
    pub fn call(
        &mut self,
        request: (&str, &str),
        headers: &[(&str, &str)],
        body: &[u8],
        wait: Duration,
    ) -> Result<Message> {
        let (method, path) = request;
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            head += &format!("Host: {}\r\n", self.host);
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend_from_slice(body);
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(wait))?;
        stream.set_write_timeout(Some(wait))?;
        stream.write_all(&bytes)?;
        read_message(&mut self.reader)?.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
    }
}

/// Sends one request on a connection of its own.
pub fn call_once(
    address: SocketAddr,
    request: (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Result<Message> {
    Connection::open(address)?.call(request, headers, body, wait)
}
