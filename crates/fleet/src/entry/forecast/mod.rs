//! Forecast of a request's first event on each group.
//!
//! A group that is filled up to its slots starts every answer slightly late. The entry therefore
//! estimates when the first event of a request would come, from the prompts that the group has not
//! read yet and from the time that its passes take, and leaves out the groups on which it would be
//! late.

mod group_forecast;
mod pass_meter;
mod sent_prompt;

pub use group_forecast::admission_budget;
pub use pass_meter::PassMeter;
pub use sent_prompt::{SentPrompt, UnreadPrompts};

pub(super) use group_forecast::{ForecastTerms, GroupForecast, level_unmeasured};
