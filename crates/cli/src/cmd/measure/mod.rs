//! `briartray measure`: measurements that stand in the design notes, one module each.

mod choice;
mod overhead;

use gumdrop::Options;

use super::CommandError;

#[derive(Debug, Options)]
pub(super) struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    #[options(help = "ways to choose a replica, on a model of replicas")]
    Choice(choice::ChoiceOptions),
    #[options(help = "what entry and agent add over the engine called directly")]
    Overhead(overhead::OverheadOptions),
}

pub(super) fn run(options: &MeasureOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(MeasureCommand::Choice(options)) => choice::run(options),
        Some(MeasureCommand::Overhead(options)) => overhead::run(options),
        None => Err(CommandError::unusable("name a measurement; see briartray measure --help")),
    }
}
