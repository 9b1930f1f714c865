//! Calls the endpoint over HTTP and reads its answer incrementally.

use std::cmp::Ordering;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{Method, RequestBuilder, ResponseReader, StatusCode};
use briartray_model::message::DispatchOrder;
use briartray_model::names::AttemptId;
use briartray_model::read_retry_after;
use briartray_model::settings::{EndpointKind, EndpointSettings};
use serde::Deserialize;
use snafu::Snafu;

use super::running::StallFlag;

#[cfg(test)]
#[path = "endpoint_tests.rs"]
mod tests;

/// Maximum length of a line in an event stream, in bytes.
const MAX_EVENT_BYTES: u64 = 256 * 1024;

/// Maximum size of an answer that is not a stream.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// Read buffer for an answer, in addition to the buffers of the HTTP library.
const BODY_BUFFER_BYTES: usize = 1024;

/// Time without data after which an engine's stream is resumed over a new connection.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a stream is resumed without receiving a new event in between.
const MAX_RESUMES: u32 = 20;

/// How often an engine is asked for an answer that it does not know: it may not have read the call
/// yet.
const MAX_UNKNOWN_RESUMES: u32 = 5;

/// Delay before an engine is asked again for an answer that it did not know.
const UNKNOWN_RESUME_WAIT: Duration = Duration::from_millis(200);

/// Lower bound of the timeout of one read; a timeout of zero is invalid.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Timeout for connecting to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub(super) enum EndpointError {
    /// The connection was refused or the request was invalid; nothing was sent.
    #[snafu(display("endpoint cannot be reached: {detail}; check that it runs"))]
    Unreachable { detail: String },
    /// The call failed after it may have run.
    #[snafu(display("endpoint call failed: {detail}; check the endpoint's log"))]
    Broken { detail: String },
    /// The answer has the id of another request.
    #[snafu(display(
        "the endpoint answered attempt {attempt} with id {given:?}; it mixes up its answers, \
         restart it"
    ))]
    Crossed { attempt: AttemptId, given: String },
}

/// The part of an engine's answer that identifies the request.
#[derive(Debug, Deserialize)]
struct AnswerId {
    id: Option<String>,
}

/// The part of an engine's event that gives its position in the stream.
#[derive(Debug, Deserialize)]
struct EventIndex {
    token_index: Option<u64>,
}

/// Position of an event relative to the next one expected.
enum EventPosition {
    Next,
    Duplicate,
    Gap,
}

/// An answer whose status and headers have been received.
pub(super) struct EndpointAnswer {
    pub(super) status: u16,
    pub(super) content_type: String,
    /// Time for which the endpoint, which has rejected the call, accepts none.
    pub(super) backoff: Option<Duration>,
    address: SocketAddr,
    attempt: AttemptId,
    deadline: Instant,
    kind: EndpointKind,
    /// Set while the endpoint is silent.
    stall: StallFlag,
    length: Option<u64>,
    /// Whether a truncated body can be distinguished from a complete one.
    framed: bool,
    /// Index of the next event expected on the stream.
    next_index: u64,
    /// How often the stream may still be resumed without a new event in between.
    resumes_left: u32,
    body: BufReader<DeadlineReader>,
}

/// Reads a body until a deadline.
///
/// An endpoint that keeps sending single bytes never exceeds the timeout of one read, so it could
/// block its thread forever; with many such calls, the agent would run out of threads.
struct DeadlineReader {
    body: ResponseReader,
    deadline: Instant,
}

impl Read for DeadlineReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if Instant::now() >= self.deadline {
            return Err(std::io::Error::new(ErrorKind::TimedOut, "the deadline has passed"));
        }
        self.body.read(buffer)
    }
}

fn buffer_body(body: ResponseReader, deadline: Instant) -> BufReader<DeadlineReader> {
    BufReader::with_capacity(BODY_BUFFER_BYTES, DeadlineReader { body, deadline })
}

