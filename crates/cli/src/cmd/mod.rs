//! The subcommands, one module each.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 wrong usage or unusable input, 3 change committed
//! but not yet in force everywhere.

#[macro_use]
mod operator;

mod check;
mod demo;
mod entries;
mod evacuation;
mod groups;
mod help;
mod load;
mod measure;
mod quarantine;
mod replay;
mod rules;
mod stand_in;
mod status;
mod stop;

use std::process::ExitCode;

use gumdrop::Options;
use snafu::Snafu;

/// Parsed command line.
#[derive(Debug, Options)]
pub struct CommandLine {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Subcommand>,
}

#[derive(Debug, Options)]
enum Subcommand {
    #[options(help = "run a complete fleet on loopback in this process")]
    Demo(demo::DemoOptions),
    #[options(help = "check settings files, rule documents and data folders")]
    Check(check::CheckOptions),
    #[options(help = "check, explain, apply or show rules")]
    Rules(rules::RulesOptions),
    #[options(help = "show the status of a control host")]
    Status(status::StatusOptions),
    #[options(help = "list groups, or show their downtime and stranded accelerators")]
    Groups(groups::GroupsOptions),
    #[options(help = "list entries and their rules, or forget one that no longer runs")]
    Entries(entries::EntriesOptions),
    #[options(help = "list quarantined requests, which crash endpoints, or release one")]
    Quarantine(quarantine::QuarantineOptions),
    #[options(help = "stop or resume sending requests to an availability zone")]
    Evacuation(evacuation::EvacuationOptions),
    #[options(help = "replay a trace of host events through the planner")]
    Replay(replay::ReplayOptions),
    #[options(help = "run a stand-in engine, service or weight store")]
    StandIn(stand_in::StandInOptions),
    #[options(help = "plan, list or cancel planned stops")]
    Stop(stop::StopOptions),
    #[options(help = "put load on an entry and check every answer")]
    Load(load::LoadOptions),
    #[options(help = "run a measurement")]
    Measure(measure::MeasureOptions),
}

/// Exit code for wrong usage or unusable input.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for a change that is committed but not yet in force everywhere.
const EXIT_PENDING: u8 = 3;

/// Error of a subcommand; each variant has its own exit code.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    /// The operation was refused or failed.
    #[snafu(display("{message}"))]
    Refused { message: String },
    /// The command line or an input file is unusable.
    #[snafu(display("{message}"))]
    Unusable { message: String },
    /// The change is committed but not yet in force everywhere.
    #[snafu(display("{message}"))]
    Pending { message: String },
}

impl CommandError {
    pub(crate) fn refused(message: impl ToString) -> Self {
        Self::Refused { message: message.to_string() }
    }

    pub(crate) fn pending(message: impl ToString) -> Self {
        Self::Pending { message: message.to_string() }
    }

    pub(crate) fn unusable(message: impl ToString) -> Self {
        Self::Unusable { message: message.to_string() }
    }
}

/// Output format of a subcommand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON for scripts.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("unknown format; use text or json"),
        }
    }
}

/// Runs the subcommand of `line`, or prints help if it was requested.
pub fn run(line: &CommandLine) -> ExitCode {
    if line.help_requested() {
        help::print_help(line);
        return ExitCode::SUCCESS;
    }
    let Some(command) = &line.command else {
        eprintln!("briartray: missing subcommand; see briartray --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let result = match command {
        Subcommand::Demo(options) => demo::run(options),
        Subcommand::Check(options) => check::run(options),
        Subcommand::Rules(options) => rules::run(options),
        Subcommand::Status(options) => status::run(options),
        Subcommand::Groups(options) => groups::run(options),
        Subcommand::Entries(options) => entries::run(options),
        Subcommand::Quarantine(options) => quarantine::run(options),
        Subcommand::Evacuation(options) => evacuation::run(options),
        Subcommand::Replay(options) => replay::run(options),
        Subcommand::StandIn(options) => stand_in::run(options),
        Subcommand::Stop(options) => stop::run(options),
        Subcommand::Load(options) => load::run(options),
        Subcommand::Measure(options) => measure::run(options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("briartray: {error}");
            ExitCode::from(match error {
                CommandError::Refused { .. } => 1,
                CommandError::Unusable { .. } => EXIT_USAGE,
                CommandError::Pending { .. } => EXIT_PENDING,
            })
        }
    }
}
