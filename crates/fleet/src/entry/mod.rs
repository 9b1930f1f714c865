//! Decisions of an entry about a request: which target gets it, whether it is admitted, and what
//! follows a failed attempt. Nothing here reads a clock or opens a socket.

mod accept_gate;
mod answer_timeout;
mod attempt;
mod completion_rate;
mod drain;
mod events;
mod exclusion;
mod forecast;
mod hold;
mod lease;
mod load;
mod report_interval;
mod returns;
mod selection;
mod share;
mod startup;
mod table;
mod waiting;

pub use accept_gate::AcceptGate;
pub use answer_timeout::AnswerTimeout;
pub use attempt::{AttemptEnd, NextStep, RetryState};
pub use completion_rate::CompletionRate;
pub use drain::DrainSchedule;
pub use events::{EventSplitter, StreamEvent};
pub use exclusion::{ChoiceDetail, ChoiceRefusal};
pub use forecast::{PassMeter, SentPrompt, UnreadPrompts, admission_budget};
pub use hold::{HoldBook, HoldCount, SLOW_START, SendHold};
pub use lease::EntryLease;
pub use load::{LoadSample, TargetLoad};
pub use report_interval::{report_interval, retry_interval};
pub use returns::{MIN_RETURN_DELAY, ReturnQuery, ReturnSchedule, caller_age, has_returned};
pub use share::{SHARE_LIFETIME, ShareBook};
pub use startup::StartupWait;
pub use table::{LatencyTerms, TargetChoice, TargetId, TargetQuery, TargetTable};
pub use waiting::{
    CheckCause, RefusedWait, TurnOutcome, WaitBounds, WaitQueue, WaitRefusal, WaitRequest,
    WaitTicket,
};
