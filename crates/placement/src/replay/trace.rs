//! Traces of host events as JSON lines: a header, then one event per line in order of time.

use std::io::{BufRead, Write};

use briartray_model::names::{DomainName, HostName, ProviderName, RuleName, ServiceName, ZoneName};
use briartray_model::rules::{PlaceAction, RuleAction, RuleCondition, RuleDocument, RuleEntry};
use briartray_model::{plain_choice, plain_value};
use snafu::{ResultExt, Snafu, ensure};

/// Error when a trace is read or written.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The input or output failed.
    #[snafu(display("{source}; check the path of the trace"))]
    File {
        /// Error of the system.
        source: std::io::Error,
    },
    /// A line is not valid JSON of the expected type.
    #[snafu(display("line {line}: {source}; see the guide for the trace format"))]
    Line {
        /// Line, from one.
        line: usize,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// An event is earlier than the one before.
    #[snafu(display(
        "line {line}: event is earlier than the one before; sort the events by at_ms"
    ))]
    Order {
        /// Line, from one.
        line: usize,
    },
    /// The trace has no header.
    #[snafu(display("the trace is empty; its first line is the header"))]
    Empty,
}

plain_choice! {
    /// Whether a returning host still has its weights loaded.
    #[derive(Default)]
    pub enum WeightState {
        /// Its weights are loaded: only its agent or connection failed.
        #[default]
        Kept,
        /// Its weights are lost: its engine restarted.
        Lost,
    }
}

plain_value! {
    /// First line of a trace.
    pub struct TraceHeader {
        /// Title of the trace.
        pub trace: String,
        /// When the trace ends, in milliseconds.
        pub end_ms: u64,
        /// Time from which downtime and stranded accelerators count, in milliseconds.
        #[serde(default)]
        pub measure_from_ms: u64,
        /// Time that a host takes to load its weights at full speed, in milliseconds.
        pub load_ms: u64,
        /// Number of hosts that the weight store serves at full speed; zero for no limit.
        #[serde(default)]
        pub parallel_loads: u32,
        /// Rules in force at the start.
        pub rules: RuleDocument,
    }

    /// A line after the header.
    pub struct TraceLine {
        /// Time of the event since the start of the trace, in milliseconds.
        pub at_ms: u64,
        /// The event.
        #[serde(flatten)]
        pub event: TraceEvent,
    }

    /// Events of a fleet, and expectations that a replay checks.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum TraceEvent {
        /// A host announces itself.
        Arrive {
            /// The host.
            host: HostName,
            /// Its availability zone.
            zone: ZoneName,
            /// Its fabric domain.
            domain: DomainName,
            /// Its provider.
            provider: ProviderName,
            /// Service it is meant for.
            service: ServiceName,
            /// Number of its accelerators.
            accelerators: u32,
        },
        /// A host disappears.
        Lost {
            /// The host.
            host: HostName,
        },
        /// A host that disappeared returns.
        Back {
            /// The host.
            host: HostName,
            /// Whether its weights are still loaded.
            #[serde(default)]
            weights: WeightState,
        },
        /// A host announces that it is going to leave.
        Leaving {
            /// The host.
            host: HostName,
        },
        /// Outage of a fabric domain: all of its hosts disappear.
        DomainDark {
            /// The fabric domain.
            domain: DomainName,
        },
        /// End of an outage: the absent hosts of the fabric domain return.
        DomainBack {
            /// The fabric domain.
            domain: DomainName,
            /// Whether their weights are still loaded.
            #[serde(default)]
            weights: WeightState,
            /// Time over which their returns are evenly spread, in milliseconds.
            #[serde(default)]
            spread_ms: u64,
        },
        /// The capacity of the weight store changes.
        WeightStore {
            /// Number of hosts that it serves at full speed; zero for no limit.
            parallel_loads: u32,
        },
        /// The rules change.
        Rules {
            /// The complete new document.
            rules: RuleDocument,
        },
        /// Expects a number of serving groups of a service at this time.
        ExpectGroups {
            /// The service.
            service: ServiceName,
            /// Minimum number of groups.
            #[serde(default)]
            at_least: usize,
            /// Maximum number of groups; no maximum if absent.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            at_most: Option<usize>,
        },
        /// Expects a limit of the downtime of all groups so far.
        ExpectDowntime {
            /// Maximum in group-seconds.
            at_most_s: f64,
        },
        /// Expects a limit of the stranded accelerators so far.
        ExpectStranded {
            /// Maximum in accelerator-seconds.
            at_most_s: f64,
        },
        /// Expects a limit of how often groups were formed or replaced so far.
        ExpectChanges {
            /// Maximum number of changes.
            at_most: u64,
        },
    }

    /// A complete trace.
    pub struct HostTrace {
        /// Its first line.
        pub header: TraceHeader,
        /// Its events in order of time.
        pub lines: Vec<TraceLine>,
    }
}

