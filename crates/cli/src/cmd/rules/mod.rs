//! `briartray rules`: checks, explains, applies and shows rule documents.

mod apply;
mod check;
mod explain;
mod show;

use gumdrop::Options;

use super::CommandError;

#[derive(Debug, Options)]
pub(super) struct RulesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<RulesCommand>,
}

#[derive(Debug, Options)]
enum RulesCommand {
    #[options(help = "check a document for mistakes")]
    Check(check::CheckOptions),
    #[options(help = "show which rule decides a given case and why earlier rules do not")]
    Explain(explain::ExplainOptions),
    #[options(help = "replace the rules in force")]
    Apply(apply::ApplyOptions),
    #[options(help = "show the rules in force")]
    Show(show::ShowOptions),
}

pub(super) fn run(options: &RulesOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(RulesCommand::Check(options)) => check::run(options),
        Some(RulesCommand::Explain(options)) => explain::run(options),
        Some(RulesCommand::Apply(options)) => apply::run(options),
        Some(RulesCommand::Show(options)) => show::run(options),
        None => Err(CommandError::unusable("missing subcommand: check, explain, apply or show")),
    }
}

/// Reads a rule document.
fn read_document(file: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::unusable(format!("{file}: {error}; check the path")))
}
