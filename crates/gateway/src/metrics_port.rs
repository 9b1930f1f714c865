//! HTTP server for the metrics of a process.

use std::net::SocketAddr;

use briartray_http::{HttpServer, ResponseBody, ServerLimits};
use briartray_node::metrics::{METRICS_TYPE, MetricsHub};
use http::{HeaderValue, Response, StatusCode, header};
use tokio::net::TcpListener;

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 16;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Serves the metrics of `hub` at `address` on the current thread; `None` if there is no server.
///
/// If the address cannot be bound, the error is only logged: the process can serve traffic without
/// metrics.
pub(crate) async fn serve(address: Option<SocketAddr>, hub: MetricsHub) -> Option<HttpServer> {
    let address = address?;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("cannot serve metrics at {address}: {error}; choose a free address");
            return None;
        }
    };
    let limits = ServerLimits { connections: MAX_CONNECTIONS, idle: IDLE_TIMEOUT };
    Some(HttpServer::start(listener, limits, move |request| {
        let is_metrics = request.uri().path() == METRICS_PATH;
        let answer = if is_metrics { metrics_response(&hub) } else { not_found_response() };
        async move { answer }
    }))
}

fn metrics_response(hub: &MetricsHub) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(hub.render()));
    let content_type = HeaderValue::from_static(METRICS_TYPE);
    answer.headers_mut().insert(header::CONTENT_TYPE, content_type);
    answer
}

fn not_found_response() -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(Vec::new()));
    *answer.status_mut() = StatusCode::NOT_FOUND;
    answer
}
