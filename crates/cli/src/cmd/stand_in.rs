//! `briartray stand-in`: an engine to try things on.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_standin::engine::{EngineSettings, StandinEngine};
use gumdrop::Options;

use super::CommandError;

#[derive(Debug, Options)]
pub(super) struct StandInOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<StandInCommand>,
}

#[derive(Debug, Options)]
enum StandInCommand {
    #[options(help = "a model engine")]
    Engine(EngineOptions),
}

#[derive(Debug, Options)]
struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where it listens", meta = "ADDRESS", default = "127.0.0.1:9000")]
    listen: SocketAddr,
    #[options(no_short, help = "time of one step in milliseconds", meta = "MS", default = "8")]
    step_ms: u64,
}

pub(super) fn run(options: &StandInOptions) -> Result<(), CommandError> {
    let Some(StandInCommand::Engine(options)) = &options.command else {
        return Err(CommandError::unusable("name a stand-in: engine"));
    };
    let step = Duration::from_millis(options.step_ms);
    let engine = StandinEngine::start(EngineSettings { listen: options.listen, step })
        .map_err(CommandError::unusable)?;
    println!("stand-in engine listens on {}", engine.address());
    super::demo::wait_for_signal(None)
}
