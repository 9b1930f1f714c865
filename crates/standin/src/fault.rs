//! Fault injection for stand-ins: each fault affects a share of the requests, drawn from a seed.

use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::{plain_choice, plain_value};
use briartray_web::JsonReply;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Error message of a request that a fault refuses.
const REFUSAL_MESSAGE: &str = "refused by a fault";

/// Duration of a fault whose rule sets none, in milliseconds.
const DEFAULT_FAULT_MS: u64 = 200;

plain_choice! {
    /// Kind of an injected fault.
    pub enum FaultKind {
        /// The request is handled only after a delay.
        Late,
        /// The answer is that of another request.
        Crossed,
        /// Parts of the answer are sent twice; a plain service runs the request twice.
        Doubled,
        /// The connection is closed before the answer is complete.
        Cut,
        /// The connection stalls before the answer is complete, and is then closed.
        Silent,
        /// Each part of the answer is delayed.
        Slow,
        /// The request is refused and does not run.
        Refuse,
        /// The request is refused, and the refusal asks for a time without requests.
        Backoff,
    }
}

plain_value! {
    /// One kind of fault and how often it is injected.
    pub struct FaultRule {
        /// Kind of the fault.
        pub kind: FaultKind,
        /// Share of the requests that it affects, from 0 to 1.
        pub share: f64,
        /// Duration in milliseconds, for the kinds that have one.
        #[serde(default = "default_fault_ms")]
        pub ms: u64,
    }

    /// Faults that a stand-in injects.
    #[derive(Default)]
    pub struct FaultPlan {
        /// Seed of the random draws.
        #[serde(default)]
        pub seed: u64,
        /// Rules, each drawn independently.
        #[serde(default)]
        pub faults: Vec<FaultRule>,
    }
}

fn default_fault_ms() -> u64 {
    DEFAULT_FAULT_MS
}

impl FromStr for FaultRule {
    type Err = &'static str;

    /// Parses `KIND:SHARE` or `KIND:SHARE:MS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const USAGE: &str = "expected KIND:SHARE or KIND:SHARE:MS, for example late:0.1:200";
        let mut parts = text.split(':');
        let kind = parts.next().ok_or(USAGE)?;
        let kind = serde_json::from_value(kind.into()).map_err(|_| {
            "unknown kind of fault; use late, crossed, doubled, cut, silent, slow, refuse or \
                 backoff"
        })?;
        let share: f64 = parts.next().and_then(|share| share.parse().ok()).ok_or(USAGE)?;
        let ms = match parts.next() {
            Some(ms) => ms.parse().map_err(|_| USAGE)?,
            None => DEFAULT_FAULT_MS,
        };
        if !(0.0..=1.0).contains(&share) || parts.next().is_some() {
            return Err(USAGE);
        }
        Ok(Self { kind, share, ms })
    }
}

/// Faults to inject into one request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DrawnFaults {
    rules: Vec<FaultRule>,
}

impl DrawnFaults {
    /// Returns whether `kind` was drawn.
    pub fn has(&self, kind: FaultKind) -> bool {
        self.rules.iter().any(|rule| rule.kind == kind)
    }

    /// Returns the refusal of the request, if one was drawn.
    pub fn refusal(&self) -> Option<JsonReply> {
        let body = json!({ "error": { "message": REFUSAL_MESSAGE } });
        let reply = JsonReply::new(503, body);
        if self.has(FaultKind::Backoff) {
            let seconds = self.duration(FaultKind::Backoff).as_secs_f64().to_string();
            return Some(reply.with_header("Retry-After", seconds));
        }
        self.has(FaultKind::Refuse).then_some(reply)
    }

    /// Returns the duration of `kind`, zero if it was not drawn.
    pub fn duration(&self, kind: FaultKind) -> Duration {
        let rule = self.rules.iter().find(|rule| rule.kind == kind);
        rule.map_or(Duration::ZERO, |rule| Duration::from_millis(rule.ms))
    }
}

/// Draws the faults of each request; the plan can be replaced while requests run.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<(FaultPlan, ChaCha8Rng)>,
}

impl FaultInjector {
    /// Creates an injector with `plan`.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { state: Mutex::new(seeded_plan(plan)) }
    }

    /// Replaces the plan and restarts the random draws from its seed.
    pub fn set_plan(&self, plan: &FaultPlan) {
        *self.lock() = seeded_plan(plan);
    }

    /// Draws the faults of the next request.
    pub fn draw(&self) -> DrawnFaults {
        let mut state = self.lock();
        let (plan, generator) = &mut *state;
        let mut drawn = DrawnFaults::default();
        for rule in &plan.faults {
            if generator.random_bool(rule.share.clamp(0.0, 1.0)) {
                drawn.rules.push(rule.clone());
            }
        }
        drawn
    }

    fn lock(&self) -> MutexGuard<'_, (FaultPlan, ChaCha8Rng)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn seeded_plan(plan: &FaultPlan) -> (FaultPlan, ChaCha8Rng) {
    (plan.clone(), ChaCha8Rng::seed_from_u64(plan.seed))
}
