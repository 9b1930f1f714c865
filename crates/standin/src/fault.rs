//! Faults that a stand-in shows on purpose, each for a share of the requests, drawn from a seed.

use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briartray_model::{plain_choice, plain_value};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a fault that names none, in milliseconds.
const DEFAULT_FAULT_MS: u64 = 200;

plain_choice! {
    /// What goes wrong.
    pub enum FaultKind {
        /// The answer starts late.
        Late,
        /// The answer belongs to another request.
        Crossed,
        /// Pieces of the answer come twice.
        Doubled,
        /// The connection closes before the answer is whole.
        Cut,
        /// The connection stays open and brings nothing more.
        Silent,
        /// Every piece of the answer is slow.
        Slow,
        /// The request is refused and not run.
        Refuse,
    }
}

plain_value! {
    /// One fault and how often it shows.
    pub struct FaultRule {
        /// What goes wrong.
        pub kind: FaultKind,
        /// Share of requests, from 0 to 1.
        pub share: f64,
        /// How long it lasts, where that has a meaning.
        #[serde(default = "default_fault_ms")]
        pub ms: u64,
    }

    /// All faults of one stand-in.
    #[derive(Default)]
    pub struct FaultPlan {
        /// Seed of the draws.
        #[serde(default)]
        pub seed: u64,
        /// The faults.
        #[serde(default)]
        pub faults: Vec<FaultRule>,
    }
}

fn default_fault_ms() -> u64 {
    DEFAULT_FAULT_MS
}

impl FromStr for FaultRule {
    type Err = &'static str;

    /// Reads `KIND:SHARE` or `KIND:SHARE:MS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const USAGE: &str = "write KIND:SHARE or KIND:SHARE:MS, as in late:0.1:200";
        let mut parts = text.split(':');
        let kind = parts.next().ok_or(USAGE)?;
        let kind = serde_json::from_value(kind.into()).map_err(
            |_| "use one of late, crossed, doubled, cut, silent, slow, refuse as kind of fault",
        )?;
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

/// Faults drawn for one request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct DrawnFaults {
    rules: Vec<FaultRule>,
}

impl DrawnFaults {
    /// Whether `kind` was drawn.
    pub fn has(&self, kind: FaultKind) -> bool {
        self.rules.iter().any(|rule| rule.kind == kind)
    }

    /// How long `kind` lasts; zero when it was not drawn.
    pub fn time(&self, kind: FaultKind) -> Duration {
        let rule = self.rules.iter().find(|rule| rule.kind == kind);
        rule.map_or(Duration::ZERO, |rule| Duration::from_millis(rule.ms))
    }
}

/// Draws faults; the plan may change while requests run.
#[derive(Debug)]
pub struct FaultSwitch {
    state: Mutex<(FaultPlan, ChaCha8Rng)>,
}

impl FaultSwitch {
    /// A switch that draws from `plan`.
    pub fn new(plan: &FaultPlan) -> Self {
        Self { state: Mutex::new(start_plan(plan)) }
    }

    /// Draws from another plan from now on.
    pub fn change(&self, plan: &FaultPlan) {
        *self.lock() = start_plan(plan);
    }

    /// The faults of the next request.
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

fn start_plan(plan: &FaultPlan) -> (FaultPlan, ChaCha8Rng) {
    (plan.clone(), ChaCha8Rng::seed_from_u64(plan.seed))
}
