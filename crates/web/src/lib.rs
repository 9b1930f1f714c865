//! HTTP server helpers for the entry, the operator API and the stand-ins: listeners with connection
//! limits, bounded request bodies, JSON replies, event streams and worker threads.

mod body;
mod event;
mod front_proxy;
mod listener;
mod reply;
mod worker;

pub use body::{BodyError, read_body};
pub use event::EventWriter;
pub use front_proxy::{ListenerLimits, connection_allowance};
pub use listener::{HttpListener, ListenError};
pub use reply::{JsonReply, header_value, reply_json, reply_text};
pub use worker::{WORKER_STACK_BYTES, WorkerToken, WorkerWatch, spawn_worker, worker_watch};
