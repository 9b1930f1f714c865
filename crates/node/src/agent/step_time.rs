//! The endpoint's step time, for load reports: an engine reports the duration of its steps, while
//! the calls of a plain service are timed by the agent.

use std::sync::{Arc, Weak};
use std::time::Duration;

use briartray_model::settings::{EndpointKind, EndpointSettings};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use serde::Deserialize;

use super::shared::AgentShared;

/// Interval at which an engine's load is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one poll, for the connection and for the answer.
const POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Divisor that gives the weight of a new sample in the moving average: 1/4.
const SAMPLE_DIVISOR: u32 = 4;

#[derive(Deserialize)]
struct EngineLoad {
    #[serde(default)]
    step_micros: u32,
}

/// Starts the thread that polls an engine's load; it ends with the agent. Plain services have
/// none.
pub(super) fn start(shared: &Arc<AgentShared>) -> std::io::Result<()> {
    if shared.settings.endpoint.kind != EndpointKind::Engine {
        return Ok(());
    }
    let weak: Weak<AgentShared> = Arc::downgrade(shared);
    let endpoint = shared.settings.endpoint.clone();
    spawn_worker("pace", WORKER_STACK_BYTES, move || {
        while let Some(shared) = weak.upgrade() {
            if shared.is_closed() {
                return;
            }
            // An idle engine takes no steps; its last known step time is still the best estimate.
            if let Some(step) = fetch_step_time(&endpoint).filter(|step| *step > 0) {
                shared.set_step_time(step);
            }
            drop(shared);
            std::thread::sleep(POLL_INTERVAL);
        }
    })
    .map(drop)
}

fn fetch_step_time(endpoint: &EndpointSettings) -> Option<u32> {
    let response = attohttpc::get(format!("http://{}/load", endpoint.address))
        .connect_timeout(POLL_TIMEOUT)
        .timeout(POLL_TIMEOUT)
        .send()
        .ok()?;
    let body = response.bytes().ok()?;
    let load: EngineLoad = serde_json::from_slice(&body).ok()?;
    Some(load.step_micros)
}

/// The moving average after one more sample, in microseconds.
pub(super) fn moving_average(average: u32, sample: u32) -> u32 {
    if average == 0 {
        return sample;
    }
    average - average / SAMPLE_DIVISOR + sample / SAMPLE_DIVISOR
}
