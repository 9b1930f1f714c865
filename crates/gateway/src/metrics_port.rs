//! The port on which a process serves its metrics.

use std::net::SocketAddr;

use briartray_http::{HttpServer, ResponseBody, ServerLimits};
use briartray_node::metrics::{METRICS_TYPE, MetricsHub};
use http::{HeaderValue, Response, StatusCode, header};
use tokio::net::TcpListener;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Connections that are open at one time.
const MAX_CONNECTIONS: usize = 16;

/// Time a connection may be idle.
const IDLE_LIMIT: std::time::Duration = std::time::Duration::from_secs(30);

/// Serves the metrics of `hub` at `address` on the current thread.
///
/// A port that cannot be had is told in the log and no more: a process without metrics still serves.
pub(crate) async fn serve(address: Option<SocketAddr>, hub: MetricsHub) -> Option<HttpServer> {
    let address = address?;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("no metrics at {address}: {error}; choose a free address");
            return None;
        }
    };
    let limits = ServerLimits { connections: MAX_CONNECTIONS, idle: IDLE_LIMIT };
    Some(HttpServer::start(listener, limits, move |request| {
        let known = request.uri().path() == METRICS_PATH;
        let answer = if known { page(&hub) } else { missing() };
        async move { answer }
    }))
}

fn page(hub: &MetricsHub) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(hub.render()));
    let kind = HeaderValue::from_static(METRICS_TYPE);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

fn missing() -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(Vec::new()));
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}
