//! Identity of one start of an endpoint's process.

use std::fmt;

plain_value! {
    /// One start of an endpoint's process: the endpoint's name and, if it reports one, the time at
    /// which it started.
    ///
    /// An endpoint may restart under the same name. It has then lost its group state and its
    /// counters start over, so state agreed on with an earlier start must not be applied to it.
    #[derive(Eq, PartialOrd, Ord, Hash, Default)]
    pub struct IncarnationId {
        endpoint: String,
        /// Unix time of the start in milliseconds.
        started: Option<u64>,
    }
}

impl IncarnationId {
    /// The start of an endpoint that does not report a start time.
    pub fn new(endpoint: &str) -> Self {
        Self { endpoint: endpoint.to_owned(), started: None }
    }

    /// The start of `endpoint` at `started`, in Unix milliseconds; `None` when not reported.
    pub fn started(endpoint: &str, started: Option<u64>) -> Self {
        Self { started, ..Self::new(endpoint) }
    }

    /// The endpoint's name, the same for all of its starts.
    pub fn endpoint(&self) -> &str {
        &self.endpoint
    }

    /// Time of the start in Unix milliseconds, if the endpoint reports it.
    pub fn started_at(&self) -> Option<u64> {
        self.started
    }

    /// Whether this is an earlier start of the same endpoint than `other`. A start without a time
    /// counts as earlier than any with one.
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
