//! Traces of host events as JSON lines: a header, then one event a line in order of time.

use std::io::{BufRead, Write};

use briartray_model::names::{DomainName, HostName, ProviderName, RuleName, ServiceName, ZoneName};
use briartray_model::rules::{PlaceAction, RuleAction, RuleCondition, RuleDocument, RuleEntry};
use briartray_model::{plain_choice, plain_value};
use snafu::{ResultExt, Snafu, ensure};

/// Why a trace cannot be used.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The file cannot be read or written.
    #[snafu(display("{source}; check the path of the trace"))]
    File {
        /// What the system said.
        source: std::io::Error,
    },
    /// A line does not fit.
    #[snafu(display("line {line}: {source}; see the guide for the form of traces"))]
    Line {
        /// Line, from one.
        line: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Events are not in order of time.
    #[snafu(display("line {line}: earlier than the line before; sort the events by at_ms"))]
    Order {
        /// Line, from one.
        line: usize,
    },
    /// There is no header.
    #[snafu(display("the trace is empty; its first line is the header"))]
    Empty,
}

plain_choice! {
    /// Whether a host that comes back still has its weights loaded.
    #[derive(Default)]
    pub enum WeightState {
        /// Only the connection or the agent was gone.
        #[default]
        Kept,
        /// The engine restarted.
        Lost,
    }
}

plain_value! {
    /// First line of a trace.
    pub struct TraceHeader {
        /// What the trace is about.
        pub trace: String,
        /// When the trace ends, in milliseconds.
        pub end_ms: u64,
        /// Downtime and stranded accelerators count from here on, in milliseconds.
        #[serde(default)]
        pub measure_from_ms: u64,
        /// How long one host takes to load its weights when it loads alone, in milliseconds.
        pub load_ms: u64,
        /// Hosts that the weight store serves at full speed at one time; zero for no limit.
        #[serde(default)]
        pub parallel_loads: u32,
        /// Rules in force at the start.
        pub rules: RuleDocument,
    }

    /// One line after the header.
    pub struct TraceLine {
        /// When it happens, in milliseconds.
        pub at_ms: u64,
        /// What happens.
        #[serde(flatten)]
        pub event: TraceEvent,
    }

    /// What may happen, and what is stated to hold.
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
            /// Accelerators on it.
            accelerators: u32,
        },
        /// A host vanishes.
        Lost {
            /// The host.
            host: HostName,
        },
        /// A host that vanished is there again.
        Back {
            /// The host.
            host: HostName,
            /// Whether it kept its weights.
            #[serde(default)]
            weights: WeightState,
        },
        /// A host announces that it is on its way out.
        Leaving {
            /// The host.
            host: HostName,
        },
        /// All hosts of a fabric domain vanish.
        DomainDark {
            /// The fabric domain.
            domain: DomainName,
        },
        /// The hosts that vanished with a fabric domain come back.
        DomainBack {
            /// The fabric domain.
            domain: DomainName,
            /// Whether they kept their weights.
            #[serde(default)]
            weights: WeightState,
            /// Time over which they come back, evenly, in milliseconds.
            #[serde(default)]
            spread_ms: u64,
        },
        /// The weight store serves another number of hosts at full speed.
        WeightStore {
            /// Hosts at one time; zero for no limit.
            parallel_loads: u32,
        },
        /// The rules change.
        Rules {
            /// The whole new document.
            rules: RuleDocument,
        },
        /// States how many groups of a service serve now.
        ExpectGroups {
            /// The service.
            service: ServiceName,
            /// At least so many.
            #[serde(default)]
            at_least: usize,
            /// At most so many.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            at_most: Option<usize>,
        },
        /// States the downtime of all groups so far.
        ExpectDowntime {
            /// At most so many group-seconds.
            at_most_s: f64,
        },
        /// States the stranded accelerators so far.
        ExpectStranded {
            /// At most so many accelerator-seconds.
            at_most_s: f64,
        },
        /// States how often groups were formed or replaced so far.
        ExpectChanges {
            /// At most so often.
            at_most: u64,
        },
    }

    /// A whole trace.
    pub struct HostTrace {
        /// Its first line.
        pub header: TraceHeader,
        /// Its events in order of time.
        pub lines: Vec<TraceLine>,
    }
}

impl HostTrace {
    /// Reads a trace.
    ///
    /// # Errors
    /// A `TraceError` that names the line.
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

    /// Writes the trace.
    ///
    /// # Errors
    /// `TraceError::File` when the output cannot be written.
    pub fn write(&self, mut output: impl Write) -> Result<(), TraceError> {
        let header = serde_json::to_string(&self.header).context(LineSnafu { line: 1_usize })?;
        writeln!(output, "{header}").context(FileSnafu)?;
        for (index, line) in self.lines.iter().enumerate() {
            let text = serde_json::to_string(line).context(LineSnafu { line: index + 2 })?;
            writeln!(output, "{text}").context(FileSnafu)?;
        }
        output.flush().context(FileSnafu)
    }

    /// Replaces the weights in every place rule; a document without one gets a rule for all.
    pub fn set_cost_weights(&mut self, downtime: Option<f64>, stranded: Option<f64>) {
        let events = self.lines.iter_mut().filter_map(|line| match &mut line.event {
            TraceEvent::Rules { rules } => Some(rules),
            _ => None,
        });
        for document in std::iter::once(&mut self.header.rules).chain(events) {
            if document.rules.iter().all(|entry| entry.then.place.is_none()) {
                document.rules.push(place_for_all());
            }
            for place in document.rules.iter_mut().filter_map(|entry| entry.then.place.as_mut()) {
                place.downtime_weight = downtime.unwrap_or(place.downtime_weight);
                place.stranded_weight = stranded.unwrap_or(place.stranded_weight);
            }
        }
    }
}

fn place_for_all() -> RuleEntry {
    let place = Some(PlaceAction::default());
    let then = RuleAction { place, ..RuleAction::default() };
    RuleEntry { rule: RuleName::new("place"), when: RuleCondition::default(), then }
}
