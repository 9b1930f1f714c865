//! Small helpers around the HTTP library, shared by the entry, the operators' port and the
//! stand-ins: bounded connections and bodies, JSON replies, event streams and worker threads.

mod body;
mod event;
mod front;
mod listener;
mod reply;
mod worker;

pub use body::{BodyError, read_body};
pub use event::EventWriter;
pub use front::{FrontLimits, connection_allowance};
pub use listener::{HttpListener, ListenError};
pub use reply::{JsonReply, header_value, reply_json, reply_text};
pub use worker::{WORKER_STACK_BYTES, spawn_worker};
