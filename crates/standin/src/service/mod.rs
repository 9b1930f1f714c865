//! A plain HTTP service that logs every run, so that duplicate executions can be detected.
//!
//! Every request but `GET` and `HEAD` runs and is logged with its `Idempotency-Key`. The service
//! does not deduplicate by key: it represents one that relies on its caller for that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use briartray_web::{HttpListener, JsonReply, ListenError, header_value, read_body, reply_json};
use serde_json::json;
use tiny_http::{Method, Request};

use crate::fault::{FaultInjector, FaultKind, FaultPlan};
use crate::runs::{RunLog, RunState, handle_common};
use crate::text::{expected_text, prompt_digest};

/// Maximum number of open HTTP requests.
const MAX_OPEN_REQUESTS: u32 = 8192;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Settings of a stand-in service, with builder methods.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of a run.
    pub work: Duration,
    /// Initial fault plan.
    pub faults: FaultPlan,
}

impl ServiceSettings {
    /// Creates default settings for a service that listens on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, work: Duration::from_millis(2), faults: FaultPlan::default() }
    }

    /// Sets the duration of a run.
    #[must_use]
    pub fn work(mut self, work: Duration) -> Self {
        self.work = work;
        self
    }

    /// Sets the initial fault plan.
    #[must_use]
    pub fn faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }
}

struct ServiceShared {
    settings: ServiceSettings,
    runs: RunLog,
    faults: FaultInjector,
}

/// A running stand-in for a plain service.
pub struct StandinService {
    listener: HttpListener,
    shared: Arc<ServiceShared>,
}

impl StandinService {
    /// Starts the HTTP listener.
    ///
    /// # Errors
    /// A `ListenError` if the address cannot be used.
    pub fn start(settings: ServiceSettings) -> Result<Self, ListenError> {
        let listen = settings.listen;
        let faults = FaultInjector::new(&settings.faults);
        let shared = Arc::new(ServiceShared { settings, runs: RunLog::default(), faults });
        let handler_shared = Arc::clone(&shared);
        let handler = Arc::new(move |request| handle(request, &handler_shared));
        Ok(Self { listener: HttpListener::start(listen, MAX_OPEN_REQUESTS, handler)?, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the log of the requests that it ran.
    pub fn runs(&self) -> &RunLog {
        &self.shared.runs
    }

    /// Stops accepting requests.
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
    let body = match read_body(&mut request, MAX_BODY_BYTES) {
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
    if let Some(refusal) = faults.refusal() {
        return reply_json(request, &refusal);
    }
    std::thread::sleep(faults.duration(FaultKind::Late));
    let id = header_value(&request, "x-request-id").unwrap_or("none").to_owned();
    let key = header_value(&request, "idempotency-key").map(str::to_owned);
    let is_read = matches!(request.method(), Method::Get | Method::Head);
    let runs = if is_read { 0 } else { 1 + usize::from(faults.has(FaultKind::Doubled)) };
    for _ in 0..runs {
        let run = shared.runs.begin(&id, key.as_deref(), path, &prompt_digest(body));
        std::thread::sleep(shared.settings.work);
        shared.runs.end(run, RunState::Finished);
    }
    std::thread::sleep(faults.duration(FaultKind::Slow));
    let (id, body) = if faults.has(FaultKind::Crossed) { ("other", "other") } else { (&*id, body) };
    let answer = json!({ "id": id, "path": path, "text": expected_text(body, 1) });
    if faults.has(FaultKind::Silent) || faults.has(FaultKind::Cut) {
        // The request ran, but its caller gets no answer.
        std::thread::sleep(faults.duration(FaultKind::Silent));
        drop(request.into_writer());
        return;
    }
    reply_json(request, &JsonReply::new(200, answer).with_header("X-Request-Id", id.to_owned()));
}
