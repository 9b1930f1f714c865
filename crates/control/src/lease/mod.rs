//! Rules leases: which entries may still decide under older rules.
//!
//! An entry decides only while it holds a lease that a confirmed leader granted. The leader
//! answers `accepted` for a change once no entry can decide under older rules any more: each one
//! has adopted the change, or its lease has run out, or an operator has struck it off.

mod book;
mod holder;

pub use book::LeaseBook;
pub use briartray_model::lease::{HoldPolicy, LeaseTerms};
pub use holder::{HolderState, LeaseHolder, LeaseWindow};
