//! Rate limits of endpoints that all entries together must respect: endpoints advertise a limit, or
//! are cold.
//!
//! If each entry kept to the limit on its own, the total would be the limit times the number of
//! entries. Instead the leader leases shares of it: entries report the advertised limits and their
//! own demand ([`EntryLimits`]), and the leader's [`LimitAllocator`] hands out shares that never add up
//! to more than the limit. Only a few entries hold a share of a small limit at a time, since each
//! may accumulate a token or two. An entry without a share sends nothing to the endpoint. The rates
//! of cold endpoints are shared in the same way; the fleet view names the cold endpoints, so that
//! no entry sends to one before it knows that it is cold.

mod entry_limits;
mod limit_allocator;
mod terms;

use std::time::Duration;

pub use entry_limits::{EntryLimits, SendPermit};
pub use limit_allocator::LimitAllocator;
pub use terms::{AdvertisedLimit, EndpointGrant, EndpointRate, LimitHeader, LimitReport};

/// Lifetime of a share, counted from the entry's report. It is longer than an election, so that no
/// entry has to stop when the leader changes.
const SHARE_LEASE: Duration = Duration::from_millis(2_000);

/// Extra time that the leader waits before it reuses a share, for clocks that run at different
/// speeds.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Time for which an entry repeats an advertised limit in its reports.
const LIMIT_REPORTED_FOR: Duration = Duration::from_millis(2_000);

/// Capacity of an entry's token bucket for an endpoint, in requests.
const BUCKET_CAPACITY_REQUESTS: f64 = 2.0;

/// Bucket capacity for a cold endpoint, whose rate is measured over one second only.
const COLD_BUCKET_CAPACITY_REQUESTS: f64 = 1.0;

/// Number of tokens from which the next request goes to the endpoint, since further tokens would be
/// lost.
const SURPLUS_FROM_REQUESTS: f64 = 1.5;
