//! Small random traces: few enough hosts and events to try every plan.

use briartray_model::names::{DomainName, HostName, ProviderName, RuleName, ServiceName, ZoneName};
use briartray_model::rules::{
    PlaceAction, RuleAction, RuleCondition, RuleDocument, RuleEntry, ServiceDeclaration,
    ServiceKind,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::trace::{HostTrace, TraceEvent, TraceHeader, TraceLine, WeightState};

const MEASURE_FROM_MS: u64 = 200_000;
const LAST_EVENT_MS: u64 = 900_000;
const END_MS: u64 = 1_800_000;

/// Makes a trace of four to `hosts` hosts in pairs and `events` losses or planned stops.
pub fn generate_small_trace(seed: u64, hosts: usize, events: usize) -> HostTrace {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let hosts = random.random_range(4..=hosts.max(4));
    let mut lines: Vec<TraceLine> = (0..hosts).map(arrive).collect();
    let mut busy = vec![0; hosts];
    for _ in 0..events {
        let at_ms = random.random_range(MEASURE_FROM_MS + 1..LAST_EVENT_MS);
        let index = random.random_range(0..hosts);
        let kind = random.random_range(0..10);
        if at_ms < busy[index] {
            continue;
        }
        let (away_ms, weights) = match kind {
            0..5 => (random.random_range(3_000..30_000), WeightState::Kept),
            5..9 => (random.random_range(90_000..400_000), WeightState::Lost),
            _ => (END_MS, WeightState::Lost),
        };
        busy[index] = at_ms + away_ms;
        let host = name(index);
        lines.push(TraceLine { at_ms, event: TraceEvent::Lost { host: host.clone() } });
        let back = TraceLine { at_ms: at_ms + away_ms, event: TraceEvent::Back { host, weights } };
        lines.push(back);
    }
    lines.retain(|line| line.at_ms < END_MS);
    lines.sort_by_key(|line| line.at_ms);
    let parallel_loads = random.random_range(0..3);
    let header = TraceHeader {
        trace: format!("small, seed {seed}"),
        end_ms: END_MS,
        measure_from_ms: MEASURE_FROM_MS,
        load_ms: 60_000,
        parallel_loads,
        rules: rules(parallel_loads),
    };
    HostTrace { header, lines }
}

fn name(index: usize) -> HostName {
    HostName::new(&format!("host-{index}"))
}

fn arrive(index: usize) -> TraceLine {
    let event = TraceEvent::Arrive {
        host: name(index),
        zone: ZoneName::new("a"),
        domain: DomainName::new("rack"),
        provider: ProviderName::new("one"),
        service: ServiceName::new("desk"),
        accelerators: 8,
    };
    TraceLine { at_ms: 0, event }
}

fn rules(parallel_loads: u32) -> RuleDocument {
    let service = ServiceDeclaration {
        name: ServiceName::new("desk"),
        kind: ServiceKind::Engine,
        models: Vec::new(),
        hosts_per_replica: 2,
        replicas: 2,
        capacity: 64,
    };
    let place = PlaceAction {
        downtime_weight: 100.0,
        stranded_weight: 1.0,
        load_ms: 60_000,
        parallel_loads,
        standby: 1,
        ..PlaceAction::default()
    };
    let then = RuleAction { place: Some(place), ..RuleAction::default() };
    let rule = RuleEntry { rule: RuleName::new("place"), when: RuleCondition::default(), then };
    RuleDocument { services: vec![service], teams: Vec::new(), rules: vec![rule] }
}