impl HostTrace {
    /// Reads a trace from JSON lines; empty lines are skipped.
    ///
    /// # Errors
    /// Returns a `TraceError` if the input cannot be read, has no header, or has a line that is
    /// malformed or out of order.
    pub fn read(input: impl BufRead) -> Result<Self, TraceError> {
        let mut header = None;
        let mut lines: Vec<TraceLine> = Vec::new();
        for (index, text) in input.lines().enumerate() {
            let line = index + 1;
            let text = text.context(FileSnafu)?;
            if text.trim().is_empty() {
                continue;
            }
            if header.is_none() {
                header = Some(serde_json::from_str(&text).context(LineSnafu { line })?);
                continue;
            }
            let next: TraceLine = serde_json::from_str(&text).context(LineSnafu { line })?;
            let in_order = lines.last().is_none_or(|last| last.at_ms <= next.at_ms);
            ensure!(in_order, OrderSnafu { line });
            lines.push(next);
        }
        let header = header.ok_or(TraceError::Empty)?;
        Ok(Self { header, lines })
    }

    /// Writes the trace as JSON lines.
    ///
    /// # Errors
    /// Returns `TraceError::File` if the output cannot be written, and `TraceError::Line` if a line
    /// cannot be serialized.
    pub fn write(&self, mut output: impl Write) -> Result<(), TraceError> {
        let header = serde_json::to_string(&self.header).context(LineSnafu { line: 1_usize })?;
        writeln!(output, "{header}").context(FileSnafu)?;
        for (index, line) in self.lines.iter().enumerate() {
            let text = serde_json::to_string(line).context(LineSnafu { line: index + 2 })?;
            writeln!(output, "{text}").context(FileSnafu)?;
        }
        output.flush().context(FileSnafu)
    }

    /// Sets the cost weights of all place rules, in the header and in later rule documents.
    ///
    /// A document without place rules gets one that applies to all hosts. `None` keeps a weight.
    pub fn set_cost_weights(&mut self, downtime: Option<f64>, stranded: Option<f64>) {
        let events = self.lines.iter_mut().filter_map(|line| match &mut line.event {
            TraceEvent::Rules { rules } => Some(rules),
            _ => None,
        });
        for document in std::iter::once(&mut self.header.rules).chain(events) {
            if document.rules.iter().all(|entry| entry.then.place.is_none()) {
                document.rules.push(default_place_rule());
            }
            for place in document.rules.iter_mut().filter_map(|entry| entry.then.place.as_mut()) {
                place.downtime_weight = downtime.unwrap_or(place.downtime_weight);
                place.stranded_weight = stranded.unwrap_or(place.stranded_weight);
            }
        }
    }
}

fn default_place_rule() -> RuleEntry {
    let place = Some(PlaceAction::default());
    let then = RuleAction { place, ..RuleAction::default() };
    RuleEntry { rule: RuleName::new("place"), when: RuleCondition::default(), then }
}
