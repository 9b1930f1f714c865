//! Tests of the schedule of a load: it is reproducible from a seed and has the requested rate.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use briartray_standin::load::{LoadPlan, LoadSchedule, PlannedCall};

fn plan(seed: u64) -> LoadPlan {
    LoadPlan::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 1)))
        .pace(200.0, Duration::from_secs(20))
        .seed(seed)
        .teams(&["a", "b"])
        .shares(0.25, 0.5)
        .service("ledger", 0.1)
}

#[test]
fn same_seed_gives_the_same_requests() {
    let first: Vec<PlannedCall> = LoadSchedule::new(&plan(7), 1).collect();
    let again: Vec<PlannedCall> = LoadSchedule::new(&plan(7), 1).collect();
    let other: Vec<PlannedCall> = LoadSchedule::new(&plan(8), 1).collect();

    assert_eq!(first, again);
    assert_ne!(first, other);
}

#[test]
fn rate_and_shares_are_kept_and_no_prompt_comes_twice() {
    for seed in 0..32 {
        let calls: Vec<PlannedCall> = LoadSchedule::new(&plan(seed), 1).collect();
        let share = |count: usize| count as f64 / calls.len() as f64;

        let keyed = share(calls.iter().filter(|call| call.key.is_some()).count());
        let plain = share(calls.iter().filter(|call| call.service.is_some()).count());
        let mut prompts: Vec<&str> = calls.iter().map(|call| call.prompt.as_str()).collect();
        prompts.sort_unstable();
        prompts.dedup();

        // 4000 are expected; six standard deviations of a Poisson count are 380.
        assert!((3620..=4380).contains(&calls.len()), "{}", calls.len());
        assert!((0.45..0.55).contains(&keyed) && (0.07..0.13).contains(&plain));
        assert_eq!(prompts.len(), calls.len());
        assert!(calls.windows(2).all(|pair| pair[0].start <= pair[1].start));
    }
}
