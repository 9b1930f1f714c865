//! How fast the endpoint works: an engine says so itself, a plain service is timed.

use std::sync::{Arc, Weak};
use std::time::Duration;

use briartray_model::settings::{EndpointKind, EndpointSettings};
use briartray_web::{WORKER_STACK_BYTES, spawn_worker};
use serde::Deserialize;

use super::shared::AgentShared;

/// Time between two looks at an engine's load.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// How long the engine may take to tell.
const LOOK_TIMEOUT: Duration = Duration::from_millis(1000);

/// Part of a new sample in the running time, as a divisor.
const SAMPLE_DIVISOR: u32 = 4;

#[derive(Deserialize)]
struct EngineLoad {
    #[serde(default)]
    step_micros: u32,
}

/// Starts the thread that looks at an engine's load; it ends with the agent.
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
            // An idle engine takes no steps; the last step it took is still the best guess.
            if let Some(step) = ask_step(&endpoint).filter(|step| *step > 0) {
                shared.set_pace(step);
            }
            drop(shared);
            std::thread::sleep(LOOK_INTERVAL);
        }
    })
    .map(drop)
}

fn ask_step(endpoint: &EndpointSettings) -> Option<u32> {
    let response = attohttpc::get(format!("http://{}/load", endpoint.address))
        .connect_timeout(LOOK_TIMEOUT)
        .timeout(LOOK_TIMEOUT)
        .send()
        .ok()?;
    let body = response.bytes().ok()?;
    let load: EngineLoad = serde_json::from_slice(&body).ok()?;
    Some(load.step_micros)
}

/// The running time after one more sample.
pub(super) fn blend(running: u32, sample: u32) -> u32 {
    if running == 0 {
        return sample;
    }
    running - running / SAMPLE_DIVISOR + sample / SAMPLE_DIVISOR
}
