//! Leases inside a group.
//!
//! The first host holds a lease from every member and admits requests only while it holds them
//! all. The holder times a lease from the moment it sent the request, the member from the moment
//! it answered, so the holder's view always ends first and no wall clocks are compared.

mod gate;
mod promise;

pub use gate::GroupGate;
pub use promise::{LeaseDecision, LeaseGranter};

use std::time::Duration;

/// How long a member promises to stay in its group.
pub const LEASE_DURATION: Duration = Duration::from_millis(2000);

/// Part of a lease that the holder does not use, against clocks that run at different speeds.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Time between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
