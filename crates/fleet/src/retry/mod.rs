//! Budget for retries that all entries share.
//!
//! When many endpoints fail at once, retrying every request would double the load on the remaining
//! ones. For each service and window, retries are limited to a ratio of the requests plus a fixed
//! allowance, over all entries together.
//!
//! Each entry keeps to both parts without knowing what the others do ([`RetryBudget`]):
//!
//! - A request to the entry earns a fraction of a retry, which expires before the window ends. A
//!   process that starts has earned nothing.
//! - The allowance is divided by the leader ([`AllowanceAllocator`](briartray_routing::retry::AllowanceAllocator)). It leases shares, and counts a
//!   share as used for a whole window after its lease ends. What an entry that was killed or is cut
//!   off may have used is therefore not given to another one, nor to its next process.

mod budget;
mod credit;
mod terms;

pub use budget::{RetryBudget, RetryPermit, RetrySource, RetryUsage};
pub use terms::RetryTerms;