/// Calls the endpoint for `order` and returns once the head of the answer has been received.
pub(super) fn call(
    settings: &EndpointSettings,
    order: &DispatchOrder,
    stall: &StallFlag,
) -> Result<EndpointAnswer, EndpointError> {
    let url = format!("http://{}{}", settings.address, order.target.path);
    let method = Method::from_bytes(order.target.method.as_bytes())
        .map_err(|error| EndpointError::Unreachable { detail: error.to_string() })?;
    let left = Duration::from_millis(u64::from(order.deadline_ms.max(1)));
    let resumes = settings.kind == EndpointKind::Engine && order.stream;
    // The library reads a head for as long as bytes arrive, unless there is a timeout for the whole call.
    let mut request = RequestBuilder::new(method, url)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(if resumes { left.min(STREAM_SILENCE_TIMEOUT) } else { left })
        .timeout(left)
        .follow_redirects(false)
        .header("x-request-id", order.attempt.to_string())
        .header("traceparent", order.trace.to_header())
        .header("x-priority", order.priority.to_string());
    for field in &order.target.headers {
        let name = attohttpc::header::HeaderName::from_bytes(field.name.as_bytes());
        let value = attohttpc::header::HeaderValue::from_str(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            request = request.header(name, value);
        }
    }
    let deadline = Instant::now() + left;
    let response = match request.bytes(order.body.as_slice()).send() {
        Err(error) if resumes && is_timeout(&error) => {
            let resumption = StreamResumption { address: settings.address, deadline, stall };
            resumption.request_started(order.attempt).map_err(classify_error)?
        }
        sent => sent.map_err(classify_error)?,
    };
    let (status, headers, body) = response.split();
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    // A plain service need not return the request id, but if it does, the id must match.
    if let Some(given) = header_text("x-request-id")
        && !matches_attempt(given, order.attempt)
    {
        return CrossedSnafu { attempt: order.attempt, given }.fail();
    }
    Ok(EndpointAnswer {
        address: settings.address,
        attempt: order.attempt,
        deadline,
        kind: settings.kind,
        stall: stall.clone(),
        status: status.as_u16(),
        content_type: header_text("content-type").unwrap_or("application/octet-stream").to_owned(),
        backoff: header_text("retry-after")
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
            .and_then(read_retry_after),
        length: header_text("content-length").and_then(|length| length.parse().ok()),
        framed: header_text("content-length").is_some()
            || header_text("transfer-encoding").is_some()
            || matches!(status.as_u16(), 204 | 304),
        next_index: 0,
        resumes_left: MAX_RESUMES,
        body: buffer_body(body, deadline),
    })
}

/// Cancels `attempt` at an engine, because its answer is no longer needed.
pub(super) fn cancel(settings: &EndpointSettings, attempt: AttemptId) {
    if settings.kind != EndpointKind::Engine {
        return;
    }
    let url = format!("http://{}/requests/{attempt}/cancel", settings.address);
    let result = attohttpc::post(url)
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CONNECT_TIMEOUT)
        .header("content-length", "0")
        .send();
    if let Err(error) = result {
        log::debug!("cannot cancel attempt {attempt} at the engine: {error}");
    }
}

