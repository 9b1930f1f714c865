//! Stand-in replicas that serve a model in groups: they follow orders, report their group, and run
//! streams while they are the head of an open group.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call_once, read_message};
use crate::record::Record;

/// Time between two heartbeats when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time of a load from the weight store, of a join with staged weights, and of opening a group.
const LOAD: Duration = Duration::from_millis(1_500);
const WARMUP: Duration = Duration::from_millis(300);
const FORMATION: Duration = Duration::from_millis(300);

const SLOTS: usize = 8;
const EVENTS: u64 = 8;
const EVENT_GAP: Duration = Duration::from_millis(20);

/// Group membership of a replica.
#[derive(Clone, Default)]
struct Group {
    name: String,
    epoch: u64,
    model: String,
    members: Vec<String>,
    /// When it is ready, and since when the head serves.
    ready_at: Option<Instant>,
    open_at: Option<Instant>,
    closing: bool,
}

impl Group {
    fn state(&self, running: usize) -> &'static str {
        let passed = |at: Option<Instant>| at.is_some_and(|at| at <= Instant::now());
        match self.open_at {
            Some(_) if self.closing && running > 0 => "closing",
            Some(_) if !self.closing && passed(self.open_at) => "open",
            _ if passed(self.ready_at) => "ready",
            _ => "joining",
        }
    }
}

#[derive(Default)]
struct Life {
    group: Option<Group>,
    staged: Option<String>,
    /// Model that is being staged, and until when.
    staging: Option<(String, Instant)>,
    fence: u64,
    highest_epoch: u64,
    accepted_orders: u64,
    running: usize,
}

struct Shared {
    id: String,
    service: &'static str,
    zone: String,
    domain: String,
    address: SocketAddr,
    born: u128,
    record: Record,
    life: Mutex<Life>,
    stopped: AtomicBool,
}

/// A run, as a replica saw it.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    /// Members of the group in which it began.
    pub members: usize,
}

/// Replicas with the life of the rig.
pub struct Engine {
    shared: Arc<Shared>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Engine {
    /// Starts replica `number` at `ip`; `runs` receives what it runs.
    pub fn start(
        record: &Record,
        (number, ip, zone): (u8, IpAddr, &str),
        service: &'static str,
        controls: Vec<SocketAddr>,
        runs: Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let shared = Arc::new(Shared {
            id: format!("i-{number:02}{:06x}", std::process::id()),
            service,
            zone: zone.to_owned(),
            domain: "fabric-1".to_owned(),
            address: listener.local_addr()?,
            born,
            record: record.clone(),
            life: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, runs) = (Arc::clone(&accepting), Arc::clone(&runs));
                thread::spawn(move || serve(&shared, stream, &runs));
            }
        });
        let beating = Arc::clone(&shared);
        thread::spawn(move || send_heartbeats(&beating, &controls));
        Ok(Self { shared })
    }
}

impl Shared {
    /// What it says of itself in heartbeats and reports, without the outer braces.
    fn fields(&self) -> String {
        let mut life = self.life.lock().expect("no thread panics");
        if let Some((model, _)) = life.staging.take_if(|(_, until)| *until <= Instant::now()) {
            life.staged = Some(model);
        }
        let staged = life.staged.iter().map(|model| format!("\"{model}\"")).collect::<String>();
        let models = life
            .group
            .iter()
            .map(|group| format!("{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}", group.model))
            .collect::<String>();
        let group = life.group.as_ref().map_or(String::new(), |group| {
            let rank = group.members.iter().position(|member| *member == self.id).unwrap_or(0);
            format!(
                ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"state\":\"{}\"}}",
                group.name,
                group.epoch,
                group.state(life.running)
            )
        });
        format!(
            "\"stage\":\"both\",\"models\":[{models}],\"domain\":\"{}\",\"staged\":[{staged}],\
             \"born\":{}{group}",
            self.domain, self.born
        )
    }

    /// Answers a report request.
    fn report(&self) -> String {
        let fields = self.fields();
        let life = self.life.lock().expect("no thread panics");
        let joining = life.group.as_ref().is_some_and(|group| group.state(0) == "joining");
        let busy = joining || life.staging.is_some();
        format!(
            "{{{fields},\"pace\":1.0,\"busy\":{busy},\"sequence\":{},\"waiting_requests\":0,\
             \"running_requests\":{},\"kv_cache_used\":0,\"kv_cache_total\":1860000,\"handles\":0}}",
            life.accepted_orders, life.running
        )
    }

