//! Requests that crash the endpoints which run them.
//!
//! Such a request comes again under a new id, at any entry, and each copy takes an endpoint away from all
//! other callers. So requests are recognised by a keyed hash of what they ask for. Entries report which
//! request prints were running when an endpoint crashed; the leader counts the crashes of each print in its
//! [`CrashBook`], and quarantines the prints that were at several crashes in a row without a whole run between
//! them. The quarantine is part of the replicated state, and entries refuse what is in it.
//!
//! Every request that shares an endpoint with a fatal one is at its crash too. Three things tell it apart: it
//! runs to its end elsewhere, crashes of one moment count once, and an endpoint that leaves by plan crashes
//! nobody.

mod crash_book;
mod evidence_log;
mod print_guard;
mod print_key;
mod quarantine_desk;
mod quarantine_list;

pub use crash_book::CrashBook;
pub use evidence_log::EvidenceLog;
pub use print_guard::{PrintGuard, PrintStanding};
pub use print_key::{PrintKey, PrintParts};
pub use quarantine_desk::QuarantineTracker;
pub use quarantine_list::{QuarantineList, QuarantineRecord, ShownRecord};

/// Crashes in a row after which a request is quarantined.
pub const FATAL_CRASHES: usize = 4;

/// Crashes in a row from which a whole run of a request is worth telling, and a crash is not answered by
/// sending it to another endpoint.
pub const SUSPECT_CRASHES: usize = 2;
