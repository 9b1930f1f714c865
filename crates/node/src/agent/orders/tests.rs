//! Tests what the state of the endpoint tells about its readiness.

use std::net::{SocketAddr, TcpListener};

use briartray_model::names::{FencingNumber, ServiceName};

use super::*;

/// Timeout for connecting to a listener that may have no room for another connection.
const FILL_TIMEOUT: Duration = Duration::from_millis(200);

const FENCING: FencingNumber = FencingNumber(7);

/// A reconciler whose endpoint at `address` is ready for `FENCING`.
fn ready_reconciler(address: SocketAddr) -> EndpointReconciler {
    let service = ServiceName::new("desk");
    let role = "group 1 member 0 of 1".to_owned();
    let desired = DesiredState { fencing: FENCING, service: service.clone(), role };
    let (inputs, _) = bounded(1);
    EndpointReconciler {
        endpoint: EndpointSettings::new(address, "desk", EndpointKind::Engine),
        desired: Arc::new(Mutex::new(Some(desired))),
        inputs,
        loaded_service: Some(service),
        role: Some(FENCING),
        reported: Some(FENCING),
    }
}

/// Opens connections to a listener that accepts none until it takes no more.
fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    std::iter::from_fn(|| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok()).collect()
}

/// Guards against a group that closes, and gives up its answers, because an engine is paused and
/// takes no connection for a moment.
#[test]
fn engine_that_takes_no_connection_for_a_moment_stays_ready() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let _waiting = fill_backlog(address);
    let mut reconciler = ready_reconciler(address);

    let ready = reconciler.reconcile();

    assert_eq!(ready, Some(FENCING));
}

/// Guards against a group that keeps an engine which has ended and lost its model.
#[test]
fn engine_that_refuses_connections_is_not_ready() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let mut reconciler = ready_reconciler(address);

    let ready = reconciler.reconcile();

    assert_eq!((ready, reconciler.role), (None, None));
}
