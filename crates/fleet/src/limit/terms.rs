//! Rates, advertised limits, and the messages about them between entries and the leader.

use briartray_model::names::IncarnationId;
use briartray_model::{plain_choice, plain_value};

/// Factor from requests per second to thousandths of a request per second.
const MILLIS_PER_UNIT: f64 = 1e3;

/// Smallest rate that is shared out. Only its answers show whether an endpoint still advertises a
/// limit, so an endpoint with a limit near zero gets one request every four seconds.
const MIN_SHARED_RATE: EndpointRate = EndpointRate(250);

/// Largest rate that is represented; more than any endpoint accepts.
const MAX_RATE: EndpointRate = EndpointRate(1_000_000_000);

plain_choice! {
    /// A rate, in thousandths of a request per second.
    #[derive(Default)]
    pub struct EndpointRate(pub u64);
}

plain_choice! {
    /// Limit that an endpoint advertises.
    pub enum AdvertisedLimit {
        /// The endpoint accepts this rate.
        Rate(EndpointRate),
        /// The endpoint advertises no limit.
        Open,
    }
}

/// Content of the limit header of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitHeader {
    /// A valid value.
    Advertised(AdvertisedLimit),
    /// An invalid value; the limit known before still holds.
    Unreadable,
}

plain_value! {
    /// Report of an entry about an endpoint that advertises a limit, or did so recently.
    pub struct LimitReport {
        /// The endpoint.
        pub endpoint: IncarnationId,
        /// Limit that the endpoint advertised in an answer to this entry, with its age in
        /// milliseconds.
        pub heard: Option<(AdvertisedLimit, u64)>,
        /// Limit that this entry knows. A new leader knows no limits and would treat the endpoint
        /// as unlimited.
        pub known: Option<EndpointRate>,
        /// Rate at which this entry would send to the endpoint.
        pub demand: EndpointRate,
        /// Share that this entry holds.
        pub held: EndpointRate,
    }

    /// Grant of the leader to an entry, for an endpoint with a limit.
    pub struct EndpointGrant {
        /// The endpoint.
        pub endpoint: IncarnationId,
        /// Limit that the endpoint advertises; `None` for a cold endpoint that advertises none.
        pub limit: Option<EndpointRate>,
        /// Part of the limit that this entry may use.
        pub share: EndpointRate,
    }
}

impl EndpointRate {
    /// Converts from requests per second; limited to the largest rate.
    pub fn per_second(per_second: f64) -> Self {
        // The cast saturates and turns NaN into zero.
        Self((per_second * MILLIS_PER_UNIT) as u64).min(MAX_RATE)
    }

    /// Converts to requests per second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / MILLIS_PER_UNIT
    }

    /// Rate that is shared out under this limit.
    pub(super) fn shared(self) -> Self {
        self.max(MIN_SHARED_RATE)
    }
}

/// Returns the lower of two optional limits.
pub(super) fn lower_rate(a: Option<EndpointRate>, b: Option<EndpointRate>) -> Option<EndpointRate> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl LimitHeader {
    /// Parses the header value, a decimal number of requests per second.
    pub fn read(text: &str) -> Self {
        let text = text.trim();
        let decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse::<f64>() {
            Ok(rate) if decimal && rate.is_finite() => {
                Self::Advertised(AdvertisedLimit::Rate(EndpointRate::per_second(rate)))
            }
            _ => Self::Unreadable,
        }
    }
}
