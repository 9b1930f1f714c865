//! HTTP/1.1 on one current-thread runtime: connections to endpoints and from callers.

mod body;
mod connection;
mod pool;
mod server;

pub use body::{BodySender, ResponseBody, TruncatedStream};
pub use connection::{EndpointConnection, Exchange, SendFailure, is_refused};
pub use pool::{ConnectionPool, connect};
pub use server::{HttpServer, ServerLimits};
