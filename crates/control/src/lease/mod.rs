//! Rules leases, which bound how long an entry may decide under outdated rules.
//!
//! An entry may decide only while it holds a lease from a leader that a majority has confirmed. The
//! leader answers `accepted` to a rule change only when no entry can decide under older rules: each
//! entry has adopted the change, its lease has expired, or an operator has removed it.

mod book;
mod holder;

pub use book::LeaseBook;
pub use briartray_model::lease::{HoldPolicy, LeaseTerms};
pub use holder::{HolderState, LeaseHolder, LeaseWindow};
