//! A request that crashes the replicas that run it comes again, at one machine after the other.

use std::io::Result;
use std::net::{IpAddr, SocketAddr};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::deployment::{Deployment, ZONES};
use crate::http::call_once;
use crate::operator::{HOST, KEY, Route, configuration, put};
use crate::record::Record;
use crate::replica::{FatalEvent, FatalRequest, Replica};

/// Replicas of the service, one in each zone. All but the first drop a request whose connection has
/// closed.
const REPLICAS: usize = 3;

/// Time from the arrival of the fatal request at a replica to its crash; with SOON=1 the shorter
/// one. The route's aim is 150 ms, its timeout 800 ms.
const CRASH_AFTER: Duration = Duration::from_millis(600);
const CRASH_SOON: Duration = Duration::from_millis(200);

/// Time from a crash to the start of a new replica in its place.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// `contact_ms`, after which the rule counts, and what it allows.
const CONTACT: Duration = Duration::from_millis(3_000);
const ALLOWED: usize = 3;

/// Crashes after which the rule's time begins.
const COUNTED_CRASHES: usize = 3;

/// Requests that callers send, and the time between two of them.
const COPIES: u32 = 30;
const COPY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time that a client waits for its answer, over its one retry.
const CLIENT_DEADLINE: Duration = Duration::from_millis(1_500);

const FATAL_BODY: &[u8] = b"a fatal certificate";
const SOUND_BODY: &[u8] = b"a sound certificate";

const STATUS: Route = ("cert-status", "/status/", "safe", 800);

/// When the fatal request reached replicas, and when one crashed.
#[derive(Default)]
struct Seen {
    reached: Vec<Duration>,
    crashed: Vec<Duration>,
}

pub fn run(record: &Record, trouble: bool) -> Result<Outcome> {
    let deployment = Deployment::prepare(1)?;
    let soon = std::env::var("SOON").as_deref() == Ok("1");
    let crash_after = if soon { CRASH_SOON } else { CRASH_AFTER };
    let (events, received) = channel();
    let fatal =
        FatalRequest { place: 0, body: FATAL_BODY, crash_after, drops_abandoned: true, events };
    let mut processes = Vec::new();
    for number in 1..=3 {
        processes.push(deployment.start_control(number)?);
        processes.push(deployment.start_entry(number, None)?);
    }
    let mut fleet = Fleet::new(record, &deployment, fatal);
    for place in 0..REPLICAS {
        fleet.start_replica(place)?;
    }
    let seen = Arc::new(Mutex::new(Seen::default()));
    let noting = Arc::clone(&seen);
    thread::spawn(move || fleet.replace_crashed(&received, &noting));
    if put(record, &deployment.controls(), 7, &configuration(7, &[STATUS])).is_none() {
        return Ok(Outcome::Void("the configuration was not acknowledged".to_owned()));
    }
    let caller = Caller { record, deployment: &deployment };
    if !(1..=3).all(|entry| (0..150).any(|_| caller.is_served(entry))) {
        return Ok(Outcome::Void("an entry does not serve".to_owned()));
    }
    // From then on the machines are in touch.
    thread::sleep(CONTACT * 2);

    let body = if trouble { FATAL_BODY } else { SOUND_BODY };
    let first = record.now();
    for copy in 0..COPIES {
        record.sleep_until(first + COPY_INTERVAL * copy);
        caller.send_twice(copy % 3 + 1, &format!("copy-{}", copy + 1), body);
    }
    thread::sleep(COPY_INTERVAL);
    if processes.iter_mut().any(|process| process.has_ended()) {
        return Ok(Outcome::Void("a process of the system has ended".to_owned()));
    }
    let seen = seen.lock().expect("no thread panics");
    Ok(if check(record, &seen) { Outcome::Broken } else { Outcome::Held })
}

/// Checks BUDGET: all machines were in touch throughout.
fn check(record: &Record, seen: &Seen) -> bool {
    record.line(format!(
        "check     the fatal request reached replicas {} times, {} replicas crashed",
        seen.reached.len(),
        seen.crashed.len()
    ));
    let Some(third) = seen.crashed.get(COUNTED_CRASHES - 1) else { return false };
    let counted = seen.reached.iter().filter(|at| **at > *third + CONTACT).count();
    record.line(format!(
        "check     {counted} of these times were later than {} s after the third crash, {ALLOWED} \
         are allowed",
        CONTACT.as_secs()
    ));
    if counted > ALLOWED {
        record.line("check     BUDGET is broken");
    }
    counted > ALLOWED
}

