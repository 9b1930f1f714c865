//! How an entry decides on a request: where it goes, whether it is taken at all, and what happens
//! when an attempt fails. Nothing here reads a clock or opens a socket.

mod answer_wait;
mod attempt;
mod budget;
mod choice;
mod drain;
mod events;
mod lease;
mod load;
mod report_pace;
mod startup;
mod table;

pub use answer_wait::AnswerWait;
pub use attempt::{AttemptEnd, AttemptPlan, NextMove};
pub use budget::RetryBudget;
pub use drain::DrainSchedule;
pub use events::{EventCutter, StreamEvent};
pub use lease::EntryLease;
pub use load::{LoadSample, TargetLoad};
pub use report_pace::{ask_pause, report_pause};
pub use startup::StartupWait;
pub use table::{ChoiceRefusal, TargetChoice, TargetId, TargetTable, TargetWish};
