//! A plain HTTP service that counts what it runs, so that a call that ran twice can be seen.
//!
//! Every `POST` runs and is logged with its `Idempotency-Key`; it does not look at earlier ones,
//! as a service that relies on its caller does. `GET` reads and changes nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briartray_web::{HttpListener, JsonReply, ListenError, header_value, read_body, reply_json};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::fault::{FaultKind, FaultPlan, FaultSwitch};
use crate::runs::{RunLog, RunState, handle_common};
use crate::text::{expected_text, prompt_digest};

/// Requests that one service keeps open.
const MAX_OPEN: u32 = 8192;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Settings of a plain service, built step by step.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time that one call takes.
    pub work: Duration,
    /// Faults from the start.
    pub faults: FaultPlan,
}

impl ServiceSettings {
    /// A service that listens on `listen`, with the defaults.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, work: Duration::from_millis(2), faults: FaultPlan::default() }
    }

    /// Sets the time that one call takes.
    #[must_use]
    pub fn work(mut self, work: Duration) -> Self {
        self.work = work;
        self
    }

    /// Sets the faults from the start.
    #[must_use]
    pub fn faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }
}

struct ServiceShared {
    settings: ServiceSettings,
    runs: RunLog,
    faults: FaultSwitch,
}

/// A running plain service.
pub struct StandinService {
    listener: HttpListener,
    shared: Arc<ServiceShared>,
}

impl StandinService {
    /// Starts a service.
    ///
    /// # Errors
    /// A `ListenError` when its address cannot be used.
    pub fn start(settings: ServiceSettings) -> Result<Self, ListenError> {
        let listen = settings.listen;
        let faults = FaultSwitch::new(&settings.faults);
        let shared = Arc::new(ServiceShared { settings, runs: RunLog::default(), faults });
        let calls = Arc::clone(&shared);
        let handler = Arc::new(move |request| handle(request, &calls));
        Ok(Self { listener: HttpListener::start(listen, MAX_OPEN, handler)?, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What it truly ran.
    pub fn runs(&self) -> &RunLog {
        &self.shared.runs
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

fn handle(request: Request, shared: &ServiceShared) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let Some(mut request) = handle_common(request, &path, &shared.runs, &shared.faults) else {
        return;
    };
    if path == "/health" {
        return reply_json(request, &JsonReply::new(200, json!({ "ready": true })));
    }
    let body = match read_body(&mut request, MAX_BODY) {
        Ok(body) => body,
        Err(error) => {
            let body = json!({ "error": { "message": error.to_string() } });
            return reply_json(request, &JsonReply::new(400, body));
        }
    };
    run(request, shared, &path, &String::from_utf8_lossy(&body));
}

fn run(request: Request, shared: &ServiceShared, path: &str, body: &str) {
    let faults = shared.faults.draw();
    if faults.has(FaultKind::Refuse) {
        let body = json!({ "error": { "message": "refused by a fault" } });
        return reply_json(request, &JsonReply::new(503, body));
    }
    std::thread::sleep(faults.time(FaultKind::Late));
    let id = header_value(&request, "x-request-id").unwrap_or("none").to_owned();
    let key = header_value(&request, "idempotency-key").map(str::to_owned);
    let reads = matches!(request.method(), Method::Get | Method::Head);
    let runs = if reads { 0 } else { 1 + usize::from(faults.has(FaultKind::Doubled)) };
    for _ in 0..runs {
        let run = shared.runs.begin(&id, key.as_deref(), path, &prompt_digest(body));
        std::thread::sleep(shared.settings.work);
        shared.runs.end(run, RunState::Finished);
    }
    std::thread::sleep(faults.time(FaultKind::Slow));
    let (id, body) = if faults.has(FaultKind::Crossed) { ("other", "other") } else { (&*id, body) };
    let answer = json!({ "id": id, "path": path, "text": expected_text(body, 1) });
    if faults.has(FaultKind::Silent) || faults.has(FaultKind::Cut) {
        // It ran, and its caller never learns so.
        std::thread::sleep(faults.time(FaultKind::Silent));
        drop(request.into_writer());
        return;
    }
    reply_json(request, &JsonReply::new(200, answer).with_header("X-Request-Id", id.to_owned()));
}
