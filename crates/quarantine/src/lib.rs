//! Quarantine for requests and prompt parts that crash the endpoints that run them.
//!
//! A fatal request returns under a new id at any entry, and each copy takes an endpoint away from
//! all other callers. Requests are therefore identified by their fingerprint, a keyed hash of their
//! content. Entries report which fingerprints were running when an endpoint crashed. The leader
//! counts the crashes of each fingerprint in its [`CrashBook`], and quarantines the fingerprints
//! that were involved in several crashes without a complete run in between. The quarantine is part
//! of the replicated state, and entries refuse the requests in it.
//!
//! Every request that shares an endpoint with a fatal one is involved in its crash as well. Three
//! rules tell them apart: a complete run elsewhere clears a request, simultaneous crashes count
//! once, and a planned shutdown of an endpoint counts as no crash.
//!
//! Different requests may share a fatal part of their prompts. The [`PartBook`] counts crashes by
//! part in the same way, and requests with a quarantined part are refused whatever else they hold.

mod closed_runs;
mod completed_parts;
mod crash_book;
mod evidence_log;
mod fingerprint_key;
mod part_book;
mod quarantine_guard;
mod quarantine_list;
mod quarantine_tracker;
mod reported_crash;

pub use closed_runs::{CHECK_DELAY, ClosedRuns};
pub use completed_parts::CompletedParts;
pub use crash_book::CrashBook;
pub use evidence_log::EvidenceLog;
pub use fingerprint_key::{FingerprintKey, FingerprintParts};
pub use part_book::PartBook;
pub use quarantine_guard::{LiftedView, QuarantineGuard, QuarantineStatus};
pub use quarantine_list::{
    PartRecord, QuarantineKind, QuarantineList, QuarantineRecord, ShownRecord,
};
pub use quarantine_tracker::QuarantineTracker;

/// Consecutive crashes after which a request is quarantined.
pub const FATAL_CRASHES: usize = 4;

/// The same if no other request ran on any of the crashed endpoints, and each of them crashed after about the
/// same running time.
pub const LONE_FATAL_CRASHES: usize = 3;

/// Consecutive crashes from which a request is a suspect: it is not retried on another endpoint
/// after a crash, and its complete runs are reported.
pub const SUSPECT_CRASHES: usize = 2;
