//! Stand-in replica of a plain service: registers itself, runs requests and leaves when told.
//!
//! Its answers have no length and end with their connection, which the pages allow. The body is sent
//! in pieces over the time that the request's path names in milliseconds.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use crate::http;

/// Size of an answer's body, in bytes.
pub const BODY_BYTES: usize = 800;

/// Number of pieces of a body.
const PIECES: usize = 40;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time in which a heartbeat has to be acknowledged before the next host is called.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

struct Registration {
    name: String,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    /// Sequence number of the last heartbeat, and whether the replica is leaving.
    state: Mutex<(u64, bool)>,
}

/// Runs until killed; `arguments` are the name, the address and the control addresses.
pub fn run(arguments: &[&str]) {
    let (name, addresses) = arguments.split_first().expect("a name");
    let parse = |text: &&str| text.parse::<SocketAddr>().expect("an address");
    let addresses: Vec<SocketAddr> = addresses.iter().map(parse).collect();
    let (address, control) = addresses.split_first().expect("an address");
    let listener = TcpListener::bind(address).expect("the address is free");
    let registration = Registration {
        name: (*name).to_owned(),
        address: *address,
        control: control.to_vec(),
        state: Mutex::new((0, false)),
    };
    let registration: &'static Registration = Box::leak(Box::new(registration));
    std::thread::spawn(move || loop {
        registration.beat();
        std::thread::sleep(HEARTBEAT_INTERVAL);
    });
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if line == "drain" {
                registration.state.lock().expect("the state is usable").1 = true;
                let outcome = if registration.beat() { "acknowledged" } else { "lost" };
                println!("notice that it is draining: {outcome}");
            }
        }
    });
    for stream in listener.incoming().map_while(Result::ok) {
        std::thread::spawn(move || while serve(&stream).is_some() {});
    }
}

impl Registration {
    /// Sends a heartbeat to one control host after the other until one acknowledges it.
    fn beat(&self) -> bool {
        let (sequence, leaving) = {
            let mut state = self.state.lock().expect("the state is usable");
            state.0 += 1;
            *state
        };
        let state = if leaving { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"ledger\",\"address\":\"{}\",\"zone\":\"zone-1\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.address
        );
        let path = format!("/Instances.Heartbeat/{}", self.name);
        self.control.iter().any(|address| self.send(*address, &path, body.as_bytes()))
    }

    /// Sends a call and follows two redirects; returns whether it was acknowledged.
    fn send(&self, address: SocketAddr, path: &str, body: &[u8]) -> bool {
        let json = [("Content-Type", "application/json")];
        let mut address = address;
        for _ in 0..3 {
            match http::call(address, "POST", path, &json, body, HEARTBEAT_TIMEOUT) {
                Ok(answer) if answer.status == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://").split('/').next();
                    let Some(Ok(next)) = host.map(str::parse) else { return false };
                    address = next;
                }
                answer => return answer.is_ok_and(|answer| answer.status / 100 == 2),
            }
        }
        false
    }
}

/// Serves one request on a connection; `None` when the connection is to be closed.
fn serve(stream: &TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let (mut request_id, mut length) = (String::new(), 0);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = header.trim().split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => request_id = value.trim().to_owned(),
            "content-length" => length = value.trim().parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let time = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    println!("runs request {request_id}, for {time} ms");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Stamp: stamp-{request_id}\r\n\
         Server-Load: 1,0,6\r\nConnection: close\r\n\r\n"
    );
    let mut writer = stream;
    writer.write_all(head.as_bytes()).ok()?;
    for _ in 0..PIECES {
        std::thread::sleep(Duration::from_millis(time) / PIECES as u32);
        writer.write_all(&[b'x'; BODY_BYTES / PIECES]).ok()?;
    }
    println!("has answered request {request_id} with {BODY_BYTES} bytes");
    let _ = stream.shutdown(std::net::Shutdown::Both);
    None
}
