//! Admission control: which requests are admitted, in what order, and which are refused at once
//! with a retry time.
//!
//! Each entry has its own [`AdmissionQueue`]. Every service has a concurrency window. Requests
//! beyond it wait in bounded queues, one per team, which are served by weighted start-time fair
//! queueing. A request that cannot finish before its deadline is refused as soon as this is known.

mod limit;
mod queue;
mod service;
mod share;
mod sweep;
mod team;
mod verdict;
mod window;

pub use limit::{LimitKey, LimitUsage, TeamLimit};
pub use queue::AdmissionQueue;
pub use share::{HolderId, LimitBook, ShareRequest};
pub use verdict::{
    AdmissionOutput, AdmissionRefusal, AdmissionRequest, AdmissionVerdict, RefusalCause,
    TicketNumber,
};
