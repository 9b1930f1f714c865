//! Who is let in, in what order, and who is told at once to come back later.
//!
//! An [`AdmissionQueue`] belongs to one entry. Each service has a window of slots; requests beyond
//! it wait in bounded queues, one per team, which are served by weighted start-time fair queueing.
//! A request that cannot be done in time is refused as soon as that is known.

mod limit;
mod queue;
mod service;
mod share;
mod sweep;
mod team;
mod verdict;
mod window;

pub use limit::{LimitKey, LimitUse, TeamLimit};
pub use queue::AdmissionQueue;
pub use share::{HolderId, LimitBook, ShareRequest};
pub use verdict::{
    AdmissionOutput, AdmissionRefusal, AdmissionRequest, AdmissionVerdict, RefusalCause,
    TicketNumber,
};
