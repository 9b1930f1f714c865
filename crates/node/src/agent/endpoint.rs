//! Calling the endpoint over HTTP and reading its answer piece by piece.

use std::cmp::Ordering;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::{Method, RequestBuilder, ResponseReader};
use briartray_model::message::DispatchOrder;
use briartray_model::names::AttemptId;
use briartray_model::settings::{EndpointKind, EndpointSettings};
use serde::Deserialize;
use snafu::Snafu;

/// Longest line of an event stream, in bytes.
const MAX_EVENT_BYTES: u64 = 1024 * 1024;

/// Largest answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes buffered of an answer, besides what the library buffers.
const BODY_BUFFER: usize = 1024;

/// Time without any event after which an engine's stream is resumed over a new connection.
const STREAM_SILENCE: Duration = Duration::from_secs(3);

/// Times a stream is resumed without a new event in between.
const MAX_RESUMES: u32 = 20;

/// Questions without an answer after which an engine is given up on in the middle of a stream.
const SILENT_RESUMES: u32 = 3;

/// Time to connect to the endpoint, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub(super) enum EndpointError {
    /// No connection; nothing was sent.
    #[snafu(display("endpoint cannot be reached: {detail}; check that it runs"))]
    Unreachable { detail: String },
    /// The call broke; it may have run.
    #[snafu(display("endpoint call broke: {detail}; look at the endpoint's log"))]
    Broken { detail: String },
    /// The answer names another request.
    #[snafu(display(
        "the endpoint answered {given:?} where {attempt} was asked; it mixes up its answers, \
         restart it"
    ))]
    Crossed { attempt: AttemptId, given: String },
}

/// The part of an engine's answer that names the request.
#[derive(Debug, Deserialize)]
struct AnswerName {
    id: Option<String>,
}

/// The part of an engine's event that tells its place in the stream.
#[derive(Debug, Deserialize)]
struct EventIndex {
    token_index: Option<u64>,
}

/// Where an event belongs in its stream.
enum EventPlace {
    Next,
    Doubled,
    Gap,
}

/// An answer whose head has come.
pub(super) struct EndpointAnswer {
    pub(super) status: u16,
    pub(super) content_type: String,
    address: SocketAddr,
    attempt: AttemptId,
    deadline: Instant,
    kind: EndpointKind,
    /// Whether the call may not be repeated.
    once: bool,
    length: Option<u64>,
    /// Whether a cut of the body can be told from its end.
    framed: bool,
    /// Index of the next event of a stream.
    next_index: u64,
    /// Times the stream may still be resumed without a new event in between.
    resumes_left: u32,
    body: BufReader<DeadlineReader>,
}

/// Reads until a deadline.
///
/// An endpoint that sends a byte now and then passes every timeout of a single read and would keep
/// its thread for ever; the agent would run out of threads.
struct DeadlineReader {
    body: ResponseReader,
    deadline: Instant,
}

impl Read for DeadlineReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if Instant::now() >= self.deadline {
            return Err(std::io::Error::new(ErrorKind::TimedOut, "the deadline passed"));
        }
        self.body.read(buffer)
    }
}

fn buffer_body(body: ResponseReader, deadline: Instant) -> BufReader<DeadlineReader> {
    BufReader::with_capacity(BODY_BUFFER, DeadlineReader { body, deadline })
}

/// Calls the endpoint for `order`.
pub(super) fn call(
    settings: &EndpointSettings,
    order: &DispatchOrder,
) -> Result<EndpointAnswer, EndpointError> {
    let url = format!("http://{}{}", settings.address, order.target.path);
    let method = Method::from_bytes(order.target.method.as_bytes())
        .map_err(|error| EndpointError::Unreachable { detail: error.to_string() })?;
    let left = Duration::from_millis(u64::from(order.deadline_ms.max(1)));
    let resumes = settings.kind == EndpointKind::Engine && order.stream;
    let mut request = RequestBuilder::new(method, url)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(if resumes { left.min(STREAM_SILENCE) } else { left })
        .follow_redirects(false)
        .header("x-request-id", order.attempt.to_string())
        .header("traceparent", order.trace.to_header())
        .header("x-priority", order.priority.to_string());
    if !resumes {
        // The library keeps a thread for this bound; a stream is bounded by its reader instead.
        request = request.timeout(left);
    }
    for field in &order.target.headers {
        let name = attohttpc::header::HeaderName::from_bytes(field.name.as_bytes());
        let value = attohttpc::header::HeaderValue::from_str(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            request = request.header(name, value);
        }
    }
    let response = request.bytes(order.body.as_slice()).send().map_err(describe)?;
    let (status, headers, body) = response.split();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    // A plain service need not name the request, but when it does it must be this one.
    if let Some(given) = text("x-request-id")
        && !names(given, order.attempt)
    {
        return CrossedSnafu { attempt: order.attempt, given }.fail();
    }
    let deadline = Instant::now() + left;
    Ok(EndpointAnswer {
        address: settings.address,
        attempt: order.attempt,
        deadline,
        kind: settings.kind,
        once: order.once,
        status: status.as_u16(),
        content_type: text("content-type").unwrap_or("application/octet-stream").to_owned(),
        length: text("content-length").and_then(|length| length.parse().ok()),
        framed: text("content-length").is_some()
            || text("transfer-encoding").is_some()
            || matches!(status.as_u16(), 204 | 304),
        next_index: 0,
        resumes_left: MAX_RESUMES,
        body: buffer_body(body, deadline),
    })
}