    /// Carries out an order; returns the status.
    fn order(&self, body: &str) -> u16 {
        let mut life = self.life.lock().expect("no thread panics");
        let token = number(body, "fencing_token").unwrap_or(0);
        if token < life.fence {
            return 412;
        }
        life.fence = token;
        let operation = text(body, "operation").unwrap_or_default();
        let epoch = number(body, "epoch").unwrap_or(0);
        let model = text(body, "model").unwrap_or_default();
        let held = life.group.clone().filter(|group| group.epoch == epoch);
        let status = match operation.as_str() {
            "join" => {
                let members = list(body, "members");
                match held {
                    Some(group) if group.members == members => 200,
                    Some(_) => 412,
                    None if epoch < life.highest_epoch => 412,
                    None => {
                        life.highest_epoch = epoch;
                        let wait =
                            if life.staged.as_deref() == Some(&*model) { WARMUP } else { LOAD };
                        life.staged = Some(model.clone());
                        life.group = Some(Group {
                            name: text(body, "group").unwrap_or_default(),
                            epoch,
                            model,
                            members,
                            ready_at: Some(Instant::now() + wait),
                            ..Group::default()
                        });
                        202
                    }
                }
            }
            "open" => match (held, life.group.as_mut()) {
                (Some(known), Some(group)) if known.members.first() == Some(&self.id) => {
                    match known.state(0) {
                        "open" => 200,
                        "ready" => {
                            group.open_at = Some(Instant::now() + FORMATION);
                            group.closing = false;
                            202
                        }
                        _ => 409,
                    }
                }
                _ => 409,
            },
            "close" => match (held, life.group.as_mut()) {
                (Some(_), Some(group)) if group.open_at.is_some() => {
                    group.closing = true;
                    202
                }
                (Some(_), Some(_)) => 200,
                _ => 409,
            },
            "leave" => match held {
                Some(_) => {
                    life.group = None;
                    202
                }
                None => 409,
            },
            "stage" if life.staged.as_deref() == Some(&*model) => 200,
            "stage" => {
                life.staging = Some((model, Instant::now() + LOAD));
                202
            }
            _ => 400,
        };
        life.accepted_orders += u64::from(status == 202);
        if epoch > 0 || operation == "stage" {
            self.record.line(format!("replica   {} gets order {body}: {status}", self.id));
        }
        status
    }
}

fn send_heartbeats(shared: &Shared, controls: &[SocketAddr]) {
    let mut next = 0;
    let mut sequence = 0;
    let mut last = (String::new(), Instant::now());
    while !shared.stopped.load(Ordering::Relaxed) {
        let fields = shared.fields();
        if fields == last.0 && last.1.elapsed() < HEARTBEAT {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,{fields},\
             \"sequence\":{sequence}}}",
            shared.service, shared.address, shared.zone
        );
        last = (fields, Instant::now());
        let path = format!("/Instances.Heartbeat/{}", shared.id);
        for _ in 0..controls.len() {
            let node = controls[next % controls.len()];
            let json = [("Content-Type", "application/json")];
            let wait = Duration::from_secs(1);
            let answer = call_once(node, ("POST", &path), &json, body.as_bytes(), wait);
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                break;
            }
            next += 1;
        }
    }
}

fn serve(shared: &Shared, stream: TcpStream, runs: &Mutex<Vec<Run>>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if answer(shared, &request, reader.get_mut(), runs).is_err() {
            return;
        }
    }
}

fn answer(
    shared: &Shared,
    request: &Message,
    stream: &mut TcpStream,
    runs: &Mutex<Vec<Run>>,
) -> std::io::Result<()> {
    let line = &request.first_line;
    let request_id = request.header("request-id").unwrap_or("");
    let common = format!(
        "Request-Id: {request_id}\r\nInstance-Id: {}\r\nKeep-Alive: timeout=5\r\n",
        shared.id
    );
    let other = request.header("expected-instance").is_some_and(|id| id != shared.id);
    let plain = |status: u16, headers: &str, body: &str| {
        format!(
            "HTTP/1.1 {status} -\r\n{common}{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let not_run = "Not-Executed: 1\r\n";
    if other {
        return stream.write_all(plain(421, not_run, "").as_bytes());
    }
    if line.starts_with("GET /report ") {
        let json = "Content-Type: application/json\r\n";
        return stream.write_all(plain(200, json, &shared.report()).as_bytes());
    }
    if line.starts_with("POST /order ") {
        let status = shared.order(&request.text());
        return stream.write_all(plain(status, "", "").as_bytes());
    }
    let mut life = shared.life.lock().expect("no thread panics");
    let model = request.header("model").unwrap_or("");
    let serving = life.group.clone().filter(|group| {
        group.members.first() == Some(&shared.id)
            && group.model == model
            && group.state(life.running) == "open"
    });
    let Some(group) = serving else {
        return stream.write_all(plain(421, not_run, "").as_bytes());
    };
    if life.running >= SLOTS {
        return stream.write_all(plain(503, not_run, "").as_bytes());
    }
    life.running += 1;
    drop(life);
    let members = group.members.len();
    shared.record.line(format!(
        "replica   {} runs {request_id} of model {model} in group {} of {members} members",
        shared.id, group.name
    ));
    runs.lock().expect("no thread panics").push(Run { request: request_id.to_owned(), members });
    let sent = stream_events(shared, stream, request_id, &common);
    shared.life.lock().expect("no thread panics").running -= 1;
    sent
}

fn stream_events(
    shared: &Shared,
    stream: &mut TcpStream,
    request_id: &str,
    common: &str,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{common}Response-Stamp: {}.{request_id}\r\nServer-Load: 1,0,{SLOTS}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        shared.id
    );
    stream.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        thread::sleep(EVENT_GAP);
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Text of the field `name` in a JSON object.
fn text(body: &str, name: &str) -> Option<String> {
    let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
    Some(rest.split('"').next()?.to_owned())
}

/// Number in the field `name` of a JSON object.
fn number(body: &str, name: &str) -> Option<u64> {
    let rest = body.split(&format!("\"{name}\":")).nth(1)?;
    rest.split(|sign: char| !sign.is_ascii_digit()).next()?.parse().ok()
}

/// Texts of the list `name` in a JSON object.
fn list(body: &str, name: &str) -> Vec<String> {
    let rest = body.split(&format!("\"{name}\":[")).nth(1).unwrap_or_default();
    let items = rest.split(']').next().unwrap_or_default();
    items.split(',').map(|item| item.trim_matches('"').to_owned()).collect()
}
