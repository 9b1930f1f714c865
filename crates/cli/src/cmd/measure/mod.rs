//! `briartray measure`: the measurements quoted in the design notes, one module each.

mod affinity;
mod agreement;
mod capacity;
mod choice;
mod claims;
mod idle;
mod leader;
mod leases;
mod outcomes;
mod overhead;
mod overload;
mod planner;
mod streams;

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
    #[options(help = "first tokens with and without prefix affinity")]
    Affinity(affinity::AffinityOptions),
    #[options(help = "commits, catching up and idling of the replicated log")]
    Agreement(agreement::AgreementOptions),
    #[options(help = "ways to choose a replica, on a model of replicas")]
    Choice(choice::ChoiceOptions),
    #[options(help = "what entry and agent add over the engine called directly")]
    Overhead(overhead::OverheadOptions),
    #[options(help = "memory and processor time of open streams")]
    Streams(streams::StreamsOptions),
    #[options(help = "useful answers as the load rises over the capacity")]
    Overload(overload::OverloadOptions),
    #[options(help = "what callers are told under faults, against what truly ran")]
    Outcomes(outcomes::OutcomesOptions),
    #[options(help = "claims a second, and what a claim adds to a call")]
    Claims(claims::ClaimsOptions),
    #[options(help = "planned groups beside first-come ones, by weighted cost")]
    Planner(planner::PlannerOptions),
    #[options(help = "what the terms of a rules lease cost when something is lost")]
    Leases(leases::LeasesOptions),
    #[options(help = "what a leader's decisions cost, by entries and endpoints")]
    Leader(leader::LeaderOptions),
    #[options(help = "what one more of something costs each role, and the capacity page")]
    Capacity(capacity::CapacityOptions),
}

pub(super) fn run(options: &MeasureOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(MeasureCommand::Affinity(options)) => affinity::run(options),
        Some(MeasureCommand::Agreement(options)) => agreement::run(options),
        Some(MeasureCommand::Choice(options)) => choice::run(options),
        Some(MeasureCommand::Overhead(options)) => overhead::run(options),
        Some(MeasureCommand::Streams(options)) => streams::run(options),
        Some(MeasureCommand::Overload(options)) => overload::run(options),
        Some(MeasureCommand::Outcomes(options)) => outcomes::run(options),
        Some(MeasureCommand::Claims(options)) => claims::run(options),
        Some(MeasureCommand::Planner(options)) => planner::run(options),
        Some(MeasureCommand::Leases(options)) => leases::run(options),
        Some(MeasureCommand::Leader(options)) => leader::run(options),
        Some(MeasureCommand::Capacity(options)) => capacity::run(options),
        None => {
            Err(CommandError::unusable("missing measurement name; see briartray measure --help"))
        }
    }
}