/// The replicas, and what new ones need.
struct Fleet {
    record: Record,
    addresses: Vec<IpAddr>,
    controls: Vec<SocketAddr>,
    fatal: FatalRequest,
    replicas: Vec<Replica>,
}

impl Fleet {
    fn new(record: &Record, deployment: &Deployment, fatal: FatalRequest) -> Self {
        Self {
            record: record.clone(),
            addresses: (101..=200).map(|number| deployment.ip(number)).collect(),
            controls: deployment.controls(),
            fatal,
            replicas: Vec::new(),
        }
    }

    fn start_replica(&mut self, place: usize) -> Result<()> {
        let started = self.replicas.len();
        let number = u8::try_from(started + 1).expect("few replicas crash");
        let fatal = FatalRequest { place, drops_abandoned: place > 0, ..self.fatal.clone() };
        let controls = self.controls.clone();
        let work = Duration::from_millis(30);
        let (ip, zone) = (self.addresses[started], ZONES[place]);
        let replica = Replica::start(&self.record, number, ip, zone, work, controls, Some(fatal))?;
        self.replicas.push(replica);
        Ok(())
    }

    /// Starts new replicas in place of crashed ones, and notes what happens to the fatal request.
    fn replace_crashed(&mut self, events: &Receiver<FatalEvent>, seen: &Mutex<Seen>) {
        let mut due: Vec<(Duration, usize)> = Vec::new();
        loop {
            match events.recv_timeout(Duration::from_millis(50)) {
                Ok(FatalEvent::Reached(at)) => {
                    seen.lock().expect("no thread panics").reached.push(at);
                }
                Ok(FatalEvent::Crashed(at, place)) => {
                    seen.lock().expect("no thread panics").crashed.push(at);
                    due.push((at + BACK_AFTER, place));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while due.first().is_some_and(|(at, _)| *at <= self.record.now()) {
                let (_, place) = due.remove(0);
                if self.start_replica(place).is_err() {
                    self.record.line("rig       a replica could not start");
                }
            }
        }
    }
}

struct Caller<'a> {
    record: &'a Record,
    deployment: &'a Deployment,
}

impl Caller<'_> {
    /// Sends a sound request to an entry; returns whether it was answered.
    fn is_served(&self, entry: u32) -> bool {
        let served = self.send(entry, "warm", b"another certificate", CLIENT_DEADLINE).0 == 200;
        if !served {
            thread::sleep(Duration::from_millis(200));
        }
        served
    }

    /// Sends a request, and once more if the answer promises that it has not run. The client waits
    /// as `Retry-After` says, up to a third of the time that it has left.
    fn send_twice(&self, entry: u32, id: &str, body: &[u8]) {
        let sent = self.record.now();
        let (status, retry_after) = self.send(entry, id, body, CLIENT_DEADLINE);
        if status != 503 {
            return;
        }
        let left = CLIENT_DEADLINE.saturating_sub(self.record.now() - sent);
        thread::sleep(retry_after.min(left / 3));
        let left = CLIENT_DEADLINE.saturating_sub(self.record.now() - sent);
        self.send(entry, &format!("{id}-retry"), body, left);
    }

    /// Sends a request on a connection of its own; returns the status of its answer, and the time
    /// that its `Retry-After` names.
    fn send(&self, entry: u32, id: &str, body: &[u8], left: Duration) -> (u16, Duration) {
        let key = format!("Bearer {KEY}");
        let deadline = left.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("Request-Id", id),
            ("Deadline-Ms", deadline.as_str()),
            ("Authorization", key.as_str()),
        ];
        let address = self.deployment.callers(u8::try_from(entry).expect("three entries"));
        self.record.line(format!("caller    {id} sent to entry {entry}"));
        let answer = call_once(address, ("POST", "/status/1"), &headers, body, left);
        let answer = answer.unwrap_or_default();
        let seconds = answer.header("retry-after").and_then(|text| text.parse().ok());
        let retry_after = Duration::from_secs_f64(seconds.unwrap_or(0.0));
        self.record.line(format!(
            "caller    {id} at entry {entry}: {}, Retry-After {:.2}, {}",
            answer.status(),
            retry_after.as_secs_f64(),
            answer.text().trim_end()
        ));
        (answer.status(), retry_after)
    }
}
