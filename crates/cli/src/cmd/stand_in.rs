//! `briartray stand-in`: an engine, a plain service or a weight store to try things on.

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
    #[options(help = "a model engine")]
    Engine(EngineOptions),
    #[options(help = "a plain service that counts its runs")]
    Service(ServiceOptions),
    #[options(help = "a weight store with a bounded rate")]
    Weights(WeightsOptions),
}

#[derive(Debug, Options)]
struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where it listens", meta = "ADDRESS", default = "127.0.0.1:9000")]
    listen: SocketAddr,
    #[options(no_short, help = "time of one step in milliseconds", meta = "MS", default = "8")]
    step_ms: u64,
    #[options(no_short, help = "requests that one step can hold", meta = "N", default = "256")]
    batch: usize,
    #[options(
        no_short,
        help = "microseconds that a prompt token adds when not cached",
        meta = "US",
        default = "20"
    )]
    prefill_us: u64,
    #[options(no_short, help = "blocks in the prefix cache", meta = "N", default = "4096")]
    cache_blocks: usize,
    #[options(no_short, help = "delay of cache events", meta = "MS", default = "200")]
    event_delay_ms: u64,
    #[options(no_short, help = "share of cache events lost", meta = "SHARE", default = "0.02")]
    event_loss: f64,
    #[options(no_short, help = "age of load reports", meta = "MS", default = "200")]
    load_lag_ms: u64,
    #[options(no_short, help = "refuse orders with an old fencing number")]
    checks_fencing: bool,
    #[options(no_short, help = "time of an order to load", meta = "MS", default = "500")]
    load_ms: u64,
    #[options(no_short, help = "weight store that loads read from", meta = "ADDRESS")]
    weights: Option<SocketAddr>,
    #[options(no_short, help = "KIND:SHARE[:MS]; may be given again", meta = "FAULT")]
    fault: Vec<FaultRule>,
    #[options(no_short, help = "prompt that ends the process which runs it", meta = "TEXT")]
    fatal_prompt: Option<String>,
    #[options(no_short, help = "seed of what is drawn by chance", meta = "N", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where it listens", meta = "ADDRESS", default = "127.0.0.1:9001")]
    listen: SocketAddr,
    #[options(no_short, help = "time of one call in milliseconds", meta = "MS", default = "2")]
    work_ms: u64,
    #[options(no_short, help = "KIND:SHARE[:MS]; may be given again", meta = "FAULT")]
    fault: Vec<FaultRule>,
    #[options(no_short, help = "seed of the faults", meta = "N", default = "1")]
    seed: u64,
}

#[derive(Debug, Options)]
struct WeightsOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "where it listens", meta = "ADDRESS", default = "127.0.0.1:9002")]
    listen: SocketAddr,
    #[options(no_short, help = "loads served at one time", meta = "N", default = "4")]
    loads: usize,
    #[options(no_short, help = "bytes a second", meta = "N", default = "8388608")]
    rate: u64,
    #[options(no_short, help = "bytes of a weight file", meta = "N", default = "1048576")]
    bytes: usize,
}

pub(super) fn run(options: &StandInOptions) -> Result<(), CommandError> {
    match &options.command {
        Some(StandInCommand::Engine(options)) => run_engine(options),
        Some(StandInCommand::Service(options)) => run_service(options),
        Some(StandInCommand::Weights(options)) => run_weights(options),
        None => Err(CommandError::unusable("name a stand-in: engine, service or weights")),
    }
}

fn run_engine(options: &EngineOptions) -> Result<(), CommandError> {
    if !(0.0..=1.0).contains(&options.event_loss) {
        return Err(CommandError::unusable("--event-loss lies between 0 and 1"));
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
    super::demo::wait_for_signal(None)
}

fn run_service(options: &ServiceOptions) -> Result<(), CommandError> {
    let settings = ServiceSettings::new(options.listen)
        .work(Duration::from_millis(options.work_ms))
        .faults(FaultPlan { seed: options.seed, faults: options.fault.clone() });
    let service = StandinService::start(settings).map_err(CommandError::unusable)?;
    println!("stand-in service listens on {}", service.address());
    super::demo::wait_for_signal(None)
}

fn run_weights(options: &WeightsOptions) -> Result<(), CommandError> {
    let settings = WeightSettings::new(options.listen)
        .loads(options.loads)
        .bytes_per_second(options.rate)
        .file_bytes(options.bytes);
    let store = StandinWeights::start(settings).map_err(CommandError::unusable)?;
    println!("stand-in weight store listens on {}", store.address());
    super::demo::wait_for_signal(None)
}
