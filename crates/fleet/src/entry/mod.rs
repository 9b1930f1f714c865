//! Decisions of an entry about a request: which target gets it, whether it is admitted, and what
//! follows a failed attempt. Nothing here reads a clock or opens a socket.

mod answer_timeout;
mod attempt;
mod budget;
mod drain;
mod events;
mod exclusion;
mod hold;
mod lease;
mod load;
mod report_interval;
mod returns;
mod selection;
mod share;
mod startup;
mod table;

pub use answer_timeout::AnswerTimeout;
pub use attempt::{AttemptEnd, NextStep, RetryState};
pub use budget::RetryBudget;
pub use drain::DrainSchedule;
pub use events::{EventSplitter, StreamEvent};
pub use exclusion::ChoiceRefusal;
pub use hold::{HoldBook, HoldCount, SLOW_START, SendHold};
pub use lease::EntryLease;
pub use load::{LoadSample, TargetLoad};
pub use report_interval::{report_interval, retry_interval};
pub use returns::{MIN_RETURN_DELAY, caller_age, has_returned};
pub use share::{SHARE_LIFETIME, ShareBook};
pub use startup::StartupWait;
pub use table::{LatencyTerms, TargetChoice, TargetId, TargetQuery, TargetTable};
