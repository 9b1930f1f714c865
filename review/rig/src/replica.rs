//! Stand-in replicas of a plain service: they announce themselves, and run one request after the
//! other on each connection.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Message, call_once, read_message};
use crate::operator::SERVICE;
use crate::record::Record;

/// Requests that a replica runs at a time.
const SLOTS: u32 = 6;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct Shared {
    id: String,
    zone: String,
    work: Duration,
    running: AtomicU32,
    record: Record,
    stopped: AtomicBool,
}

/// A replica with the life of the rig.
pub struct Replica {
    shared: Arc<Shared>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Replica {
    /// Starts a replica at `ip` that works for `work` on each request.
    pub fn start(
        record: &Record,
        number: u8,
        ip: IpAddr,
        zone: &str,
        work: Duration,
        controls: Vec<SocketAddr>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: format!("i-{number:02}{:06x}", std::process::id()),
            zone: zone.to_owned(),
            work,
            running: AtomicU32::new(0),
            record: record.clone(),
            stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve(&shared, stream));
            }
        });
        let beating = Arc::clone(&shared);
        thread::spawn(move || send_heartbeats(&beating, address, &controls));
        Ok(Self { shared })
    }
}

fn send_heartbeats(shared: &Shared, address: SocketAddr, controls: &[SocketAddr]) {
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis());
    let mut named: Option<SocketAddr> = None;
    let mut next = 0;
    let mut sequence = 0;
    while !shared.stopped.load(Ordering::Relaxed) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}",
            zone = shared.zone,
        );
        let path = format!("/Instances.Heartbeat/{}", shared.id);
        for _ in 0..controls.len() {
            let node = named.unwrap_or(controls[next % controls.len()]);
            let json = [("Content-Type", "application/json")];
            let wait = Duration::from_secs(1);
            match call_once(node, ("POST", &path), &json, body.as_bytes(), wait) {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let text = answer.text();
                    let address = text.split('"').nth(3).and_then(|word| word.parse().ok());
                    named = address.or(named);
                    break;
                }
                _ => {
                    named = None;
                    next += 1;
                }
            }
        }
        thread::sleep(HEARTBEAT);
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let answer = answer(shared, &request);
        if reader.get_mut().write_all(&answer).is_err() {
            return;
        }
    }
}

fn answer(shared: &Shared, request: &Message) -> Vec<u8> {
    let request_id = request.header("request-id").unwrap_or("");
    let line = &request.first_line;
    let load = |running| format!("Server-Load: {running},0,{SLOTS}\r\n");
    let common = format!(
        "Request-Id: {request_id}\r\nInstance-Id: {}\r\nKeep-Alive: timeout=5\r\n",
        shared.id
    );
    if request.header("expected-instance").is_some_and(|expected| expected != shared.id) {
        return format!(
            "HTTP/1.1 421 Misdirected Request\r\n{common}Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        )
        .into_bytes();
    }
    if line.starts_with("GET /health ") {
        return format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n").into_bytes();
    }
    let running = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    if running > SLOTS * 4 {
        shared.running.fetch_sub(1, Ordering::Relaxed);
        return format!(
            "HTTP/1.1 503 Service Unavailable\r\n{common}{}Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n",
            load(running)
        )
        .into_bytes();
    }
    let tenant = request.header("tenant").unwrap_or("-");
    shared.record.line(format!("replica   {} runs {request_id} ({line}, {tenant})", shared.id));
    thread::sleep(shared.work);
    let running = shared.running.fetch_sub(1, Ordering::Relaxed) - 1;
    let body = format!("{request_id} done by {}\n", shared.id);
    format!(
        "HTTP/1.1 200 OK\r\n{common}{}Response-Stamp: {}.{request_id}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        load(running),
        shared.id,
        body.len()
    )
    .into_bytes()
}
