//! HTTP/1.1 client connections to endpoints and an HTTP/1.1 server for callers, on a
//! current-thread Tokio runtime.

mod activity;
mod body;
mod body_buffer;
mod connection;
mod endpoint_stream;
mod pool;
mod request_body;
mod server;

pub use body::{BodyParts, BodySender, ResponseBody, TruncatedStream, discard_body};
pub use connection::{EndpointConnection, Exchange, SendFailure, UnreadBody, is_refused};
pub use endpoint_stream::SendingHalf;
pub use pool::{ConnectionPool, connect};
pub use request_body::{BodyFailure, read_request_body};
pub use server::{ConnectionGate, ConnectionLoss, HttpServer, ServerLimits};
