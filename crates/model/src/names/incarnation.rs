//! One start of an endpoint's process.

use std::fmt;

plain_value! {
    /// One start of an endpoint's process: the endpoint's name and, where it tells, when it started.
    ///
    /// An endpoint may start again under its old name. It then knows nothing of its groups and
    /// counts anew, so what was agreed on with its earlier start must not be taken to hold for it.
    #[derive(Eq, PartialOrd, Ord, Hash, Default)]
    pub struct IncarnationId {
        endpoint: String,
        /// Unix time of the start in milliseconds.
        started: Option<u64>,
    }
}

impl IncarnationId {
    /// The only start known of the endpoint called `endpoint`.
    pub fn new(endpoint: &str) -> Self {
        Self { endpoint: endpoint.to_owned(), started: None }
    }

    /// The start of `endpoint` at `started`, in Unix milliseconds.
    pub fn started(endpoint: &str, started: Option<u64>) -> Self {
        Self { started, ..Self::new(endpoint) }
    }

    /// The endpoint's name, the same for all of its starts.
    pub fn endpoint(&self) -> &str {
        &self.endpoint
    }

    /// When it started, in Unix milliseconds, where it tells.
    pub fn started_at(&self) -> Option<u64> {
        self.started
    }

    /// Whether this is an earlier start of the endpoint that `other` is a start of.
    pub fn is_before(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.started < other.started
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.endpoint)?;
        match self.started {
            Some(started) => write!(formatter, "@{started}"),
            None => Ok(()),
        }
    }
}
