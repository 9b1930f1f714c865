//! Leases that the members of a group grant to its first host.
//!
//! The first host admits requests only while it holds an unexpired lease from every member; the
//! group is then called whole. The holder measures a lease from when it sent the request, the
//! member from when it answered, so the lease expires at the holder first and no clocks of two
//! hosts are compared.

mod gate;
mod granter;

pub use gate::GroupGate;
pub use granter::{LeaseDecision, LeaseGranter};

use std::time::Duration;

/// Duration of a lease, during which a member joins no other group.
pub const LEASE_DURATION: Duration = Duration::from_millis(2000);

/// Subtracted from a lease at the holder, to allow for clocks that run at different rates.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Time between two requests for a lease from the same member.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