/// Tells the engine that nobody waits for `attempt` any more.
pub(super) fn cancel(settings: &EndpointSettings, attempt: AttemptId) {
    if settings.kind != EndpointKind::Engine {
        return;
    }
    let url = format!("http://{}/requests/{attempt}/cancel", settings.address);
    let told = attohttpc::post(url)
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CONNECT_TIMEOUT)
        .header("content-length", "0")
        .send();
    if let Err(error) = told {
        log::debug!("attempt {attempt} was not cancelled: {error}");
    }
}

fn describe(error: attohttpc::Error) -> EndpointError {
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
    /// An engine that cuts a stream or goes silent goes on generating, so the stream is resumed
    /// from the first event that is missing.
    pub(super) fn next_event(&mut self) -> Result<Option<Vec<u8>>, EndpointError> {
        loop {
            match self.read_event() {
                Ok(Some(data)) => match self.place(&data)? {
                    EventPlace::Next => {
                        self.next_index += 1;
                        self.resumes_left = MAX_RESUMES;
                        return Ok(Some(data));
                    }
                    EventPlace::Doubled => {}
                    EventPlace::Gap => self.resume("the stream has a gap".to_owned())?,
                },
                Ok(None) => return Ok(None),
                Err(detail) => self.resume(detail)?,
            }
        }
    }

    /// Reads one event as it comes.
    fn read_event(&mut self) -> Result<Option<Vec<u8>>, String> {
        loop {
            let mut line = Vec::new();
            let read = (&mut self.body)
                .take(MAX_EVENT_BYTES)
                .read_until(b'\n', &mut line)
                .map_err(|error| error.to_string())?;
            if read == 0 || !line.ends_with(b"\n") {
                // A stream that stops without its end mark was cut; it must not look whole.
                return Err("the stream ended without its end mark".to_owned());
            }
            let text = line.trim_ascii_end();
            if let Some(data) = text.strip_prefix(b"data:") {
                let data = data.trim_ascii_start();
                return Ok((data != b"[DONE]").then(|| data.to_vec()));
            }
        }
    }

    /// Where an event belongs; engines that number their events send some of them twice.
    fn place(&self, data: &[u8]) -> Result<EventPlace, EndpointError> {
        self.check_name(data)?;
        let index = serde_json::from_slice::<EventIndex>(data).ok().and_then(|e| e.token_index);
        Ok(match index.unwrap_or(self.next_index).cmp(&self.next_index) {
            Ordering::Less => EventPlace::Doubled,
            Ordering::Equal => EventPlace::Next,
            Ordering::Greater => EventPlace::Gap,
        })
    }

    /// Asks the engine for the rest of the stream over a new connection.
    ///
    /// An engine that does not answer may stand still for a moment. When the caller has seen a
    /// part of the answer, or the call may not be repeated, only this engine can go on with it, so
    /// it is asked again; otherwise another replica does better.
    fn resume(&mut self, detail: String) -> Result<(), EndpointError> {
        let only_here = self.once || self.next_index > 0;
        let mut silent_left = if only_here { SILENT_RESUMES } else { 0 };
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if self.kind != EndpointKind::Engine || self.resumes_left == 0 || left.is_zero() {
                return Err(EndpointError::Broken { detail });
            }
            self.resumes_left -= 1;
            match self.ask_rest(left) {
                Ok(response) if response.is_success() => {
                    let (_, _, body) = response.split();
                    self.body = buffer_body(body, self.deadline);
                    return Ok(());
                }
                Err(error) if silent_left > 0 && is_silence(&error) => silent_left -= 1,
                _ => return Err(EndpointError::Broken { detail }),
            }
        }
    }

    fn ask_rest(&self, left: Duration) -> attohttpc::Result<attohttpc::Response> {
        let (address, attempt, from) = (self.address, self.attempt, self.next_index);
        attohttpc::get(format!("http://{address}/requests/{attempt}?from={from}"))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(left.min(STREAM_SILENCE))
            .send()
    }

    /// The whole body.
    pub(super) fn whole_body(&mut self) -> Result<Vec<u8>, EndpointError> {
        if !self.framed {
            // Such a body ends with the connection, and so does one that was cut.
            let detail = "the body has neither a length nor chunks".to_owned();
            return Err(EndpointError::Broken { detail });
        }
        let mut body = Vec::new();
        (&mut self.body)
            .take(MAX_ANSWER_BYTES)
            .read_to_end(&mut body)
            .map_err(|error| EndpointError::Broken { detail: error.to_string() })?;
        if self.length.is_some_and(|length| length != body.len() as u64) {
            let detail = "the body is cut, or over the limit for answers".to_owned();
            return Err(EndpointError::Broken { detail });
        }
        self.check_name(&body)?;
        Ok(body)
    }

    /// Refuses a piece of an engine's answer that belongs to another request.
    ///
    /// An engine that batches may hand a late or mixed-up piece to the wrong connection. The
    /// caller would read somebody else's text as an answer, with nothing to show for it but the
    /// id inside.
    fn check_name(&self, piece: &[u8]) -> Result<(), EndpointError> {
        if self.kind != EndpointKind::Engine || self.status != 200 {
            return Ok(());
        }
        let named = serde_json::from_slice::<AnswerName>(piece).ok().and_then(|name| name.id);
        let given = named.unwrap_or_default();
        if names(&given, self.attempt) {
            return Ok(());
        }
        CrossedSnafu { attempt: self.attempt, given }.fail()
    }
}

/// Whether the engine took the connection and did not answer.
fn is_silence(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(cause) => {
            matches!(cause.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
        }
        _ => false,
    }
}

/// Whether `given` names `attempt`; engines may put a prefix of their own before it.
fn names(given: &str, attempt: AttemptId) -> bool {
    given.ends_with(&attempt.to_string())
}
