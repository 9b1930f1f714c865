//! Fixture: a deployment of two models over one pool of hosts.

use std::time::Duration;

use briartray_fleet::deployment::{
    CallerLimits, DeploymentPlan, EngineModel, ModelSpec, ServiceSpec,
};
use briartray_model::names::ServiceName;

/// The large model, with groups of four hosts.
pub const LARGE: &str = "large";

/// The small model, with groups of two hosts.
pub const SMALL: &str = "small";

/// The first deployment of `docs/design/hard-load.md`: groups of eight and of four hosts.
pub fn large_groups() -> DeploymentPlan {
    let mut plan = two_models();
    let engine = plan.services[0].engine.as_mut().expect("the fixture has an engine");
    engine.slots = 48;
    engine.stride = 4;
    engine.step = Duration::from_micros(6_070);
    engine.per_writer_ms = 0.241;
    engine.loads_per_second = 4.8;
    engine.loads_at_once = 7;
    engine.models[0].size = 8;
    engine.models[1].size = 4;
    plan
}

/// Groups of eight and of two hosts.
pub fn uneven_groups() -> DeploymentPlan {
    let mut plan = two_models();
    let engine = plan.services[0].engine.as_mut().expect("the fixture has an engine");
    engine.slots = 48;
    engine.models[0].size = 8;
    plan
}

/// A deployment of two models over one pool of hosts.
pub fn two_models() -> DeploymentPlan {
    let model = |name: &str, size, pace, load, warmup| ModelSpec {
        name: name.to_owned(),
        size,
        share: 0.5,
        pace,
        load_time: Duration::from_secs(load),
        warmup: Duration::from_millis(warmup),
    };
    let engine = EngineModel {
        slots: 34,
        kv_tokens: 1_860_000,
        stride: 5,
        step: Duration::from_micros(7_800),
        per_writer_ms: 0.0947,
        per_context_ms: 0.0096,
        read_rate: 45_900.0,
        pairs_ms: 0.433,
        chunk: 2_048,
        loads_per_second: 3.0,
        loads_at_once: 6,
        formation: Duration::from_millis(300),
        usual_prompt: 900,
        usual_answer: 135,
        models: vec![model(LARGE, 4, 1.0, 16, 1_600), model(SMALL, 2, 0.6, 12, 1_100)],
    };
    let service = ServiceSpec {
        name: ServiceName::new("desk"),
        health_path: "/health".to_owned(),
        max_connections: 400,
        cold: None,
        engine: Some(engine),
    };
    let limits = CallerLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    DeploymentPlan {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
        teams: Vec::new(),
    }
}
