//! Orders and probes on their way to endpoints.

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

/// Time for a report. A report needs no slot; hosts are a few milliseconds apart.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after the end of a probe's time at which this thread must have noticed it. One that is later had no
/// time to read answers: a leader that was short of processor time took hundreds of endpoints for dead,
/// which made more to do.
const THREAD_LATE: Duration = Duration::from_millis(50);

/// Time for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle connections that are kept to one endpoint: calls to it come one at a time.
const IDLE_CONNECTIONS: usize = 1;

/// A call to an endpoint.
#[derive(Debug)]
pub(super) enum EndpointCall {
    /// Ask for a report, for another host that leads where `asker` names one.
    Probe { call: ProbeCall, asker: Option<NodeName> },
    /// Give an order in the leader's term.
    Order { call: OrderCall, term: u64 },
}

/// Makes calls and tells the control thread what came of them.
#[derive(Clone)]
pub(super) struct EndpointCaller {
    pool: Rc<RefCell<ConnectionPool>>,
    clock: ClockReader,
    inputs: InputSender,
}

impl EndpointCaller {
    pub(super) fn new(inputs: InputSender) -> Self {
        Self { pool: Rc::default(), clock: ClockReader::start(), inputs }
    }

    /// Closes connections that are not used any more.
    pub(super) fn prune(&self) {
        self.pool.borrow_mut().prune(self.clock.now());
    }

    /// Makes `call`.
    pub(super) async fn make(self, call: EndpointCall) {
        let input = match call {
            EndpointCall::Probe { call, asker } => {
                let result = self.probe(&call).await;
                CoreInput::Probed { answer: ProbeAnswer { id: call.id, result }, asker }
            }
            EndpointCall::Order { call, term } => {
                let outcome = self.order(&call, term).await;
                log::info!(endpoint:% = call.id, term;
                    "order {:?}: {outcome:?}", call.order);
                CoreInput::Ordered { call, outcome }
            }
        };
        if !self.inputs.try_send(input) {
            log::warn!("the result of a call to an endpoint found no room and is dropped");
        }
    }

    async fn probe(&self, probe: &ProbeCall) -> ProbeResult {
        let request = report_request(&probe.id, &probe.address);
        let began = self.clock.now();
        let asked = tokio::time::timeout(PROBE_TIMEOUT, self.ask(&probe.address, request)).await;
        let Ok(Ok((status, told, body))) = asked else {
            let late = self.clock.now().since(began) > PROBE_TIMEOUT + THREAD_LATE;
            return if late { ProbeResult::Unread } else { ProbeResult::Silent };
        };
        let other = told.endpoint.is_some_and(|endpoint| endpoint != probe.id.endpoint());
        if status == StatusCode::MISDIRECTED_REQUEST || other {
            return ProbeResult::OtherEndpoint;
        }
        match read_report(&body) {
            // The endpoint has started anew under its old name, and is in no group.
            Ok(told) if told.started.is_some() && told.started != probe.id.started_at() => {
                ProbeResult::OtherEndpoint
            }
            Ok(told) => ProbeResult::Told(told.report),
            Err(error) => {
                log::warn!(endpoint:% = probe.id; "a report does not read: {error}");
                ProbeResult::Silent
            }
        }
    }

    async fn order(&self, call: &OrderCall, term: u64) -> OrderOutcome {
        let request = order_request(&call.id, &call.address, &call.order, term);
        match tokio::time::timeout(ORDER_TIMEOUT, self.ask(&call.address, request)).await {
            Ok(Ok((status, _, body))) => {
                if !status.is_success() {
                    log::warn!(endpoint:% = call.id, status = status.as_u16();
                        "an order is not taken: {}", String::from_utf8_lossy(&body));
                }
                order_outcome(status)
            }
            Ok(Err(_)) | Err(_) => OrderOutcome::Unknown,
        }
    }

    async fn ask(
        &self,
        address: &str,
        request: Request<Bytes>,
    ) -> Result<(StatusCode, ResponseHead, Bytes), SendFailure> {
        let address: SocketAddr = address.parse().map_err(|_| SendFailure::NotConnected)?;
        let idle = self.pool.borrow_mut().take(self.clock.now(), address);
        let connection = briartray_http::connect(idle, address).await?;
        let exchange = connection.send(request).await?;
        let (head, body, connection) = exchange.whole().await?;
        let told = ResponseHead::read(head.status, &head.headers);
        if !told.closes_connection {
            let now = self.clock.now();
            self.pool.borrow_mut().put(now, address, connection, told.idle_limit, IDLE_CONNECTIONS);
        }
        Ok((head.status, told, body))
    }
}