fn classify_error(error: attohttpc::Error) -> EndpointError {
    let refused = match error.kind() {
        attohttpc::ErrorKind::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    let detail = error.to_string();
    if refused { EndpointError::Unreachable { detail } } else { EndpointError::Broken { detail } }
}

impl EndpointAnswer {
    /// Whether the answer is an event stream.
    pub(super) fn is_stream(&self) -> bool {
        self.status == 200 && self.content_type.starts_with("text/event-stream")
    }

    /// The data of the next event; `None` at the stream's end mark.
    ///
    /// An engine whose stream is cut or goes silent continues to generate, so the stream is
    /// resumed from the first missing event.
    pub(super) fn next_event(&mut self) -> Result<Option<Vec<u8>>, EndpointError> {
        loop {
            match self.read_event() {
                Ok(Some(data)) => match self.position_of(&data)? {
                    EventPosition::Next => {
                        self.next_index += 1;
                        self.resumes_left = MAX_RESUMES;
                        return Ok(Some(data));
                    }
                    EventPosition::Duplicate => {}
                    EventPosition::Gap => self.resume("the stream has a gap".to_owned())?,
                },
                Ok(None) => return Ok(None),
                Err(detail) => self.resume(detail)?,
            }
        }
    }

    /// Reads the next event of the current connection, whatever its index.
    fn read_event(&mut self) -> Result<Option<Vec<u8>>, String> {
        loop {
            let mut line = Vec::new();
            let read = (&mut self.body)
                .take(MAX_EVENT_BYTES)
                .read_until(b'\n', &mut line)
                .map_err(|error| error.to_string())?;
            if read == 0 || !line.ends_with(b"\n") {
                // A stream without its end mark was cut and must not be taken for complete.
                return Err("the stream ended without its end mark".to_owned());
            }
            let text = line.trim_ascii_end();
            if let Some(data) = text.strip_prefix(b"data:") {
                let data = data.trim_ascii_start();
                return Ok((data != b"[DONE]").then(|| data.to_vec()));
            }
        }
    }

    /// Position of an event; engines that number their events send some of them twice.
    fn position_of(&self, data: &[u8]) -> Result<EventPosition, EndpointError> {
        self.check_id(data)?;
        let index = serde_json::from_slice::<EventIndex>(data).ok().and_then(|e| e.token_index);
        Ok(match index.unwrap_or(self.next_index).cmp(&self.next_index) {
            Ordering::Less => EventPosition::Duplicate,
            Ordering::Equal => EventPosition::Next,
            Ordering::Greater => EventPosition::Gap,
        })
    }

    /// Requests the rest of the stream from the engine over a new connection.
    ///
    /// An engine that does not answer may only be paused, so the request is repeated until the
    /// deadline.
    fn resume(&mut self, detail: String) -> Result<(), EndpointError> {
        if self.kind != EndpointKind::Engine || self.resumes_left == 0 {
            return Err(EndpointError::Broken { detail });
        }
        self.resumes_left -= 1;
        let (address, deadline, stall) = (self.address, self.deadline, &self.stall);
        stall.set(true);
        let resumption = StreamResumption { address, deadline, stall };
        match resumption.request(self.attempt, self.next_index) {
            Ok(response) if response.is_success() => {
                let (_, _, body) = response.split();
                self.body = buffer_body(body, self.deadline);
                Ok(())
            }
            _ => Err(EndpointError::Broken { detail }),
        }
    }

    /// Reads the whole body of an answer that is not a stream.
    pub(super) fn read_body(&mut self) -> Result<Vec<u8>, EndpointError> {
        if !self.framed {
            // Such a body ends when the connection closes, which a truncated body does as well.
            let detail = "the body has neither a length nor chunks".to_owned();
            return Err(EndpointError::Broken { detail });
        }
        if self.length.is_some_and(|length| length > MAX_ANSWER_BYTES) {
            return Err(EndpointError::Broken { detail: "the body is too large".to_owned() });
        }
        let mut body = Vec::new();
        (&mut self.body)
            .take(MAX_ANSWER_BYTES + 1)
            .read_to_end(&mut body)
            .map_err(|error| EndpointError::Broken { detail: error.to_string() })?;
        let size = body.len() as u64;
        if size > MAX_ANSWER_BYTES || self.length.is_some_and(|length| length != size) {
            let detail = "the body is truncated or exceeds the size limit".to_owned();
            return Err(EndpointError::Broken { detail });
        }
        self.check_id(&body)?;
        Ok(body)
    }

    /// Rejects a piece of an engine's answer that belongs to another request.
    ///
    /// An engine that batches may send a late or misrouted piece on the wrong connection. The
    /// caller would then receive the answer of another request, and only the id in the piece
    /// reveals the error.
    fn check_id(&self, piece: &[u8]) -> Result<(), EndpointError> {
        if self.kind != EndpointKind::Engine || self.status != 200 {
            return Ok(());
        }
        let id = serde_json::from_slice::<AnswerId>(piece).ok().and_then(|answer| answer.id);
        let given = id.unwrap_or_default();
        if matches_attempt(&given, self.attempt) {
            return Ok(());
        }
        CrossedSnafu { attempt: self.attempt, given }.fail()
    }
}

/// Requests a stream that an engine has begun, over a new connection.
struct StreamResumption<'a> {
    address: SocketAddr,
    deadline: Instant,
    stall: &'a StallFlag,
}

impl StreamResumption<'_> {
    /// Requests the events of `attempt` from the index `from` on, until the engine answers or the
    /// deadline has passed.
    fn request(&self, attempt: AttemptId, from: u64) -> attohttpc::Result<attohttpc::Response> {
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            let sent =
                attohttpc::get(format!("http://{}/requests/{attempt}?from={from}", self.address))
                    .connect_timeout(CONNECT_TIMEOUT)
                    .read_timeout(left.clamp(MIN_READ_TIMEOUT, STREAM_SILENCE_TIMEOUT))
                    .timeout(left.max(MIN_READ_TIMEOUT))
                    .send();
            let is_silent = sent.as_ref().is_err_and(is_timeout);
            self.stall.set(is_silent);
            if !is_silent || left.is_zero() {
                return sent;
            }
        }
    }

    /// Requests a stream whose call got no answer in time, and which the engine may not know yet.
    fn request_started(&self, attempt: AttemptId) -> attohttpc::Result<attohttpc::Response> {
        self.stall.set(true);
        let mut answer = self.request(attempt, 0)?;
        for _ in 0..MAX_UNKNOWN_RESUMES {
            if answer.status() != StatusCode::NOT_FOUND {
                break;
            }
            std::thread::sleep(UNKNOWN_RESUME_WAIT);
            answer = self.request(attempt, 0)?;
        }
        answer.error_for_status()
    }
}

/// Whether the engine did not answer in time.
fn is_timeout(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(cause) => {
            matches!(cause.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
        }
        _ => false,
    }
}

/// Whether the id `given` is that of `attempt`; engines may add a prefix of their own.
fn matches_attempt(given: &str, attempt: AttemptId) -> bool {
    given.ends_with(&attempt.to_string())
}
