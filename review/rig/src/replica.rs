//! Stand-in replicas of a plain service: they announce themselves, and run one request after the
//! other on each connection.

use std::io::{BufReader, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, call_once, read_message};
use crate::operator::SERVICE;
use crate::record::Record;

/// Requests that a replica runs at a time.
const SLOTS: u32 = 6;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that crashes each replica that begins to run it.
#[derive(Clone)]
pub struct FatalRequest {
    /// Place of the replica, which a new one takes after a crash.
    pub place: usize,
    pub body: &'static [u8],
    /// Time from its arrival at a replica to the crash.
    pub crash_after: Duration,
    /// Whether the replica drops the request when its connection closes, which saves it.
    pub drops_abandoned: bool,
    pub events: Sender<FatalEvent>,
}

/// What happened to a fatal request at a replica, and when.
pub enum FatalEvent {
    Reached(Duration),
    Crashed(Duration, usize),
}

struct Shared {
    id: String,
    zone: String,
    work: Duration,
    running: AtomicU32,
    record: Record,
    stopped: AtomicBool,
    fatal: Option<FatalRequest>,
    address: SocketAddr,
    /// Connections to close in a crash.
    streams: Mutex<Vec<TcpStream>>,
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
        fatal: Option<FatalRequest>,
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
            fatal,
            address,
            streams: Mutex::default(),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.stopped.load(Ordering::Relaxed) {
                    break;
                }
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve(&shared, stream));
            }
            drop(listener);
            let mut streams = accepting.streams.lock().expect("no thread panics");
            for stream in streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        let beating = Arc::clone(&shared);
        thread::spawn(move || send_heartbeats(&beating, &controls));
        Ok(Self { shared })
    }
}

fn send_heartbeats(shared: &Shared, controls: &[SocketAddr]) {
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
            address = shared.address,
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
    if shared.fatal.is_some() {
        let copy = stream.try_clone().expect("a connection can be cloned");
        shared.streams.lock().expect("no thread panics").push(copy);
    }
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if let Some(fatal) = shared.fatal.as_ref().filter(|fatal| fatal.body == request.body) {
            return run_fatal(shared, fatal, &request, reader.get_ref());
        }
        let answer = answer(shared, &request);
        if reader.get_mut().write_all(&answer).is_err() {
            return;
        }
    }
}

/// Runs a fatal request: after it nothing listens at the replica's address, and its connections are
/// closed.
fn run_fatal(shared: &Shared, fatal: &FatalRequest, request: &Message, stream: &TcpStream) {
    let request_id = request.header("request-id").unwrap_or("");
    let began = shared.record.now();
    let _ = fatal.events.send(FatalEvent::Reached(began));
    shared.record.line(format!("replica   {} runs the fatal request {request_id}", shared.id));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
    let deadline = request.header("deadline-ms").and_then(|left| left.parse().ok());
    let deadline = deadline.map_or(Duration::MAX, Duration::from_millis);
    let mut abandoned = false;
    while shared.record.now() < began + fatal.crash_after {
        thread::sleep(Duration::from_millis(5));
        if !abandoned && matches!(stream.peek(&mut [0]), Ok(0)) {
            abandoned = true;
            let reaction = if fatal.drops_abandoned { "drops" } else { "goes on with" };
            shared.record.line(format!("replica   {} {reaction} {request_id}", shared.id));
        }
        if abandoned && fatal.drops_abandoned {
            return;
        }
        if shared.record.now() >= began.saturating_add(deadline) {
            shared
                .record
                .line(format!("replica   {} stops {request_id} at its deadline", shared.id));
            return;
        }
    }
    if shared.stopped.swap(true, Ordering::Relaxed) {
        return;
    }
    shared.record.line(format!("replica   {} crashes", shared.id));
    let _ = fatal.events.send(FatalEvent::Crashed(shared.record.now(), fatal.place));
    // Wakes the thread that accepts connections.
    let _ = TcpStream::connect(shared.address);
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
