//! Calls from control hosts to endpoints: orders and probes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use briartray_fleet::director::{OrderCall, OrderOutcome, ProbeCall};
use briartray_model::names::NodeName;
use briartray_node::ClockReader;
use briartray_platform::{ResponseHead, order_outcome, order_request, read_report, report_request};
use bytes::Bytes;
use http::{Request, StatusCode};

use super::input::{CoreInput, InputSender, ProbeAnswer, ProbeResult};
use briartray_http::{ConnectionPool, SendFailure};

/// Timeout of a probe. An endpoint needs no free slot to report; hosts are a few milliseconds
/// apart.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum delay with which this thread may notice a probe's timeout. If it is later, it had no
/// time to read responses, so a missing one proves nothing. An overloaded leader used to count
/// hundreds of endpoints as dead, which increased its load further.
const MAX_THREAD_DELAY: Duration = Duration::from_millis(50);

/// Timeout for the response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest response to a probe or an order, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum number of characters of a refusal that are logged.
const MAX_LOGGED_CHARS: usize = 200;

/// Idle connections to keep per endpoint: calls to one endpoint are sequential.
const IDLE_CONNECTIONS_PER_ENDPOINT: usize = 1;

/// A call to an endpoint.
#[derive(Debug)]
pub(super) enum EndpointCall {
    /// Request a report, on behalf of the leader `requester` if another host leads.
    Probe { call: ProbeCall, requester: Option<NodeName> },
    /// Send an order in the leader's term.
    Order { call: OrderCall, term: u64 },
}

/// Calls endpoints and passes the results to the control thread.
#[derive(Clone)]
pub(super) struct EndpointClient {
    pool: Rc<RefCell<ConnectionPool>>,
    clock: ClockReader,
    inputs: InputSender,
}

impl EndpointClient {
    pub(super) fn new(inputs: InputSender) -> Self {
        Self { pool: Rc::default(), clock: ClockReader::start(), inputs }
    }

    /// Closes connections that are no longer used.
    pub(super) fn prune(&self) {
        self.pool.borrow_mut().prune(self.clock.now());
    }

    /// Performs `call` and passes its result to the control thread.
    pub(super) async fn run(self, call: EndpointCall) {
        let input = match call {
            EndpointCall::Probe { call, requester } => {
                let result = self.probe(&call).await;
                CoreInput::Probed { answer: ProbeAnswer { id: call.id, result }, requester }
            }
            EndpointCall::Order { call, term } => {
                let outcome = self.order(&call, term).await;
                log::info!(endpoint:% = call.id, term;
                    "outcome of order {:?}: {outcome:?}", call.order);
                CoreInput::Ordered { call, outcome }
            }
        };
        if !self.inputs.try_send(input) {
            log::warn!("control input queue is full; dropping the result of an endpoint call");
        }
    }

    async fn probe(&self, probe: &ProbeCall) -> ProbeResult {
        let request = report_request(&probe.id, &probe.address);
        let began = self.clock.now();
        let outcome =
            tokio::time::timeout(PROBE_TIMEOUT, self.call_endpoint(&probe.address, request)).await;
        let Ok(Ok((status, head, body))) = outcome else {
            let late = self.clock.now().since(began) > PROBE_TIMEOUT + MAX_THREAD_DELAY;
            // A connection may break for other reasons than a refusal.
            if outcome.is_ok() && refuses_connections(&probe.address).await {
                return ProbeResult::Refused;
            }
            return if late { ProbeResult::Unread } else { ProbeResult::Silent };
        };
        let is_other = head.endpoint.is_some_and(|endpoint| endpoint != probe.id.endpoint());
        if status == StatusCode::MISDIRECTED_REQUEST || is_other {
            return ProbeResult::OtherEndpoint;
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return ProbeResult::Rejected { wait: head.backoff.unwrap_or_default() };
        }
        match read_report(&body) {
            // The endpoint has restarted under its previous name and belongs to no group.
            Ok(report) if report.started.is_some() && report.started != probe.id.started_at() => {
                ProbeResult::OtherEndpoint
            }
            Ok(report) => ProbeResult::Told(report.report),
            Err(error) => {
                log::warn!(endpoint:% = probe.id;
                    "cannot decode endpoint report; treating the probe as unanswered: {error}");
                ProbeResult::Silent
            }
        }
    }

    async fn order(&self, call: &OrderCall, term: u64) -> OrderOutcome {
        let request = order_request(&call.id, &call.address, &call.order, term);
        match tokio::time::timeout(ORDER_TIMEOUT, self.call_endpoint(&call.address, request)).await
        {
            Ok(Ok((status, _, body))) => {
                if !status.is_success() {
                    let detail: String =
                        String::from_utf8_lossy(&body).chars().take(MAX_LOGGED_CHARS).collect();
                    log::warn!(endpoint:% = call.id, status = status.as_u16();
                        "endpoint refused order: {detail}");
                }
                order_outcome(status)
            }
            Ok(Err(_)) | Err(_) => OrderOutcome::Unknown,
        }
    }

    async fn call_endpoint(
        &self,
        address: &str,
        request: Request<Bytes>,
    ) -> Result<(StatusCode, ResponseHead, Bytes), SendFailure> {
        let address: SocketAddr = address.parse().map_err(|_| SendFailure::NotConnected)?;
        let idle = self.pool.borrow_mut().take(self.clock.now(), address);
        let connection = briartray_http::connect(idle, address).await?;
        let exchange = connection.send(request).await?;
        let (head, body, connection) = exchange.whole_within(MAX_RESPONSE_BYTES).await?;
        let answer_head = ResponseHead::read(head.status, &head.headers);
        if !answer_head.closes_connection {
            let now = self.clock.now();
            self.pool.borrow_mut().put(
                now,
                address,
                connection,
                answer_head.idle_limit,
                IDLE_CONNECTIONS_PER_ENDPOINT,
            );
        }
        Ok((head.status, answer_head, body))
    }
}

/// Whether `address` refuses connections within the timeout of a probe.
async fn refuses_connections(address: &str) -> bool {
    let Ok(address) = address.parse() else { return false };
    let refused = tokio::time::timeout(PROBE_TIMEOUT, briartray_http::is_refused(address));
    refused.await.unwrap_or(false)
}
