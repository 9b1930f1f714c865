//! Who is let in, in what order, and who is told at once to come back later.
//!
//! An [`AdmissionQueue`] belongs to one entry. Each service has a window of slots; requests beyond
//! it wait in bounded queues, one per team, which are served by weighted start-time fair queueing.
//! A request that cannot be done in time is refused as soon as that is known.

mod limit;
mod queue;
mod service;
mod share;
mod team;
mod window;

pub use limit::{LimitKey, TeamLimit};
pub use queue::{
    AdmissionOutput, AdmissionQueue, AdmissionRefusal, AdmissionRequest, AdmissionVerdict,
    RefusalCause, TicketNumber,
};
pub use share::{HolderId, LimitBook, ShareAsk};
