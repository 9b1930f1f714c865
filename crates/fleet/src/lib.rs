//! Decision logic for a fleet of serving endpoints that register themselves. Nothing here does
//! input or output.
//!
//! [`deployment`] holds the deployment plan that operators submit, [`state`] the state that control
//! hosts replicate, [`director`] how the leader forms and repairs groups, [`entry`] how a request
//! is admitted, sent and resumed, [`limit`] the rate limits of endpoints, [`retry`] the budget for
//! retries, and [`message`] the messages between entries and control hosts.

pub mod deployment;
pub mod director;
pub mod entry;
pub mod limit;
pub mod message;
pub mod retry;
pub mod state;
