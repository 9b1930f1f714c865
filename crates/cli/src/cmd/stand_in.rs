//! `briartray stand-in`: runs a stand-in engine, plain service or weight store for tests.

use std::net::SocketAddr;
use std::time::Duration;

use briartray_standin::engine::{EngineSettings, StandinEngine};
use briartray_standin::fault::{FaultPlan, FaultRule};
use briartray_standin::service::{ServiceSettings, StandinService};
use briartray_standin::weights::{StandinWeights, WeightSettings};
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
    #[options(help = "run a model engine")]
    Engine(EngineOptions),
    #[options(help = "run a plain service that records the calls it runs")]
    Service(ServiceOptions),
    #[options(help = "run a weight store with a limited transfer rate")]
    Weights(WeightsOptions),
}

#[derive(Debug, Options)]
struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "listening address", meta = "ADDRESS", default = "127.0.0.1:9000")]
    listen: SocketAddr,
    #[options(no_short, help = "duration of one step in milliseconds", meta = "MS", default = "8")]
    step_ms: u64,
    #[options(
        no_short,
        help = "maximum number of requests in one step",
        meta = "N",
        default = "256"
    )]
    batch: usize,
    #[options(
        no_short,
        help = "microseconds per prompt token that is not cached",
        meta = "US",
        default = "20"
    )]
    prefill_us: u64,
    #[options(
        no_short,
        help = "capacity of the prefix cache in blocks",
        meta = "N",
        default = "4096"
    )]
    cache_blocks: usize,
    #[options(
        no_short,
        help = "delay of cache events in milliseconds",
        meta = "MS",
        default = "200"
    )]
    event_delay_ms: u64,
    #[options(
        no_short,
        help = "share of cache events that are lost, 0 to 1",
        meta = "SHARE",
        default = "0.02"
    )]
    event_loss: f64,
    #[options(
        no_short,
        help = "age of load reports in milliseconds",
        meta = "MS",
        default = "200"
    )]
    load_lag_ms: u64,
    #[options(no_short, help = "reject orders with an outdated fencing number")]
    checks_fencing: bool,
    #[options(
        no_short,
        help = "duration of a load order in milliseconds",
        meta = "MS",
        default = "500"
    )]
    load_ms: u64,
    #[options(no_short, help = "weight store that weights are loaded from", meta = "ADDRESS")]
    weights: Option<SocketAddr>,
    #[options(no_short, help = "fault as KIND:SHARE[:MS]; repeatable", meta = "FAULT")]
    fault: Vec<FaultRule>,
    #[options(
        no_short,
        help = "prompt, or message of a chat, that makes the process exit",
        meta = "TEXT"
    )]
    fatal_prompt: Option<String>,
    #[options(no_short, help = "random seed", meta = "N", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "listening address", meta = "ADDRESS", default = "127.0.0.1:9001")]
    listen: SocketAddr,
    #[options(no_short, help = "duration of one call in milliseconds", meta = "MS", default = "2")]
    work_ms: u64,
    #[options(no_short, help = "fault as KIND:SHARE[:MS]; repeatable", meta = "FAULT")]
    fault: Vec<FaultRule>,
    #[options(no_short, help = "random seed of the faults", meta = "N", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct WeightsOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "listening address", meta = "ADDRESS", default = "127.0.0.1:9002")]
    listen: SocketAddr,
    #[options(no_short, help = "maximum number of concurrent loads", meta = "N", default = "4")]
    loads: usize,
    #[options(
        no_short,
        help = "transfer rate in bytes per second",
        meta = "N",
        default = "8388608"
    )]
    rate: u64,
    #[options(no_short, help = "size of a weight file in bytes", meta = "N", default = "1048576")]
    bytes: usize,
}

pub(super) fn run(options: &StandInOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(StandInCommand::Engine(options)) => run_engine(options),
        Some(StandInCommand::Service(options)) => run_service(options),
        Some(StandInCommand::Weights(options)) => run_weights(options),
        None => Err(CommandError::unusable("missing subcommand: engine, service or weights")),
    }
}

fn run_engine(options: &EngineOptions) -> Result<(), CommandError> {
    if !(0.0..=1.0).contains(&options.event_loss) {
        return Err(CommandError::unusable("--event-loss must be between 0 and 1"));
    }
    let delay = Duration::from_millis(options.event_delay_ms);
    let settings = EngineSettings::new(options.listen)
        .step(Duration::from_millis(options.step_ms))
        .batch(options.batch)
        .prefill_per_token(Duration::from_micros(options.prefill_us))
        .cache_blocks(options.cache_blocks)
        .cache_events(delay, options.event_loss)
        .load_lag(Duration::from_millis(options.load_lag_ms))
        .checks_fencing(options.checks_fencing)
        .fatal_prompt(options.fatal_prompt.clone())
        .loading(Duration::from_millis(options.load_ms), options.weights)
        .faults(FaultPlan { seed: options.seed, faults: options.fault.clone() })
        .seed(options.seed);
    let engine = StandinEngine::start(settings).map_err(CommandError::unusable)?;
    println!("stand-in engine listens on {}", engine.address());
    super::demo::wait_for_signal()
}

fn run_service(options: &ServiceOptions) -> Result<(), CommandError> {
    let settings = ServiceSettings::new(options.listen)
        .work(Duration::from_millis(options.work_ms))
        .faults(FaultPlan { seed: options.seed, faults: options.fault.clone() });
    let service = StandinService::start(settings).map_err(CommandError::unusable)?;
    println!("stand-in service listens on {}", service.address());
    super::demo::wait_for_signal()
}

fn run_weights(options: &WeightsOptions) -> Result<(), CommandError> {
    let settings = WeightSettings::new(options.listen)
        .loads(options.loads)
        .bytes_per_second(options.rate)
        .file_bytes(options.bytes);
    let store = StandinWeights::start(settings).map_err(CommandError::unusable)?;
    println!("stand-in weight store listens on {}", store.address());
    super::demo::wait_for_signal()
}
